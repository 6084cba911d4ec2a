/// \file
/// Ids of whole requests, which are equal at all routers for equal requests.
#ifndef FERRY_LIBTRAFFIC_REQUESTDIGEST_H
#define FERRY_LIBTRAFFIC_REQUESTDIGEST_H

#include "LibRouting/RoutedCall.h"
#include <Poco/Net/HTTPRequest.h>
#include <cstdint>
#include <string>
#include <vector>

namespace ferry::traffic {

/// Digests of a request that a caller may send again under another id.
struct RequestDigest {
  /// Of the method, the host, the path with its query, the caller and the body.
  uint64_t Outline = 0;
  /// Of these and the prompt; equal to Outline for a request without one.
  uint64_t Whole = 0;
};

/// \param Caller the workspace of the caller, or else its key.
RequestDigest digestOf(const Poco::Net::HTTPRequest &Head,
                       const std::string &Caller,
                       const std::vector<routing::PromptPart> &Parts,
                       const std::string &Body);

} // namespace ferry::traffic

#endif
