#include "LibTraffic/OperatorServer.h"
#include "LibConfig/Parse.h"
#include "LibCore/ParseNumber.h"
#include "LibCore/Visit.h"
#include "LibTraffic/AwaitReply.h"

namespace ferry::traffic {

using namespace ferry::registry;

/// Name of the operators' token in the key file.
static constexpr const char *OperatorToken = "operator";
/// Longest wait for a change, a read or a dump.
static constexpr std::chrono::seconds AnswerLimit{10};
/// Time after which an operator may resend a request if no quorum answered.
static constexpr std::chrono::seconds QuorumRetryDelay{2};
/// Largest number of open connections of operators.
static constexpr uint32_t MaxOperatorConnections = 32;
/// Longest operation id, in bytes.
static constexpr size_t MaxOperationBytes = 128;
/// Memory for request bodies, as a number of descriptions of the largest size.
static constexpr uint64_t DescriptionsInMemory = 8;

Result<std::unique_ptr<OperatorServer>, TrafficError>
OperatorServer::tryStart(TrafficContext &Context, Sources Sources) {
  std::unique_ptr<OperatorServer> Server(
      new OperatorServer(Context, std::move(Sources)));
  const config::InputLimits &Limits = Context.Settings.Limits;
  auto Listener = HttpListener::tryStart(
      {Context.Settings.OperatorAddress, MaxOperatorConnections,
       Limits.MaxHeaderBytes,
       Limits.MaxDescriptionBytes * DescriptionsInMemory},
      [Raw = Server.get()](HttpExchange &Exchange) { Raw->handle(Exchange); });
  if (!Listener)
    return makeError(Listener.error());
  Server->Listener = std::move(*Listener);
  return Server;
}

void OperatorServer::handle(HttpExchange &Exchange) {
  auto Target = Exchange.tryTarget();
  if (!Target) {
    Exchange.sendError(Target.error());
    return;
  }
  if (!Context.Tokens.grants(OperatorToken, Exchange.header("Authorization"))) {
    Exchange.sendError({AnswerError::Unauthorized,
                        "the operator's bearer token is missing or wrong"});
    return;
  }
  dispatchRoute(Exchange, *Target);
}

void OperatorServer::dispatchRoute(HttpExchange &Exchange,
                                   const RequestTarget &Target) {
  std::string MethodAndPath = Exchange.method() + " " + Target.Path;
  if (MethodAndPath == "PUT /v1/description")
    putDescription(Exchange);
  else if (MethodAndPath == "GET /v1/description")
    getDescription(Exchange);
  else if (MethodAndPath == "GET /v1/description/spread")
    getSpread(Exchange, Target);
  else if (MethodAndPath == "GET /v1/description/history")
    getHistory(Exchange);
  else if (MethodAndPath == "GET /v1/dump")
    getDump(Exchange);
  else if (MethodAndPath == "GET /metrics")
    getMetrics(Exchange);
  else if (MethodAndPath == "POST /v1/drain")
    postDrain(Exchange);
  else
    Exchange.sendError({AnswerError::NotFound, "no such route"});
}

/// \returns the number in an If-Match value such as "12", which includes the
/// quotes.
static std::optional<uint64_t> parseEntityTag(std::string_view Text) {
  if (Text.size() < 3 || Text.front() != '"' || Text.back() != '"')
    return std::nullopt;
  return parseNumber<uint64_t>(Text.substr(1, Text.size() - 2));
}

static std::string entityTag(DescriptionNumber Number) {
  return "\"" + std::to_string(Number.Value) + "\"";
}

static ErrorAnswer descriptionErrors(const config::ConfigErrors &Errors) {
  ErrorAnswer Answer{AnswerError::BadDescription,
                     "the description has " + std::to_string(Errors.size()) +
                         " errors"};
  std::string List = "[";
  for (size_t I = 0; I < Errors.size(); ++I) {
    const config::ConfigError &Error = Errors[I];
    List += I ? ",{" : "{";
    List += "\"kind\":" + jsonString(enumName(Error.Kind));
    List += ",\"line\":" + std::to_string(Error.Line);
    List += ",\"column\":" + std::to_string(Error.Column);
    List += ",\"detail\":" + jsonString(Error.Detail) + "}";
  }
  Answer.Members.emplace_back("errors", List + "]");
  return Answer;
}

static ErrorAnswer registryErrorAnswer(const RegistryError &Error) {
  if (Error.Kind == RegistryErrorKind::Invalid)
    return {AnswerError::BadRequest, Error.message()};
  bool NeverProposed = Error.Kind == RegistryErrorKind::NotProposed;
  return {AnswerError::NoQuorum, Error.message(),
          NeverProposed ? NotRun::True : NotRun::Unknown,
          steadyNow() + QuorumRetryDelay};
}

static ErrorAnswer timeoutAnswer() {
  return {AnswerError::NoQuorum, "no quorum answered in time", NotRun::Unknown,
          steadyNow() + QuorumRetryDelay};
}

void OperatorServer::putDescription(HttpExchange &Exchange) {
  std::string Match = Exchange.header("If-Match");
  if (Match.empty()) {
    Exchange.sendError({AnswerError::PreconditionRequired,
                        "If-Match must name the number that the change is "
                        "based on, as in \"0\""});
    return;
  }
  auto Base = parseEntityTag(Match);
  std::string Operation = Exchange.header("X-Operation-Id");
  bool HeadersValid =
      Base && !Operation.empty() && Operation.size() <= MaxOperationBytes;
  if (!HeadersValid) {
    Exchange.sendError({AnswerError::BadHeader,
                        "If-Match or X-Operation-Id is missing or malformed"});
    return;
  }
  auto Text = Exchange.tryReadBody(Context.Settings.Limits.MaxDescriptionBytes);
  if (!Text) {
    Exchange.sendError(Text.error());
    return;
  }
  auto Parsed = config::tryParseDescription(*Text, "description");
  if (!Parsed) {
    Exchange.sendError(descriptionErrors(Parsed.error()));
    return;
  }
  Timestamp Deadline = steadyNow() + AnswerLimit;
  auto Reply =
      awaitReply<RegistryResult<ChangeOutcome>>(Deadline, [&](auto Done) {
        Context.Control.Change({{*Base}, Operation, *Text, Deadline}, Done);
      });
  if (!Reply)
    Exchange.sendError(timeoutAnswer());
  else if (!*Reply)
    Exchange.sendError(registryErrorAnswer(Reply->error()));
  else
    sendChangeOutcome(Exchange, **Reply);
}

void OperatorServer::sendChangeOutcome(HttpExchange &Exchange,
                                       const ChangeOutcome &Outcome) {
  match(
      Outcome,
      [&](const ChangeAccepted &Accepted) {
        Exchange.setHeader("ETag", entityTag(Accepted.Number));
        Exchange.sendJson(
            200, "{\"number\":" + std::to_string(Accepted.Number.Value) + "}");
      },
      [&](const ChangeConflict &Conflict) {
        ErrorAnswer Answer{AnswerError::Conflict,
                           "another change based on this number was accepted"};
        Answer.Members = {
            {"current_number", std::to_string(Conflict.Current.Value)},
            {"current_operation", jsonString(Conflict.CurrentOperation)},
            {"current_text", jsonString(Conflict.CurrentText)}};
        Exchange.sendError(Answer);
      },
      [&](const ChangeOperationReused &Reused) {
        ErrorAnswer Answer{AnswerError::OperationReused,
                           "the operation id was used with another text"};
        Answer.Members = {{"number", std::to_string(Reused.Number.Value)}};
        Exchange.sendError(Answer);
      });
}

void OperatorServer::getDescription(HttpExchange &Exchange) {
  Timestamp Deadline = steadyNow() + AnswerLimit;
  auto Reply =
      awaitReply<RegistryResult<CurrentDescription>>(Deadline, [&](auto Done) {
        Context.Control.ReadDescription(Deadline, Done);
      });
  if (!Reply) {
    Exchange.sendError(timeoutAnswer());
    return;
  }
  if (!*Reply) {
    Exchange.sendError(registryErrorAnswer(Reply->error()));
    return;
  }
  const CurrentDescription &Current = **Reply;
  if (Current.Number.Value == 0) {
    Exchange.sendError(
        {AnswerError::NotFound, "no description has been accepted yet"});
    return;
  }
  Exchange.setHeader("ETag", entityTag(Current.Number));
  Exchange.setHeader("X-Operation-Id", Current.Operation);
  Exchange.send(200, "application/yaml", Current.Text);
}

void OperatorServer::getSpread(HttpExchange &Exchange,
                               const RequestTarget &Target) {
  auto NumberParameter = Target.Query.find("number");
  auto Number = NumberParameter == Target.Query.end()
                    ? std::nullopt
                    : parseNumber<uint64_t>(NumberParameter->second);
  if (!Number) {
    Exchange.sendError({AnswerError::BadRequest, "the query needs number=N"});
    return;
  }
  auto Status =
      awaitReply<SpreadStatus>(steadyNow() + AnswerLimit, [&](auto Done) {
        Context.Control.ReadSpread(DescriptionNumber{*Number}, Done);
      });
  if (!Status) {
    Exchange.sendError(timeoutAnswer());
    return;
  }
  Exchange.sendJson(
      200, "{\"number\":" + std::to_string(Status->Number.Value) +
               ",\"hosts_in_force\":" + std::to_string(Status->HostsInForce) +
               ",\"hosts_known\":" + std::to_string(Status->HostsKnown) + "}");
}

void OperatorServer::getHistory(HttpExchange &Exchange) {
  auto Changes = awaitReply<std::vector<PastChange>>(
      steadyNow() + AnswerLimit,
      [&](auto Done) { Context.Control.ReadHistory(Done); });
  if (!Changes) {
    Exchange.sendError(timeoutAnswer());
    return;
  }
  std::string List;
  for (const PastChange &Change : *Changes) {
    List += List.empty() ? "{" : ",{";
    List += "\"number\":" + std::to_string(Change.Number.Value);
    List += ",\"operation\":" + jsonString(Change.Operation) + "}";
  }
  Exchange.sendJson(200, "{\"changes\":[" + List + "]}");
}

void OperatorServer::getDump(HttpExchange &Exchange) {
  auto Control =
      awaitReply<std::string>(steadyNow() + AnswerLimit,
                              [&](auto Done) { Context.Control.Dump(Done); });
  Exchange.sendJson(200, "{\"control\":" + Control.value_or("null") +
                             ",\"traffic\":" + TextSources.TrafficDump() + "}");
}

void OperatorServer::getMetrics(HttpExchange &Exchange) {
  Exchange.send(200, "text/plain; version=0.0.4",
                TextSources.MetricsText() + Context.Counters.metricsText());
}

void OperatorServer::postDrain(HttpExchange &Exchange) {
  Context.Control.Drain();
  Exchange.sendJson(202, "{\"draining\":true}");
}

} // namespace ferry::traffic
