/// \file
/// Parses whole numbers.
#ifndef FERRY_LIBCORE_PARSENUMBER_H
#define FERRY_LIBCORE_PARSENUMBER_H

#include <charconv>
#include <optional>
#include <string_view>

namespace ferry {

/// Parses all of \p Text as a number in base \p Base.
/// \returns the number; nothing if \p Text is empty, has any other character
/// (white space and a plus sign included) or does not fit into \p NumberType.
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
