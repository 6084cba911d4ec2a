/// \file
/// The common shape of errors: a kind from an enum with a table of names, and
/// a detail for people.
#ifndef FERRY_LIBCORE_ERROR_H
#define FERRY_LIBCORE_ERROR_H

#include "LibCore/EnumNames.h"
#include "LibCore/Result.h"
#include <string>

namespace ferry {

/// An error of kind \p KindType. The kind decides what a caller does; the
/// detail only explains.
template <typename KindType> struct TypedError {
  KindType Kind;
  std::string Detail;

  /// \returns "kind: detail", for logs.
  std::string message() const {
    std::string Text(enumName(Kind));
    if (!Detail.empty())
      Text.append(": ").append(Detail);
    return Text;
  }
};

/// Makes the error side of a Result with a TypedError.
template <typename KindType>
tl::unexpected<TypedError<KindType>> makeTypedError(KindType Kind,
                                                    std::string Detail = {}) {
  return tl::unexpected<TypedError<KindType>>({Kind, std::move(Detail)});
}

} // namespace ferry

#endif
