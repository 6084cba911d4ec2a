#include "LibTraffic/FiguresServer.h"

namespace ferry::traffic {

static constexpr uint32_t MaxConnections = 4;
static constexpr uint64_t MaxHeaderBytes = 8 << 10;
static constexpr const char *MetricsType = "text/plain; version=0.0.4";

Result<std::unique_ptr<FiguresServer>, TrafficError>
FiguresServer::tryStart(const std::string &Address, Sources Given) {
  std::unique_ptr<FiguresServer> Server(new FiguresServer(std::move(Given)));
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

void FiguresServer::handle(HttpExchange &Exchange) {
  std::string Asked = Exchange.method() + " " + Exchange.head().getURI();
  if (Asked == "GET /metrics") {
    Exchange.send(200, MetricsType, Given.Metrics());
    return;
  }
  if (Asked != "GET /v1/dump") {
    Exchange.sendError({AnswerError::NotFound, "no such route"});
    return;
  }
  if (auto Text = Given.Dump())
    Exchange.sendJson(200, *Text);
  else
    Exchange.sendError({AnswerError::Internal, "the control thread is busy"});
}

} // namespace ferry::traffic
