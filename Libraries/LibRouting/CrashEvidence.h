/// \file
/// Which requests, and which parts of prompts, may have crashed targets.
#ifndef FERRY_LIBROUTING_CRASHEVIDENCE_H
#define FERRY_LIBROUTING_CRASHEVIDENCE_H

#include "LibRouting/RoutedCall.h"
#include <compare>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace ferry::routing {

/// Ids of parts of a prompt and of the request as a whole, sorted. The two
/// kinds of ids never meet, whatever callers send.
using PartSet = std::vector<uint64_t>;

/// Set in the ids of whole requests, never in those of parts.
inline constexpr uint64_t RequestIdBit = 1ULL << 63;

/// \returns the id that stands for all requests with the digest.
constexpr uint64_t requestIdOf(uint64_t Digest) {
  return Digest | RequestIdBit;
}

constexpr bool isRequestId(uint64_t Id) { return (Id & RequestIdBit) != 0; }

/// \returns whether \p Parts names whole requests, not only parts of prompts.
bool namesRequest(const PartSet &Parts);

/// \returns the parts that other requests may share: all but the last, and not
/// more than CrashEvidence::MaxParts.
PartSet sharedParts(const std::vector<PromptPart> &Parts);

/// \returns \p Parts with the ids of a request.
PartSet withRequestIds(PartSet Parts, std::initializer_list<uint64_t> Ids);

bool includesAll(const PartSet &Whole, const PartSet &Subset);

/// \returns the ids for log lines: hexadecimal, with commas, the first of many.
std::string partsText(const PartSet &Parts);

/// Hash of an incarnation of a target that ended.
using CrashId = NumberId<struct CrashTag>;

CrashId crashIdOf(const TargetId &Target, Incarnation Ended);

/// A request whose answer was broken off when a target ended.
struct CrashSuspect {
  PartSet Parts;
  /// Waiting or Begun.
  AnswerProgress Progress = AnswerProgress::Waiting;
  /// When its answer was broken off.
  Timestamp SeenAt;
  /// When it was sent. Known to the router that sent it only; for others it
  /// counts as sent before the target ended.
  Timestamp SentAt = {};
};

/// The end of one incarnation of a target, as all routers together saw it.
/// Reports can be merged in any order.
struct CrashReport {
  /// Whether answers to prompts with a part were served.
  struct ServedMarks {
    /// Within CrashEvidence::Lifetime before the crash.
    bool ServedBefore = false;
    /// After the crash.
    bool ServedAfter = false;
    bool never() const { return !ServedBefore && !ServedAfter; }
  };

  CrashId Id;
  /// When the last answer was broken off.
  Timestamp SeenAt;
  /// Those that were broken off at nearly that time: a target that breaks off
  /// an answer now and then is alive until all are.
  std::vector<CrashSuspect> Suspects;
  /// For each part of the suspects.
  std::map<uint64_t, ServedMarks> Marks;
};

/// When the answers to requests with a part or id were last served. Bounded: an
/// older generation is dropped once the newer one is full.
class ServedHistory {
public:
  /// Number of ids in each of the two generations.
  static constexpr size_t MaxIds = 2048;

  void note(uint64_t Id, Timestamp Now);
  /// \returns when the id was last served, if that is known.
  std::optional<Timestamp> lastServed(uint64_t Id) const;

private:
  std::unordered_map<uint64_t, Timestamp> Newer;
  std::unordered_map<uint64_t, Timestamp> Older;
};

/// Collects crashes and finds the part of a prompt that is in all of them, or
/// the request that is. Owns no clock; callers serialise all calls.
///
/// A target that has ended resets what is sent to it until all routers know.
/// Requests without any answer that were sent behind the first break are no
/// suspects, unless the target has answered another one since.
///
/// Answers the load of a part that crashes each target which begins an answer
/// on it, among sound requests that share the caller, the route and all other
/// parts, and that run at the same targets when these end. Requests whose
/// answer had just begun or had not are suspects: a reset may have discarded
/// the head. A part is the cause if it is in MinCrashes crashes at different
/// times, its answers had begun, no other part that was never served is in all
/// of these too, and no answer to a prompt with it has been served since;
/// without begun answers it needs MinCrashesOfServed crashes that no other part
/// explains. If others are in all of these crashes too, they are the cause
/// together: requests with all of them are refused, those with some are not,
/// and the next crash tells them apart.
///
/// A request that crashes targets as a whole does so before its answer begins,
/// while others at the target stream already. So all requests that were broken
/// off are suspects by their ids. Those that only stood beside are sent again
/// and meet the next crash too; they are told apart as they are served in the
/// end, or are in fewer crashes than another suspect of the same crash.
class CrashEvidence {
public:
  static constexpr size_t MaxCrashes = 64;
  /// All that runs and waits at a small target; suspects of one crash alone
  /// make room for those of several.
  static constexpr size_t MaxSuspects = 16;
  /// The end of a target breaks off all its answers within this time.
  static constexpr Duration CrashSpan = std::chrono::seconds(1);
  /// Routers send nothing more to a target that ended this long ago: its
  /// announcements are missing.
  static constexpr Duration EndedSpan = std::chrono::seconds(10);
  static constexpr size_t MaxParts = 32;
  /// Ids of a suspect: its parts, and two of the request.
  static constexpr size_t MaxIds = MaxParts + 2;
  /// How long crashes and served parts are remembered: a part that is rarely
  /// asked for crashes targets rarely.
  static constexpr Duration Lifetime = std::chrono::hours(1);
  /// Crashes within this time may have a common cause outside of the prompts,
  /// such as a lost rack, and count once.
  static constexpr Duration Separation = std::chrono::milliseconds(100);
  /// The same for whole requests, which few targets run at a time.
  static constexpr Duration RequestSeparation = std::chrono::milliseconds(20);
  /// Crashes after which a part is the cause if it had never been served, and
  /// if it had or its requests only waited.
  static constexpr size_t MinCrashes = 3;
  static constexpr size_t MinCrashesOfServed = 5;
  /// Time in which other routers tell whether they have served the part.
  static constexpr Duration DecisionDelay = std::chrono::milliseconds(300);
  static constexpr Duration DecisionDelayOfServed =
      std::chrono::milliseconds(1500);

