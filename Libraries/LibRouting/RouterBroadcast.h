/// \file
/// Which routers get a message of a control host from it, and from each other.
#ifndef FERRY_LIBROUTING_ROUTERBROADCAST_H
#define FERRY_LIBROUTING_ROUTERBROADCAST_H

#include "LibRouting/WorkExchange.h"
#include <cstdint>
#include <vector>

namespace ferry::routing {

/// Which routers of a group are its relays.
enum class RelayChoice : uint8_t {
  /// The first ones, so that messages keep their order.
  Fixed,
  /// All take turns. Suits messages that are repeated: it takes long until a
  /// relay that has ended is called silent.
  InTurn
};

/// The spread of one kind of message from a control host to all routers. Owns
/// no clock, thread or socket; callers serialise all calls.
///
/// Answers the load of some messages a second to a fleet of hundreds, which one
/// host can't send to each router. Of more than WorkExchange::MaxDirectRouters,
/// RelayCount of each group get the message with the list of the others, and
/// pass it on to these. Relays know the routers from the list alone, as hosts
/// disagree on which others are silent.
class RouterBroadcast {
public:
  explicit RouterBroadcast(RelayChoice Choice) : Choice(Choice) {}

  static constexpr size_t RelayCount = 2;

  struct KnownRouter {
    WorkExchange::Router Router;
    /// Whether the sender believes that it doesn't run; that may be wrong.
    bool IsSilent = false;
  };

  struct Receiver {
    HostId To;
    /// The routers to pass the message on to.
    std::vector<HostId> PassOnTo;
  };

  /// \param Known all known routers, silent ones included.
  /// \returns the routers to send the next message to.
  std::vector<Receiver> receivers(const std::vector<KnownRouter> &Known);

private:
  RelayChoice Choice;
  size_t NextRelay = 0;
};

} // namespace ferry::routing

#endif
