/// \file
/// What the parts of PromptPlacement share.
#ifndef FERRY_LIBROUTING_PROMPTPLACEMENTTIMES_H
#define FERRY_LIBROUTING_PROMPTPLACEMENTTIMES_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

namespace ferry::routing {

/// Names are told twice a second: with a longer gap, the control hosts are not
/// at work, and nobody can order newer weights.
inline constexpr Duration NamesGap = std::chrono::seconds(2);
/// Parts of this size are worth telling and fetching: reading them again takes
/// longer than a fetch and the message about it.
inline constexpr uint32_t LeastSharedTokens = 512;
/// Stands for the cache store in digests; no target has this id.
inline const TargetId StoreId{"#store"};
/// First pause after a failure to connect or a broken answer; a restart takes
/// about a second.
inline constexpr Duration FailurePause = std::chrono::milliseconds(500);
inline constexpr double Mega = 1e6;

inline double secondsOf(Duration Span) { return double(Span.count()) / 1e6; }

inline Duration durationOf(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

} // namespace ferry::routing

#endif
