#include "LibConfig/TokenFile.h"
#include "LibConfig/Parse.h"
#include "LibConfig/TextForm.h"
#include "LibConfig/YamlDocument.h"
#include <algorithm>
#include <optional>
#include <sstream>

namespace ferry::config {

static std::string_view trimmed(std::string_view Text) {
  static constexpr std::string_view Blank = " \t\r";
  size_t First = Text.find_first_not_of(Blank);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

static bool isToken(std::string_view Text) {
  auto Printable = [](char Byte) { return Byte > ' ' && Byte < 0x7f; };
  return Text.size() >= MinTokenBytes &&
         std::all_of(Text.begin(), Text.end(), Printable);
}

static std::optional<ConfigError> tryAddLine(Tokens &Output,
                                             std::string_view Line) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return ConfigError{ConfigErrorKind::BadSyntax, "", 0, 1,
                       "must be \"name: token\""};
  std::string Name(trimmed(Line.substr(0, Colon)));
  std::string_view Token = trimmed(Line.substr(Colon + 1));
  if (!hasForm(Name, TextForm::Identifier))
    return ConfigError{ConfigErrorKind::BadValue, "", 0, 1,
                       "a name must be " +
                           std::string(formRule(TextForm::Identifier))};
  auto TokenColumn = static_cast<uint32_t>(Colon + 2);
  if (!isToken(Token))
    return ConfigError{ConfigErrorKind::BadValue, "", 0, TokenColumn,
                       "a token must have " + std::to_string(MinTokenBytes) +
                           " printable characters or more"};
  if (!Output.emplace(Name, Token).second)
    return ConfigError{ConfigErrorKind::Duplicate, "", 0, 1, Name};
  return std::nullopt;
}

Result<Tokens, ConfigErrors> tryParseTokens(const std::string &Text,
                                            const std::string &FileName) {
  Tokens Result;
  ConfigErrors Errors;
  std::istringstream Lines(Text);
  std::string Line;
  for (uint32_t Number = 1; std::getline(Lines, Line); ++Number) {
    if (trimmed(Line).empty() || Line.front() == '#')
      continue;
    auto Error = tryAddLine(Result, Line);
    if (!Error)
      continue;
    Error->File = FileName;
    Error->Line = Number;
    Errors.push_back(std::move(*Error));
  }
  if (!Errors.empty())
    return makeError(std::move(Errors));
  return Result;
}

Result<Tokens, ConfigErrors> tryLoadTokens(const std::filesystem::path &Path) {
  auto Text = tryReadText(Path);
  if (!Text)
    return makeError(std::move(Text.error()));
  if (Text->size() > MaxTextBytes) {
    ConfigErrors Errors = {
        {ConfigErrorKind::TooLarge, Path.string(), 0, 0, "token file"}};
    return makeError(std::move(Errors));
  }
  return tryParseTokens(*Text, Path.string());
}

} // namespace ferry::config
