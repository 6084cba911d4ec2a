/// \file
/// Places the requests of the routed interface: chooses targets by the prompt
/// parts that callers name. The native interface uses the Scheduler and
/// PlacementPolicy.h instead.
#ifndef FERRY_LIBROUTING_ROUTEDPLACEMENT_H
#define FERRY_LIBROUTING_ROUTEDPLACEMENT_H

#include "LibCore/Random.h"
#include "LibRouting/CachedParts.h"
#include "LibRouting/PromptRate.h"
#include "LibRouting/PromptSplit.h"
#include "LibRouting/RoutingView.h"
#include "LibRouting/SlotLoans.h"
#include "LibRouting/TargetLimits.h"
#include "LibRouting/TargetSignals.h"
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>

namespace ferry::routing {

/// A cache store that the description names, and the parts it is believed to
/// hold.
struct StoreState {
  /// Names the store in digests.
  TargetId Id;
  uint64_t IdHash = 0;
  std::string Address;
  DataCentreId DataCentre;
  double BitsPerSecond = 0;
  CachedParts Parts;
  /// No fetch is sent to the store before this: it seems to be down or empty.
  Timestamp UnusableUntil;
};

/// The placement decisions of one router for the routed interface. Owns no
/// clock, thread or socket; callers serialise all calls.
///
/// A request goes to the target with the earliest expected first token. The
/// estimate adds up the part of the prompt that the target still has to read,
/// the requests of this router there that have not sent a first byte, and the
/// work that the other routers report in their digests. A target that lacks
/// parts which another target holds fetches them from it, which takes a
/// hundredth of the time to read them. Rendezvous hashing gives each shared
/// prefix a home among the targets: routers that know of no holder send its
/// requests there, or have the target ask there, so that they agree without
/// messages.
class RoutedPlacement {
public:
  struct Options {
    uint64_t Seed = 1;
    /// Time from a target's last announcement to its TargetRecord::UsableUntil.
    Duration RecordLifetime = std::chrono::seconds(30);
    /// A target whose last announcement is older is used only if too few others
    /// are left: after this time two announcements are missing, although they
    /// had time to spread.
    Duration MaxRecordAge = std::chrono::milliseconds(4000);
    /// Time from the naming of newer weights after which no request may begin
    /// on older ones.
    Duration WeightsDeadline = std::chrono::seconds(12);
  };

  explicit RoutedPlacement(Options Opts);

  /// Applies a newer snapshot of targets and routes.
  void applyView(RoutingViewPtr Newer, Timestamp Now);

  /// Chooses a target for \p Call and counts the call as sent there.
  /// \returns the placement, or the refusal if no target can take the call.
  std::variant<PlacedCall, RefusedCall> place(const RoutedCall &Call,
                                              Timestamp Now);

  /// Applies the digest of router \p From. Its work replaces that of the
  /// router's previous digest; its parts are added.
  void applyDigest(const HostId &From, const WorkDigest &Digest, Timestamp Now);

  /// \returns the digest for the other routers: all requests that this router
  /// has running, and the large parts used since the last call.
  WorkDigest makeDigest();

  /// Applies one message of the control hosts: all weights that operators have
  /// named, those of each model in rising order. The control hosts repeat it.
  NamingsOutcome applyNamings(const std::vector<NamedWeights> &Named,
                              Timestamp Now);

  /// Called by a timer of this process each tenth of a second or so. While no
  /// control host works, none can order engines to load newer weights, so the
  /// deadline of superseded weights does not run. A repeat of the names that is
  /// missing shows that only if this process runs and no quorum of the control
  /// hosts is heard of in another way.
  /// \param AsOf the newest time at which a quorum of the control hosts is
  /// known to have worked.
  /// \returns the time by which deadlines were moved; 0 if they were not.
  Duration noteRunning(Timestamp Now, Timestamp AsOf = {});

  /// Applies a message with only \p Version. \returns whether it is news.
  bool applyNamedWeights(const NamedWeights &Version, Timestamp Now);

  /// Applies a load of weights reported by the holder of the order lease.
  void applyEngineChange(const EngineChange &Change, Timestamp Now);

