/// \file
/// Tracks which hosts and targets are alive, as one host knows it.
#ifndef FERRY_LIBMEMBERSHIP_MEMBERSHIP_H
#define FERRY_LIBMEMBERSHIP_MEMBERSHIP_H

#include "LibCore/LeaveLedger.h"
#include "LibCore/Random.h"
#include "LibMembership/Events.h"
#include "LibMembership/OriginList.h"
#include "LibMembership/TargetMemory.h"
#include <optional>
#include <vector>

namespace ferry::membership {

/// Another host, from the settings or from its introduction.
struct Peer {
  HostId Id;
  DataCentreId DataCentre;
  HostDuty Duty = HostDuty::Router;
  std::string CallerAddress = {};
};

/// How a host learns of the other hosts.
enum class HostSource : uint8_t {
  /// The settings list them all.
  Listed,
  /// Hosts are found from seeds. Each query introduces its sender, and a host
  /// asks for the introductions of tags that it does not know.
  Discovered
};

/// Gossip membership of one host. A state machine without I/O: step() takes
/// events and returns effects.
///
/// Each host is the origin of a list of the targets that announce themselves to
/// it, and one heartbeat covers the whole list. Hosts query a few random peers
/// in each interval. The reply contains the age of each origin's heartbeat and
/// of the oldest announcement in its list. The receiver subtracts these ages
/// from the time when it sent its query, so that neither a delay in the network
/// nor a frozen host extends the trust. A heartbeat extends the trust in a list
/// only if the receiver's copy has all structural changes of the list; missing
/// changes are requested by version.
///
/// A leave is announced to the near hosts at once, and recorded in the log.
/// Each query names the newest recorded leave that its sender knows, and the
/// reply has the next ones, so that a host that restarted or missed the
/// announcement learns them from any other.
///
/// In deployments of up to MaxFullExchangeHosts hosts all hosts exchange
/// everything. In larger ones the targets are known within their data centre
/// only, and the hosts of other data centres are known from occasional
/// exchanges.
class Membership {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// A near host, see isNear(), is silent this long after its last heartbeat.
  static constexpr Duration SilentAfter = std::chrono::seconds(3);
  /// A far host is silent this long after its last heartbeat.
  static constexpr Duration FarSilentAfter = std::chrono::seconds(60);
  /// A discovered host is forgotten this long after its last heartbeat: it has
  /// been replaced, or it will introduce itself again.
  static constexpr Duration ForgetAfter = std::chrono::seconds(30);
  /// A leave may arrive this long after the next incarnation of its target
  /// announced itself, if a partition held it up.
  static constexpr Duration LeaveDelay = std::chrono::seconds(30);

  struct Options {
    /// \returns options with the intervals that suit \p Hosts hosts.
    static Options forSize(size_t Hosts);

    HostId Self;
    DataCentreId DataCentre;
    ferry::Incarnation Incarnation;
    /// The other hosts; this host itself is skipped.
    std::vector<Peer> Peers;
    uint64_t Seed = 1;
    Duration GossipInterval = std::chrono::milliseconds(250);
    /// Peers that are queried in each interval.
    size_t Fanout = 2;
    size_t MaxFullExchangeHosts = 32;
    /// A change of load figures alone is published at most once per interval.
    Duration LoadInterval = std::chrono::milliseconds(500);
    HostSource Source = HostSource::Listed;
    /// What this host states in its introductions, with HostSource::Discovered.
    HostDuty Duty = HostDuty::Router;
    std::string CallerAddress;
    /// How targets are trusted between their announcements.
    TargetTiming Targets = {};
  };

  explicit Membership(Options Settings);

  /// Handles one event at \p Now. \returns the effects to carry out, in order.
  std::vector<MembershipEffect> step(const MembershipEvent &Event,
                                     Timestamp Now);

  /// \returns the targets that may get new work at \p Now. Callers check
  /// UsableUntil again at each use.
  std::vector<TargetRecord> targets(Timestamp Now) const;

  /// \returns the incarnation that leaves by \p Record: that of the record, or
  /// the newest known one if the record has none. Nothing if none is known, or
  /// if the one before may be meant.
  std::optional<ferry::Incarnation>
  leavingIncarnation(const TargetRecord &Record, Timestamp Now) const;

  /// \returns the newest incarnation of \p Target that is known, or 0.
  ferry::Incarnation newestIncarnation(const TargetId &Target) const {
    return std::max(Memory.greatest(Target), Recorded.left(Target));
  }
  /// \returns the recorded leaves that this host knows.
  const LeaveLedger &recordedLeaves() const { return Recorded; }

  /// \returns all known hosts, this one first.
  std::vector<HostState> hosts(Timestamp Now) const;

  /// \returns the number of hosts, including this one, that are known to have
  /// at least \p Number in force.
  size_t hostsInForce(DescriptionNumber Number) const;

private:
  struct Origin {
    Peer Host;
    ferry::Incarnation Incarnation;
    membership::Standing Standing = membership::Standing::Silent;
    DescriptionNumber Number;
    /// Version of the list in the newest heartbeat received.
    uint64_t HeartbeatVersion = 0;
    Timestamp HeartbeatAt = DistantPast;
    /// Whether it was silent at the last tick.
    bool WasSilent = true;
    /// Lower bound for the times of the last announcements of the listed
    /// targets that are not late.
    Timestamp OldestAnnouncementAt = DistantPast;
    /// Missing changes of the list are not requested again before this.
    Timestamp NextDeltaRequestAt = DistantPast;
    /// When a discovered host is forgotten, unless a newer heartbeat arrives.
    Timestamp ForgetAt = NeverExpires;
    OriginList List;
  };

