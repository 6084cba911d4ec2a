/// \file
/// Whether a router reaches any target, and which routers serve its callers
/// while it does not.
#ifndef FERRY_LIBROUTING_TARGETREACH_H
#define FERRY_LIBROUTING_TARGETREACH_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ferry::routing {

/// What a router says of itself to one that is cut off from targets.
struct RouterReach {
  bool ReachesTargets = false;
  /// Shows that a request was passed on by a router; callers never learn it.
  std::string PassKey;
};

/// A router that serves requests of this one.
struct Helper {
  HostId Id;
  std::string PassKey;
};

/// The reach of one router. Owns no clock, thread or socket; callers serialise
/// all calls.
///
/// Answers the load of a router whose links to all targets are cut while
/// callers and other routers reach it. One target that fails says something of
/// that target; several different ones, with no sign of any since or just
/// before, say something of this router. Its callers are then served through
/// others: a wrong belief costs one hop. Probes that run nothing find out when
/// the cut has ended.
class TargetReach {
public:
  /// Different targets that have to fail: half of those that are known, within
  /// these bounds.
  static constexpr size_t MinFailing = 2;
  static constexpr size_t MaxFailing = 6;
  /// While a target answered this recently, breaks say nothing of this router,
  /// and while one was connected to, failed connections do not.
  static constexpr Duration QuietSpan = std::chrono::milliseconds(250);
  /// A failure counts for this long.
  static constexpr Duration FailureLifetime = std::chrono::seconds(3);
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(250);
  /// Probes in a row that have to succeed before the router uses targets again.
  /// The number doubles, up to a limit, with each cut that begins within
  /// RelapseSpan of the end of the one before: connections may look whole. If
  /// no other router reaches targets either, these are down, and one probe
  /// shows that they are back.
  static constexpr size_t ProbesToReturn = 2;
  static constexpr size_t MaxProbesToReturn = 8;
  static constexpr Duration RelapseSpan = std::chrono::seconds(10);
  /// A helper that has not said for this long that it reaches targets is not
  /// used: a few of its answers are missing.
  static constexpr Duration HelperLifetime = std::chrono::seconds(2);
  /// Time in which the first helpers answer.
  static constexpr Duration FirstAnswers = std::chrono::milliseconds(100);

  explicit TargetReach(uint64_t Seed) : Random(Seed) {}

  /// Sets the number of targets that are known. With fewer than two there is
  /// nothing to conclude from.
  void setKnownTargets(size_t Count);

  /// Notes that a target could not be connected to.
  void noteUnreachable(const TargetId &Target, Timestamp Now);
  /// Notes that a connection broke before a byte of an answer.
  void noteBroken(const TargetId &Target, Timestamp Now);
  /// Notes a connection to any target. Says nothing of broken ones.
  void noteConnected(Timestamp Now);
  /// Notes an answer on a connection that was made at \p ConnectedAt.
  void noteAnswered(Timestamp ConnectedAt, Timestamp Now);

  bool isCutOff() const { return CutSince.has_value(); }
  /// Notes whether a probe connected and was not reset.
  void noteProbe(bool Reached, Timestamp Now);

  /// Notes what another router says of itself.
  void noteHelper(const HostId &Router, const RouterReach &Reach,
                  Timestamp Now);
  /// \returns a router that serves requests of this one, but none of \p Tried;
  /// nothing if none is known.
  std::optional<Helper> chooseHelper(const std::vector<HostId> &Tried,
                                     Timestamp Now);
  /// Whether other routers may still answer that they help, as the cut has just
  /// been noticed.
  bool awaitsHelpers(Timestamp Now) const;

private:
  struct Failure {
    Timestamp At;
    bool Connected = false;
  };
  struct KnownHelper {
    std::string PassKey;
    Timestamp Until;
  };

  void noteFailure(const TargetId &Target, bool Connected, Timestamp Now);
  /// \returns how many targets have failed in a way that nothing contradicts.
  size_t uncontradictedFailures(Timestamp Now) const;
  bool hasHelper(Timestamp Now) const;

  RandomGenerator Random;
  size_t KnownTargets = 0;
  /// The newest failure of each target.
  std::map<TargetId, Failure> Failures;
  std::optional<Timestamp> LastConnectedAt;
  std::optional<Timestamp> LastAnsweredAt;
  std::optional<Timestamp> CutSince;
  size_t ProbesNeeded = ProbesToReturn;
  size_t ProbesReached = 0;
  std::optional<Timestamp> LastCutEndedAt;
  std::map<HostId, KnownHelper> Helpers;
};

} // namespace ferry::routing

#endif
