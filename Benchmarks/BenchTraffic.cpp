/// \file
/// Measures what the router adds between an engine and a caller: the delay of
/// the first event and of each token, compared with a direct connection to the
/// same fake engine in the same run, and the memory of a stream. Prints
/// Markdown tables.
#include "Fakes/FakeEngine.h"
#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/TrafficFront.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <algorithm>
#include <barrier>
#include <fstream>
#include <iostream>
#include <thread>

using namespace ferry;
using namespace ferry::fakes;
using namespace ferry::traffic;
using namespace Poco::Net;

static constexpr uint64_t TokensPerStream = 50;
static constexpr double TokenMillis = 20;
static constexpr int Rounds = 3;
/// The streams of one round start at even intervals over this time.
static constexpr std::chrono::microseconds ArrivalSpread{300'000};

namespace {

/// Times in microseconds, over all streams of one cell.
struct Times {
  std::vector<double> FirstEvent;
  /// From the engine's write to the caller's read, per token.
  std::vector<double> Delivery;
  uint64_t Incomplete = 0;
  double ResidentKib = 0;
};

double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<size_t>(Part * static_cast<double>(Values.size()));
  return Values[std::min(Index, Values.size() - 1)];
}

double residentKib() {
  std::ifstream File("/proc/self/statm");
  uint64_t Total = 0;
  uint64_t Resident = 0;
  File >> Total >> Resident;
  return static_cast<double>(Resident) * 4;
}

double microsNow() {
  return static_cast<double>(steadyNow().time_since_epoch().count());
}

/// Reads one stream from \p Address and adds its times to \p Measured.
void readStream(const std::string &Address, const std::string &Body,
                Times &Measured) {
  double Start = microsNow();
  HTTPClientSession Session{SocketAddress(Address)};
  Session.setTimeout(Poco::Timespan(60, 0));
  HTTPRequest Request("POST", "/v1/chat/completions", HTTPMessage::HTTP_1_1);
  Request.set("X-Workspace", "w1");
  Request.set("X-Ferry-Request", "direct");
  Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Session.sendRequest(Request) << Body << std::flush;
  HTTPResponse Answer;
  std::streambuf &Stream = *Session.receiveResponse(Answer).rdbuf();
  EventSplitter Splitter;
  bool Done = false;
  while (!Done && Stream.sgetc() != std::char_traits<char>::eof()) {
    double Now = microsNow();
    std::string Piece(static_cast<size_t>(Stream.in_avail()), ' ');
    Stream.sgetn(Piece.data(), static_cast<std::streamsize>(Piece.size()));
    Splitter.push(Piece);
    while (auto Event = Splitter.next()) {
      Done = Event->Data == "[DONE]";
      size_t Position = Event->Data.find("\"sent_us\":");
      if (Position == std::string::npos)
        continue;
      if (Measured.FirstEvent.empty())
        Measured.FirstEvent.push_back(Now - Start);
      Measured.Delivery.push_back(Now -
                                  std::stod(Event->Data.substr(Position + 10)));
    }
  }
  Measured.Incomplete += Done ? 0 : 1;
}

/// Reads \p Streams streams at the same time from \p Address.
/// \returns the times of all of them, and the resident memory while they run.
Times measure(const std::string &Address, size_t Streams) {
  std::vector<Times> PerStream(Streams);
  std::vector<std::thread> Callers;
  std::barrier StartBarrier(static_cast<std::ptrdiff_t>(Streams));
  for (size_t I = 0; I < Streams; ++I)
    Callers.emplace_back([&, I] {
      std::string Body = R"({"model":"m","stream":true,"max_tokens":)" +
                         std::to_string(TokensPerStream) +
                         R"(,"messages":[{"role":"user","content":"stream )" +
                         std::to_string(I) + "\"}]}";
      StartBarrier.arrive_and_wait();
      std::this_thread::sleep_for(ArrivalSpread * I / Streams);
      try {
        readStream(Address, Body, PerStream[I]);
      } catch (const Poco::Exception &) {
        ++PerStream[I].Incomplete;
      }
    });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Times Sum;
  Sum.ResidentKib = residentKib();
  for (std::thread &Caller : Callers)
    Caller.join();
  for (const Times &StreamTimes : PerStream) {
    Sum.FirstEvent.insert(Sum.FirstEvent.end(), StreamTimes.FirstEvent.begin(),
                          StreamTimes.FirstEvent.end());
    Sum.Delivery.insert(Sum.Delivery.end(), StreamTimes.Delivery.begin(),
                        StreamTimes.Delivery.end());
    Sum.Incomplete += StreamTimes.Incomplete;
  }
  return Sum;
}

