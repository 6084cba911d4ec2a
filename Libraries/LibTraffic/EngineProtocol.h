/// \file
/// The headers and paths of requests from a router to an engine.
#ifndef FERRY_LIBTRAFFIC_ENGINEPROTOCOL_H
#define FERRY_LIBTRAFFIC_ENGINEPROTOCOL_H

#include "LibRouting/SchedulerEvents.h"
#include "LibTraffic/TargetConnection.h"
#include <optional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// Header with the id of an attempt, echoed by the engine.
inline constexpr const char *RequestHeader = "X-Ferry-Request";
/// Header with an engine's incarnation, echoed by it.
inline constexpr const char *IncarnationHeader = "X-Ferry-Incarnation";
/// Header with the version of the weights, echoed by the engine.
inline constexpr const char *WeightsHeader = "X-Ferry-Weights";
/// Header with the hashes of the prompt's blocks, in hexadecimal.
inline constexpr const char *BlocksHeader = "X-Ferry-Blocks";
/// Header with the number of prompt tokens that the engine found in its cache.
inline constexpr const char *CachedHeader = "X-Ferry-Cached-Tokens";
/// Header with a cache store's address and the number of leading blocks to
/// import from it.
inline constexpr const char *ImportHeader = "X-Ferry-Import";
/// Path of chat completions on engines.
inline constexpr const char *ChatPath = "/v1/chat/completions";
/// Path on engines that cancels a request by its id.
inline constexpr const char *CancelPath = "/v1/cancel";

/// \returns the request headers of an attempt of a chat completion.
/// \param FirstToken index of the first token to send; more than 0 resumes a
/// stream.
HeaderList engineHeaders(const routing::Dispatch &Dispatch,
                         const RequestId &TryId, routing::Priority Priority,
                         const std::vector<cache::BlockHash> &Blocks,
                         uint64_t FirstToken);

/// Checks that the answer belongs to this attempt and comes from the expected
/// incarnation and weights of the engine. \returns WrongEcho if not.
LinkResult<void> tryCheckEcho(const TargetConnection &Connection,
                              const routing::Dispatch &Dispatch,
                              const RequestId &TryId);

/// \returns the number of cached tokens that the answer reports, 0 if it has no
/// such header.
uint64_t cachedTokens(const TargetConnection &Connection);

/// Tells the engine to cancel an attempt. Waits only briefly and ignores
/// failures, because the engine also sees the connection close.
void cancelOnEngine(const routing::Dispatch &Dispatch, const RequestId &TryId);

} // namespace ferry::traffic

#endif