  struct PendingQuery {
    int64_t Number = 0;
    HostId Peer;
    Timestamp SentAt;
  };

  using Effects = std::vector<MembershipEffect>;

  void handleAnnouncement(const TargetRecord &Record, Timestamp Now,
                          Effects &Out);
  void handleLeavingTarget(const TargetRecord &Record, Timestamp Now,
                           Effects &Out);
  void handleNoticedLeave(const TargetLeaveNoticed &Noticed, Effects &Out);
  void recordSeen(const TargetId &Target, ferry::Incarnation Seen,
                  Timestamp Now);
  void addRecordedLeaves(const std::vector<RecordedLeave> &Leaves);
  bool hasEnded(const TargetId &Target, ferry::Incarnation Candidate) const {
    return Memory.hasEnded(Target, Candidate) ||
           Recorded.hasLeft(Target, Candidate);
  }
  /// Removes the incarnation, which has left. \returns whether this is new.
  bool recordLeave(const TargetId &Target, ferry::Incarnation Left);
  void sendLeaveMark(const TargetId &Target, ferry::Incarnation Left,
                     const HostId &To, Effects &Out) const;
  void detectStall(Timestamp Now);
  void tick(Timestamp Now, Effects &Out);
  void ageOwnTargets(Timestamp Now);
  void ageHosts(Timestamp Now);
  void reportChanges(Effects &Out);

  void sendQuery(const HostId &To, std::vector<wire::OriginWant> Wants,
                 Timestamp Now, Effects &Out);
  void queryPeers(Timestamp Now, Effects &Out);
  std::optional<HostId> choosePeer();
  Origin &addPeer(const Peer &Other, Timestamp Now);
  /// Divides the known hosts into near and far ones.
  void divideHosts();
  void handleIntroduction(const wire::HostFields &Fields, Timestamp Now);
  wire::HostFields introductionOf(const Origin &Subject) const;
  /// Raises this host's incarnation above the one that a peer remembers. A host
  /// without a disk takes its incarnation from the clock, which may have been
  /// set back between two starts.
  void raiseIncarnation(ferry::Incarnation Remembered, Effects &Out);
  void forgetHosts(Timestamp Now);
  void handleMessage(const MembershipReceived &Received, Timestamp Now,
                     Effects &Out);
  void handleLeaveMarks(const HostId &From,
                        const std::vector<wire::LeaveMark> &Leaves,
                        Effects &Out);
  void handleReply(const MembershipReceived &Received, Timestamp Now,
                   Effects &Out);
  /// \returns whether the sender has further recorded leaves.
  bool applyLeaves(const wire::MembershipReply &Reply);
  void addLeaves(uint64_t After, wire::MembershipReply &Reply) const;
  void applyDelta(const wire::OriginDelta &Delta, Timestamp Now);
  void applyHeartbeat(const wire::OriginHeartbeat &Heartbeat,
                      Timestamp QuerySentAt);
  void updateStanding(Origin &Remote, const wire::OriginHeartbeat &Heartbeat);
  void updateTrust(Origin &Remote, const wire::OriginHeartbeat &Heartbeat,
                   Timestamp QuerySentAt);
  std::optional<wire::OriginWant>
  deltaRequestFor(const wire::OriginHeartbeat &Heartbeat, Timestamp Now);
  void startIncarnation(Origin &Remote, ferry::Incarnation NewIncarnation);
  void sendReply(const MembershipReceived &Received, Timestamp Now,
                 Effects &Out);
  wire::OriginHeartbeat heartbeatOf(int32_t Tag, const Origin &Subject,
                                    Timestamp Now) const;
  void addHeartbeats(const HostId &Asker, Timestamp Now,
                     std::vector<wire::OriginHeartbeat> &Out);

  /// \returns whether \p Other is near, which means that this host follows its
  /// list of targets: any host of a small deployment; in a large one, those of
  /// the same data centre and, if hosts are discovered, the control hosts.
  bool isNear(const Peer &Other) const;
  Timestamp silentAt(const Origin &Subject) const;
  Timestamp trustedUntil(const Origin &From, const ListedTarget &Listed) const;

  Options Settings;
  RandomGenerator Generator;
  int32_t OwnTag;
  /// By tag; includes this host's own.
  std::map<int32_t, Origin> Origins;
  std::vector<int32_t> NearTags;
  std::vector<int32_t> FarTags;
  /// Tags in replies that stand for hosts unknown to this one.
  std::vector<int32_t> UnknownTags;
  TargetMemory Memory;
  LeaveLedger Recorded;
  std::map<TargetId, Timestamp> LoadPublishedAt;
  std::vector<PendingQuery> PendingQueries;
  int64_t NextQueryNumber;
  Timestamp NextQueryAt;
  std::optional<Timestamp> LastStep;
  /// Time of the last step before the newest stall. Announcements that arrive
  /// before BackdateUntil count from this time, because they may have waited in
  /// a buffer since then.
  Timestamp StalledSince;
  Timestamp BackdateUntil;
  std::optional<LocalConfirmed> Confirmed;
  bool TargetsDirty = false;
  bool HostsDirty = false;
};

/// \returns the tag that identifies \p Host in heartbeats.
int32_t tagOf(const HostId &Host);

} // namespace ferry::membership

#endif
