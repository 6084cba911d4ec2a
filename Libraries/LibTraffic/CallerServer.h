/// \file
/// The HTTP server for callers.
#ifndef FERRY_LIBTRAFFIC_CALLERSERVER_H
#define FERRY_LIBTRAFFIC_CALLERSERVER_H

#include "LibTraffic/ClaimSettler.h"
#include "LibTraffic/HttpListener.h"
#include "LibTraffic/ServiceCall.h"
#include "LibTraffic/TrafficContext.h"
#include <memory>
#include <string>

namespace ferry::traffic {

/// Serves entries, chat completions and plain services on one address.
class CallerServer {
public:
  /// Binds the settings' caller address and starts.
  static Result<std::unique_ptr<CallerServer>, TrafficError>
  tryStart(TrafficContext &Context);

  ~CallerServer();

  /// The "IP:port" it listens on.
  const std::string &address() const { return Listener->address(); }

  /// Stops the server. Requests in progress may finish until \p Deadline.
  void stop(Timestamp Deadline);

private:
  explicit CallerServer(TrafficContext &Context);

  void handle(HttpExchange &Exchange);
  void handleEntries(HttpExchange &Exchange, const RequestTarget &Target);
  void handleChat(HttpExchange &Exchange);
  void handleService(HttpExchange &Exchange, const RequestTarget &Target);
  /// Reads and checks a call of a plain service.
  AnswerResult<ServiceCall> tryReadCall(HttpExchange &Exchange,
                                        const RequestTarget &Target);

  TrafficContext &Context;
  ClaimSettler Settler;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif
