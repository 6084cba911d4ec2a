/// \file
/// Syntax rules for the texts of settings and descriptions.
#ifndef FERRY_LIBCONFIG_TEXTFORM_H
#define FERRY_LIBCONFIG_TEXTFORM_H

#include <cstdint>
#include <string>
#include <string_view>

namespace ferry::config {

/// The syntax that a text must have.
enum class TextForm : uint8_t {
  /// 1 to 64 letters, digits, '.', '_' or '-'.
  Identifier,
  /// Like Identifier, but '/' and ':' are also allowed.
  ModelName,
  /// "IP:port" with a numeric IP address that is not a wildcard and a port
  /// other than 0.
  Address,
  /// The path of a file or folder.
  FilePath,
  /// The path of a URL, which starts with '/'.
  UrlPath,
  /// An HTTP method that may change state.
  Method
};

/// \returns whether \p Text has the form \p Form.
bool hasForm(const std::string &Text, TextForm Form);

/// \returns the rule of \p Form as a phrase for error messages.
std::string_view formRule(TextForm Form);

} // namespace ferry::config

#endif
