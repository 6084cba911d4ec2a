/// \file
/// Which routers tell each other about the targets' work.
#ifndef FERRY_LIBROUTING_WORKEXCHANGE_H
#define FERRY_LIBROUTING_WORKEXCHANGE_H

#include "LibRouting/RoutedCall.h"
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace ferry::routing {

/// The exchange of work digests as one router sees it. Owns no clock, thread or
/// socket; callers serialise all calls.
///
/// Answers the load of a large fleet, in which each router sends to each target
/// a small part of its work. Few routers send their digests to all others. Of
/// more, those of a data centre form groups of at most MaxGroupRouters. The
/// first router of a group, its relay, adds up the digests of the group, sends
/// the sum to the relays of the other groups, and the sum of everything to the
/// members. So a router sends and receives one digest in an interval, and a
/// relay as many as its group and the number of groups have, however many
/// routers there are. While a relay is down, its members count only their own
/// work until membership calls it silent.
class WorkExchange {
public:
  /// Up to this many routers send their digests to all others.
  static constexpr size_t MaxDirectRouters = 16;
  static constexpr size_t MaxGroupRouters = 16;
  /// Shortest time between two digests. Prompts that are long enough for
  /// placement to matter take longer than this to read.
  static constexpr Duration DirectInterval = std::chrono::milliseconds(40);
  /// Time between two digests in groups. A digest passes two relays, so that
  /// its age stays below half a second.
  static constexpr Duration GroupInterval = std::chrono::milliseconds(150);
  /// The same where targets are divided between long and short prompts: long
  /// ones meet on fewer targets, so that a router has to hear sooner of those
  /// that others have sent. Shorter intervals fill the links of the relays.
  static constexpr Duration ShortGroupInterval = std::chrono::milliseconds(75);
  /// An unchanged digest is sent again after this, in case the last one was
  /// lost.
  static constexpr Duration ResendInterval = std::chrono::milliseconds(400);
  /// A digest that is not replaced counts for this long.
  static constexpr Duration DigestLifetime = std::chrono::milliseconds(1000);
  /// Largest number of parts in one digest.
  static constexpr size_t MaxParts = 256;

  struct Router {
    HostId Id;
    DataCentreId DataCentre;
    auto operator<=>(const Router &) const = default;
  };

  struct Message {
    HostId To;
    WorkDigest Digest;
  };

  explicit WorkExchange(Router Self) : Self(std::move(Self)) {}

  /// Sets the routers that are not silent; this one may be among them.
  void setRouters(std::vector<Router> Live);

  /// \returns the groups of \p Live, each with its relay first.
  static std::vector<std::vector<HostId>> groupsOf(std::vector<Router> Live);

  /// \returns the other routers of this router's group; none if all routers
  /// send to all others.
  const std::set<HostId> &groupPeers() const { return GroupPeers; }

  /// Takes in a digest of router \p From.
  /// \returns whether the placement has to count it.
  bool receive(const HostId &From, const WorkDigest &Digest, Timestamp Now);

  /// \param Own the work of this router.
  /// \returns the digests that are due at \p Now.
  std::vector<Message> send(const WorkDigest &Own, Timestamp Now);

  /// \param DividesTargets whether a service's targets are divided between
  /// long and short prompts.
  /// \returns the time until send() is due again.
  Duration interval(bool DividesTargets = false) const;

private:
  struct Received {
    WorkDigest Digest;
    Timestamp ExpiresAt;
  };
  using ReceivedDigests = std::map<HostId, Received>;

  bool isRelay() const { return GroupRelay == Self.Id; }
  bool isDue(const WorkDigest &Own, Timestamp Now);
  std::vector<Message> sendAsRelay(const WorkDigest &Own, Timestamp Now);
  static void expire(ReceivedDigests &Digests, Timestamp Now);

  Router Self;
  std::vector<HostId> Others;
  bool Grouped = false;
  /// The relay of this router's group, the other routers of the group, and the
  /// relays of the other groups.
  HostId GroupRelay;
  std::set<HostId> GroupPeers;
  std::set<HostId> OtherRelays;
  /// For a relay: the digests of its members, and the sums of other groups.
  ReceivedDigests MemberWork;
  ReceivedDigests GroupWork;
  std::vector<TargetWork> LastSentWork;
  Timestamp ResendAt;
};

} // namespace ferry::routing

#endif
