/// \file
/// One router's share of the retries that all routers may make together.
#ifndef FERRY_LIBROUTING_RETRYSHARE_H
#define FERRY_LIBROUTING_RETRYSHARE_H

#include "LibCore/Time.h"
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace ferry::routing {

/// What all routers together may add to the requests of a service: in any
/// window, Ratio times the requests of the window plus Slack.
struct RetryBound {
  double Ratio = 0.2;
  uint32_t Slack = 50;
  Duration Window = std::chrono::seconds(10);
};

/// A bucket of retries for one service. It earns Ratio with each request and
/// its part of the slack with time; what it holds and what it earns within one
/// window stay below the router's part of the bound, so that the routers need
/// not talk about it.
///
/// Answers the load pattern in which engines fail in rounds: every router sees
/// failures at once, and their retries add up.
class RetryShare {
public:
  explicit RetryShare(RetryBound Bound) : Bound(Bound) {}

  /// Counts a request that came from a caller. \p Routers share the slack.
  void request(size_t Routers, Timestamp Now) {
    refill(Routers, Now);
    Earned = std::min(Earned + Bound.Ratio * SafePart, MaxEarned);
  }

  /// Takes one retry. \returns whether there was one.
  [[nodiscard]] bool spend(size_t Routers, Timestamp Now) {
    refill(Routers, Now);
    if (Earned >= 1) {
      Earned -= 1;
      return true;
    }
    if (Slack + Earned < 1)
      return false;
    Slack -= 1 - Earned;
    Earned = 0;
    return true;
  }

  double available() const { return Slack + Earned; }

private:
  /// Kept back for routers that are not yet known to each other.
  static constexpr double SafePart = 0.8;
  /// Retries earned by requests of an earlier window do not count in this one.
  static constexpr double MaxEarned = 5;

  void refill(size_t Routers, Timestamp Now) {
    double Share =
        SafePart * Bound.Slack / double(std::max<size_t>(Routers, 1));
    // A full bucket and one window's refill make the whole share.
    double Capacity = Share / 2;
    if (!Started) {
      Started = true;
      Slack = Capacity;
    } else if (Now > RefilledAt) {
      double Windows =
          double((Now - RefilledAt).count()) / double(Bound.Window.count());
      Slack += Windows * (Share - Capacity);
    }
    Slack = std::min(Slack, Capacity);
    RefilledAt = Now;
  }

  RetryBound Bound;
  bool Started = false;
  Timestamp RefilledAt;
  double Slack = 0;
  double Earned = 0;
};

} // namespace ferry::routing

#endif