  /// Notes the first byte of the answer, and learns from the time it took.
  /// Ignored if the call is unknown or its first byte was noted before.
  void noteFirstByte(uint64_t PlacementId, Timestamp Now);

  /// Notes how the call ended at its target. \p PlacementId is invalid
  /// afterwards.
  void endCall(uint64_t PlacementId, CallEnd End, Timestamp Now);

  /// Notes that a target said in an answer that it leaves. It gets no further
  /// request, but others may still fetch its cached parts. \returns whether
  /// this is new.
  bool noteLeaving(const TargetId &Target, Incarnation Leaving);

  /// Notes that a target asked this router in an answer to send nothing before
  /// \p Until. \returns whether this prolongs its pause.
  bool notePause(const TargetId &Target, Incarnation Asking, Timestamp Until,
                 Timestamp Now);

  /// Notes what the answer to a placed call says of the target's limits.
  /// \param PerSecond the limit that it names, if any.
  /// \param RejectionsPerSecond the rejections that the target survives, if it
  /// is brittle.
  void noteLimit(const PlacedCall &Placed, std::optional<double> PerSecond,
                 std::optional<double> RejectionsPerSecond, Timestamp Now);

  /// Asked right before a placed call is sent. Answers to other calls may have
  /// shown since the placement that the target leaves or wants a pause, or that
  /// it has a limit; the call then counts against that.
  /// \returns whether the call may be sent.
  bool maySend(const PlacedCall &Placed, Timestamp Now);

  /// \returns a slot of another router for a call that was refused as
  /// SlotsTaken, to be asked for there; nothing if no other router has one.
  std::optional<SlotLoan> chooseLoan(const RoutedCall &Call, Timestamp Now);

  /// Another router asks for a slot of this one. \returns whether it has it.
  bool tryLend(const SlotQuestion &Question, Timestamp Now);
  void takeBackLoan(const HostId &Borrower, uint64_t Number) {
    Loans.giveBack(Borrower, Number);
  }

  /// The limits that targets have named.
  TargetLimits &limits() { return Limits; }

  /// \returns the build of all known targets of \p Service, also of those that
  /// leave; nothing if there are several or no target is known.
  std::optional<BuildId> onlyBuild(const ServiceId &Service) const;

  /// \returns the number of routers that serve, this one included.
  size_t servingRouters() const { return Routers; }

  /// Figures for the state dump and the metrics.
  struct Status {
    size_t Targets = 0;
    size_t Usable = 0;
    size_t Running = 0;
    size_t PartsKnown = 0;
  };
  Status status(Timestamp Now) const;

private:
  /// A target with this router's estimates of its load and its cached parts.
  struct RoutedTarget {
    TargetRecord Record;
    /// Hash of the record's id.
    uint64_t IdHash = 0;
    /// Position in the order of the service's targets, from 0 to 1.
    double Position = 0;
    uint32_t Running = 0;
    /// Those of them that run on slots of other routers.
    uint32_t OnLoan = 0;
    /// Whether the newest answer did not say that the target is brittle.
    bool SaysNotBrittle = false;
    /// Seconds of prompt reading sent to the target by requests without a first
    /// byte yet, for long and for short prompts.
    struct Backlog {
      double Long = 0;
      double Short = 0;
      double all() const { return Long + Short; }
      double &of(const RoutedCall &Call) {
        return Call.PromptTokens >= LongPromptTokens ? Long : Short;
      }
    };
    /// The backlog sent by this router, and that of all other routers together.
    Backlog OwnBacklog;
    Backlog PeerBacklog;
    double PeerRunning = 0;
    /// Weights reported by the holder of the order lease; they are valid until
    /// ReportedWeightsUntil.
    WeightsVersion ReportedWeights;
    Timestamp ReportedWeightsUntil;
    /// The target loads weights and refuses requests until then.
    Timestamp LoadingUntil;
    /// Smoothed excess of the latest first bytes over their estimates at
    /// CongestionAt; it halves every CongestionHalfLifeSeconds.
    double CongestionSeconds = 0;
    Timestamp CongestionAt;
    /// Not chosen before this, unless too few other targets are left.
    Timestamp UnusableUntil;
    uint32_t FailuresInARow = 0;
    /// Moving average of the share of failed requests at FailureShareAt, from 0
    /// to 1; it halves every FailureHalfLifeSeconds.
    double FailureShare = 0;
    Timestamp FailureShareAt;
    /// Moving average of the time from sending a request to its end.
    double ServiceSeconds = 0.05;
    CachedParts Parts;
  };

