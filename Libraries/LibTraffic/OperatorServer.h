/// \file
/// The routes for operators.
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
  /// Texts that other parts of the process give.
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
  /// Ends the server; requests in work have until \p Deadline.
  void stop(Timestamp Deadline) { Listener->stop(Deadline); }

private:
  OperatorServer(TrafficContext &Context, Sources Given)
      : Context(Context), Given(std::move(Given)) {}

  void handle(HttpExchange &Exchange);
  void route(HttpExchange &Exchange, const RequestTarget &Target);
  void putDescription(HttpExchange &Exchange);
  void getDescription(HttpExchange &Exchange);
  void getSpread(HttpExchange &Exchange, const RequestTarget &Target);
  void getHistory(HttpExchange &Exchange);
  void getDump(HttpExchange &Exchange);
  void getMetrics(HttpExchange &Exchange);
  void postDrain(HttpExchange &Exchange);
  void answerChange(HttpExchange &Exchange,
                    const registry::ChangeOutcome &Outcome);

  TrafficContext &Context;
  Sources Given;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif
