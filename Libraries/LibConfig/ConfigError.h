/// \file
/// Errors in settings or descriptions, with their positions.
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

/// One error in a text. Line and column count from 1; they are 0 if the error
/// has no position.
struct ConfigError {
  ConfigErrorKind Kind;
  std::string File;
  uint32_t Line = 0;
  uint32_t Column = 0;
  std::string Detail;

  /// \returns "file:line:column: kind: detail".
  std::string message() const;
};

/// All errors of one text, ordered by line and column.
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
