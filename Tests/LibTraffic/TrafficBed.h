/// \file
/// A TrafficFront on loopback with a real ledger and fake targets.
#ifndef FERRY_LIBTRAFFIC_TRAFFICBED_H
#define FERRY_LIBTRAFFIC_TRAFFICBED_H

#include "Fakes/FakeEngine.h"
#include "Fakes/FakeStores.h"
#include "LibRegistry/ClaimLedger.h"
#include "LibTraffic/ServiceCall.h"
#include "LibTraffic/TrafficFront.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <fstream>

namespace ferry::traffic {

/// Upper bound of waits for events that must happen. No test's result depends
/// on its length.
inline constexpr std::chrono::seconds MaxWait{30};

/// Waits for \p Condition. \returns whether it became true.
template <typename ConditionType> bool waitFor(ConditionType Condition) {
  Timestamp Limit = steadyNow() + MaxWait;
  while (!Condition()) {
    if (steadyNow() > Limit)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

/// How one command to the ledger fails: lost before or after the ledger applied
/// it, never proposed, or lost without any reply.
enum class LedgerFault : uint8_t { LostBefore, LostAfter, NotProposed, Silent };
enum class LedgerCommand : uint8_t { Claim, Complete, Release, MarkUnknown };

/// The real ledger behind a control port that can fail. Several hosts may share
/// it.
class LedgerStub {
public:
  using Done = std::function<void(RegistryResult<registry::ClaimOutcome>)>;

  /// Lets the next \p Count commands of this kind fail.
  void fail(LedgerCommand Command, LedgerFault Fault, size_t Count = 1) {
    std::lock_guard Lock(Mutex);
    for (size_t I = 0; I < Count; ++I)
      Faults[Command].push_back(Fault);
  }
  void clearFaults() {
    std::lock_guard Lock(Mutex);
    Faults.clear();
  }
  size_t count(LedgerCommand Command) {
    std::lock_guard Lock(Mutex);
    return Counts[Command];
  }
  /// Applies a command directly, without a host.
  template <typename CommandType>
  registry::ClaimOutcome apply(const CommandType &Command) {
    std::lock_guard Lock(Mutex);
    return Ledger.apply(Command);
  }

  ControlPort port() {
    using namespace registry;
    ControlPort Port;
    Port.Claim = [this](ClaimKey Key, ClaimAttempt Attempt, uint64_t Digest,
                        Timestamp, Done Reply) {
      run(LedgerCommand::Claim, Claim{Key, Attempt, Digest, unixNow()}, Reply);
    };
    Port.Complete = [this](ClaimKey Key, ClaimAttempt Attempt,
                           ClaimCompleted Answer, Timestamp, Done Reply) {
      run(LedgerCommand::Complete, Complete{Key, Attempt, Answer}, Reply);
    };
    Port.Release = [this](ClaimKey Key, ClaimAttempt Attempt, Timestamp,
                          Done Reply) {
      run(LedgerCommand::Release, Release{Key, Attempt}, Reply);
    };
    Port.MarkUnknown = [this](ClaimKey Key, ClaimAttempt Holder, Timestamp,
                              Done Reply) {
      run(LedgerCommand::MarkUnknown, MarkUnknown{Key, Holder}, Reply);
    };
    Port.Announce = [this](TargetRecord Record, Timestamp, auto Reply) {
      std::lock_guard Lock(Mutex);
      Announced.push_back(Record);
      Reply(AnnounceReply{});
    };
    Port.Dump = [](auto Reply) { Reply("{}"); };
    Port.Drain = [this] { ++Drains; };
    return Port;
  }

  std::vector<TargetRecord> Announced;
  std::atomic<int> Drains = 0;

private:
  template <typename CommandType>
  void run(LedgerCommand Name, const CommandType &Command, const Done &Reply) {
    using registry::RegistryErrorKind;
    std::unique_lock Lock(Mutex);
    ++Counts[Name];
    std::optional<LedgerFault> Fault;
    if (!Faults[Name].empty()) {
      Fault = Faults[Name].front();
      Faults[Name].pop_front();
    }
    bool Applies = !Fault || *Fault == LedgerFault::LostAfter;
    std::optional<registry::ClaimOutcome> Outcome;
    if (Applies)
      Outcome = Ledger.apply(Command);
    Lock.unlock();
    if (!Fault)
      Reply(*Outcome);
    else if (*Fault == LedgerFault::NotProposed)
      Reply(makeTypedError(RegistryErrorKind::NotProposed));
    else if (*Fault != LedgerFault::Silent)
      Reply(makeTypedError(RegistryErrorKind::Timeout));
  }

  std::mutex Mutex;
  registry::ClaimLedger Ledger;
  std::map<LedgerCommand, std::deque<LedgerFault>> Faults;
  std::map<LedgerCommand, size_t> Counts;
};

/// One answer as a caller receives it.
struct CallerReply {
  int Status = 0;
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// \returns the member \p Name of the error object as text, "" if there is no
  /// error object.
  std::string error(const std::string &Name) const {
    auto Object = fakes::parseObject(Body);
    auto Error = Object ? Object->getObject("error") : nullptr;
    return Error ? Error->getValue<std::string>(Name) : "";
  }
};

using Headers = std::map<std::string, std::string>;

/// Sends one request. Status 0 means that the connection failed.
inline CallerReply ask(const std::string &Address, const std::string &Method,
                       const std::string &Path, const Headers &Fields = {},
                       const std::string &Body = "") {
  using namespace Poco::Net;
  CallerReply Answer;
  try {
    HTTPClientSession Session{SocketAddress(Address)};
    Session.setTimeout(Poco::Timespan(MaxWait.count(), 0));
    HTTPRequest Request(Method, Path, HTTPMessage::HTTP_1_1);
    for (const auto &[Name, Value] : Fields)
      Request.set(Name, Value);
    if (Method != "GET")
      Request.setContentLength64(static_cast<Poco::Int64>(Body.size()));
    Session.sendRequest(Request) << Body;
    HTTPResponse Response;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                     Answer.Body);
    Answer.Status = Response.getStatus();
    for (const auto &[Name, Value] : Response)
      Answer.Headers[Name] = Value;
  } catch (const Poco::Exception &) {
    // Status stays 0.
  }
  return Answer;
}

/// Sends raw bytes and reads until the server closes.
inline std::string exchangeRaw(const std::string &Address,
                               const std::string &Bytes) {
  std::string Answer;
  try {
    Poco::Net::StreamSocket Socket{Poco::Net::SocketAddress(Address)};
    Socket.setReceiveTimeout(Poco::Timespan(MaxWait.count(), 0));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    Socket.shutdownSend();
    char Piece[4096];
    while (int Count = Socket.receiveBytes(Piece, sizeof(Piece)))
      Answer.append(Piece, static_cast<size_t>(Count));
  } catch (const Poco::Exception &) {
    // A reset also ends the answer.
  }
  return Answer;
}

/// \returns the description that the tests use.
inline std::shared_ptr<const config::Description> testDescription() {
  auto Description = std::make_shared<config::Description>();
  Description->Workspaces = {
      {{"w1"}, 1, config::TokenPolicy::NotRequired, ""},
      {{"w2"}, 1, config::TokenPolicy::Required, "w2-token"}};
  config::Service Model;
  Model.Id = {"lm"};
  Model.Model = {"m"};
  Model.Weights = {1};
  config::Service App;
  App.Id = {"app"};
  App.Kind = TargetKind::PlainService;
  App.NonIdempotent = {{"POST", "/holds"}};
  Description->Services = {Model, App};
  Description->Limits.RetryBudgetPercent = 100;
  return Description;
}

/// One host under test.
class TrafficBed {
public:
  explicit TrafficBed(LedgerStub &Ledger, const std::string &Name = "host-1",
                      uint64_t IncarnationNumber = 1, TrafficLimits Limits = {},
                      uint32_t EntryLifetimeMillis = 200,
                      std::optional<ControlPort> Port = std::nullopt) {
    TokenFile = std::filesystem::temp_directory_path() /
                ("ferry-tokens-" + std::to_string(systemSeed()));
    std::ofstream(TokenFile) << "operator: op-secret\nw2-token: w2-secret\n";
    TrafficOptions Options;
    Options.Settings.Host = {Name};
    Options.Settings.DataCentre = {"dc-a"};
    Options.Settings.CallerAddress = "127.0.0.1:0";
    Options.Settings.TargetAddress = "127.0.0.1:0";
    Options.Settings.OperatorAddress = "127.0.0.1:0";
    Options.Settings.TokenFile = TokenFile;
    Options.Settings.Hosts = {{{"host-1"}, "", "127.0.0.1:1", {"dc-a"}, {}},
                              {{"host-2"}, "", "127.0.0.1:2", {"dc-a"}, {}}};
    Options.Settings.EntryLifetimeMillis = EntryLifetimeMillis;
    Options.Settings.Limits.MaxBodyBytes = 1 << 20;
    Options.Settings.Limits.MaxPromptBytes = 512 << 10;
    Options.Settings.Limits.MaxHeaderBytes = 8 << 10;
    Options.Incarnation = {IncarnationNumber};
    Options.Control = Port.value_or(Ledger.port());
    Options.Limits = Limits;
    Options.Scheduler.Self = {Name};
    View.Self = {Name};
    View.DataCentre = {"dc-a"};
    View.Number = {1};
    View.Description = testDescription();
    View.ConfirmedUntil = NeverExpires;
    View.Hosts = {{{Name},
                   {"dc-a"},
                   "127.0.0.1:1",
                   routing::HostStanding::Serving,
                   {IncarnationNumber}},
                  {{"host-2"},
                   {"dc-a"},
                   "127.0.0.1:2",
                   routing::HostStanding::Serving,
                   {1}}};
    auto Started = TrafficFront::tryStart(std::move(Options));
    BOOST_REQUIRE(Started.has_value());
    Front = std::move(*Started);
    publishView();
  }
  ~TrafficBed() { std::filesystem::remove(TokenFile); }

  /// Starts a fake target and publishes it to the host.
  void add(fakes::FakeServer &Fake) {
    Fake.start();
    TargetRecord Record = Fake.record();
    Record.UsableUntil = NeverExpires;
    View.Targets.push_back(Record);
    publishView();
  }
  void publishView() {
    Front->setView(std::make_shared<routing::RoutingView>(View));
  }

  CallerReply chat(const std::string &Body, Headers Fields = {}) {
    Fields.emplace("X-Workspace", "w1");
    return ask(Front->callerAddress(), "POST", "/v1/chat/completions", Fields,
               Body);
  }
  /// Sends a non-idempotent call.
  CallerReply placeHold(const std::string &Key, Headers Fields = {},
                        const std::string &Body = "{\"title\":7}") {
    Fields.emplace("X-Workspace", "w1");
    if (!Key.empty())
      Fields.emplace("Idempotency-Key", Key);
    return ask(Front->callerAddress(), "POST", "/v1/services/app/holds/7",
               Fields, Body);
  }

  routing::RoutingView View;
  std::unique_ptr<TrafficFront> Front;

private:
  std::filesystem::path TokenFile;
};

/// \returns the options of an engine or, if \p Id starts with "app", of a plain
/// service.
inline fakes::FakeOptions fakeOptions(const std::string &Id,
                                      uint64_t Weights = 1) {
  fakes::FakeOptions Options;
  Options.Record.Id = {Id};
  Options.Record.Incarnation = {5};
  Options.Record.DataCentre = {"dc-a"};
  Options.Record.Service = {Id.starts_with("app") ? "app" : "lm"};
  Options.Record.Model = {"m"};
  Options.Record.Weights = {Weights};
  return Options;
}

} // namespace ferry::traffic

#endif
