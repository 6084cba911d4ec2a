/// \file
/// A bounded-share queue of waiting requests: weighted fair queueing over
/// workspaces and priorities.
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
/// virtual time, which grows with the work it is served divided by its weight;
/// the backlogged flow with the smallest one is served first. So no flow
/// starves, and a flow that sends more than its weight only waits longer.
/// Holds pointers to requests that the Scheduler owns.
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
    /// Estimated work of the requests that wait, in prompt tokens.
    double QueuedWork = 0;
    std::deque<RequestState *> Waiting;
  };

  /// Appends \p Request to its flow. \p Share is the workspace's weight.
  void push(RequestState &Request, uint32_t Share);
  /// Puts a request that is to be tried again before its flow.
  void pushFront(RequestState &Request, uint32_t Share);
  /// Takes \p Request out without charging its flow.
  void remove(RequestState &Request);
  /// Takes \p Request out and charges its flow for \p Work prompt tokens.
  void serve(RequestState &Request, double Work);
  /// Charges a flow for work that did not wait.
  void charge(const FlowKey &Key, uint32_t Share, double Work);

  /// \returns the backlogged flows in the order of service.
  std::vector<Flow *> backlogged();
  /// \returns the newest request of the flow that holds the most work beyond
  /// its weight, or nullptr if nothing waits.
  RequestState *overSharedRequest();
  /// \returns the work that is served before a new request of this flow.
  double workAhead(const FlowKey &Key, uint32_t Share) const;

  /// \returns whether \p Request waits here.
  bool holds(const RequestState &Request) const;
  size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  const std::map<FlowKey, Flow> &flows() const { return Flows; }

private:
  Flow &activate(const FlowKey &Key, uint32_t Share);
  Flow &flowOf(const RequestState &Request);
  void dropIdleFlows();

  std::map<FlowKey, Flow> Flows;
  /// Virtual time of the last flow served.
  double SystemTime = 0;
  size_t Count = 0;
};

/// \returns the weight of a flow: the share, and eight times it if interactive.
double flowWeight(uint32_t Share, Priority Level);

} // namespace ferry::routing

#endif
