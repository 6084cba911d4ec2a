/// \file
/// Comparison of secrets.
#ifndef FERRY_LIBCORE_CONSTANTTIME_H
#define FERRY_LIBCORE_CONSTANTTIME_H

#include <string_view>

namespace ferry {

/// Compares in a time that depends on the length of \p Shown only, so that it
/// tells nothing of where the texts differ.
/// \returns whether both are equal.
bool equalInConstantTime(std::string_view Shown, std::string_view Expected);

} // namespace ferry

#endif
