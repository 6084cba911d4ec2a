/// \file
/// Comparison of secrets without a timing side channel.
#ifndef FERRY_LIBCORE_CONSTANTTIME_H
#define FERRY_LIBCORE_CONSTANTTIME_H

#include <string_view>

namespace ferry {

/// Compares a secret that a peer or caller presented with the expected one. The
/// time depends only on the length of \p Presented, so it does not reveal where
/// the texts differ.
/// \returns whether both are equal.
bool equalInConstantTime(std::string_view Presented, std::string_view Expected);

} // namespace ferry

#endif
