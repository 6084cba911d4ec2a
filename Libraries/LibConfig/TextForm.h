/// \file
/// The forms that texts of settings and descriptions must have.
#ifndef FERRY_LIBCONFIG_TEXTFORM_H
#define FERRY_LIBCONFIG_TEXTFORM_H

#include <cstdint>
#include <string>
#include <string_view>

namespace ferry::config {

/// What a text must look like.
enum class TextForm : uint8_t {
  /// 1 to 64 of letters, digits, '.', '_' and '-'.
  Identifier,
  /// As Identifier, with '/' and ':' too.
  ModelName,
  /// "IP:port", the IP as a number and no wildcard, the port not 0.
  Address,
  /// A path of a file or folder.
  FilePath,
  /// A path of a URL, starting with '/'.
  UrlPath,
  /// A method of HTTP that may change something.
  Method
};

/// \returns whether \p Text has the form \p Form.
bool hasForm(const std::string &Text, TextForm Form);

/// \returns what \p Form asks for, for people.
std::string_view formRule(TextForm Form);

} // namespace ferry::config

#endif
