#include "ferryd/DescriptionHolder.h"

namespace ferry::daemon {

/// Changes that a host remembers, for operators only.
static constexpr size_t MaxHistory = 100;

Result<DescriptionContent, TakeError> readNative(const std::string &Text) {
  auto Parsed = config::tryParseDescription(Text, "description");
  if (!Parsed)
    return makeTypedError(TakeErrorKind::Unreadable,
                          Parsed.error().front().message());
  DescriptionContent Result;
  Result.Description =
      std::make_shared<const config::Description>(std::move(*Parsed));
  return Result;
}

DescriptionHolder::DescriptionHolder(HostStore &Store, DescriptionReader Read)
    : Store(Store), Read(std::move(Read)) {
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
  auto Parsed = Read(Copy.Text);
  if (!Parsed)
    return makeError(Parsed.error());
  Content = std::move(*Parsed);
  InForce = Copy;
  History.push_back(Copy);
  History.back().Text.clear();
  if (History.size() > MaxHistory)
    History.pop_front();
  return {};
}

} // namespace ferry::daemon
