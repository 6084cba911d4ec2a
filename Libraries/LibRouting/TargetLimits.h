/// \file
/// The limits that targets in need name for all routers together.
#ifndef FERRY_LIBROUTING_TARGETLIMITS_H
#define FERRY_LIBROUTING_TARGETLIMITS_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace ferry::routing {

/// What a target's answer said of its limits, as routers tell each other.
struct TargetLimit {
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// Requests a second from all routers; nothing if the limit has ended.
  std::optional<double> PerSecond;
  /// When the answer was received.
  Timestamp ObservedAt;
  /// Requests a second that the target can reject for want of room without
  /// crashing; nothing if it is not brittle.
  std::optional<double> RejectionsPerSecond = std::nullopt;

  bool named() const { return PerSecond || RejectionsPerSecond; }
};

/// What one router knows of the room at a target.
struct TargetRoom {
  /// Requests that use this router's slots there: its own, without those on
  /// slots of other routers, and those to which it lends one.
  uint32_t Running = 0;
  /// Requests that the target runs concurrently; 0 if it is unknown.
  uint32_t Slots = 0;
};

/// A change of what a router believes of a limit, for its log.
struct LimitChange {
  enum class Kind : uint8_t { Named, Told, Ended };
  Kind What = Kind::Named;
  TargetLimit Limit;
};

/// The limits as one router sees them. Owns no clock; callers serialise all
/// calls.
///
/// There are two kinds: a rate, and the rejections that a brittle target
/// survives.
///
/// Answers the load of a large fleet in front of a target that takes few
/// requests a second: an equal share of each router would be far below one. So
/// few routers send to the target, one for each RequestsPerSender a second; the
/// others send none. All routers choose the same ones by rendezvous hashing.
/// Each answer renews
/// the limit, and one without it, to a request that was sent under it, ends it.
/// The router that saw a change tells the others.
///
/// Answers also the load of more callers than brittle targets have room for: a
/// target that crashes moves its load to the next one. All routers together
/// keep no more requests at a brittle target than it runs at a time, so that
/// it has to reject none. Its slots are dealt evenly among the routers, without
/// messages; rendezvous hashing chooses those that get one more, or one at all
/// where there are fewer slots than routers. A router without a free one
/// borrows it for a request (SlotLoans).
class TargetLimits {
public:
  /// Number of targets that are remembered; those whose limits were seen least
  /// recently are dropped first.
  static constexpr size_t MaxTargets = 1024;
  /// How long the end of a limit is told.
  static constexpr Duration EndLifetime = std::chrono::seconds(60);
  /// A limit that no answer has renewed for this long is forgotten: its target
  /// has ended, or nobody calls the service.
  static constexpr Duration Lifetime = std::chrono::minutes(10);
  /// The rate of one router that sends, if there are enough routers. A router
  /// may send one request ahead of its rate, so that in four seconds all send
  /// five times the limit at most; views that differ may add to that.
  static constexpr double RequestsPerSender = 2;
  /// A limit of none or nearly none still gets a request in this time: only an
  /// answer can tell that it has ended.
  static constexpr Duration LongestSpacing = std::chrono::seconds(10);
  /// A change smaller than this share is not told.
  static constexpr double ToldChange = 0.02;
  /// Answers that routers see within this time are not ordered by it: the
  /// messages between routers take some of it.
  static constexpr Duration OrderSlack = std::chrono::milliseconds(50);

  /// Sets the routers that serve, this one included.
  void setRouters(const HostId &Self, const std::vector<HostId> &Serving,
                  Timestamp Now);

  /// Notes what an answer to a request sent at \p SentAt says.
  /// \param PerSecond the limit that it names, if any.
  /// \param RejectionsPerSecond the rejections that it survives, if it is
  /// brittle.
  void noteAnswer(const TargetId &Target, Incarnation Current,
                  std::optional<double> PerSecond, Timestamp SentAt,
                  Timestamp Now,
                  std::optional<double> RejectionsPerSecond = std::nullopt);

  bool isLimited(const TargetId &Target, Incarnation Current) const;

  /// \returns from when this router may send the next request to the target; a
  /// time before \p Now if no limit is known, NeverExpires if only others may.
  Timestamp openFrom(const TargetId &Target, Incarnation Current,
                     Timestamp Now) const;

  /// Counts a request that is sent to the target.
  void noteSent(const TargetId &Target, Incarnation Current, Timestamp Now);

  bool isBrittle(const TargetId &Target, Incarnation Current) const;

  /// \returns how many of this router's slots of a brittle target are free; no
  /// bound if the target does not say how many it has.
  uint32_t freeSlots(const TargetId &Target, const TargetRoom &Room) const;

  /// \returns whether the requests on this router's slots of a brittle target
  /// are more than these: they were placed before the target was known to be
  /// brittle.
  bool exceedsSlots(const TargetId &Target, const TargetRoom &Room) const;

  /// \returns the other routers that have slots of a brittle target.
  std::vector<HostId> otherHolders(const TargetId &Target,
                                   uint32_t Slots) const;

  /// Grows with each change of a limit.
  uint64_t revision() const { return Revision; }

  /// \returns the limit; nothing if none is known.
  std::optional<double> perSecond(const TargetId &Target,
                                  Incarnation Current) const;

  /// Applies what another router tells. \param PassOn whether a change is news
  /// for further routers.
  void apply(const TargetLimit &Told, bool PassOn, Timestamp Now);
  bool hasNews() const { return !Changed.empty(); }
  /// \returns the limits that have changed since the last call.
  std::vector<TargetLimit> takeNews();
  /// \returns all limits and recent ends.
  std::vector<TargetLimit> everything(Timestamp Now);
  std::vector<LimitChange> takeChanges();

  /// \returns the number of targets with a limit.
  size_t limitedTargets() const;

private:
  using Key = std::pair<TargetId, Incarnation>;
  struct Entry {
    TargetLimit Limit;
    /// Requests a second that this router may send; 0 if only others may.
    double Share = 0;
    /// When the next request may be sent.
    Timestamp NextAt;
  };

  const Entry *find(const TargetId &Target, Incarnation Current) const;
  void set(Entry &Subject, std::optional<double> PerSecond,
           std::optional<double> RejectionsPerSecond, bool WasTold,
           Timestamp Now);
  void updateShare(Entry &Subject, Timestamp Now);
  /// \returns how many routers precede this one in the order for \p Key.
  size_t rankFor(uint64_t Key) const;
  uint32_t slotsOf(const TargetId &Target, const TargetRoom &Room) const;
  void expire(Timestamp Now);

  std::map<Key, Entry> Entries;
  uint64_t SelfHash = 0;
  std::vector<uint64_t> OtherHashes;
  /// The other routers, in the order of OtherHashes.
  std::vector<HostId> Others;
  uint64_t Revision = 0;
  std::set<Key> Changed;
  std::vector<LimitChange> Changes;
};

} // namespace ferry::routing

namespace ferry {

template <> struct EnumNames<routing::LimitChange::Kind> {
  using Kind = routing::LimitChange::Kind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::Named, "named"}, {Kind::Told, "told"}, {Kind::Ended, "ended"}};
};

} // namespace ferry

#endif
