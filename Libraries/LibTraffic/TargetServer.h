/// \file
/// The HTTP server for targets.
#ifndef FERRY_LIBTRAFFIC_TARGETSERVER_H
#define FERRY_LIBTRAFFIC_TARGETSERVER_H

#include "LibTraffic/HttpListener.h"
#include "LibTraffic/TrafficContext.h"
#include <memory>
#include <string>

namespace ferry::traffic {

/// Parses an announcement. \p Now is the time at which it arrived, from which
/// the record's UsableUntil is counted.
AnswerResult<TargetRecord> tryParseAnnouncement(const std::string &Body,
                                                Timestamp Now);

/// Parses a batch of cache events of \p Target.
AnswerResult<cache::CacheEventBatch>
tryParseCacheEvents(const std::string &Body, const TargetId &Target);

/// Receives announcements and cache events on one address.
class TargetServer {
public:
  /// Binds the settings' target address and starts.
  static Result<std::unique_ptr<TargetServer>, TrafficError>
  tryStart(TrafficContext &Context);

  /// The "IP:port" it listens on.
  const std::string &address() const { return Listener->address(); }
  /// Stops the server. Requests in progress may finish until \p Deadline.
  void stop(Timestamp Deadline) { Listener->stop(Deadline); }

private:
  explicit TargetServer(TrafficContext &Context) : Context(Context) {}

  void handle(HttpExchange &Exchange);
  void handleAnnouncement(HttpExchange &Exchange);
  void handleEvents(HttpExchange &Exchange, const TargetId &Target);

  TrafficContext &Context;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif
