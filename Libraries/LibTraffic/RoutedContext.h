/// \file
/// What the requests of the routed interface share.
#ifndef FERRY_LIBTRAFFIC_ROUTEDCONTEXT_H
#define FERRY_LIBTRAFFIC_ROUTEDCONTEXT_H

#include "LibConfig/Settings.h"
#include "LibObserve/Metrics.h"
#include "LibRouting/RetryShare.h"
#include "LibRouting/RoutedPlacement.h"
#include "LibTraffic/RouteDialect.h"
#include <atomic>
#include <map>
#include <mutex>

namespace ferry::traffic {

/// The decisions of one router behind a lock: each takes microseconds.
class SharedPlacement {
public:
  SharedPlacement(routing::RoutedPlacement::Options Options,
                  routing::RetryBound Bound)
      : Decisions(Options), Bound(Bound) {}

  void setView(routing::RoutingViewPtr Newer);
  routing::RoutingViewPtr view() const;

  std::variant<routing::PlacedCall, routing::RefusedCall>
  place(const routing::RoutedCall &Call);
  void firstByte(uint64_t Ticket);
  void ended(uint64_t Ticket, routing::CallEnd End);

  /// Counts a caller's request to \p Service for the retries.
  void countRequest(const ServiceId &Service);
  /// Takes a retry to \p Service. \returns whether there was one.
  bool takeRetry(const ServiceId &Service);

  void takeDigest(const HostId &From, const routing::WorkDigest &Digest);
  routing::WorkDigest makeDigest();
  void engineChanged(const routing::EngineChange &Change);
  void weightsNamed(const routing::NamedWeights &Named);

  routing::RoutedPlacement::Status status() const;

private:
  routing::RetryShare &shareOf(const ServiceId &Service);

  mutable std::mutex Mutex;
  routing::RoutedPlacement Decisions;
  routing::RetryBound Bound;
  std::map<ServiceId, routing::RetryShare> Shares;
  routing::RoutingViewPtr View;
};

/// Counters and latencies of the routed interface.
struct RoutedFigures {
  explicit RoutedFigures(observe::Metrics &Figures);

  observe::Family<observe::Counter> &Answers;
  observe::Family<observe::Counter> &TargetCalls;
  observe::Family<observe::Counter> &TurnedAway;
  observe::Family<observe::Histogram> &FirstByteSeconds;
  observe::Counter &Retries;
  observe::Counter &StreamsCut;
  observe::Counter &CallersLeft;
};

/// Outlives the requests.
struct RoutedContext {
  config::Settings Settings;
  RouteDialect Dialect;
  SharedPlacement Placements;
  RoutedFigures Figures;
  /// Answers tell callers to close their connections.
  std::atomic<bool> Leaving{false};
  /// From then on requests are refused: they could not end before the process.
  std::atomic<Timestamp> RefuseFrom{NeverExpires};
  std::atomic<int64_t> InHand{0};
  /// Draws services of split routes.
  std::atomic<uint64_t> NextDraw{0};
};

} // namespace ferry::traffic

#endif
