/// \file
/// Messages between routers about the builds that began streams.
#ifndef FERRY_FERRYD_STREAMEXCHANGE_H
#define FERRY_FERRYD_STREAMEXCHANGE_H

#include "LibCore/ControlLoop.h"
#include "LibRouting/StreamBuilds.h"
#include "LibWire/Generated/Routing_types.h"
#include "ferryd/HostLink.h"
#include <functional>
#include <map>

namespace ferry::daemon {

/// Sends what StreamLookups decides. Used on the control thread.
class StreamExchange {
public:
  struct Hooks {
    /// \returns the other routers that are not silent.
    std::function<std::vector<HostId>()> OtherRouters;
    /// Remembers a stream that another router has begun.
    std::function<void(const routing::BegunStream &)> Note;
    /// \returns the build of a stream that this router remembers.
    std::function<std::optional<BuildId>(routing::StreamKey)> Find;
  };
  using Callback = std::function<void(std::optional<BuildId>)>;

  StreamExchange(HostLink &Link, ControlLoop &Loop, Hooks Callbacks)
      : Link(Link), Loop(Loop), Callbacks(std::move(Callbacks)) {}

  /// Tells other routers of a stream that this router begins to relay.
  void tell(const routing::BegunStream &Stream);

  /// Asks other routers for the build of a stream.
  /// \param Done called once, at \p Deadline at the latest.
  void ask(routing::StreamKey Key, Timestamp Deadline, Callback Done);

  void receive(const HostId &From, const wire::StreamMessage &Message);

private:
  void finish(const routing::StreamLookups::Finished &End);

  HostLink &Link;
  ControlLoop &Loop;
  Hooks Callbacks;
  routing::StreamLookups Lookups;
  std::map<uint64_t, Callback> Waiting;
};

} // namespace ferry::daemon

#endif
