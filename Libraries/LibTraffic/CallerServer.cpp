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
/// Methods that are relayed to plain services.
static constexpr std::array<std::string_view, 7> ServiceMethods = {
    "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"};
/// Memory for request bodies, as a number of bodies of the largest size.
static constexpr uint64_t BodiesInMemory = 16;

namespace {

/// Counts one request as active while the guard exists.
class ActiveRequestGuard {
public:
  explicit ActiveRequestGuard(TrafficContext &Context) : Context(Context) {
    ++Context.ActiveRequests;
  }
  ~ActiveRequestGuard() { --Context.ActiveRequests; }
  ActiveRequestGuard(const ActiveRequestGuard &) = delete;
  ActiveRequestGuard &operator=(const ActiveRequestGuard &) = delete;

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
  HttpListener::Options Options{
      Context.Settings.CallerAddress, Limits.MaxCallerConnections,
      Limits.MaxHeaderBytes, Limits.MaxBodyBytes * BodiesInMemory};
  Options.HeadBudgetBytes = Limits.MaxHeadMemoryBytes;
  auto Listener = HttpListener::tryStart(
      Options,
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
  ActiveRequestGuard Guard(Context);
  Context.Counters.add(TrafficCount::Requests);
  if (std::string RequestIdText = Exchange.header("X-Request-Id");
      !RequestIdText.empty() && RequestIdText.size() <= 128)
    Exchange.setHeader("X-Request-Id", RequestIdText);
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

/// \returns the hosts of the settings, for a router that has seen none alive.
/// Leaves out this host unless it is serving.
static std::vector<routing::EntryHost>
hostsFromSettings(const config::Settings &Settings,
                  routing::HostStanding Standing) {
  std::vector<routing::EntryHost> Hosts;
  for (const config::PeerHost &Peer : Settings.Hosts)
    if (Peer.Id != Settings.Host || Standing == routing::HostStanding::Serving)
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
  std::optional<DataCentreId> PreferredDataCentre = Context.Settings.DataCentre;
  if (auto QueryDataCentre = Target.Query.find("data_centre");
      QueryDataCentre != Target.Query.end())
    PreferredDataCentre = DataCentreId{QueryDataCentre->second};
  auto View = Context.Placements.view();
  auto Hosts =
      routing::rankEntries(*View, {Workspace->second}, PreferredDataCentre,
                           Exchange.callerAddressHash());
  if (Hosts.empty())
    Hosts = hostsFromSettings(Context.Settings, View->OwnStanding);
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
  auto Decision =
      admissionAt(Context, *Caller->View, Caller->Workspace, steadyNow());
  if (Decision.Mode == Admission::Refused) {
    Context.Counters.add(TrafficCount::Refused);
    Exchange.sendError(Decision.Refusal);
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
  auto Decision =
      admissionAt(Context, *Caller->View, Caller->Workspace, steadyNow());
  // Only the description tells which calls are claimed. Without it, a request
  // with an idempotency key may be a resend of a call that has run.
  if (!Caller->View->Description) {
    if (!Caller->IdempotencyKey.empty())
      Decision.Refusal.NotRun = NotRun::Unknown;
    return makeError(Decision.Refusal);
  }
  if (std::find(ServiceMethods.begin(), ServiceMethods.end(),
                Exchange.method()) == ServiceMethods.end())
    return makeError(
        ErrorAnswer{AnswerError::MethodNotAllowed, "the method is unknown"});
  std::string ServiceAndPath = Target.Path.substr(ServicesPrefix.size());
  size_t Slash = std::min(ServiceAndPath.find('/'), ServiceAndPath.size());
  const config::Service *Service =
      Caller->View->Description->findService({ServiceAndPath.substr(0, Slash)});
  if (!Service || Service->Kind != TargetKind::PlainService)
    return makeError(ErrorAnswer{AnswerError::UnknownService,
                                 "the description has no such plain service"});
  ServiceCall Call;
  Call.Service = Service->Id;
  Call.Method = Exchange.method();
  Call.Path =
      Slash < ServiceAndPath.size() ? ServiceAndPath.substr(Slash) : "/";
  Call.RawQuery = Target.RawQuery;
  Call.ContentType = Exchange.header("Content-Type");
  Call.Accept = Exchange.header("Accept");
  Call.Rule = retryRule(*Service, Call.Method, Call.Path);
  Call.Deadline = requestDeadline(*Caller, *Service);
  Call.Caller = std::move(*Caller);
  bool IsClaimed = Call.Rule == RetryRule::Claimed;
  if (IsClaimed && Call.Caller.IdempotencyKey.empty())
    return makeError(ErrorAnswer{AnswerError::KeyRequired,
                                 "this call needs an Idempotency-Key"});
  // A claimed call asks the ledger before it is refused: only a committed
  // release proves that the call has not run.
  bool Refused = Decision.Mode == Admission::Refused ||
                 (Decision.Mode == Admission::ReadsOnly &&
                  Call.Method != "GET" && Call.Method != "HEAD");
  if (Refused && !IsClaimed)
    return makeError(Decision.Refusal);
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
  if (Call->Rule != RetryRule::Claimed) {
    relayCall(Context, Exchange, *Call);
    return;
  }
  ClaimedCall Claimed(Context, Settler, Exchange, *Call);
  Claimed.run();
}

} // namespace ferry::traffic
