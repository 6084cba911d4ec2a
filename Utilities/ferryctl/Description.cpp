#include "ferryctl/Description.h"
#include "LibCore/ParseNumber.h"
#include <optional>

namespace ferry::ctl {

static constexpr int NotFound = 404;

/// \returns the number in an entity tag, as in "\"12\"".
static std::optional<DescriptionNumber>
numberInTag(const std::string &EntityTag) {
  if (EntityTag.size() < 3)
    return std::nullopt;
  auto Number = parseNumber<uint64_t>(
      std::string_view(EntityTag).substr(1, EntityTag.size() - 2));
  if (!Number)
    return std::nullopt;
  return DescriptionNumber{*Number};
}

Result<RemoteDescription, CommandError>
tryReadDescription(const HostAccess &Access) {
  auto Answer = Access.trySend({"GET", "/v1/description", {}, "", ""});
  if (!Answer) {
    // Reading changes nothing, so an unknown outcome needs no care.
    Answer.error().Kind = ExitCode::Unreachable;
    return makeError(Answer.error());
  }
  if (Answer->Status == NotFound)
    return RemoteDescription();
  if (!Answer->succeeded())
    return makeTypedError(ExitCode::Refused, hostErrorOf(*Answer).Message);
  auto Number = numberInTag(Answer->EntityTag);
  if (!Number)
    return makeTypedError(ExitCode::InternalError,
                          "the answer has no description number in its ETag");
  return RemoteDescription{*Number, std::move(Answer->Operation),
                           std::move(Answer->Body)};
}

Result<Spread, CommandError> tryReadSpread(const HostAccess &Access,
                                           DescriptionNumber Number) {
  auto Object = Access.tryGetObject("/v1/description/spread?number=" +
                                    std::to_string(Number.Value));
  if (!Object)
    return makeError(Object.error());
  return Spread{{numberIn(**Object, "number")},
                numberIn(**Object, "hosts_in_force"),
                numberIn(**Object, "hosts_known")};
}

} // namespace ferry::ctl