routing::RoutingView makeView(const TargetRecord &Engine) {
  auto Text = std::make_shared<config::Description>();
  Text->Workspaces = {{{"w1"}, 1, config::TokenPolicy::NotRequired, ""}};
  config::Service Model;
  Model.Id = {"lm"};
  Model.Model = {"m"};
  Model.Weights = {1};
  Model.MaxConcurrent = 2048;
  Text->Services = {Model};
  Text->Limits.MaxQueued = 4096;
  routing::RoutingView View;
  View.Self = {"host-1"};
  View.Number = {1};
  View.Description = Text;
  View.ConfirmedUntil = NeverExpires;
  View.Targets = {Engine};
  View.Targets[0].UsableUntil = NeverExpires;
  return View;
}

} // namespace

static void printRow(size_t Streams, const char *Way, Times &Measured,
                     double MemoryKib) {
  std::cout << "| " << Streams << " | " << Way << " | "
            << percentile(Measured.FirstEvent, 0.5) << " | "
            << percentile(Measured.FirstEvent, 0.99) << " | "
            << percentile(Measured.Delivery, 0.5) << " | "
            << percentile(Measured.Delivery, 0.99) << " | "
            << Measured.Incomplete << " | " << MemoryKib << " |\n";
}

int main() {
  FakeOptions Base;
  Base.Record.Id = {"e1"};
  Base.Record.Incarnation = {1};
  Base.Record.Service = {"lm"};
  Base.Record.Model = {"m"};
  Base.Record.Weights = {1};
  Base.Record.Load.MaxConcurrent = 2048;
  Base.MaxThreads = 2048;
  EngineOptions Speed;
  Speed.TokenMillis = TokenMillis;
  Speed.PrefillTokensPerSecond = 1e9;
  Speed.MaxConcurrent = 2048;
  FakeEngine Engine(Base, Speed);
  Engine.start();
  TrafficOptions Options;
  Options.Settings.CallerAddress = "127.0.0.1:0";
  Options.Settings.TargetAddress = "127.0.0.1:0";
  Options.Settings.OperatorAddress = "127.0.0.1:0";
  auto Front = TrafficFront::tryStart(std::move(Options));
  if (!Front) {
    std::cerr << Front.error().message() << "\n";
    return 1;
  }
  (*Front)->setView(
      std::make_shared<routing::RoutingView>(makeView(Engine.record())));
  std::cout << "Microseconds; " << TokensPerStream << " tokens a stream, one "
            << "each " << TokenMillis << " ms; " << Rounds << " rounds.\n\n"
            << "| streams | way | first event p50 | first event p99 | "
               "delivery p50 | delivery p99 | incomplete | KiB/stream |\n"
            << "|---|---|---|---|---|---|---|---|\n";
  std::cout.precision(5);
  for (size_t Streams : {size_t(1), size_t(64), size_t(512)})
    for (int Round = 0; Round < Rounds; ++Round) {
      Times Direct = measure(Engine.address(), Streams);
      Times Routed = measure((*Front)->callerAddress(), Streams);
      double Added = Routed.ResidentKib - Direct.ResidentKib;
      printRow(Streams, "direct", Direct, 0);
      printRow(Streams, "routed", Routed, Added / static_cast<double>(Streams));
      std::cout << std::flush;
    }
  (*Front)->stop(steadyNow() + std::chrono::seconds(10));
  return 0;
}
