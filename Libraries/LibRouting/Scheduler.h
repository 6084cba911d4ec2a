/// \file
/// The state machine that admits, queues, places and retries the requests of
/// the native interface.
#ifndef FERRY_LIBROUTING_SCHEDULER_H
#define FERRY_LIBROUTING_SCHEDULER_H

#include "LibCache/CacheIndex.h"
#include "LibCore/Random.h"
#include "LibRouting/PlacementPolicy.h"
#include "LibRouting/RequestState.h"
#include "LibRouting/RoutingView.h"
#include "LibRouting/SchedulerEvents.h"
#include "LibRouting/SchedulerStatus.h"
#include "LibRouting/ServicePool.h"
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ferry::routing {

/// Decides for each request of this router whether it is refused, waits, or is
/// sent to a target. Owns no thread, socket or clock; callers serialise step().
/// Each submitted request gets one Dispatch per try and at most one Refusal,
/// which ends it. The ids of the requests that have not ended are unique.
class Scheduler {
public:
  struct Options {
    HostId Self;
    uint64_t Seed = 1;
    PlacementPolicy Placement = EstimatedTimePlacement{};
    cache::CacheIndex::Options Cache = {};
    /// Prompt tokens per second that an engine imports from a cache store.
    double ImportTokensPerSecond = 200'000;
  };

  static Scheduler create(Options Opts);

  /// Handles one event. \returns the resulting dispatches and refusals in
  /// order; they may concern requests other than that of the event.
  std::vector<SchedulerEffect> step(const SchedulerEvent &Event, Timestamp Now);

  /// \returns figures for the state dump and the metrics.
  SchedulerStatus status(Timestamp Now) const;

  /// \returns whether \p Target should send a listing of its whole cache.
  bool wantsListing(const TargetId &Target) const {
    return Index.wantsListing(Target);
  }

  /// \returns the number of requests that wait for a target.
  size_t queuedRequests() const { return Queued; }

private:
  explicit Scheduler(Options Opts);

  using RequestMap =
      std::unordered_map<RequestId, std::unique_ptr<RequestState>>;
  using PoolMap = std::map<ServiceId, ServicePool>;

  // Admission (SchedulerAdmission.cpp).
  void submit(std::unique_ptr<RequestState> Request, Timestamp Now);
  std::optional<RefusalKind> findViewRefusal(Timestamp Now) const;
  std::optional<RefusalKind> findRefusal(const RequestState &Request,
                                         Timestamp Now) const;
  double estimateQueueSeconds(const ServicePool &Pool,
                              const RequestState &Request) const;
  bool canMeetDeadline(ServicePool &Pool, RequestState &Request, Timestamp Now);
  bool mayProbe(ServicePool &Pool, Timestamp Now) const;
  double estimateAnswerSeconds(const ServicePool &Pool,
                               const RequestState &Request,
                               const PlacementChoice &Choice) const;
  bool makeRoom(const RequestState &NewRequest, Timestamp Now);
  Timestamp retryTime(const RequestState &Request, RefusalKind Kind,
                      Timestamp Now);
  void refuse(RequestState &Request, RefusalKind Kind, Timestamp Now);
  void refuseExpired(Timestamp Now);

  // Tries (SchedulerTries.cpp).
  void noteFirstByte(const FirstByte &Event, Timestamp Now);
  void endTry(const TryEnded &Event, Timestamp Now);
  void retry(RequestState &Request, const TryEnded &Event, Timestamp Now);
  void withdraw(const Withdraw &Event, Timestamp Now);

  // Placement of waiting requests (SchedulerDispatch.cpp).
  void dispatchAllWaiting(Timestamp Now);
  void dispatchWaiting(ServicePool &Pool, Timestamp Now);
  bool hasRoom(const ServicePool &Pool, Timestamp Now) const;
  bool tryDispatch(ServicePool &Pool, RequestState &Request, Timestamp Now);
  void collectCandidates(ServicePool &Pool, const RequestState &Request,
                         Timestamp Now);
  PlacementQuery makeQuery(const ServicePool &Pool, const RequestState &Request,
                           Timestamp Now) const;
  const TargetState *findBestStore(const ServicePool &Pool,
                                   Timestamp Now) const;
  std::vector<ImportPlan> planImports(const ServicePool &Pool,
                                      const PlacementQuery &Query,
                                      const Candidate &Best) const;
  PlacementChoice choose(const ServicePool &Pool, const RequestState &Request,
                         Timestamp Now);
  void dispatch(ServicePool &Pool, RequestState &Request, const Candidate &Best,
                double EstimateSeconds, Timestamp Now);

  // The view (Scheduler.cpp).
  void applyView(RoutingViewPtr Newer, Timestamp Now);
  void rebuildTargets(Timestamp Now);
  void rebuildPools(Timestamp Now);
  RateLearning rateLearning() const;
  TargetState *findTarget(const TargetId &Id, ferry::Incarnation Incarnation);
  uint32_t shareOf(const WorkspaceId &Workspace) const;

  Options Opts;
  RandomGenerator Random;
  RoutingViewPtr View;
  cache::CacheIndex Index;
  std::map<TargetId, std::unique_ptr<TargetState>> Targets;
  PoolMap Pools;
  RequestMap Requests;
  size_t Queued = 0;
  SchedulerCounters Counters;
  std::vector<SchedulerEffect> Effects;
  /// Reused between decisions to avoid allocations.
  std::vector<Candidate> Candidates;
  cache::CacheMatches Matches;
};

} // namespace ferry::routing

#endif
