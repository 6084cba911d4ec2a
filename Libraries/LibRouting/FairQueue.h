/// \file
/// A queue of waiting requests with weighted fair queueing over workspaces and
/// priorities.
#ifndef FERRY_LIBROUTING_FAIRQUEUE_H
#define FERRY_LIBROUTING_FAIRQUEUE_H

#include "LibCore/Ids.h"
#include "LibRouting/SchedulerEvents.h"
#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace ferry::routing {

struct RequestState;

/// Requests of one workspace at one priority form a flow. Each flow has a
/// virtual time that grows by the work served divided by the flow's weight; the
/// backlogged flow with the smallest virtual time is served first. No flow
/// starves, and a flow that sends more than its share only delays itself. The
/// queue holds pointers to requests that the Scheduler owns.
class FairQueue {
public:
  struct FlowKey {
    WorkspaceId Workspace;
    routing::Priority Priority = routing::Priority::Interactive;
    auto operator<=>(const FlowKey &) const = default;
  };

  struct Flow {
    FlowKey Key;
    double Weight = 1;
    double VirtualTime = 0;
    /// Estimated work of the waiting requests, in prompt tokens.
    double QueuedWork = 0;
    std::deque<RequestState *> Waiting;
  };

  /// Appends \p Request to its flow. \p Share is the workspace's weight.
  void push(RequestState &Request, uint32_t Share);
  /// Prepends a request that is retried to its flow.
  void pushFront(RequestState &Request, uint32_t Share);
  /// Removes \p Request without charging its flow.
  void remove(RequestState &Request);
  /// Removes \p Request and charges its flow for \p Work prompt tokens.
  void serve(RequestState &Request, double Work);
  /// Charges a flow for \p Work prompt tokens that were served without waiting.
  void charge(const FlowKey &Key, uint32_t Share, double Work);

  /// \returns the backlogged flows in the order of service.
  std::vector<Flow *> backlogged();
  /// \returns the newest request of the flow with the most queued work per
  /// weight, or nullptr if the queue is empty.
  RequestState *newestOverSharedRequest();
  /// \returns the prompt tokens served before a new request of this flow.
  double workAhead(const FlowKey &Key, uint32_t Share) const;

  /// \returns whether \p Request is in the queue.
  bool contains(const RequestState &Request) const;
  size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  const std::map<FlowKey, Flow> &flows() const { return Flows; }

private:
  Flow &activate(const FlowKey &Key, uint32_t Share);
  Flow &flowOf(const RequestState &Request);
  void dropIdleFlows();

  std::map<FlowKey, Flow> Flows;
  /// Greatest virtual time at which a flow was served.
  double SystemTime = 0;
  size_t Count = 0;
};

/// \returns the weight of a flow: its share, times eight if interactive.
double flowWeight(uint32_t Share, Priority Level);

} // namespace ferry::routing

#endif
