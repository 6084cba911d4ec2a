/// \file
/// Loads one YAML document within fixed bounds of size and nesting.
#ifndef FERRY_LIBCONFIG_YAMLDOCUMENT_H
#define FERRY_LIBCONFIG_YAMLDOCUMENT_H

#include "LibConfig/ConfigError.h"
#include "LibCore/Result.h"
#include <string>
#include <yaml-cpp/yaml.h>

namespace ferry::config {

/// Maximum size of a text that is parsed.
inline constexpr size_t MaxTextBytes = 1 << 20;
/// Maximum nesting depth of mappings and sequences.
inline constexpr uint32_t MaxNestingDepth = 16;
/// Maximum number of nodes in one document, keys included.
inline constexpr uint32_t MaxNodes = 200'000;

/// Loads a text of one YAML document. Anchors, aliases and further documents
/// are errors, so that aliases cannot make the tree larger than the text.
/// \param Text the YAML text.
/// \param FileName the name used in errors.
/// \returns the root node, or the first error, at which yaml-cpp stops.
Result<YAML::Node, ConfigErrors> tryLoadYaml(const std::string &Text,
                                             const std::string &FileName);

/// \returns an error at \p Mark, or without a position if \p Mark is null.
ConfigError errorAt(ConfigErrorKind Kind, const std::string &FileName,
                    const YAML::Mark &Mark, std::string Detail);

} // namespace ferry::config

#endif
