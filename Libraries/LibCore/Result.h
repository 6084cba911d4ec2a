/// \file
/// The result type of functions that can fail.
#ifndef FERRY_LIBCORE_RESULT_H
#define FERRY_LIBCORE_RESULT_H

#include <tl/expected.hpp>

namespace ferry {

/// A value or a typed error. Errors are structs or enums of the library that
/// returns them, never bare strings.
template <typename ValueType, typename ErrorType>
using Result = tl::expected<ValueType, ErrorType>;

/// \returns the error of a Result that fails with \p Failure.
template <typename ErrorType> auto makeError(ErrorType Failure) {
  return tl::unexpected<ErrorType>(std::move(Failure));
}

} // namespace ferry

#endif