  /// A request that was sent to a target and has not ended.
  struct SentCall {
    TargetId Target;
    ferry::Incarnation Incarnation;
    RoutedCall Call;
    Timestamp SentAt;
    double PromptSeconds = 0;
    double ExpectedSeconds = 0;
    /// Tokens to read, if the engine was believed to be idle when the request
    /// was sent; 0 otherwise.
    double TokensAtIdleEngine = 0;
    bool FirstByteSeen = false;
    /// Reading time that a fetch from the store was expected to save; 0 without
    /// such a fetch.
    double ExpectedSavingSeconds = 0;
    bool SavesToStore = false;
  };

  /// A target that may take a request, with its estimate.
  struct Candidate {
    RoutedTarget *Target = nullptr;
    /// Time to fetch and read the prompt, time until that begins, and estimated
    /// time to the first byte.
    double PromptSeconds = 0;
    double WaitSeconds = 0;
    double FirstByteSeconds = 0;
    /// FirstByteSeconds plus penalties, in seconds; the least cost wins.
    double Cost = 0;
    uint32_t CachedTokens = 0;
    const RoutedTarget *FetchSource = nullptr;
    /// The store that the prompt's prefix belongs to, if it is usable.
    StoreState *Store = nullptr;
    bool FetchFromStore = false;
    /// The target gets a further copy of parts that it does not keep.
    bool IsCopy = false;
  };

  /// The engines at which all routers expect the shared parts of a prompt: that
  /// of the whole shared prefix, and that of its leading part alone, which
  /// further prefixes begin with. Rendezvous hashing chooses them among the
  /// engines that have the same weights.
  struct Homes {
    const RoutedTarget *OfAll = nullptr;
    const RoutedTarget *OfLead = nullptr;
    uint64_t DeepRank = 0;
    uint64_t LeadRank = 0;
  };
  using HomesByWeights = std::map<WeightsVersion, Homes>;

  /// Weights that were named.
  struct Naming {
    WeightsVersion Weights;
    /// When they were named: the oldest time that a control host has told, but
    /// not before an earlier message that should have had them.
    Timestamp NamedAt;
    Timestamp NotBefore = Timestamp::min();
    /// The time since then without a working control host.
    Duration Suspended = Duration::zero();
  };

