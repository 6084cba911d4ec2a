#include "Fakes/FakeServer.h"
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <charconv>
#include <sstream>

namespace ferry::fakes {

using namespace Poco::Net;

/// Most events in one batch.
static constexpr size_t MaxBatchEvents = 4096;
/// Timeout of requests to ferryd and to other fake targets.
static constexpr int ClientTimeoutSeconds = 5;

class FakeHandler : public HTTPRequestHandler {
public:
  explicit FakeHandler(FakeServer &Server) : Server(Server) {}
  void handleRequest(Request &Incoming, Response &Answer) override {
    Server.dispatch(Incoming, Answer);
  }

private:
  FakeServer &Server;
};

namespace {

class FakeHandlerFactory : public HTTPRequestHandlerFactory {
public:
  explicit FakeHandlerFactory(FakeServer &Server) : Server(Server) {}
  HTTPRequestHandler *createRequestHandler(const Request &) override {
    return new FakeHandler(Server);
  }

private:
  FakeServer &Server;
};

} // namespace

FakeServer::FakeServer(FakeOptions InitialOptions)
    : Options(std::move(InitialOptions)), Threads(2, Options.MaxThreads) {
  ServerSocket Socket;
  Socket.bind(SocketAddress(Options.Listen), true, false);
  Socket.listen(512);
  HTTPServerParams::Ptr Params(new HTTPServerParams);
  Params->setMaxThreads(Options.MaxThreads);
  Params->setMaxQueued(512);
  Params->setKeepAlive(false);
  Options.Record.Address = Socket.address().toString();
  Server = std::make_unique<HTTPServer>(new FakeHandlerFactory(*this), Threads,
                                        Socket, Params);
}

FakeServer::~FakeServer() { stop(); }

void FakeServer::start() {
  Server->start();
  if (!Options.Hosts.empty())
    Announcer = std::thread([this] { announceUntilStopped(); });
}

void FakeServer::stop() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  StopWanted.notify_all();
  if (Announcer.joinable())
    Announcer.join();
  if (Server)
    Server->stopAll(true);
  Threads.joinAll();
  // Closes the listening socket: further connections are refused.
  Server.reset();
}

void FakeServer::leave() { announce(TargetPhase::Leaving); }

std::string FakeServer::address() const { return Options.Record.Address; }

TargetRecord FakeServer::record() {
  std::lock_guard Lock(Mutex);
  return Options.Record;
}

bool FakeServer::pause(double Millis) {
  std::unique_lock Lock(Mutex);
  return !StopWanted.wait_for(Lock,
                              std::chrono::duration<double, std::milli>(Millis),
                              [this] { return Stopping.load(); });
}

void FakeServer::dispatch(Request &Incoming, Response &Answer) {
  try {
    std::string Path = Poco::URI(Incoming.getURI()).getPath();
    if (Path != "/faults") {
      handle(Path, Incoming, Answer);
      return;
    }
    bool Valid = Faults.set(readBody(Incoming));
    sendJson(Answer, Valid ? 200 : 400, "{}");
  } catch (const Poco::Exception &) {
    // The router closed the connection.
  }
}

void FakeServer::publish(cache::CacheEvent Event) {
  std::lock_guard Lock(Mutex);
  Events.emplace_back(
      steadyNow() + std::chrono::milliseconds(Options.EventDelayMillis), Event);
}

void FakeServer::announceUntilStopped() {
  Timestamp NextAnnouncement = steadyNow();
  while (!Stopping) {
    if (steadyNow() >= NextAnnouncement) {
      announce(record().Phase);
      NextAnnouncement =
          steadyNow() + std::chrono::milliseconds(Options.AnnouncePeriodMillis);
    }
    sendEvents();
    pause(std::max(1, Options.EventDelayMillis / 2));
  }
}

static std::string quoted(const std::string &Text) {
  return "\"" + Text + "\"";
}

static std::string announcement(const TargetRecord &Record, TargetPhase Phase) {
  const TargetLoad &Load = Record.Load;
  std::ostringstream Out;
  Out << "{\"id\":" << quoted(Record.Id.Value)
      << ",\"incarnation\":" << Record.Incarnation.Value
      << ",\"address\":" << quoted(Record.Address)
      << ",\"data_centre\":" << quoted(Record.DataCentre.Value)
      << ",\"kind\":" << quoted(std::string(enumName(Record.Kind)))
      << ",\"phase\":" << quoted(std::string(enumName(Phase)))
      << ",\"service\":" << quoted(Record.Service.Value)
      << ",\"model\":" << quoted(Record.Model.Value)
      << ",\"adapter\":" << quoted(Record.Adapter.Value)
      << ",\"weights\":" << Record.Weights.Value
      << ",\"fencing\":" << quoted(std::string(enumName(Record.Fencing)))
      << ",\"sequence\":" << Record.Sequence
      << ",\"leaving\":" << (Phase == TargetPhase::Leaving ? "true" : "false")
      << ",\"load\":{\"running\":" << Load.RunningRequests
      << ",\"queued\":" << Load.QueuedRequests
      << ",\"queued_prefill_tokens\":" << Load.QueuedPrefillTokens
      << ",\"max_concurrent\":" << Load.MaxConcurrent << "}}";
  return Out.str();
}