  /// Adds a request that was broken off when the target ended.
  /// \returns whether this is new.
  bool noteSuspect(CrashId Ended, const CrashSuspect &Suspect, Timestamp Now);

  /// The same for a request whose target had ended unnoticed, at any time since
  /// the request was sent. What was served since then does not crash targets.
  bool noteReplaced(CrashId Ended, const CrashSuspect &Suspect, Timestamp Now);

  /// Notes the head of an answer to a request that was sent at \p SentAt, and
  /// thus that the target had not ended by then.
  void noteAnswered(CrashId Incarnation, Timestamp SentAt);

  /// Notes a whole answer to a prompt with \p Parts.
  /// \returns the crashes whose suspects have one of the parts, if that is new.
  std::vector<CrashId> noteServed(const PartSet &Parts, Timestamp Now);

  /// Adds what another router reports. \returns whether this changes anything.
  bool merge(const CrashReport &Report, Timestamp Now);

  /// \returns the parts that caused crashes which those in \p Quarantined do
  /// not explain, or nothing. If there are several, those that were never
  /// served come first, then the largest set.
  std::optional<PartSet> findCause(const std::vector<PartSet> &Quarantined,
                                   Timestamp Now) const;

  /// Whether a request with \p Parts that was broken off may be sent again: the
  /// first crash under a part says little, the next ones much.
  bool mayRepeat(const PartSet &Parts, Timestamp Now) const;

  const CrashReport *find(CrashId Ended) const;
  /// \returns the crashes that are not too old.
  std::vector<CrashReport> reports(Timestamp Now) const;
  bool empty() const { return Crashes.empty(); }

private:
  struct Crash {
    CrashReport Report;
    /// When this router learnt of it.
    Timestamp LearntAt;
    /// When the newest request was sent that the target has answered since this
    /// router knows of the crash.
    Timestamp AliveAt;
  };

  /// How many crashes a part is in, and with which others.
  struct Tally {
    PartSet Common;
    /// Parts that were never served and are in each of these crashes too, with
    /// or without the part.
    PartSet Rivals;
    std::vector<Timestamp> LearntBegun;
    std::vector<Timestamp> LearntAll;
    /// Those that no quarantined set explains.
    std::vector<Timestamp> LearntUnexplained;
    bool Served = false;
    /// Whether an answer had begun in one of these.
    bool UnexplainedBegun = false;
  };

  /// Parts that a crash is put down to.
  struct Cause {
    PartSet Parts;
    /// Parts that were never served come before others.
    bool NeverServed = false;
  };

  /// How often a suspect's id is in crashes that nothing clears it of. Ids that
  /// were never served come before others.
  struct Incidence {
    bool NeverServed = true;
    size_t Crashes = 0;
    auto operator<=>(const Incidence &) const = default;
  };
  using Incidences = std::map<uint64_t, Incidence>;

  Crash *touch(CrashId Ended, Timestamp SeenAt, Timestamp Now);
  /// Whether the target may have ended before the suspect was sent.
  static bool wasSentBehindEnd(const Crash &Ended, const CrashSuspect &Suspect);
  bool addSuspect(Crash &Ended, const CrashSuspect &Suspect, Timestamp Now);
  bool makeRoom(CrashReport &Report, const CrashSuspect &Suspect,
                Timestamp Now) const;
  bool hasUnservedPart(const CrashSuspect &Suspect, Timestamp Now) const;
  bool isInOtherCrash(const CrashSuspect &Suspect, CrashId Ended) const;
  std::optional<Timestamp> lastServed(uint64_t Part) const;
  bool wasServed(uint64_t Part, Timestamp Now) const;
  /// \returns the crashes that are not too old, oldest first.
  std::vector<const Crash *> recentCrashes(Timestamp Now) const;
  static Incidences incidencesIn(const std::vector<const Crash *> &Recent);
  Tally tallyOf(uint64_t Part, const std::vector<const Crash *> &Recent,
                const Incidences &Known,
                const std::vector<PartSet> &Quarantined) const;
  std::optional<Cause> causeWith(uint64_t Part,
                                 const std::vector<const Crash *> &Recent,
                                 const Incidences &Known,
                                 const std::vector<PartSet> &Quarantined,
                                 Timestamp Now) const;

  std::map<CrashId, Crash> Crashes;
  /// Kept apart, so that a flood of requests evicts no part.
  ServedHistory ServedParts;
  ServedHistory ServedRequests;
};

} // namespace ferry::routing

#endif
