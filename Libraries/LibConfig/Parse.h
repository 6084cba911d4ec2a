/// \file
/// Reads settings and descriptions from YAML.
#ifndef FERRY_LIBCONFIG_PARSE_H
#define FERRY_LIBCONFIG_PARSE_H

#include "LibConfig/ConfigError.h"
#include "LibConfig/Description.h"
#include "LibConfig/Settings.h"
#include "LibCore/Result.h"
#include <filesystem>
#include <string>

namespace ferry::config {

/// Parses and checks a description.
/// \param Text the YAML text.
/// \param FileName the name used in errors.
/// \returns the description, or all errors found in the text.
Result<Description, ConfigErrors>
tryParseDescription(const std::string &Text, const std::string &FileName);

/// Parses and checks the settings of one process. File paths stay as written;
/// tryLoadSettings() resolves them.
/// \param Text the YAML text.
/// \param FileName the name used in errors.
/// \returns the settings, or all errors found in the text.
Result<Settings, ConfigErrors> tryParseSettings(const std::string &Text,
                                                const std::string &FileName);

/// Reads a file, up to MaxTextBytes and one more byte, which shows the parser
/// that the file is too long.
/// \returns the text, or one error of kind Unreadable.
Result<std::string, ConfigErrors>
tryReadText(const std::filesystem::path &Path);

/// The same, up to \p MaxBytes and one more byte.
Result<std::string, ConfigErrors> tryReadText(const std::filesystem::path &Path,
                                              size_t MaxBytes);

/// Reads, parses and checks a settings file. Relative paths in it are resolved
/// against the file's folder.
/// \returns the settings, or all errors found.
Result<Settings, ConfigErrors>
tryLoadSettings(const std::filesystem::path &Path);

} // namespace ferry::config

#endif
