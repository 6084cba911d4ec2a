/// \file
/// How engines that use another interface than the native one receive orders
/// and report their state.
#ifndef FERRY_FERRYD_ORDERDIALECT_H
#define FERRY_FERRYD_ORDERDIALECT_H

#include "LibControl/ReconcilerEvents.h"
#include "LibTraffic/RouteDialect.h"
#include "LibTraffic/TargetConnection.h"
#include <functional>
#include <optional>
#include <string>

namespace ferry::daemon {

/// An engine's report of its own state; it may be out of date.
struct EngineState {
  ModelId Model;
  WeightsVersion Weights;
  /// Whether the engine is executing an order.
  bool Busy = false;
  /// Orders accepted in this incarnation.
  uint64_t AcceptedOrders = 0;
  /// Requests that run on the engine; nothing if it doesn't say.
  std::optional<uint64_t> Running;
};

/// The HTTP calls of an interface whose engines report their state on request.
struct OrderDialect {
  std::string OrderPath;
  std::string StatePath;
  /// \returns the headers of a call to the target.
  std::function<traffic::HeaderList(const TargetId &)> Headers;
  /// \returns the body of an order that the engine refuses unless it has
  /// accepted exactly \p OrdersBefore orders; empty if the interface has no
  /// such order.
  std::function<std::string(const control::SendOrder &, uint64_t OrdersBefore)>
      Body;
  /// \returns what the head of an answer says besides its status.
  std::function<traffic::AnswerDetails(const Poco::Net::HTTPResponse &)>
      ReadAnswer;
  /// \returns the state in the body of an answer; nothing if it is malformed.
  std::function<std::optional<EngineState>(const std::string &)> ReadState;
};

} // namespace ferry::daemon

#endif
