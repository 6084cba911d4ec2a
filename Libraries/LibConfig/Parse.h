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
/// \returns the description, or every fault found in the text.
Result<Description, ConfigErrors>
tryParseDescription(const std::string &Text, const std::string &FileName);

/// Parses and checks the settings of one process; paths in it are taken
/// relative to the file's folder by tryLoadSettings() only.
Result<Settings, ConfigErrors> tryParseSettings(const std::string &Text,
                                                const std::string &FileName);

/// Reads a file of at most the size that is parsed, and one byte more.
/// \returns the text, or one error of kind Unreadable.
Result<std::string, ConfigErrors>
tryReadText(const std::filesystem::path &Path);

/// Reads, parses and checks a settings file; relative paths in it are made
/// relative to the file's folder.
Result<Settings, ConfigErrors>
tryLoadSettings(const std::filesystem::path &Path);

} // namespace ferry::config

#endif
