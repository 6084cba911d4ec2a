/// \file
/// Which hosts and targets are alive, as one host knows it.
#ifndef FERRY_LIBMEMBERSHIP_MEMBERSHIP_H
#define FERRY_LIBMEMBERSHIP_MEMBERSHIP_H

#include "LibCore/Random.h"
#include "LibMembership/Events.h"
#include "LibMembership/OriginList.h"
#include "LibMembership/TargetMemory.h"
#include <optional>
#include <vector>

namespace ferry::membership {

/// Another host of the settings.
struct Peer {
  HostId Id;
  DataCentreId DataCentre;
  HostDuty Duty = HostDuty::Router;
  std::string CallerAddress = {};
};

/// Where the other hosts are known from.
enum class HostSource : uint8_t {
  /// The settings list them all.
  Listed,
  /// From seeds: hosts introduce themselves with each question, and are passed
  /// on to whoever meets their tags unknown.
  Discovered
};

/// Step machine of one host.
///
/// Each host (an origin) vouches with one heartbeat for all targets that
/// announce themselves to it. Hosts ask a few random peers in each interval;
/// the reply tells the age of each origin's heartbeat and of its oldest
/// announcement. The asker counts these ages back from the moment when it sent
/// its question, so neither a delay on the way nor a frozen host adds trust.
/// A heartbeat extends the trust in a list only if the asker's copy has all
/// its structural changes; missing changes are asked for by version.
///
/// In deployments of up to WholeTableHosts hosts all hosts exchange
/// everything. In larger ones the targets are known within their data centre
/// only, and the hosts of other data centres from an occasional exchange.
class Membership {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// A host of the same scope is silent after this.
  static constexpr Duration SilentAfter = std::chrono::seconds(3);
  /// A host of another scope is silent after this.
  static constexpr Duration FarSilentAfter = std::chrono::seconds(60);
  /// A discovered host is forgotten after this: it has been replaced, or will
  /// introduce itself again.
  static constexpr Duration ForgetAfter = std::chrono::seconds(30);

  struct Options {
    /// \returns options with the intervals that suit \p Hosts hosts.
    static Options forSize(size_t Hosts);

    HostId Self;
    DataCentreId DataCentre;
    ferry::Incarnation Incarnation;
    /// The other hosts; this one is left out if it is named.
    std::vector<Peer> Peers;
    uint64_t Seed = 1;
    Duration AskInterval = std::chrono::milliseconds(250);
    /// Peers that are asked in each interval.
    size_t Fanout = 2;
    size_t WholeTableHosts = 32;
    /// Load figures alone are passed on at most this often.
    Duration LoadInterval = std::chrono::milliseconds(500);
    HostSource Source = HostSource::Listed;
    /// How this host introduces itself, where hosts are discovered.
    HostDuty Duty = HostDuty::Router;
    std::string CallerAddress;
    /// How targets are trusted between their announcements.
    TargetTiming Targets = {};
  };

  explicit Membership(Options Settings);

  /// Takes one event at \p Now. \returns what is to be done, in order.
  std::vector<MembershipEffect> step(const MembershipEvent &Event,
                                     Timestamp Now);

  /// \returns the targets that may get new work at \p Now. The reader checks
  /// UsableUntil again at each use.
  std::vector<TargetRecord> targets(Timestamp Now) const;

  /// \returns all hosts of the settings, this one first.
  std::vector<HostState> hosts(Timestamp Now) const;

  /// \returns how many hosts, this one included, have at least \p Number in
  /// force as far as is known.
  size_t hostsInForce(DescriptionNumber Number) const;

private:
  struct Origin {
    Peer Host;
    ferry::Incarnation Incarnation;
    membership::Standing Standing = membership::Standing::Silent;
    DescriptionNumber Number;
    /// Version of the list in the newest heartbeat that came.
    uint64_t HeardVersion = 0;
    Timestamp HeardAt = NeverHeard;
    /// Whether it was silent at the last tick.
    bool KnownSilent = true;
    /// No later than the oldest announcement among the listed targets.
    Timestamp TargetsHeardAt = NeverHeard;
    /// Its changes are not asked for again before this.
    Timestamp WantAt = NeverHeard;
    /// When it is forgotten unless it is heard of; for discovered hosts.
    Timestamp ForgetAt = NeverExpires;
    OriginList List;
  };

