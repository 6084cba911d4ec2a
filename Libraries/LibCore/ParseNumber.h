/// \file
/// Whole numbers in text.
#ifndef FERRY_LIBCORE_PARSENUMBER_H
#define FERRY_LIBCORE_PARSENUMBER_H

#include <charconv>
#include <optional>
#include <string_view>

namespace ferry {

/// Reads a number that is the whole of \p Text, in base \p Base.
/// \returns nothing if \p Text is empty, holds anything else (white space and a
/// plus sign included) or does not fit into \p NumberType.
template <typename NumberType>
std::optional<NumberType> parseNumber(std::string_view Text, int Base = 10) {
  NumberType Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Number, Base);
  if (Code != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

} // namespace ferry

#endif
