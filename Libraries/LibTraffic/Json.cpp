#include "LibTraffic/Json.h"
#include <Poco/JSON/Parser.h>
#include <istream>
#include <streambuf>

namespace ferry::traffic {

/// Largest nesting depth of arrays and objects.
static constexpr size_t MaxDepth = 32;
/// The same in texts that are only passed on.
static constexpr size_t MaxForeignDepth = 512;

static tl::unexpected<ErrorAnswer> badJson(const char *Message) {
  return makeError(ErrorAnswer{AnswerError::BadJson, Message});
}

AnswerResult<Poco::JSON::Object::Ptr> tryParseObject(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    Parser.setDepth(MaxDepth);
    Poco::Dynamic::Var Value = Parser.parse(Text);
    if (Value.type() != typeid(Poco::JSON::Object::Ptr))
      return badJson("the body is not a JSON object");
    return Value.extract<Poco::JSON::Object::Ptr>();
  } catch (const std::exception &) {
    return badJson("the body is not well-formed JSON");
  }
}

namespace {

/// Reads the blocks of a body in their order.
class BlockReader : public std::streambuf {
public:
  explicit BlockReader(const HeldBody &Body) : Blocks(Body.blocks()) {}

protected:
  int_type underflow() override {
    while (Next < Blocks.size()) {
      const std::string &Block = Blocks[Next++];
      // The base class wants bytes that it could change, and changes none.
      char *Start = const_cast<char *>(Block.data());
      setg(Start, Start, Start + Block.size());
      if (!Block.empty())
        return traits_type::to_int_type(*Start);
    }
    return traits_type::eof();
  }

private:
  const std::vector<std::string> &Blocks;
  size_t Next = 0;
};

/// Keeps no values. The parser needs a handler: without one it fails at each
/// null and doesn't check the range of numbers.
class ValueDropper : public Poco::JSON::Handler {
public:
  void reset() override {}
  void startObject() override {}
  void endObject() override {}
  void startArray() override {}
  void endArray() override {}
  void key(const std::string &) override {}
  void null() override {}
  void value(int) override {}
  void value(unsigned) override {}
#if defined(POCO_HAVE_INT64)
  void value(Poco::Int64) override {}
  void value(Poco::UInt64) override {}
#endif
  void value(const std::string &) override {}
  void value(double) override {}
  void value(bool) override {}
};

} // namespace

/// Whether \p Text is well-formed and at most \p Depth levels deep.
static bool isWellFormed(const HeldBody &Text, size_t Depth) {
  try {
    BlockReader Reader(Text);
    std::istream Stream(&Reader);
    Poco::JSON::Parser Parser{Poco::JSON::Handler::Ptr(new ValueDropper)};
    Parser.setDepth(Depth);
    Parser.parse(Stream);
    return true;
  } catch (const std::exception &) {
    return false;
  }
}

bool isWholeJson(const HeldBody &Text) {
  return isWellFormed(Text, MaxForeignDepth);
}

bool isWholeObject(const HeldBody &Text) {
  return Text.firstVisible() == '{' && isWellFormed(Text, MaxDepth);
}

std::optional<std::string> stringMember(const Poco::JSON::Object &Object,
                                        const std::string &Name) {
  Poco::Dynamic::Var Value = Object.get(Name);
  if (!Value.isString())
    return std::nullopt;
  return Value.extract<std::string>();
}

std::optional<uint64_t> numberMember(const Poco::JSON::Object &Object,
                                     const std::string &Name, uint64_t Max) {
  Poco::Dynamic::Var Value = Object.get(Name);
  if (Value.isEmpty() || Value.isBoolean() || !Value.isInteger())
    return std::nullopt;
  try {
    auto Number = Value.convert<Poco::UInt64>();
    if (Number > Max)
      return std::nullopt;
    return Number;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

std::optional<bool> flagMember(const Poco::JSON::Object &Object,
                               const std::string &Name) {
  Poco::Dynamic::Var Value = Object.get(Name);
  if (!Value.isBoolean())
    return std::nullopt;
  return Value.extract<bool>();
}

tl::unexpected<ErrorAnswer> badMember(const std::string &Name) {
  return makeError(
      ErrorAnswer{AnswerError::BadJson,
                  "member \"" + Name + "\" is missing or of a wrong type"});
}

} // namespace ferry::traffic
