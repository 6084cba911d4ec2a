/// \file
/// How engines of another interface take orders and show their effect.
#ifndef FERRY_FERRYD_ORDERDIALECT_H
#define FERRY_FERRYD_ORDERDIALECT_H

#include "LibControl/ReconcilerEvents.h"
#include "LibTraffic/TargetConnection.h"
#include <functional>
#include <optional>
#include <string>

namespace ferry::daemon {

/// What an engine says of itself when asked; it lags behind the truth.
struct EngineState {
  ModelId Model;
  WeightsVersion Weights;
  /// An order is being carried out.
  bool Busy = false;
  /// Orders accepted in this life.
  uint64_t Orders = 0;
};

/// The calls of an interface whose engines can be asked for their state.
struct OrderDialect {
  std::string OrderPath;
  std::string StatePath;
  std::function<traffic::HeaderList(const TargetId &)> Headers;
  /// \returns the body of an order that is refused unless the engine has
  /// accepted \p OrdersBefore orders; empty if it cannot be expressed.
  std::function<std::string(const control::SendOrder &, uint64_t OrdersBefore)>
      Body;
  std::function<std::optional<EngineState>(const std::string &)> ReadState;
};

} // namespace ferry::daemon

#endif