  std::vector<RoutedTarget *> candidatesOf(const RoutedCall &Call,
                                           Timestamp Now);
  /// Removes the targets whose weights are older than those of another one of
  /// \p Candidates, as long as a naming of their model may be awaited: it may
  /// turn out to be older than the deadline.
  void eraseOlderUntilNamed(std::vector<RoutedTarget *> &Candidates,
                            Timestamp Now) const;
  Candidate estimate(const RoutedCall &Call, RoutedTarget &Target,
                     const std::vector<const RoutedTarget *> &Holders,
                     const HomesByWeights &AllHomes, StoreState *Store,
                     bool PrefersNewer, Timestamp Now) const;
  /// Whether newer weights were named so long ago that the target should have
  /// loaded them.
  bool isSuperseded(const RoutedTarget &Target, Timestamp Now) const;
  /// \returns whether a request prefers newer weights. The share of those that
  /// do grows with the share of targets that have them.
  bool drawPreference(const std::vector<RoutedTarget *> &Eligible,
                      Timestamp Now);
  /// \returns the tokens of all parts but the last, which belongs to the
  /// request or its session.
  static uint32_t sharedTokens(const RoutedCall &Call);
  HomesByWeights homesOf(const RoutedCall &Call, Timestamp Now) const;
  void considerHome(const RoutedCall &Call, const Homes &Found,
                    uint32_t OwnTokens, Candidate &Result) const;
  std::vector<const RoutedTarget *> holdersOf(const RoutedCall &Call,
                                              Timestamp Now) const;
  WeightsVersion weightsOf(const RoutedTarget &Target, Timestamp Now) const;
  /// Whether the target serves \p Service and has not said that it leaves.
  bool isOffered(const RoutedTarget &Target, const ServiceId &Service,
                 Timestamp Now) const;
  /// Whether so few of the offered targets are usable that the fault is more
  /// likely at this host or in its network. All of them are used then.
  static bool seemsCutOff(size_t Usable, size_t Offered);
  bool isUsable(const RoutedTarget &Target, Timestamp Now) const;
  /// \returns what this router knows of the room at \p Target.
  TargetRoom roomOf(const RoutedTarget &Target, Timestamp Now) const;
  /// Whether the target is brittle, as far as is known. One that has not
  /// answered yet counts as brittle while others of its service are.
  bool isBrittle(const RoutedTarget &Target) const;
  /// Whether \p Target is brittle and might reject a further request.
  bool mayOverflow(const RoutedTarget &Target, Timestamp Now) const;
  /// Whether a slot of \p Target may be used for \p Call, whoever has it.
  bool isLendable(const RoutedCall &Call, const RoutedTarget &Target,
                  Timestamp Now) const;
  void updateBrittleServices();
  Timestamp supersededSince(const RoutedTarget &Target, Timestamp Now) const;
  /// When the last request may begin on the target's weights.
  Timestamp weightsDeadline(const RoutedTarget &Target, Timestamp Now) const;
  /// \returns the time up to \p Now since this process last ran, if it did not
  /// run for long; else 0.
  Duration stallUntil(Timestamp Now) const;
  /// Adds the time for which this process did not run to StalledSinceSign.
  void endStall(Timestamp Now);
  /// \returns the time without a sign of the control hosts if it is longer than
  /// MaxControlGap; else 0. The time for which this process did not run is left
  /// out.
  Duration controlGap(Timestamp Now) const;
  /// Notes that control hosts worked at \p AsOf, and moves the deadlines of
  /// superseded weights by the gap before it.
  /// \returns the gap.
  Duration noteControlHosts(Timestamp AsOf);
  bool applyNaming(const NamedWeights &Named, Timestamp NotBefore);
  /// \returns the time before which no weights were named that are new in a
  /// message received now.
  Timestamp namedNotBefore() const;
  void addPeerWork(const std::vector<TargetWork> &Work, double Sign);
  void expirePeerDigests(Timestamp Now);
  void recordParts(const RoutedCall &Call, RoutedTarget &Target,
                   PartState State);
  void recordStoredParts(const RoutedCall &Call, uint64_t Scope,
                         StoreState &Store, PartState State);
  uint64_t storeScope(const RoutedCall &Call, const RoutedTarget &Target,
                      Timestamp Now) const;
  void checkStoreFetch(const SentCall &Sent, double Excess, Timestamp Now);
  bool shouldSave(const RoutedCall &Call, const Candidate &Best,
                  Timestamp Now) const;
  bool isStored(const RoutedCall &Call, const Candidate &Best, PartState State,
                Timestamp Now) const;
  void updateStores();
  /// \returns the store that the call's shared prefix belongs to: all routers
  /// choose the same one; nullptr for a call without a large one.
  StoreState *storeOf(const RoutedCall &Call);
  double transferSeconds(uint32_t Tokens, double BitsPerSecond, bool Far) const;
  bool isFresh(const RoutedTarget &Target, Timestamp Now) const;
  /// Divides the targets of the services that the description calls for it.
  void updateSplits();
  /// \returns whether prompts like that of \p Call prefer the target.
  bool isPreferred(const RoutedCall &Call, const RoutedTarget &Target) const;
  double waitSeconds(const RoutedCall &Call, const RoutedTarget &Target) const;
  /// \returns the time until a slot of the target is free for one more request.
  static double slotWaitSeconds(const RoutedTarget &Target);
  bool isIdle(const RoutedTarget &Target, Timestamp Now) const;
  const PromptRate &rateOf(const ServiceId &Service) const;
  double congestionOf(const RoutedTarget &Target, Timestamp Now) const;
  double failureShareOf(const RoutedTarget &Target, Timestamp Now) const;
  void considerHolders(const RoutedCall &Call,
                       const std::vector<const RoutedTarget *> &Holders,
                       Timestamp Now, Candidate &Result) const;
  void considerStore(const RoutedCall &Call, uint32_t OwnTokens, Timestamp Now,
                     Candidate &Result) const;
  double readSeconds(const RoutedCall &Call, uint32_t Cached) const;
  /// Leaves the candidates that hold the call's shared parts or are their home,
  /// and one that StaleLoadSpread draws.
  void keepSpread(const RoutedCall &Call, std::vector<Candidate> &Candidates,
                  Timestamp Now);
  Candidate choose(const RoutedCall &Call,
                   const std::vector<RoutedTarget *> &Eligible, Timestamp Now);
  PlacedCall dispatch(const RoutedCall &Call, const Candidate &Best,
                      Timestamp Now);
  static double allowedWait(const RoutedCall &Call, const Candidate &Best,
                            Timestamp Now);
  RefusedCall refuse(const RoutedCall &Call, CallRefusalReason Reason,
                     Timestamp Now, double FirstByteSeconds = 0);
  /// \returns when a caller may come back whose request all targets' limits
  /// forbid; nothing if they do not.
  std::optional<Timestamp> returnUnderLimits(const RoutedCall &Call,
                                             Timestamp Now);
  void pauseTarget(RoutedTarget &Target, Duration FirstPause, Timestamp Now);
  RoutedTarget *findTarget(const SentCall &Sent);

