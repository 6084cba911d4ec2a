/// \file
/// Serves metrics and the state dump over HTTP, for the routed interface.
#ifndef FERRY_LIBTRAFFIC_METRICSSERVER_H
#define FERRY_LIBTRAFFIC_METRICSSERVER_H

#include "LibTraffic/HttpListener.h"
#include <functional>
#include <memory>
#include <string>

namespace ferry::traffic {

/// Serves GET /metrics and GET /v1/dump on one address, without a token.
class MetricsServer {
public:
  struct Sources {
    /// \returns the metrics in the Prometheus text format.
    std::function<std::string()> Metrics;
    /// \returns one JSON text, or nothing if the control thread does not reply.
    std::function<std::optional<std::string>()> Dump;
  };

  static Result<std::unique_ptr<MetricsServer>, TrafficError>
  tryStart(const std::string &Address, Sources TextSources);

  void stop(Timestamp Deadline) { Listener->stop(Deadline); }

private:
  explicit MetricsServer(Sources TextSources)
      : TextSources(std::move(TextSources)) {}
  void handle(HttpExchange &Exchange);

  Sources TextSources;
  std::unique_ptr<HttpListener> Listener;
};

} // namespace ferry::traffic

#endif
