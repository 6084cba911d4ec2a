#include "ferryctl/Description.h"

namespace ferry::ctl {

static constexpr int NotFound = 404;

RemoteDescription descriptionIn(const Poco::JSON::Object &Object) {
  return {{numberIn(Object, "number")},
          textIn(Object, "operation"),
          textIn(Object, "text")};
}

Result<RemoteDescription, CommandError>
tryReadDescription(const HostAccess &Access) {
  auto Answer = Access.trySend({"GET", "/v1/description", {}, "", ""});
  if (!Answer) {
    // Reading changes nothing, whatever became of it.
    Answer.error().Kind = ExitCode::Unreachable;
    return makeError(Answer.error());
  }
  if (Answer->Status == NotFound)
    return RemoteDescription();
  if (!Answer->succeeded())
    return makeTypedError(ExitCode::Refused, hostErrorOf(*Answer).Message);
  auto Object = tryParseObject(Answer->Body);
  if (!Object)
    return makeTypedError(ExitCode::InternalError, Object.error().message());
  return descriptionIn(**Object);
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
