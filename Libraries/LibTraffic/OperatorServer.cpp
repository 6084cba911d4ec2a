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
/// When an operator whose host met no quorum may try again.
static constexpr std::chrono::seconds QuorumRetry{2};
/// Connections of operators at a time.
static constexpr uint32_t MaxOperatorConnections = 32;
/// Longest operation id, in bytes.
static constexpr size_t MaxOperationBytes = 128;
/// Descriptions of the largest size that may be in memory at a time.
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
    Exchange.sendError(
        {AnswerError::Unauthorized, "operators show their bearer token"});
    return;
  }
  route(Exchange, *Target);
}

void OperatorServer::route(HttpExchange &Exchange,
                           const RequestTarget &Target) {
  std::string Asked = Exchange.method() + " " + Target.Path;
  if (Asked == "PUT /v1/description")
    putDescription(Exchange);
  else if (Asked == "GET /v1/description")
    getDescription(Exchange);
  else if (Asked == "GET /v1/description/spread")
    getSpread(Exchange, Target);
  else if (Asked == "GET /v1/description/history")
    getHistory(Exchange);
  else if (Asked == "GET /v1/dump")
    getDump(Exchange);
  else if (Asked == "GET /metrics")
    getMetrics(Exchange);
  else if (Asked == "POST /v1/drain")
    postDrain(Exchange);
  else
    Exchange.sendError({AnswerError::NotFound, "no such route"});
}

/// \returns the number in an If-Match value such as "12", quotes included.
static std::optional<uint64_t> parseEntityTag(std::string_view Text) {
  if (Text.size() < 3 || Text.front() != '"' || Text.back() != '"')
    return std::nullopt;
  return parseNumber<uint64_t>(Text.substr(1, Text.size() - 2));
}

static std::string entityTag(DescriptionNumber Number) {
  return "\"" + std::to_string(Number.Value) + "\"";
}

static ErrorAnswer describeFaults(const config::ConfigErrors &Errors) {
  ErrorAnswer Answer{AnswerError::BadDescription,
                     "the description has " + std::to_string(Errors.size()) +
                         " faults"};
  std::string List = "[";
  for (size_t I = 0; I < Errors.size(); ++I) {
    const config::ConfigError &Fault = Errors[I];
    List += I ? ",{" : "{";
    List += "\"kind\":" + jsonString(enumName(Fault.Kind));
    List += ",\"line\":" + std::to_string(Fault.Line);
    List += ",\"column\":" + std::to_string(Fault.Column);
    List += ",\"detail\":" + jsonString(Fault.Detail) + "}";
  }
  Answer.Members.emplace_back("errors", List + "]");
  return Answer;
}

static ErrorAnswer noQuorum(const RegistryError &Error) {
  if (Error.Kind == RegistryErrorKind::Invalid)
    return {AnswerError::BadRequest, Error.message()};
  bool NotRunForSure = Error.Kind == RegistryErrorKind::NotProposed;
  return {AnswerError::NoQuorum, Error.message(),
          NotRunForSure ? NotRun::True : NotRun::Unknown,
          steadyNow() + QuorumRetry};
}

static ErrorAnswer noAnswer() {
  return {AnswerError::NoQuorum, "no quorum answered in time", NotRun::Unknown,
          steadyNow() + QuorumRetry};
}

void OperatorServer::putDescription(HttpExchange &Exchange) {
  std::string Match = Exchange.header("If-Match");
  if (Match.empty()) {
    Exchange.sendError({AnswerError::PreconditionRequired,
                        "If-Match names the number that the change is based "
                        "on, as in \"0\""});
    return;
  }
  auto Base = parseEntityTag(Match);
  std::string Operation = Exchange.header("X-Operation-Id");
  bool GoodHeaders =
      Base && !Operation.empty() && Operation.size() <= MaxOperationBytes;
  if (!GoodHeaders) {
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
    Exchange.sendError(describeFaults(Parsed.error()));
    return;
  }
  Timestamp Deadline = steadyNow() + AnswerLimit;
  auto Reply =
      awaitReply<RegistryResult<ChangeOutcome>>(Deadline, [&](auto Done) {
        Context.Control.Change({{*Base}, Operation, *Text, Deadline}, Done);
      });
  if (!Reply)
    Exchange.sendError(noAnswer());
  else if (!*Reply)
    Exchange.sendError(noQuorum(Reply->error()));
  else
    answerChange(Exchange, **Reply);
}

void OperatorServer::answerChange(HttpExchange &Exchange,
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
                           "another change was accepted on this number"};
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
    Exchange.sendError(noAnswer());
    return;
  }
  if (!*Reply) {
    Exchange.sendError(noQuorum(Reply->error()));
    return;
  }
  const CurrentDescription &Current = **Reply;
  if (Current.Number.Value == 0) {
    Exchange.sendError(
        {AnswerError::NotFound, "no description was accepted yet"});
    return;
  }
  Exchange.setHeader("ETag", entityTag(Current.Number));
  Exchange.setHeader("X-Operation-Id", Current.Operation);
  Exchange.send(200, "application/yaml", Current.Text);
}

void OperatorServer::getSpread(HttpExchange &Exchange,
                               const RequestTarget &Target) {
  auto Query = Target.Query.find("number");
  auto Number = Query == Target.Query.end()
                    ? std::nullopt
                    : parseNumber<uint64_t>(Query->second);
  if (!Number) {
    Exchange.sendError({AnswerError::BadRequest, "the query needs number=N"});
    return;
  }
  auto Status =
      awaitReply<SpreadStatus>(steadyNow() + AnswerLimit, [&](auto Done) {
        Context.Control.ReadSpread(DescriptionNumber{*Number}, Done);
      });
  if (!Status) {
    Exchange.sendError(noAnswer());
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
    Exchange.sendError(noAnswer());
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
                             ",\"traffic\":" + Given.TrafficDump() + "}");
}

void OperatorServer::getMetrics(HttpExchange &Exchange) {
  Exchange.send(200, "text/plain; version=0.0.4",
                Given.MetricsText() + Context.Counters.metricsText());
}

void OperatorServer::postDrain(HttpExchange &Exchange) {
  Context.Control.Drain();
  Exchange.sendJson(202, "{\"draining\":true}");
}

} // namespace ferry::traffic
