#include "LibConfig/YamlDocument.h"
#include <Poco/UTF8Encoding.h>
#include <optional>
#include <sstream>
#include <yaml-cpp/eventhandler.h>

namespace ferry::config {

ConfigError errorAt(ConfigErrorKind Kind, const std::string &FileName,
                    const YAML::Mark &Mark, std::string Detail) {
  ConfigError Error{Kind, FileName, 0, 0, std::move(Detail)};
  if (Mark.is_null())
    return Error;
  Error.Line = static_cast<uint32_t>(Mark.line) + 1;
  Error.Column = static_cast<uint32_t>(Mark.column) + 1;
  return Error;
}

namespace {

/// Checks the bounds while the parser runs. It leaves the parser by yaml-cpp's
/// own exception, which tryLoadYaml() catches.
class BoundsChecker final : public YAML::EventHandler {
public:
  void OnDocumentStart(const YAML::Mark &Mark) override {
    ++Documents;
    if (Documents > 1)
      fail(ConfigErrorKind::BadSyntax, Mark, "more than one document");
  }
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &Mark, YAML::anchor_t Anchor) override {
    countNode(Mark, Anchor);
  }
  void OnAlias(const YAML::Mark &Mark, YAML::anchor_t) override {
    fail(ConfigErrorKind::BadSyntax, Mark, "aliases are not allowed");
  }
  void OnScalar(const YAML::Mark &Mark, const std::string &,
                YAML::anchor_t Anchor, const std::string &) override {
    countNode(Mark, Anchor);
  }
  void OnSequenceStart(const YAML::Mark &Mark, const std::string &,
                       YAML::anchor_t Anchor,
                       YAML::EmitterStyle::value) override {
    enter(Mark, Anchor);
  }
  void OnSequenceEnd() override { --Depth; }
  void OnMapStart(const YAML::Mark &Mark, const std::string &,
                  YAML::anchor_t Anchor, YAML::EmitterStyle::value) override {
    enter(Mark, Anchor);
  }
  void OnMapEnd() override { --Depth; }

  /// The kind of the fault that ended the parse, if a bound did.
  std::optional<ConfigErrorKind> failure() const { return Failure; }

private:
  [[noreturn]] void fail(ConfigErrorKind Kind, const YAML::Mark &Mark,
                         const char *Detail) {
    Failure = Kind;
    throw YAML::ParserException(Mark, Detail);
  }

  void countNode(const YAML::Mark &Mark, YAML::anchor_t Anchor) {
    if (Anchor != YAML::NullAnchor)
      fail(ConfigErrorKind::BadSyntax, Mark, "anchors are not allowed");
    ++Nodes;
    if (Nodes > MaxNodes)
      fail(ConfigErrorKind::TooLarge, Mark, "too many nodes");
  }

  void enter(const YAML::Mark &Mark, YAML::anchor_t Anchor) {
    countNode(Mark, Anchor);
    ++Depth;
    if (Depth > MaxNestingDepth)
      fail(ConfigErrorKind::TooLarge, Mark, "nested too deeply");
  }

  uint32_t Documents = 0;
  uint32_t Nodes = 0;
  uint32_t Depth = 0;
  std::optional<ConfigErrorKind> Failure;
};

} // namespace

namespace {

/// A place in a text, counted from 1.
struct TextPlace {
  uint32_t Line = 1;
  uint32_t Column = 1;
};

} // namespace

/// \returns the bytes of the UTF-8 sequence that \p Lead begins.
static int sequenceBytes(unsigned char Lead) {
  if (Lead < 0x80)
    return 1;
  if (Lead < 0xE0)
    return 2;
  return Lead < 0xF0 ? 3 : 4;
}

/// \returns where \p Text stops being UTF-8, or nothing.
static std::optional<TextPlace> findBadUtf8(const std::string &Text) {
  TextPlace Place;
  const auto *Bytes = reinterpret_cast<const unsigned char *>(Text.data());
  for (size_t At = 0; At < Text.size();) {
    int Length = sequenceBytes(Bytes[At]);
    bool Whole = At + Length <= Text.size();
    if (!Whole || !Poco::UTF8Encoding::isLegal(Bytes + At, Length))
      return Place;
    Place = Text[At] == '\n' ? TextPlace{Place.Line + 1, 1}
                             : TextPlace{Place.Line, Place.Column + 1};
    At += Length;
  }
  return std::nullopt;
}

static ConfigErrors single(ConfigError Error) { return {std::move(Error)}; }

Result<YAML::Node, ConfigErrors> tryLoadYaml(const std::string &Text,
                                             const std::string &FileName) {
  if (Text.size() > MaxTextBytes)
    return makeError(
        single({ConfigErrorKind::TooLarge, FileName, 0, 0,
                "longer than " + std::to_string(MaxTextBytes) + " bytes"}));
  if (auto Bad = findBadUtf8(Text))
    return makeError(single({ConfigErrorKind::BadSyntax, FileName, Bad->Line,
                             Bad->Column, "not UTF-8"}));
  BoundsChecker Checker;
  try {
    std::istringstream Stream(Text);
    YAML::Parser Parser(Stream);
    while (Parser.HandleNextDocument(Checker))
      ;
    return YAML::Load(Text);
  } catch (const YAML::Exception &Error) {
    ConfigErrorKind Kind =
        Checker.failure().value_or(ConfigErrorKind::BadSyntax);
    return makeError(single(errorAt(Kind, FileName, Error.mark, Error.msg)));
  } catch (const std::exception &Error) {
    return makeError(
        single({ConfigErrorKind::BadSyntax, FileName, 0, 0, Error.what()}));
  }
}

} // namespace ferry::config
