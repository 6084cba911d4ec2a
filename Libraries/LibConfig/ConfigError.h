/// \file
/// Errors of a settings file or a description, with their places.
#ifndef FERRY_LIBCONFIG_CONFIGERROR_H
#define FERRY_LIBCONFIG_CONFIGERROR_H

#include "LibCore/EnumNames.h"
#include <cstdint>
#include <string>
#include <vector>

namespace ferry::config {

enum class ConfigErrorKind : uint8_t {
  Unreadable,
  TooLarge,
  BadSyntax,
  UnknownKey,
  MissingKey,
  WrongType,
  BadValue,
  Duplicate,
  DanglingReference,
  DependencyCycle
};

/// One fault at one place of a text; line and column count from 1, 0 if none.
struct ConfigError {
  ConfigErrorKind Kind;
  std::string File;
  uint32_t Line = 0;
  uint32_t Column = 0;
  std::string Detail;

  /// \returns "file:line:column: kind: detail".
  std::string message() const;
};

/// All faults of one text, in the order of their places.
using ConfigErrors = std::vector<ConfigError>;

} // namespace ferry::config

namespace ferry {

template <> struct EnumNames<config::ConfigErrorKind> {
  using Kind = config::ConfigErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::Unreadable, "unreadable"},
      {Kind::TooLarge, "too_large"},
      {Kind::BadSyntax, "bad_syntax"},
      {Kind::UnknownKey, "unknown_key"},
      {Kind::MissingKey, "missing_key"},
      {Kind::WrongType, "wrong_type"},
      {Kind::BadValue, "bad_value"},
      {Kind::Duplicate, "duplicate"},
      {Kind::DanglingReference, "dangling_reference"},
      {Kind::DependencyCycle, "dependency_cycle"}};
};

} // namespace ferry

#endif
