/// \file
/// Parts of prompts, and requests, that crash targets and are kept away from
/// them.
#ifndef FERRY_LIBROUTING_PARTQUARANTINE_H
#define FERRY_LIBROUTING_PARTQUARANTINE_H

#include "LibRouting/CrashEvidence.h"
#include <set>

namespace ferry::routing {

/// Parts of which one crashes targets, or the ids of a request that does.
/// Requests with all of them are refused.
struct QuarantinedParts {
  PartSet Parts;
  /// Counts how often these parts were quarantined again after an end.
  uint32_t Epoch = 1;
  bool Ended = false;
  /// Requests that were sent nevertheless, to find out whether the parts are
  /// sound by now.
  uint32_t Trials = 0;
  /// When the next trial may begin.
  Timestamp TrialFrom;
  /// When a request with the parts last came to any router.
  Timestamp WantedAt;
};

/// What routers tell each other about crashes.
struct CrashNews {
  std::vector<CrashReport> Crashes;
  std::vector<QuarantinedParts> Quarantined;
  bool empty() const { return Crashes.empty() && Quarantined.empty(); }
};

/// Whether a request may be sent to targets.
enum class PartAdmission : uint8_t {
  Admitted,
  /// Parts of it are quarantined, and a trial of them is due at this router.
  Trial,
  Refused
};

/// A change of what a router believes of parts, for its log.
struct QuarantineChange {
  enum class Kind : uint8_t {
    /// Decided by this router.
    Begun,
    /// Begun, by what another router tells.
    Told,
    Trial,
    /// Ended by a whole answer to a request with the parts.
    Served,
    /// Ended, as a smaller set refuses all that this one did.
    Covered,
    /// Ended, as no request has had the parts for long.
    Unwanted,
    /// Ended, by what another router tells.
    ToldEnded
  };
  Kind What = Kind::Begun;
  PartSet Parts;
  uint32_t Trials = 0;
};

/// The quarantine as one router sees it. Owns no clock, thread or socket;
/// callers serialise all calls.
///
/// Each router decides by the crashes that all of them saw and tells the
/// others. A quarantine holds while requests with the parts come. A wrong one
/// ends with the first whole answer to such a request, at whichever router: of
/// a request that was under way already, or of one of MaxTrials trials. The
/// first router of the parts by rendezvous hashing sends these, so that the
/// number does not grow with the routers.
class PartQuarantine {
public:
  /// Number of quarantined sets; the one that was not wanted for longest is
  /// dropped first.
  static constexpr size_t MaxSets = 64;
  static constexpr uint32_t MaxTrials = 2;
  /// Time from the decision to the first trial, and from one to the next.
  static constexpr Duration FirstTrialPause = std::chrono::seconds(30);
  static constexpr Duration NextTrialPause = std::chrono::minutes(10);
  /// Time to the first trial of a request, and between the first trials of
  /// several. One that only stood beside the crashes is quarantined where all
  /// targets of a small service ended before any could serve it.
  static constexpr Duration FirstRequestTrialPause = std::chrono::seconds(5);
  static constexpr Duration RequestTrialSpacing = std::chrono::seconds(1);
  /// A quarantine ends if no request wanted the parts for this long.
  static constexpr Duration IdleLimit = std::chrono::minutes(30);
  /// Shortest time between two decisions.
  static constexpr Duration DecisionInterval = std::chrono::milliseconds(50);

  /// Sets the routers that serve, this one included.
  void setRouters(const HostId &Self, const std::vector<HostId> &Serving);

  /// Asked for each request before it is placed, and again before it is sent.
  PartAdmission check(const PartSet &Parts, Timestamp Now);
  /// Counts a trial of the parts, which is about to be sent.
  void beginTrial(const PartSet &Parts, Timestamp Now);

  /// Notes that a request was broken off by its target.
  void noteBroken(const TargetId &Target, Incarnation Ended,
                  const CrashSuspect &Suspect, Timestamp Now);
  /// Notes a request that was at a target when this ended, which was noticed
  /// only once another incarnation had replaced it.
  void noteReplaced(const TargetId &Target, Incarnation Ended,
                    CrashSuspect Suspect, Timestamp Now);
  /// Notes the head of an answer to a request that was sent at \p SentAt.
  void noteAnswered(const TargetId &Target, Incarnation Answering,
                    Timestamp SentAt);
  /// Notes a whole answer to a prompt with \p Parts.
  void noteServed(const PartSet &Parts, Timestamp Now);
  /// Whether a request that was broken off may be sent to another target.
  bool mayRepeat(const PartSet &Parts, Timestamp Now) const;

  /// Applies what another router tells. \param PassOn whether changes are news
  /// for further routers.
  void apply(const CrashNews &News, bool PassOn, Timestamp Now);
  bool hasNews() const {
    return !ChangedCrashes.empty() || !ChangedSets.empty();
  }
  /// \returns what has changed since the last call.
  CrashNews takeNews(Timestamp Now);
  /// \returns all that this router knows.
  CrashNews everything(Timestamp Now);
  /// \returns the changes since the last call.
  std::vector<QuarantineChange> takeChanges();

  /// \returns until when the ids of requests are to be judged, beside the parts
  /// of their prompts. Before any request was broken off they need not be
  /// known.
  Timestamp requestsJudgedUntil() const { return JudgedUntil; }

  /// \returns the number of sets that are quarantined.
  size_t quarantinedSets() const;

private:
  using Sets = std::map<PartSet, QuarantinedParts>;

  void judgeRequests(const PartSet &Parts, Duration Span, Timestamp Now);
  Timestamp firstTrialOf(const PartSet &Parts, Timestamp Now) const;
  void decideSoon(Timestamp Now);
  void decide(Timestamp Now);
  void quarantine(const PartSet &Parts, Timestamp Now);
  void end(QuarantinedParts &Set, QuarantineChange::Kind Reason);
  bool merge(const QuarantinedParts &Told, Timestamp Now);
  void expire(Timestamp Now);
  std::vector<PartSet> setsInForce() const;
  bool isTrialRouter(const PartSet &Parts) const;
  void recordChange(QuarantineChange::Kind What, const QuarantinedParts &Set);

  CrashEvidence Evidence;
  Sets Quarantined;
  /// When the evidence is looked at next, and until when: evidence that has not
  /// changed for the longest decision delay leads to no other decision.
  Timestamp DecideAt = NeverExpires;
  Timestamp DecideUntil;
  Timestamp JudgedUntil;
  uint64_t SelfHash = 0;
  std::vector<uint64_t> OtherHashes;
  std::set<CrashId> ChangedCrashes;
  std::set<PartSet> ChangedSets;
  std::vector<QuarantineChange> Changes;
};

} // namespace ferry::routing

namespace ferry {

template <> struct EnumNames<routing::PartAdmission> {
  using Admission = routing::PartAdmission;
  static constexpr EnumName<Admission> Table[] = {
      {Admission::Admitted, "admitted"},
      {Admission::Trial, "trial"},
      {Admission::Refused, "refused"}};
};

template <> struct EnumNames<routing::QuarantineChange::Kind> {
  using Kind = routing::QuarantineChange::Kind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::Begun, "begun"},         {Kind::Told, "told"},
      {Kind::Trial, "trial"},         {Kind::Served, "served"},
      {Kind::Covered, "covered"},     {Kind::Unwanted, "unwanted"},
      {Kind::ToldEnded, "told_ended"}};
};

} // namespace ferry

#endif
