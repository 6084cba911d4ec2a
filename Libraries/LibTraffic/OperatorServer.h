/// \file
/// The HTTP server for operators.
#ifndef FERRY_LIBTRAFFIC_OPERATORSERVER_H
#define FERRY_LIBTRAFFIC_OPERATORSERVER_H

#include "LibTraffic/HttpListener.h"
#include "LibTraffic/TrafficContext.h"
#include <functional>
#include <memory>
#include <string>

namespace ferry::traffic {

/// Serves the description, the dump, metrics and the drain on one address.
/// Every route needs the token named "operator".
class OperatorServer {
public:
  /// Texts that other parts of the process render.
  struct Sources {
    /// Metrics in the Prometheus text format.
    std::function<std::string()> MetricsText;
    /// State of the HTTP side as a JSON object.
    std::function<std::string()> TrafficDump;
  };

  /// Binds the settings' operator address and starts.
  static Result<std::unique_ptr<OperatorServer>, TrafficError>
  tryStart(TrafficContext &Context, Sources Sources);

  /// The "IP:port" it listens on.
  const std::string &address() const { return Listener->address(); }
  /// Stops the server. Requests in progress may finish until \p Deadline.
  void stop(Timestamp Deadline) { Listener->stop(Deadline); }

private:
  OperatorServer(TrafficContext &Context, Sources Texts)
      : Context(Context), TextSources(std::move(Texts)) {}

  void handle(HttpExchange &Exchange);
  void dispatchRoute(HttpExchange &Exchange, const RequestTarget &Target);
  void putDescription(HttpExchange &Exchange);
  void getDescription(HttpExchange &Exchange);
  void getSpread(HttpExchange &Exchange, const RequestTarget &Target);
  void getHistory(HttpExchange &Exchange);
  void getDump(HttpExchange &Exchange);
  void getMetrics(HttpExchange &Exchange);
  void postDrain(HttpExchange &Exchange);
  void sendChangeOutcome(HttpExchange &Exchange,
                         const registry::ChangeOutcome &Outcome);

  TrafficContext &Context;
  Sources TextSources;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif
