#include "ferryd/DescriptionHolder.h"
#include "LibWire/Packing.h"

namespace ferry::daemon {

/// Entries of the history, which only operators read.
static constexpr size_t MaxHistory = 100;

Result<DescriptionContent, ApplyError>
readNativeDescription(const std::string &Text) {
  auto Parsed = config::tryParseDescription(Text, "description");
  if (!Parsed)
    return makeTypedError(ApplyErrorKind::Unreadable,
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

DescriptionNumber DescriptionHolder::sharedCacheSince() const {
  return {static_cast<uint64_t>(InForce.SharedCacheSince)};
}

const std::string &DescriptionHolder::packedText() {
  if (PackedText.empty())
    PackedText = wire::packText(InForce.Text);
  return PackedText;
}

Result<void, ApplyError>
DescriptionHolder::tryApply(const wire::DescriptionCopy &Copy) {
  if (Copy.Number <= InForce.Number)
    return makeTypedError(ApplyErrorKind::NotNewer,
                          std::to_string(Copy.Number));
  // Stored first, so that a restart never goes back to an earlier description.
  auto Stored = Store.tryStoreDescription(Copy);
  if (!Stored)
    return makeTypedError(ApplyErrorKind::Storage, Stored.error().message());
  return tryParse(Copy);
}

Result<void, ApplyError>
DescriptionHolder::tryParse(const wire::DescriptionCopy &Copy) {
  auto Parsed = Read(Copy.Text);
  if (!Parsed)
    return makeError(Parsed.error());
  Content = std::move(*Parsed);
  InForce = Copy;
  PackedText.clear();
  History.push_back({number(), Copy.Operation});
  if (History.size() > MaxHistory)
    History.pop_front();
  return {};
}

} // namespace ferry::daemon
