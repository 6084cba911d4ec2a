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

/// Name of the token that operators send.
inline constexpr std::string_view OperatorTokenName = "operator";
/// Minimum length of a token, in bytes.
inline constexpr size_t MinTokenBytes = 16;

/// Tokens by their names.
using Tokens = std::map<std::string, std::string, std::less<>>;

/// Parses "name: token" lines; empty lines and those that start with '#' are
/// skipped. Names are identifiers; tokens are printable and have no spaces.
/// Errors never contain a token, so that they can be logged.
/// \param Text the content of the file.
/// \param FileName the name used in errors.
/// \returns the tokens, or all errors found in the text.
Result<Tokens, ConfigErrors> tryParseTokens(const std::string &Text,
                                            const std::string &FileName);

/// Reads and parses a token file.
/// \returns the tokens, or all errors found in the file.
Result<Tokens, ConfigErrors> tryLoadTokens(const std::filesystem::path &Path);

} // namespace ferry::config

#endif
