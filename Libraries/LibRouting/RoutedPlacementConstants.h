/// \file
/// Constants and conversions shared by the source files of RoutedPlacement.
#ifndef FERRY_LIBROUTING_ROUTEDPLACEMENTCONSTANTS_H
#define FERRY_LIBROUTING_ROUTEDPLACEMENTCONSTANTS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"

namespace ferry::routing {

/// A control host repeats the named weights twice a second, and all of them
/// answer the queries of routers. A longer time without the names and without
/// the answers of a quorum means that none can order newer weights.
inline constexpr Duration MaxControlGap = std::chrono::seconds(2);
/// A process that does not note for longer than this that it runs is frozen or
/// lacks the processor.
inline constexpr Duration MaxRunningGap = std::chrono::seconds(1);
/// Parts of at least this size are fetched: reading them again takes longer
/// than a fetch.
inline constexpr uint32_t MinSharedTokens = 64;
/// Parts and prefixes of at least this size are reported in digests, and parts
/// are kept in the store: reading them again takes longer than the message
/// about them.
inline constexpr uint32_t MinReportedTokens = 512;
/// Precedes a store's service in its id in digests; no target's id begins so.
inline const std::string StoreIdPrefix = "#store:";
/// First pause of a target after a failed connection or repeated broken
/// answers. A restart of a target takes about a second.
inline constexpr Duration FailurePause = std::chrono::milliseconds(500);
inline constexpr double Mega = 1e6;

inline double secondsOf(Duration Span) { return double(Span.count()) / 1e6; }

inline Duration durationOf(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

} // namespace ferry::routing

#endif
