/// \file
/// Loads one YAML document within fixed bounds of size and nesting.
#ifndef FERRY_LIBCONFIG_YAMLDOCUMENT_H
#define FERRY_LIBCONFIG_YAMLDOCUMENT_H

#include "LibConfig/ConfigError.h"
#include "LibCore/Result.h"
#include <string>
#include <yaml-cpp/yaml.h>

namespace ferry::config {

/// Longest text that is parsed.
inline constexpr size_t MaxTextBytes = 1 << 20;
/// Deepest nesting of mappings and sequences.
inline constexpr uint32_t MaxNestingDepth = 16;
/// Most nodes of one document, keys included.
inline constexpr uint32_t MaxNodes = 200'000;

/// Loads the only document of a text. Anchors, aliases and further documents
/// are refused, so that the tree is never larger than the text.
/// \param Text the YAML text.
/// \param FileName the name used in errors.
/// \returns the root node, or the first fault: yaml-cpp stops there.
Result<YAML::Node, ConfigErrors> tryLoadYaml(const std::string &Text,
                                             const std::string &FileName);

/// Makes an error at \p Mark, or without a place if the mark is null.
ConfigError errorAt(ConfigErrorKind Kind, const std::string &FileName,
                    const YAML::Mark &Mark, std::string Detail);

} // namespace ferry::config

#endif
