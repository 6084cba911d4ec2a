/// \file
/// One router's share of the retries that all routers may make together.
#ifndef FERRY_LIBROUTING_RETRYSHARE_H
#define FERRY_LIBROUTING_RETRYSHARE_H

#include "LibCore/Time.h"
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace ferry::routing {

/// Bound on the retries of all routers together for one service: in any window,
/// Ratio times the requests of the window plus Slack.
struct RetryBound {
  double Ratio = 0.2;
  uint32_t Slack = 50;
  Duration Window = std::chrono::seconds(10);
};

/// One router's token bucket of retries for one service. Each request earns
/// Ratio of a retry, and the router's share of the slack accrues with time. The
/// bucket's content and what it earns within one window stay below the router's
/// share of the bound, so the routers need not coordinate.
///
/// Guards against engines that fail one after the other: all routers see the
/// failures at the same time, and their retries add up.
class RetryShare {
public:
  explicit RetryShare(RetryBound Bound) : Bound(Bound) {}

  /// Counts a request from a caller. The slack is divided by \p Routers.
  void countRequest(size_t Routers, Timestamp Now) {
    refill(Routers, Now);
    Earned = std::min(Earned + Bound.Ratio * UsedShare, MaxEarned);
  }

  /// Spends one retry. \returns whether one was available.
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

  /// \returns the retries that may be made now.
  double available() const { return Slack + Earned; }

private:
  /// Share of the bound that is used; the rest is reserve for routers that do
  /// not know of each other yet.
  static constexpr double UsedShare = 0.8;
  /// Limits the retries that requests of an earlier window can leave for the
  /// current one.
  static constexpr double MaxEarned = 5;

  void refill(size_t Routers, Timestamp Now) {
    double Share =
        UsedShare * Bound.Slack / double(std::max<size_t>(Routers, 1));
    // A full bucket plus the refill of one window equals the whole share.
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
