/// \file
/// Chooses targets for requests whose prompts share parts.
#ifndef FERRY_LIBROUTING_PROMPTPLACEMENT_H
#define FERRY_LIBROUTING_PROMPTPLACEMENT_H

#include "LibCore/Random.h"
#include "LibRouting/PartMemory.h"
#include "LibRouting/PromptRate.h"
#include "LibRouting/RoutingView.h"
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>

namespace ferry::routing {

/// The cache store, as the description names it, and what it is held to have.
/// Its parts are told in digests under StoreId.
struct StoreMemory {
  std::string Address;
  DataCentreId DataCentre;
  double BitsPerSecond = 0;
  PartMemory Parts;
  /// Not asked before this: it seems to be down or empty.
  Timestamp UnusableUntil;
};

/// Decision part of one router; no clock, thread or socket of its own.
///
/// A request goes where its first token is expected soonest: what the target
/// still has to read of the prompt, what this router has sent there and not yet
/// seen begun, and what the other routers told of theirs. A target that lacks
/// parts which another one has fetches them from there, which takes a
/// hundredth of the time to read them. Where nobody is known to have the
/// leading part, equal costs go to the first target by rendezvous hashing, the
/// same at all routers.
class PromptPlacement {
public:
  struct Options {
    uint64_t Seed = 1;
    /// How long targets are kept after their last announcement, as told by
    /// TargetRecord::UsableUntil.
    Duration Trust = std::chrono::seconds(30);
    /// A target that announced nothing for longer is used only if too few
    /// others are left: two announcements are missing and had time to spread.
    Duration FreshFor = std::chrono::milliseconds(4000);
    /// No request may begin on overtaken weights after this.
    Duration WeightsDeadline = std::chrono::seconds(12);
  };

  explicit PromptPlacement(Options Chosen);

  void applyView(RoutingViewPtr Newer, Timestamp Now);

  /// Places \p Call or turns it away at once.
  std::variant<PlacedCall, TurnedAway> place(const PromptCall &Call,
                                             Timestamp Now);

  /// Takes what router \p From has under way; it replaces what it told before.
  void takeDigest(const HostId &From, const WorkDigest &Digest, Timestamp Now);

  /// \returns what to tell the other routers: all that is under way, and the
  /// large parts that were used since the last call.
  WorkDigest makeDigest();

  /// Takes what an operator has named.
  /// Told again and again: overtaken weights count against the deadline only
  /// while somebody is there to order newer ones.
  void weightsNamed(const NamedWeights &Named, Timestamp Now);

  /// Takes what the giver of orders told.
  void engineChanged(const EngineChange &Change, Timestamp Now);

  /// The first byte of the answer has come.
  void firstByte(uint64_t Ticket, Timestamp Now);

  /// The request has ended at its target; \p Ticket is of no more use.
  void ended(uint64_t Ticket, CallEnd End, Timestamp Now);

  /// \returns the routers that serve, this one included.
  size_t routers() const { return Routers; }

  /// Figures for the dump and the metrics.
  struct Status {
    size_t Targets = 0;
    size_t Usable = 0;
    size_t Running = 0;
    size_t PartsKnown = 0;
  };
  Status status(Timestamp Now) const;

private:
  struct Target {
    TargetRecord Record;
    uint32_t Running = 0;
    /// Prompt time that was sent there and not seen begun.
    struct Backlog {
      double Long = 0;
      double Short = 0;
      double all() const { return Long + Short; }
      double &of(const PromptCall &Call) {
        return Call.PromptTokens >= LongPromptTokens ? Long : Short;
      }
    };
    /// By this router, and by the others with what they have running.
    Backlog Own;
    Backlog Others;
    double OthersRunning = 0;
    /// Weights and life as the giver of orders told them.
    WeightsVersion ToldWeights;
    Timestamp ToldUntil;
    /// Loads weights and refuses requests until then.
    Timestamp LoadingUntil;
    /// Excess of the newest first bytes over their estimates; it halves with
    /// CongestionHalfLife.
    double CongestionSeconds = 0;
    Timestamp CongestionAt;
    /// Not to be used before this, unless nothing else is left.
    Timestamp UnusableUntil;
    uint32_t FailuresInARow = 0;
    /// Moving part of failed requests.
    double FailureShare = 0;
    PartMemory Parts;
  };

