/// \file
/// Which targets of a service long and short prompts prefer.
#ifndef FERRY_LIBROUTING_PROMPTSPLIT_H
#define FERRY_LIBROUTING_PROMPTSPLIT_H

#include "LibConfig/RouteTable.h"
#include "LibCore/Time.h"

namespace ferry::routing {

/// The division of a service's targets between long and short prompts, as one
/// router sees it. Owns no clock; callers serialise all calls.
///
/// Answers the load of a few long prompts among many short ones. A target that
/// reads a long prompt hardly goes on with anything else, and in a large fleet
/// routers hear of each other's prompts later than it takes to read one, so
/// that they send short prompts behind long ones. The targets have an order
/// that all routers agree on. Long prompts prefer the first of them and short
/// prompts the others; the boundary follows the work of both kinds, so that no
/// target is reserved. A preference costs time in the comparison of targets and
/// forbids none.
///
/// Long prompts then wait for each other on fewer targets. The description
/// calls for the division if its routes leave them the time for that, and want
/// other prompts begun much sooner.
class PromptSplit {
public:
  /// Shortest desired latency that leaves a long prompt the time to wait for
  /// another one, which takes about a third of a second to read.
  static constexpr uint32_t MinLongLatencyMillis = 1000;
  /// The shortest desired latency of the service is at most this part of the
  /// longest.
  static constexpr double MaxLatencyRatio = 0.6;
  /// Bounds on the share of the targets that long prompts prefer.
  static constexpr double MinLongShare = 0.4;
  static constexpr double MaxLongShare = 0.8;
  /// Short prompts get this multiple of the targets that their reading takes:
  /// they have to find one idle, and their tokens take time beyond reading.
  static constexpr double ShortWorkFactor = 2;
  /// Work counts half after this time.
  static constexpr Duration WorkHalfLife = std::chrono::seconds(3);

  /// \returns whether the routes of \p Table that lead prompts to \p Service
  /// call for the division of its targets.
  static bool isCalledFor(const config::RouteTable &Table,
                          const ServiceId &Service);
  /// \returns whether they do for any service.
  static bool isCalledForAny(const config::RouteTable &Table);

  /// Counts a prompt that takes a target \p Seconds to read.
  void noteSent(bool IsLong, double Seconds, Timestamp Now);

  /// \returns the share of the targets that long prompts prefer.
  double longShare() const;

private:
  double LongSeconds = 0;
  double ShortSeconds = 0;
  Timestamp CountedAt;
};

} // namespace ferry::routing

#endif
