/// \file
/// State that all requests of the routed interface share.
#ifndef FERRY_LIBTRAFFIC_ROUTEDCONTEXT_H
#define FERRY_LIBTRAFFIC_ROUTEDCONTEXT_H

#include "LibConfig/Settings.h"
#include "LibObserve/Metrics.h"
#include "LibRouting/Beliefs.h"
#include "LibRouting/RetryShare.h"
#include "LibRouting/RoutedPlacement.h"
#include "LibRouting/StreamBuilds.h"
#include "LibTraffic/ConnectionWatch.h"
#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/RouteDialect.h"
#include "LibTraffic/SharedCaps.h"
#include "LibTraffic/SharedQuarantine.h"
#include "LibTraffic/SharedReach.h"
#include "LibTraffic/TargetCalls.h"
#include <atomic>
#include <map>
#include <mutex>

namespace ferry::traffic {

/// Guards the placement and the retry shares of one router by a mutex. Each
/// call takes microseconds.
class SharedPlacement {
public:
  SharedPlacement(routing::RoutedPlacement::Options Options,
                  routing::RetryBound Bound)
      : Placement(Options), Bound(Bound) {}

  void setView(routing::RoutingViewPtr NewView);
  routing::RoutingViewPtr view() const;

  std::variant<routing::PlacedCall, routing::RefusedCall>
  place(const routing::RoutedCall &Call);
  void firstByte(uint64_t PlacementId);
  void ended(uint64_t PlacementId, routing::CallEnd End);
  /// See the functions of RoutedPlacement.
  bool noteLeaving(const routing::PlacedCall &Placed);
  bool notePause(const routing::PlacedCall &Placed, Timestamp Until);
  bool maySend(const routing::PlacedCall &Placed);
  std::optional<routing::SlotLoan> chooseLoan(const routing::RoutedCall &Call);
  bool tryLend(const routing::SlotQuestion &Question);
  void takeBackLoan(const HostId &Borrower, uint64_t Number);
  /// \returns whether there is news of limits for other routers.
  bool noteLimit(const routing::PlacedCall &Placed,
                 const AnswerDetails &Details);
  bool applyLimits(const std::vector<routing::TargetLimit> &Told, bool PassOn);
  std::vector<routing::TargetLimit> takeLimitNews();
  std::vector<routing::TargetLimit> allLimits();
  std::optional<BuildId> onlyBuild(const ServiceId &Service) const;

  /// Counts a caller's request to \p Service, which raises its bound of
  /// retries.
  void countRequest(const ServiceId &Service);
  /// Spends one retry to \p Service. \returns false if the bound is reached.
  bool spendRetry(const ServiceId &Service);

  /// Applies the digest of the router on host \p From.
  void applyDigest(const HostId &From, const routing::WorkDigest &Digest);
  /// \returns this router's digest for the other routers.
  routing::WorkDigest buildDigest();
  void engineChanged(const routing::EngineChange &Change);
  /// See RoutedPlacement::noteRunning().
  Duration noteRunning(Timestamp ControlHostsAsOf);
  /// See RoutedPlacement::applyNamings().
  routing::NamingsOutcome
  weightsNamed(const std::vector<routing::NamedWeights> &Named);

  routing::RoutedPlacement::Status status() const;

private:
  routing::RetryShare &shareOf(const ServiceId &Service);
  /// Runs \p Step on the limits and logs their changes.
  /// \returns whether there is news for other routers.
  template <typename StepType> bool updateLimits(StepType Step);

  mutable std::mutex Mutex;
  routing::RoutedPlacement Placement;
  routing::RetryBound Bound;
  std::map<ServiceId, routing::RetryShare> Shares;
  routing::RoutingViewPtr View;
};

/// Counters and latencies of the routed interface.
struct RoutedMetrics {
  explicit RoutedMetrics(observe::Metrics &Metrics);