  struct Ticketed {
    TargetId Target;
    ferry::Incarnation Incarnation;
    PromptCall Call;
    Timestamp SentAt;
    double PromptSeconds = 0;
    double ExpectedSeconds = 0;
    /// Tokens to read at an engine that was held to be idle; else 0.
    double IdleTokens = 0;
    bool Begun = false;
    /// Time that a fetch from the store was to spare; 0 without one.
    double SparedSeconds = 0;
    bool Saved = false;
  };

  struct Candidate {
    Target *Where = nullptr;
    double PromptSeconds = 0;
    double WaitSeconds = 0;
    double Seconds = 0;
    double Cost = 0;
    uint32_t CachedTokens = 0;
    const Target *Source = nullptr;
    bool FromStore = false;
  };

  std::vector<Target *> candidatesOf(const PromptCall &Call, Timestamp Now);
  Candidate estimate(const PromptCall &Call, Target &Where,
                     const std::vector<const Target *> &Holders,
                     Timestamp Now) const;
  std::vector<const Target *> holdersOf(const PromptCall &Call,
                                        Timestamp Now) const;
  WeightsVersion weightsOf(const Target &Known, Timestamp Now) const;
  bool isUsable(const Target &Known, Timestamp Now) const;
  Timestamp overtakenSince(const Target &Known, Timestamp Now) const;
  bool isPastDeadline(const Target &Known, Timestamp Now) const;
  void addOthers(const std::vector<TargetWork> &Work, double Sign);
  void dropSilent(Timestamp Now);
  void noteParts(const PromptCall &Call, Target &Where, PartState State);
  void noteStored(const PromptCall &Call, uint64_t Scope, PartState State);
  uint64_t storeScope(const PromptCall &Call, const Target &Where,
                      Timestamp Now) const;
  void judgeFetch(const Ticketed &Sent, double Excess, Timestamp Now);
  bool wantsSave(const PromptCall &Call, const Candidate &Best,
                 Timestamp Now) const;
  void takeStore();
  double transferSeconds(uint32_t Tokens, double BitsPerSecond, bool Far) const;
  bool isFresh(const Target &Known, Timestamp Now) const;
  double waitSeconds(const PromptCall &Call, const Target &Where) const;
  bool isIdle(const Target &Known, Timestamp Now) const;
  const PromptRate &rateOf(const ServiceId &Service) const;
  double congestionOf(const Target &Known, Timestamp Now) const;
  void considerHolders(const PromptCall &Call,
                       const std::vector<const Target *> &Holders,
                       Timestamp Now, Candidate &Result) const;
  void considerStore(const PromptCall &Call, uint32_t Own, Timestamp Now,
                     Candidate &Result) const;
  double readSeconds(const PromptCall &Call, uint32_t Cached) const;
  Candidate choose(const PromptCall &Call, const std::vector<Target *> &Offered,
                   Timestamp Now);
  PlacedCall dispatch(const PromptCall &Call, const Candidate &Best,
                      Timestamp Now);
  static double allowedWait(const PromptCall &Call, const Candidate &Best,
                            Timestamp Now);
  TurnedAway turnAway(const PromptCall &Call, TurnAwayReason Reason,
                      Timestamp Now) const;
  void setAside(Target &Known, Duration First, Timestamp Now);
  Target *find(const Ticketed &Sent);

  Options Chosen;
  RandomGenerator Random;
  RoutingViewPtr View;
  size_t Routers = 1;
  std::map<TargetId, Target> Targets;
  std::map<ServiceId, PromptRate> Rates;
  /// What each other router told last, and until when it holds.
  struct Told {
    std::vector<TargetWork> Work;
    Timestamp Until;
  };
  std::map<HostId, Told> Others;
  std::vector<PartPlace> NewParts;
  std::optional<StoreMemory> CacheStore;
  /// Of the engines; 0 before the first description.
  uint64_t BytesPerToken = 0;
  double EngineLinkBits = 0;
  /// Large parts that were used lately, wherever.
  PartMemory Used;
  /// The newest named weights of each model, the oldest first.
  std::map<ModelId, std::vector<NamedWeights>> Named;
  /// The giver of names was last heard then, and without a gap since.
  std::optional<Timestamp> NamesHeardAt;
  Timestamp NamesHeardSince;
  std::unordered_map<uint64_t, Ticketed> Tickets;
  uint64_t NextTicket = 1;
};

} // namespace ferry::routing

#endif
