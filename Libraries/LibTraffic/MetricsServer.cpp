#include "LibTraffic/MetricsServer.h"

namespace ferry::traffic {

static constexpr uint32_t MaxConnections = 4;
static constexpr uint64_t MaxHeaderBytes = 8 << 10;
static constexpr const char *MetricsType = "text/plain; version=0.0.4";

Result<std::unique_ptr<MetricsServer>, TrafficError>
MetricsServer::tryStart(const std::string &Address, Sources TextSources) {
  std::unique_ptr<MetricsServer> Server(
      new MetricsServer(std::move(TextSources)));
  HttpListener::Options Options;
  Options.Address = Address;
  Options.MaxConnections = MaxConnections;
  Options.MaxHeaderBytes = MaxHeaderBytes;
  auto Listener = HttpListener::tryStart(
      Options,
      [Raw = Server.get()](HttpExchange &Exchange) { Raw->handle(Exchange); });
  if (!Listener)
    return makeError(Listener.error());
  Server->Listener = std::move(*Listener);
  return Server;
}

void MetricsServer::handle(HttpExchange &Exchange) {
  std::string MethodAndUri = Exchange.method() + " " + Exchange.head().getURI();
  if (MethodAndUri == "GET /metrics") {
    Exchange.send(200, MetricsType, TextSources.Metrics());
    return;
  }
  if (MethodAndUri != "GET /v1/dump") {
    Exchange.sendError({AnswerError::NotFound, "no such route"});
    return;
  }
  if (auto Text = TextSources.Dump())
    Exchange.sendJson(200, *Text);
  else
    Exchange.sendError({AnswerError::Internal, "the control thread is busy"});
}

} // namespace ferry::traffic
