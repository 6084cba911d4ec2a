#include "ferryd/DescriptionHolder.h"

namespace ferry::daemon {

/// Changes that a host remembers, for operators only.
static constexpr size_t MaxHistory = 100;

DescriptionHolder::DescriptionHolder(HostStore &Store) : Store(Store) {
  wire::DescriptionCopy Stored = Store.description();
  if (Stored.Number > 0)
    (void)tryParse(Stored);
}

DescriptionNumber DescriptionHolder::number() const {
  return {static_cast<uint64_t>(InForce.Number)};
}

Result<void, TakeError>
DescriptionHolder::tryTake(const wire::DescriptionCopy &Copy) {
  if (Copy.Number <= InForce.Number)
    return makeTypedError(TakeErrorKind::NotNewer, std::to_string(Copy.Number));
  // Stored first: after a restart the host never goes back behind it.
  auto Stored = Store.tryStoreDescription(Copy);
  if (!Stored)
    return makeTypedError(TakeErrorKind::Storage, Stored.error().message());
  return tryParse(Copy);
}

Result<void, TakeError>
DescriptionHolder::tryParse(const wire::DescriptionCopy &Copy) {
  auto Read = config::tryParseDescription(Copy.Text, "description");
  if (!Read)
    return makeTypedError(TakeErrorKind::Unreadable,
                          Read.error().front().message());
  Parsed = std::make_shared<const config::Description>(std::move(*Read));
  InForce = Copy;
  History.push_back(Copy);
  History.back().Text.clear();
  if (History.size() > MaxHistory)
    History.pop_front();
  return {};
}

} // namespace ferry::daemon
