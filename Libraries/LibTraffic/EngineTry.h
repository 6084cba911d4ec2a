/// \file
/// The headers and paths between a router and an engine.
#ifndef FERRY_LIBTRAFFIC_ENGINETRY_H
#define FERRY_LIBTRAFFIC_ENGINETRY_H

#include "LibRouting/SchedulerEvents.h"
#include "LibTraffic/TargetConnection.h"
#include <optional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// Header with the id of a try, echoed by the engine.
inline constexpr const char *RequestHeader = "X-Ferry-Request";
/// Header with an engine's incarnation, echoed by it.
inline constexpr const char *IncarnationHeader = "X-Ferry-Incarnation";
/// Header with the version of the weights, echoed by the engine.
inline constexpr const char *WeightsHeader = "X-Ferry-Weights";
/// Header with the hashes of the prompt's blocks, in hexadecimal.
inline constexpr const char *BlocksHeader = "X-Ferry-Blocks";
/// Header with the tokens of the prompt that the engine had in its cache.
inline constexpr const char *CachedHeader = "X-Ferry-Cached-Tokens";
/// Header with a cache store's address and the leading blocks to import.
inline constexpr const char *ImportHeader = "X-Ferry-Import";
/// Path of chat completions on engines.
inline constexpr const char *ChatPath = "/v1/chat/completions";
/// Path on engines that cancels a request by its id.
inline constexpr const char *CancelPath = "/v1/cancel";

/// \returns the headers of a chat try.
/// \param FirstToken index of the first token wanted; more than 0 resumes.
HeaderList engineHeaders(const routing::Dispatch &Dispatch,
                         const RequestId &TryId, routing::Priority Priority,
                         const std::vector<cache::BlockHash> &Blocks,
                         uint64_t FirstToken);

/// Checks that the answer is that of this try, from the right life and weights
/// of the engine. \returns WrongEcho if not.
LinkResult<void> tryCheckEcho(const TargetConnection &Connection,
                              const routing::Dispatch &Dispatch,
                              const RequestId &TryId);

/// \returns the tokens found cached that the answer names, 0 if it names none.
uint64_t cachedTokens(const TargetConnection &Connection);

/// Tells the engine to drop a try; does not wait for long, ignores failures,
/// as the engine also sees the connection close.
void cancelOnEngine(const routing::Dispatch &Dispatch, const RequestId &TryId);

} // namespace ferry::traffic

#endif