  Options Opts;
  RandomGenerator Random;
  RoutingViewPtr View;
  size_t Routers = 1;
  std::map<TargetId, RoutedTarget> Targets;
  TargetSignals Signals;
  TargetLimits Limits;
  SlotLoans Loans;
  /// The services with brittle targets, as of BrittleRevision of the limits.
  std::set<ServiceId> BrittleServices;
  std::optional<uint64_t> BrittleRevision;
  /// Until when returns under limits are reserved, by service.
  std::map<ServiceId, Timestamp> ReturnsReservedUntil;
  std::map<ServiceId, PromptRate> Rates;
  /// Of the services whose targets are divided between long and short prompts.
  std::map<ServiceId, PromptSplit> Splits;
  /// The work of another router's last digest; it counts until ExpiresAt.
  struct PeerDigest {
    std::vector<TargetWork> Work;
    Timestamp ExpiresAt;
  };
  std::map<HostId, PeerDigest> PeerDigests;
  std::vector<PartPlace> UnsentParts;
  std::map<ServiceId, StoreState> Stores;
  /// Size of a cached token, and bits per second of an engine's link; 0 before
  /// the first description.
  uint64_t BytesPerToken = 0;
  double EngineLinkBits = 0;
  /// The named weights of each model that are kept, oldest first.
  std::map<ModelId, std::vector<Naming>> NamedVersions;
  /// A router that has started waits until then for names of weights. If none
  /// arrive in the time of a deadline, no control host is working.
  Timestamp NamesAwaitedUntil = NeverExpires;
  /// When names of weights last arrived, and since when without a gap.
  std::optional<Timestamp> LastNamesAt;
  Timestamp NamesSince;
  /// When control hosts are last known to have worked, by the names or in
  /// another way.
  std::optional<Timestamp> ControlHostsAsOf;
  /// The last call of noteRunning(), and the time since ControlHostsAsOf for
  /// which this process did not run.
  std::optional<Timestamp> LastRunningAt;
  Duration StalledSinceSign = Duration::zero();
  /// The last time for which this process did not run.
  Timestamp StallBeganAt;
  Timestamp StallEndedAt;
  std::unordered_map<uint64_t, SentCall> SentCalls;
  uint64_t NextPlacementId = 1;
};

} // namespace ferry::routing

#endif
