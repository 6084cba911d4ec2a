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

/// Checks the bounds during parsing. It stops the parser with yaml-cpp's own
/// exception, which tryLoadYaml() catches.
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

  /// \returns the kind of the error with which this class stopped the parser,
  /// or nothing.
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

/// A position in a text; line and column count from 1.
struct TextPosition {
  uint32_t Line = 1;
  uint32_t Column = 1;
};

} // namespace

/// \returns the length, in bytes, of a UTF-8 sequence with the first byte
/// \p FirstByte.
static int sequenceBytes(unsigned char FirstByte) {
  if (FirstByte < 0x80)
    return 1;
  if (FirstByte < 0xE0)
    return 2;
  return FirstByte < 0xF0 ? 3 : 4;
}

/// \returns the position of the first invalid UTF-8 sequence in \p Text, or
/// nothing.
static std::optional<TextPosition> findInvalidUtf8(const std::string &Text) {
  TextPosition Position;
  const auto *Bytes = reinterpret_cast<const unsigned char *>(Text.data());
  for (size_t Offset = 0; Offset < Text.size();) {
    int Length = sequenceBytes(Bytes[Offset]);
    bool IsComplete = Offset + Length <= Text.size();
    if (!IsComplete || !Poco::UTF8Encoding::isLegal(Bytes + Offset, Length))
      return Position;
    Position = Text[Offset] == '\n'
                   ? TextPosition{Position.Line + 1, 1}
                   : TextPosition{Position.Line, Position.Column + 1};
    Offset += Length;
  }
  return std::nullopt;
}

static ConfigErrors singleError(ConfigError Error) {
  return {std::move(Error)};
}

Result<YAML::Node, ConfigErrors> tryLoadYaml(const std::string &Text,
                                             const std::string &FileName) {
  if (Text.size() > MaxTextBytes)
    return makeError(singleError(
        {ConfigErrorKind::TooLarge, FileName, 0, 0,
         "longer than " + std::to_string(MaxTextBytes) + " bytes"}));
  if (auto Position = findInvalidUtf8(Text))
    return makeError(
        singleError({ConfigErrorKind::BadSyntax, FileName, Position->Line,
                     Position->Column, "not UTF-8"}));
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
    return makeError(
        singleError(errorAt(Kind, FileName, Error.mark, Error.msg)));
  } catch (const std::exception &Error) {
    return makeError(singleError(
        {ConfigErrorKind::BadSyntax, FileName, 0, 0, Error.what()}));
  }
}

} // namespace ferry::config
