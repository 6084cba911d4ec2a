/// \file
/// Helper to visit a std::variant with a set of lambdas.
#ifndef FERRY_LIBCORE_VISIT_H
#define FERRY_LIBCORE_VISIT_H

#include <utility>
#include <variant>

namespace ferry {

/// Combines lambdas into one visitor.
template <typename... CallableTypes> struct Overloaded : CallableTypes... {
  using CallableTypes::operator()...;
};
template <typename... CallableTypes>
Overloaded(CallableTypes...) -> Overloaded<CallableTypes...>;

/// Visits \p Variant with the lambda that fits its alternative.
template <typename VariantType, typename... CallableTypes>
decltype(auto) match(VariantType &&Variant, CallableTypes &&...Callables) {
  return std::visit(Overloaded{std::forward<CallableTypes>(Callables)...},
                    std::forward<VariantType>(Variant));
}

} // namespace ferry

#endif