void FakeServer::announce(TargetPhase Phase) {
  TargetLoad CurrentLoad = load();
  std::string Body;
  {
    std::lock_guard Lock(Mutex);
    Timestamp ReportedAt =
        steadyNow() - std::chrono::milliseconds(Options.LoadLagMillis);
    Loads.emplace_back(steadyNow(), CurrentLoad);
    while (Loads.size() > 1 && Loads[1].first <= ReportedAt)
      Loads.pop_front();
    Options.Record.Load = Loads.front().second;
    ++Options.Record.Sequence;
    Body = announcement(Options.Record, Phase);
  }
  for (const std::string &Host : Options.Hosts) {
    auto Reply = postJson(Host, "/v1/targets", Body);
    auto Object = Reply ? parseObject(*Reply) : nullptr;
    if (!Object)
      continue;
    std::lock_guard Lock(Mutex);
    EventAddresses.clear();
    if (auto Addresses = Object->getArray("events_to"))
      for (const auto &Address : *Addresses)
        EventAddresses.push_back(Address.toString());
    ResyncRequested = ResyncRequested || Object->optValue("resync", false);
    return;
  }
}

void FakeServer::sendEvents() {
  std::vector<std::string> EventTexts;
  std::vector<std::string> Addresses;
  uint64_t FirstNumber = 0;
  bool WholeCache = false;
  {
    std::lock_guard Lock(Mutex);
    WholeCache = ResyncRequested;
    ResyncRequested = false;
    Timestamp Now = steadyNow();
    FirstNumber = NextEvent;
    while (!Events.empty() && EventTexts.size() < MaxBatchEvents &&
           Events.front().first <= Now) {
      const cache::CacheEvent &Event = Events.front().second;
      EventTexts.push_back("[" + quoted(std::string(enumName(Event.Kind))) +
                           "," + quoted(hexBlock(Event.Block)) + "]");
      Events.pop_front();
    }
    NextEvent += EventTexts.size();
    Addresses = EventAddresses;
  }
  if (WholeCache) {
    EventTexts.clear();
    for (cache::BlockHash Block : blocks())
      EventTexts.push_back("[\"stored\"," + quoted(hexBlock(Block)) + "]");
  }
  if (EventTexts.empty() && !WholeCache)
    return;
  if (Faults.consume(Fault::LoseEvents))
    return;
  std::ostringstream Body;
  Body << "{\"incarnation\":" << record().Incarnation.Value
       << ",\"first_number\":" << FirstNumber
       << ",\"whole_cache\":" << (WholeCache ? "true" : "false")
       << ",\"events\":[";
  for (size_t I = 0; I < EventTexts.size(); ++I)
    Body << (I ? "," : "") << EventTexts[I];
  Body << "]}";
  for (const std::string &Address : Addresses)
    postJson(Address, "/v1/targets/" + record().Id.Value + "/cache-events",
             Body.str());
}

std::string readBody(Request &Incoming) {
  std::string Body;
  Poco::StreamCopier::copyToString(Incoming.stream(), Body);
  return Body;
}

void sendJson(Response &Answer, int Status, const std::string &Body) {
  Answer.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(Status));
  Answer.setContentType("application/json");
  Answer.sendBuffer(Body.data(), Body.size());
}

Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  try {
    return Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const Poco::Exception &) {
    return nullptr;
  }
}

std::optional<std::string> postJson(const std::string &Address,
                                    const std::string &Path,
                                    const std::string &Body) {
  try {
    HTTPClientSession Session{SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(ClientTimeoutSeconds, 0));
    HTTPRequest Posted("POST", Path, HTTPMessage::HTTP_1_1);
    Posted.setContentType("application/json");
    Posted.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    Session.sendRequest(Posted) << Body;
    HTTPResponse Answer;
    std::string Text;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Answer), Text);
    if (Answer.getStatus() != HTTPResponse::HTTP_OK)
      return std::nullopt;
    return Text;
  } catch (const Poco::Exception &) {
    return std::nullopt;
  }
}

std::string hexBlock(cache::BlockHash Hash) {
  char Text[17] = {};
  auto [End, Failure] = std::to_chars(Text, Text + 16, Hash.Value, 16);
  (void)Failure;
  return {Text, End};
}

std::vector<cache::BlockHash> parseBlocks(const std::string &Text) {
  std::vector<cache::BlockHash> Blocks;
  std::istringstream Parts(Text);
  std::string Part;
  while (std::getline(Parts, Part, ','))
    Blocks.push_back({std::strtoull(Part.c_str(), nullptr, 16)});
  return Blocks;
}

} // namespace ferry::fakes
