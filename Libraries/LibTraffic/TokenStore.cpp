#include "LibTraffic/TokenStore.h"
#include "LibCore/ConstantTime.h"
#include <Poco/String.h>
#include <fstream>
#include <sstream>

namespace ferry::traffic {

/// Largest key file, in bytes.
static constexpr size_t MaxTokenFileBytes = 1 << 20;

Result<TokenStore, TrafficError>
TokenStore::tryLoad(const std::filesystem::path &Path) {
  if (Path.empty())
    return TokenStore();
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return makeTypedError(TrafficErrorKind::TokenFileUnreadable, Path.string());
  std::string Text(MaxTokenFileBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<size_t>(File.gcount()));
  if (Text.size() > MaxTokenFileBytes)
    return makeTypedError(TrafficErrorKind::TokenFileMalformed,
                          Path.string() + " is too large");
  return tryParse(Text);
}

Result<TokenStore, TrafficError> TokenStore::tryParse(const std::string &Text) {
  TokenStore Store;
  std::istringstream Lines(Text);
  std::string Line;
  for (size_t Number = 1; std::getline(Lines, Line); ++Number) {
    Line = Poco::trim(Line);
    if (Line.empty() || Line.front() == '#')
      continue;
    size_t Colon = Line.find(':');
    std::string Name = Poco::trim(Line.substr(0, Colon));
    std::string Token;
    if (Colon != std::string::npos)
      Token = Poco::trim(Line.substr(Colon + 1));
    bool IsNewToken = !Name.empty() && !Token.empty() &&
                      Store.Tokens.emplace(Name, Token).second;
    // The error does not quote the line, because it may contain a token.
    if (!IsNewToken)
      return makeTypedError(TrafficErrorKind::TokenFileMalformed,
                            "line " + std::to_string(Number) +
                                " is not a new \"name: token\" line");
  }
  return Store;
}

bool TokenStore::grants(const std::string &Name,
                        std::string_view Authorization) const {
  static constexpr std::string_view Scheme = "Bearer ";
  auto TokenEntry = Tokens.find(Name);
  if (TokenEntry == Tokens.end() || !Authorization.starts_with(Scheme))
    return false;
  return equalInConstantTime(Authorization.substr(Scheme.size()),
                             TokenEntry->second);
}

} // namespace ferry::traffic