  struct Asked {
    int64_t Number = 0;
    HostId Peer;
    Timestamp At;
  };

  using Effects = std::vector<MembershipEffect>;

  void announce(const TargetRecord &Record, Timestamp Now, Effects &Out);
  void leave(const TargetRecord &Record, Effects &Out);
  void notePassage(Timestamp Now);
  void tick(Timestamp Now, Effects &Out);
  void ageOwnTargets(Timestamp Now);
  void ageHosts(Timestamp Now);
  void reportChanges(Effects &Out);

  void ask(const HostId &To, std::vector<wire::OriginWant> Wants, Timestamp Now,
           Effects &Out);
  void askPeers(Timestamp Now, Effects &Out);
  std::optional<HostId> choosePeer();
  Origin &addPeer(const Peer &Other, Timestamp Now);
  void introduce(const wire::HostFields &Fields, Timestamp Now);
  wire::HostFields introductionOf(const Origin &Known) const;
  /// Takes a later life than the one that peers remember of this host: its
  /// clock was set back between two starts, and it keeps no disk.
  void outlive(ferry::Incarnation Remembered, Effects &Out);
  void forgetHosts(Timestamp Now);
  void receive(const MembershipReceived &Received, Timestamp Now, Effects &Out);
  void takeLeaves(const std::vector<wire::LeaveMark> &Leaves);
  void takeReply(const MembershipReceived &Received, Timestamp Now,
                 Effects &Out);
  void takeDelta(const wire::OriginDelta &Delta);
  void takeHeartbeat(const wire::OriginHeartbeat &Heartbeat, Timestamp AskedAt);
  void takeStanding(Origin &Known, const wire::OriginHeartbeat &Heartbeat);
  void takeTrust(Origin &Known, const wire::OriginHeartbeat &Heartbeat,
                 Timestamp AskedAt);
  std::optional<wire::OriginWant> wantOf(const wire::OriginHeartbeat &Heartbeat,
                                         Timestamp Now);
  void startLife(Origin &Known, ferry::Incarnation Life);
  void answer(const MembershipReceived &Received, Timestamp Now, Effects &Out);
  wire::OriginHeartbeat heartbeatOf(int32_t Tag, const Origin &Known,
                                    Timestamp Now) const;
  void addHeartbeats(const HostId &Asker, Timestamp Now,
                     std::vector<wire::OriginHeartbeat> &Out);

  bool isNear(const DataCentreId &DataCentre) const;
  Timestamp silentAt(const Origin &Known) const;
  Timestamp trustOf(const Origin &From, const ListedTarget &Listed) const;

  Options Settings;
  RandomGenerator Generator;
  int32_t OwnTag;
  /// By tag; this host's own entry included.
  std::map<int32_t, Origin> Origins;
  std::vector<int32_t> NearTags;
  std::vector<int32_t> FarTags;
  /// Tags in replies that stand for hosts that this one has not met.
  std::vector<int32_t> UnknownTags;
  TargetMemory Memory;
  std::map<TargetId, Timestamp> LoadPublishedAt;
  std::vector<Asked> Questions;
  int64_t NextQuestion;
  Timestamp AskAt;
  std::optional<Timestamp> LastStep;
  /// The last step before the newest stall. Until DistrustUntil announcements
  /// count from then: they may have waited in a buffer since.
  Timestamp StalledSince;
  Timestamp DistrustUntil;
  std::optional<LocalConfirmed> Confirmed;
  bool TargetsMoved = false;
  bool HostsMoved = false;
};

/// \returns the tag that stands for \p Host in heartbeats.
int32_t tagOf(const HostId &Host);

} // namespace ferry::membership

#endif
