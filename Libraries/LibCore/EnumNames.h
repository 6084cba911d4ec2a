/// \file
/// Tables of the names of enumerators, used in logs, dumps, JSON and YAML.
#ifndef FERRY_LIBCORE_ENUMNAMES_H
#define FERRY_LIBCORE_ENUMNAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace ferry {

/// One row of a table: an enumerator and its name.
template <typename EnumType> struct EnumName {
  EnumType Value;
  std::string_view Name;
};

/// The table of an enum. Specialise with `static constexpr EnumName<E> Table[]
/// = {...}`.
template <typename EnumType> struct EnumNames;

/// \returns the name of \p Value, or "unknown" for a value outside the table.
template <typename EnumType>
constexpr std::string_view enumName(EnumType Value) {
  for (const auto &Row : EnumNames<EnumType>::Table)
    if (Row.Value == Value)
      return Row.Name;
  return "unknown";
}

/// \returns the enumerator named \p Name, or nothing if there is none.
template <typename EnumType>
constexpr std::optional<EnumType> enumFromName(std::string_view Name) {
  for (const auto &Row : EnumNames<EnumType>::Table)
    if (Row.Name == Name)
      return Row.Value;
  return std::nullopt;
}

} // namespace ferry

#endif
