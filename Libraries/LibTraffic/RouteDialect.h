/// \file
/// How callers and targets of the routed interface spell what the product
/// means. A platform provides it; nothing in it decides.
#ifndef FERRY_LIBTRAFFIC_ROUTEDIALECT_H
#define FERRY_LIBTRAFFIC_ROUTEDIALECT_H

#include "LibRouting/RoutedCall.h"
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// What a caller says about its request beside method, path and body.
struct CallerDetails {
  RequestId Id;
  /// How long the caller waits, in milliseconds.
  std::optional<uint64_t> WaitMillis;
  /// The key of a workspace; empty if none was shown.
  std::string Key;
  std::vector<routing::PromptPart> Parts;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
};

/// What a target is told beside the caller's request.
struct TargetDetails {
  /// Any other target must refuse the request.
  TargetId Expected;
  uint64_t WaitMillis = 0;
  /// Empty for a route that needs no key.
  WorkspaceId Workspace;
  /// Cached parts are found under the same text only; empty is shared by all.
  std::string CacheScope;
  uint32_t Priority = 0;
  /// Any other weights must refuse the request; 0 for targets without weights.
  WeightsVersion Weights;
  /// Where the target fetches cached parts from; empty for nowhere.
  std::string FetchFrom;
  /// Where it saves them once they are read; empty for nowhere.
  std::string SaveTo;
  /// The last event that the caller has, where a stream goes on.
  std::optional<std::string> AfterEvent;
};

/// What a target's answer says beside its status and body.
struct AnswerDetails {
  /// The target promises that it has not run the request and never will.
  bool NotRun = false;
  /// The answer names another request.
  bool ForAnother = false;
  /// The target is another than expected.
  bool OtherTarget = false;
  /// The target vouches for the answer.
  bool Vouched = false;
};

struct RouteDialect {
  std::function<CallerDetails(const Poco::Net::HTTPRequest &)> ReadCaller;
  /// \returns the head for the target, without its framing: the caller's head
  /// less what concerns one connection or is the system's to set.
  std::function<Poco::Net::HTTPRequest(const Poco::Net::HTTPRequest &,
                                       const TargetDetails &)>
      WriteTarget;
  std::function<AnswerDetails(const Poco::Net::HTTPResponse &,
                              const RequestId &)>
      ReadAnswer;
};

/// Whether the header \p Name concerns one connection only.
bool isConnectionHeader(const std::string &Name);

} // namespace ferry::traffic

#endif
