/// \file
/// The common form of errors: a kind from an enum with a table of names, and a
/// detail for people.
#ifndef FERRY_LIBCORE_ERROR_H
#define FERRY_LIBCORE_ERROR_H

#include "LibCore/EnumNames.h"
#include "LibCore/Result.h"
#include <string>

namespace ferry {

/// An error whose kind is a \p KindType. Callers act on the kind; the detail is
/// for people only.
template <typename KindType> struct TypedError {
  KindType Kind;
  std::string Detail;

  /// \returns "kind: detail" for logs, or the kind alone if there is no detail.
  std::string message() const {
    std::string Text(enumName(Kind));
    if (!Detail.empty())
      Text.append(": ").append(Detail);
    return Text;
  }
};

/// \returns the error of a Result that fails with a TypedError.
template <typename KindType>
tl::unexpected<TypedError<KindType>> makeTypedError(KindType Kind,
                                                    std::string Detail = {}) {
  return tl::unexpected<TypedError<KindType>>({Kind, std::move(Detail)});
}

} // namespace ferry

#endif