  observe::Family<observe::Counter> &Answers;
  observe::Family<observe::Counter> &TargetCalls;
  observe::Family<observe::Counter> &Unplaced;
  observe::Family<observe::Histogram> &FirstByteSeconds;
  observe::Counter &Retries;
  observe::Counter &StreamsCut;
  observe::Family<observe::Counter> &EndsInsideEvent;
  observe::Family<observe::Counter> &BrokenAnswers;
  observe::Family<observe::Counter> &ConnectionEnds;
  observe::Counter &CallersLeft;
  observe::Counter &TargetsLeaving;
  observe::Counter &TargetPauses;
  observe::Family<observe::Counter> &PassedOn;
  observe::Counter &PassedIn;
  observe::Family<observe::Counter> &SlotQuestions;
};

/// The builds of the streams that this router knows, guarded by a mutex.
class SharedStreamBuilds {
public:
  void note(const routing::BegunStream &Stream);
  std::optional<BuildId> find(routing::StreamKey Key) const;

private:
  mutable std::mutex Mutex;
  routing::StreamBuilds Builds;
};

/// What requests tell and ask the control plane. Each function is thread-safe
/// and does not block; see ControlPort.
struct RoutedHooks {
  /// Called once for each incarnation of a target that was seen to leave.
  std::function<void(TargetId, Incarnation)> LeaveNoticed = [](const TargetId &,
                                                               Incarnation) {};
  std::function<void(routing::BegunStream)> TellStream =
      [](const routing::BegunStream &) {};
  std::function<void(routing::StreamKey, Timestamp Deadline,
                     std::function<void(std::optional<BuildId>)>)>
      AskStream = [](routing::StreamKey, Timestamp, const auto &Done) {
        Done(std::nullopt);
      };
  /// Called when there is news of crashes or limits for other routers, or a
  /// question.
  std::function<void()> BeliefsChanged = [] {};
  /// Called when there are questions about caps to be sent to other routers.
  std::function<void()> CapQuestionsReady = [] {};
  /// See ControlPort::AskSlot and GiveBackSlot.
  std::function<void(const routing::SlotLoan &, Timestamp ExpiresAt,
                     Timestamp Deadline,
                     std::function<void(std::optional<uint64_t>)>)>
      AskSlot = [](const routing::SlotLoan &, Timestamp, Timestamp,
                   const auto &Done) { Done(std::nullopt); };
  std::function<void(const HostId &, uint64_t)> GiveBackSlot =
      [](const HostId &, uint64_t) {};
};

/// The state that all requests share. Outlives them.
struct RoutedContext {
  /// Largest answer that is relayed whole, in bytes.
  static constexpr uint64_t MaxWholeAnswerBytes = 8ULL << 20;
  /// Requests of other routers that are served at a time; this one has callers
  /// of its own.
  static constexpr int64_t MaxPassedIn = 128;
  /// Limit of the bytes of all answers above BudgetShare::FreeBytes.
  static constexpr uint64_t MaxLargeAnswerBytes = 16ULL << 20;

  config::Settings Settings;
  RouteDialect Dialect;
  SharedPlacement Placements;
  RoutedMetrics Metrics;
  RoutedHooks Hooks;
  SharedStreamBuilds Streams = {};
  SharedQuarantine Quarantine = {};
  SharedReach Reach = {};
  SharedCaps Caps{{Settings.Routed.CapWindowSeconds, Settings.Routed.CapOverage,
                   Settings.Routed.CapSlack}};
  ByteBudget LargeAnswers{MaxLargeAnswerBytes};
  /// Whether answers tell callers to close their connections.
  std::atomic<bool> Draining{false};
  /// Requests of which nothing was sent to a target by then are refused,
  /// because the process may exit before they end.
  std::atomic<Timestamp> RefuseFrom{NeverExpires};
  /// The waits for targets end then, because the process exits.
  std::atomic<Timestamp> AnswerBy{NeverExpires};
  /// The connections to targets and other routers that requests use.
  ConnectionWatch CallsInProgress = {};
  TargetCalls AtTargets = {};
  std::atomic<int64_t> ActiveRequests{0};
  /// Those of them that other routers passed on.
  std::atomic<int64_t> PassedIn{0};
  /// Varies the draw of a service on routes that split their traffic.
  std::atomic<uint64_t> SplitCounter{0};
};

} // namespace ferry::traffic

#endif
