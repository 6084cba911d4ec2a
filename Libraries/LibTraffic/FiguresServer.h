/// \file
/// Metrics and the state dump over HTTP, for the routed interface.
#ifndef FERRY_LIBTRAFFIC_FIGURESSERVER_H
#define FERRY_LIBTRAFFIC_FIGURESSERVER_H

#include "LibTraffic/HttpListener.h"
#include <functional>
#include <memory>
#include <string>

namespace ferry::traffic {

/// Serves GET /metrics and GET /v1/dump to whoever reaches its address.
class FiguresServer {
public:
  struct Sources {
    /// In the Prometheus text format.
    std::function<std::string()> Metrics;
    /// One JSON text, or nothing if the control thread does not answer.
    std::function<std::optional<std::string>()> Dump;
  };

  static Result<std::unique_ptr<FiguresServer>, TrafficError>
  tryStart(const std::string &Address, Sources Given);

  void stop(Timestamp Deadline) { Listener->stop(Deadline); }

private:
  explicit FiguresServer(Sources Given) : Given(std::move(Given)) {}
  void handle(HttpExchange &Exchange);

  Sources Given;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif
