/// \file
/// Bearer tokens by name, read from a key file.
#ifndef FERRY_LIBCONFIG_TOKENFILE_H
#define FERRY_LIBCONFIG_TOKENFILE_H

#include "LibConfig/ConfigError.h"
#include "LibCore/Result.h"
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace ferry::config {

/// Name of the token that operators show.
inline constexpr std::string_view OperatorTokenName = "operator";
/// Shortest token that is taken, in bytes.
inline constexpr size_t MinTokenBytes = 16;

/// Tokens by their names.
using Tokens = std::map<std::string, std::string, std::less<>>;

/// Parses "name: token" lines; empty lines and those that start with '#' are
/// passed over. Names are identifiers, tokens printable and without spaces.
/// Errors never show a token.
Result<Tokens, ConfigErrors> tryParseTokens(const std::string &Text,
                                            const std::string &FileName);

/// Reads and parses a token file.
Result<Tokens, ConfigErrors> tryLoadTokens(const std::filesystem::path &Path);

} // namespace ferry::config

#endif
