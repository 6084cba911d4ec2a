/// \file
/// Requests that targets have not answered.
#ifndef FERRY_LIBROUTING_UNANSWEREDCALLS_H
#define FERRY_LIBROUTING_UNANSWEREDCALLS_H

#include "LibRouting/CrashEvidence.h"
#include "LibRouting/ReplacedTargets.h"
#include <deque>
#include <string>
#include <vector>

namespace ferry::routing {

/// A request that ended at its deadline, or with its caller, before the target
/// had answered.
struct UnansweredCall {
  TargetId Target;
  ferry::Incarnation Incarnation;
  std::string Address;
  CrashSuspect Suspect;
};

/// Remembers unanswered requests until it is known whether their targets have
/// ended. Owns no clock; callers serialise all calls.
///
/// Answers the load of a request that ends its target without an end of the
/// connection, and whose caller leaves before the target is back.
class UnansweredCalls {
public:
  /// Number of requests; the oldest is dropped first.
  static constexpr size_t MaxCalls = 256;
  /// How long a request is remembered. A target that ends later had most likely
  /// other work by then.
  static constexpr Duration Lifetime = CrashEvidence::EndedSpan;

  void add(UnansweredCall Call);
  bool empty() const { return Calls.empty(); }

  /// \returns the requests whose targets have ended, and forgets them.
  std::vector<UnansweredCall> takeEnded(const ReplacedTargets &Ended,
                                        Timestamp Now);

private:
  std::deque<UnansweredCall> Calls;
};

} // namespace ferry::routing

#endif
