/// \file
/// Translates between the HTTP heads of the routed interface and the router's
/// own terms. A platform provides the translation; it makes no decisions.
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

/// What the head of a caller's request says besides method and path.
struct CallerDetails {
  RequestId Id;
  /// How long the caller waits, in milliseconds.
  std::optional<uint64_t> WaitMillis;
  /// The key of a workspace; empty if the caller sent none.
  std::string Key;
  std::vector<routing::PromptPart> Parts;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0;
  /// If the caller takes up a stream: the id of the last event that it has, and
  /// of its request that brought the first one.
  std::optional<uint64_t> AfterEvent;
  RequestId Resumes;
  /// The key that a router which passed the request on has sent; empty if there
  /// is none. Callers may send any text.
  std::string PassKey;
};

/// What a router adds to a request that it passes on to another one.
struct PassDetails {
  /// The other router's key.
  std::string PassKey;
  /// Time until the request's deadline, in milliseconds.
  uint64_t WaitMillis = 0;
};

/// What the router adds to a caller's request for a target.
struct TargetDetails {
  /// The target that the request is for. Any other must refuse it.
  TargetId ExpectedTarget;
  /// Time until the request's deadline, in milliseconds.
  uint64_t WaitMillis = 0;
  /// Empty for a route that needs no key.
  WorkspaceId Workspace;
  /// Cached parts are shared only by requests with the same scope. The empty
  /// string is a scope too.
  std::string CacheScope;
  /// A smaller number is more urgent.
  uint32_t Priority = 0;
  /// A target with other weights must refuse the request; 0 for targets without
  /// weights.
  WeightsVersion Weights;
  /// Address that the target fetches cached parts from; empty for none.
  std::string FetchFrom;
  /// Address of the cache store that the target saves computed parts to; empty
  /// for none.
  std::string SaveTo;
  /// The id of the last event that the caller has, if a stream is resumed.
  std::optional<std::string> AfterEvent;
};

/// What the head of a target's answer says besides its status.
struct AnswerDetails {
  /// The target promises that it has not run the request and never will.
  bool NotRun = false;
  /// The answer names a request other than the one that was sent.
  bool OtherRequest = false;
  /// The target that answered is not the expected one.
  bool OtherTarget = false;
  /// The answer carries an attestation that it comes from the target.
  bool Attested = false;
  /// The target leaves and wants no further requests.
  bool Leaving = false;
  /// How long the target, which turned the request away, wants no request from
  /// this router.
  std::optional<Duration> Pause;
  /// The requests a second that the target takes from all hosts together;
  /// nothing if it names no limit.
  std::optional<double> Limit;
  /// The rejections a second, for want of room, that a brittle target survives;
  /// nothing if it does not say that it is brittle.
  std::optional<double> RejectionsPerSecond;
  /// Whether it names one of these two that cannot be read.
  bool LimitUnreadable = false;
};

/// The functions that read and write the heads.
struct RouteDialect {
  std::function<CallerDetails(const Poco::Net::HTTPRequest &)> ReadCaller;
  /// \returns the head for the target, without the framing of the body: the
  /// caller's head without headers that concern one connection or that only the
  /// router sets.
  std::function<Poco::Net::HTTPRequest(const Poco::Net::HTTPRequest &,
                                       const TargetDetails &)>
      WriteTarget;
  /// \returns the head for another router, without the framing of the body: the
  /// caller's head without headers that concern one connection.
  std::function<Poco::Net::HTTPRequest(const Poco::Net::HTTPRequest &,
                                       const PassDetails &)>
      WritePassed;
  std::function<AnswerDetails(const Poco::Net::HTTPResponse &,
                              const RequestId &)>
      ReadAnswer;
};

/// Whether the header \p Name concerns one connection only.
bool isConnectionHeader(const std::string &Name);

} // namespace ferry::traffic

#endif
