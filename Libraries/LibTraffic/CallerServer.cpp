#include "LibTraffic/CallerServer.h"
#include "LibRouting/Entries.h"
#include "LibTraffic/CallerRequest.h"
#include "LibTraffic/ChatRelay.h"
#include "LibTraffic/ClaimedCall.h"
#include "LibTraffic/ServiceCall.h"
#include <algorithm>
#include <array>

namespace ferry::traffic {

static constexpr std::string_view ServicesPrefix = "/v1/services/";
/// Methods that are passed on to plain services.
static constexpr std::array<std::string_view, 7> ServiceMethods = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
/// Bodies of the largest size that may be in memory at a time.
static constexpr uint64_t BodiesInMemory = 16;

namespace {

/// Counts one request as in hand while it lives.
class InHandMark {
public:
  explicit InHandMark(TrafficContext &Context) : Context(Context) {
    ++Context.InHand;
  }
  ~InHandMark() { --Context.InHand; }
  InHandMark(const InHandMark &) = delete;
  InHandMark &operator=(const InHandMark &) = delete;

private:
  TrafficContext &Context;
};

} // namespace

CallerServer::CallerServer(TrafficContext &Context)
    : Context(Context), Settler(Context.Control, Context.Limits.SettleLimit) {}

CallerServer::~CallerServer() { stop(steadyNow()); }

Result<std::unique_ptr<CallerServer>, TrafficError>
CallerServer::tryStart(TrafficContext &Context) {
  std::unique_ptr<CallerServer> Server(new CallerServer(Context));
  const config::InputLimits &Limits = Context.Settings.Limits;
  auto Listener = HttpListener::tryStart(
      {Context.Settings.CallerAddress, Limits.MaxCallerConnections,
       Limits.MaxHeaderBytes, Limits.MaxBodyBytes * BodiesInMemory},
      [Raw = Server.get()](HttpExchange &Exchange) { Raw->handle(Exchange); });
  if (!Listener)
    return makeError(Listener.error());
  Server->Listener = std::move(*Listener);
  return Server;
}

void CallerServer::stop(Timestamp Deadline) {
  if (Listener)
    Listener->stop(Deadline);
  Settler.drain(Deadline);
}

void CallerServer::handle(HttpExchange &Exchange) {
  auto Target = Exchange.tryTarget();
  if (!Target) {
    Exchange.sendError(Target.error());
    return;
  }
  if (Target->Path == "/v1/entries") {
    handleEntries(Exchange, *Target);
    return;
  }
  InHandMark Mark(Context);
  Context.Counters.add(TrafficCount::Requests);
  if (std::string Shown = Exchange.header("X-Request-Id");
      !Shown.empty() && Shown.size() <= 128)
    Exchange.setHeader("X-Request-Id", Shown);
  if (Target->Path == "/v1/chat/completions")
    handleChat(Exchange);
  else if (Target->Path.starts_with(ServicesPrefix))
    handleService(Exchange, *Target);
  else
    Exchange.sendError({AnswerError::NotFound, "no such route"});
}

/// \returns the JSON object of one entry.
static std::string entryJson(const routing::EntryHost &Host,
                             uint32_t LifetimeMillis) {
  return "{\"host\":" + jsonString(Host.Id.Value) +
         ",\"address\":" + jsonString(Host.CallerAddress) +
         ",\"data_centre\":" + jsonString(Host.DataCentre.Value) +
         ",\"expires_ms\":" + std::to_string(LifetimeMillis) + "}";
}

/// \returns the hosts of the settings, for a router that knows none to be
/// alive.
static std::vector<routing::EntryHost>
listedHosts(const config::Settings &Settings, routing::HostStanding Own) {
  std::vector<routing::EntryHost> Hosts;
  for (const config::PeerHost &Peer : Settings.Hosts)
    if (Peer.Id != Settings.Host || Own == routing::HostStanding::Serving)
      Hosts.push_back({Peer.Id, Peer.DataCentre, Peer.CallerAddress});
  return Hosts;
}

void CallerServer::handleEntries(HttpExchange &Exchange,
                                 const RequestTarget &Target) {
  if (Exchange.method() != "GET") {
    Exchange.sendError({AnswerError::MethodNotAllowed, "use GET"});
    return;
  }
  auto Workspace = Target.Query.find("workspace");
  if (Workspace == Target.Query.end() || Workspace->second.empty()) {
    Exchange.sendError(
        {AnswerError::BadRequest, "the query needs workspace=NAME"});
    return;
  }
  std::optional<DataCentreId> Near = Context.Settings.DataCentre;
  if (auto Found = Target.Query.find("data_centre");
      Found != Target.Query.end())
    Near = DataCentreId{Found->second};
  auto View = Context.Placements.view();
  auto Hosts = routing::rankEntries(*View, {Workspace->second}, Near,
                                    Exchange.callerKey());
  if (Hosts.empty())
    Hosts = listedHosts(Context.Settings, View->OwnStanding);
  std::string Body =
      "{\"workspace\":" + jsonString(Workspace->second) + ",\"entries\":[";
  for (size_t I = 0; I < Hosts.size(); ++I)
    Body += (I ? "," : "") +
            entryJson(Hosts[I], Context.Settings.EntryLifetimeMillis);
  Exchange.sendJson(200, Body + "]}");
}

void CallerServer::handleChat(HttpExchange &Exchange) {
  if (Exchange.method() != "POST") {
    Exchange.sendError({AnswerError::MethodNotAllowed, "use POST"});
    return;
  }
  auto Caller = tryReadCaller(Context, Exchange);
  if (!Caller) {
    Exchange.sendError(Caller.error());
    return;
  }
  auto Admitted =
      admissionAt(Context, *Caller->View, Caller->Workspace, steadyNow());
  if (Admitted.Mode == Admission::Refused) {
    Context.Counters.add(TrafficCount::Refused);
    Exchange.sendError(Admitted.Refusal);
    return;
  }
  auto Body = Exchange.tryReadBody(Context.Settings.Limits.MaxBodyBytes);
  if (!Body) {
    Exchange.sendError(Body.error());
    return;
  }
  auto Request =
      tryParseChatRequest(*Body, Context.Settings.Limits.MaxPromptBytes);
  if (!Request) {
    Exchange.sendError(Request.error());
    return;
  }
  auto Description = Caller->View->Description;
  const config::Service *Service =
      Description->findModelService(Request->Model);
  if (!Service) {
    Exchange.sendError({AnswerError::UnknownModel,
                        "the description has no service for this model"});
    return;
  }
  ChatRelay Relay(Context, Exchange, std::move(*Caller), std::move(*Request),
                  std::move(*Body), *Service);
  Relay.run();
}

AnswerResult<ServiceCall>
CallerServer::tryReadCall(HttpExchange &Exchange, const RequestTarget &Target) {
  auto Caller = tryReadCaller(Context, Exchange);
  if (!Caller)
    return makeError(Caller.error());
  auto Admitted =
      admissionAt(Context, *Caller->View, Caller->Workspace, steadyNow());
  // Whether a call is claimed stands in the description; without one a key says
  // that an earlier try of the call may have run.
  if (!Caller->View->Description) {
    if (!Caller->IdempotencyKey.empty())
      Admitted.Refusal.NotRun = NotRun::Unknown;
    return makeError(Admitted.Refusal);
  }
  if (std::find(ServiceMethods.begin(), ServiceMethods.end(),
                Exchange.method()) == ServiceMethods.end())
    return makeError(
        ErrorAnswer{AnswerError::MethodNotAllowed, "the method is unknown"});
  std::string Rest = Target.Path.substr(ServicesPrefix.size());
  size_t Slash = std::min(Rest.find('/'), Rest.size());
  const config::Service *Service =
      Caller->View->Description->findService({Rest.substr(0, Slash)});
  if (!Service || Service->Kind != TargetKind::PlainService)
    return makeError(ErrorAnswer{AnswerError::UnknownService,
                                 "the description has no such plain service"});
  ServiceCall Call;
  Call.Service = Service->Id;
  Call.Method = Exchange.method();
  Call.Path = Slash < Rest.size() ? Rest.substr(Slash) : "/";
  Call.RawQuery = Target.RawQuery;
  Call.ContentType = Exchange.header("Content-Type");
  Call.Accept = Exchange.header("Accept");
  Call.Rule = repeatRule(*Service, Call.Method, Call.Path);
  Call.Deadline = requestDeadline(*Caller, *Service);
  Call.Caller = std::move(*Caller);
  bool NeedsKey = Call.Rule == RepeatRule::Claimed;
  if (NeedsKey && Call.Caller.IdempotencyKey.empty())
    return makeError(ErrorAnswer{AnswerError::KeyRequired,
                                 "this call needs an Idempotency-Key"});
  // A claimed call asks the ledger first: only that makes "not run" true.
  bool Refused = Admitted.Mode == Admission::Refused ||
                 (Admitted.Mode == Admission::ReadsOnly &&
                  Call.Method != "GET" && Call.Method != "HEAD");
  if (Refused && !NeedsKey)
    return makeError(Admitted.Refusal);
  auto Body = Exchange.tryReadBody(Context.Settings.Limits.MaxBodyBytes);
  if (!Body)
    return makeError(Body.error());
  Call.Body = std::move(*Body);
  return Call;
}

void CallerServer::handleService(HttpExchange &Exchange,
                                 const RequestTarget &Target) {
  auto Call = tryReadCall(Exchange, Target);
  if (!Call) {
    Exchange.sendError(Call.error());
    return;
  }
  if (Call->Rule != RepeatRule::Claimed) {
    relayCall(Context, Exchange, *Call);
    return;
  }
  ClaimedCall Claimed(Context, Settler, Exchange, *Call);
  Claimed.run();
}

} // namespace ferry::traffic
