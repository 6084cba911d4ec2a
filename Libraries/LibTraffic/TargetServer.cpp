#include "LibTraffic/TargetServer.h"
#include "LibCore/ParseNumber.h"
#include "LibTraffic/AwaitReply.h"
#include "LibTraffic/Json.h"
#include <Poco/JSON/Array.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>

namespace ferry::traffic {

static constexpr std::string_view TargetsPath = "/v1/targets";
static constexpr std::string_view EventsSuffix = "/cache-events";
/// Time from an announcement to the UsableUntil of its record. Membership
/// replaces it by its own time.
static constexpr std::chrono::milliseconds SilenceLimit{2500};
/// Longest wait for the control thread to process an announcement.
static constexpr std::chrono::seconds AnnounceLimit{2};
/// Largest number of open connections of targets.
static constexpr uint32_t MaxTargetConnections = 256;
/// Largest announcement, in bytes.
static constexpr uint64_t MaxAnnouncementBytes = 16ULL << 10;
/// Longest identifier in an announcement, in bytes.
static constexpr size_t MaxIdBytes = 128;
/// Memory for request bodies, as a number of event batches of the largest size.
static constexpr uint64_t BatchesInMemory = 16;

/// Reads the text member \p Name into \p Value, which an absent member leaves
/// unchanged. \returns false if the member is malformed.
static bool readText(const Poco::JSON::Object &Object, const std::string &Name,
                     std::string &Value) {
  if (!Object.has(Name))
    return true;
  auto Text = stringMember(Object, Name);
  if (!Text || Text->size() > MaxIdBytes)
    return false;
  Value = *Text;
  return true;
}

template <typename NumberType>
static bool readNumber(const Poco::JSON::Object &Object,
                       const std::string &Name, NumberType &Value) {
  if (!Object.has(Name))
    return true;
  auto Number =
      numberMember(Object, Name,
                   std::min<uint64_t>(std::numeric_limits<NumberType>::max(),
                                      std::numeric_limits<int64_t>::max()));
  if (!Number)
    return false;
  Value = static_cast<NumberType>(*Number);
  return true;
}

template <typename EnumType>
static bool readEnum(const Poco::JSON::Object &Object, const std::string &Name,
                     EnumType &Value) {
  if (!Object.has(Name))
    return true;
  auto Text = stringMember(Object, Name);
  auto EnumValue = Text ? enumFromName<EnumType>(*Text) : std::nullopt;
  if (!EnumValue)
    return false;
  Value = *EnumValue;
  return true;
}

static AnswerResult<void> tryReadLoad(const Poco::JSON::Object &Object,
                                      TargetLoad &Load) {
  if (!Object.has("load"))
    return {};
  Poco::JSON::Object::Ptr LoadObject = Object.getObject("load");
  bool IsValid = LoadObject &&
                 readNumber(*LoadObject, "running", Load.RunningRequests) &&
                 readNumber(*LoadObject, "queued", Load.QueuedRequests) &&
                 readNumber(*LoadObject, "queued_prefill_tokens",
                            Load.QueuedPrefillTokens) &&
                 readNumber(*LoadObject, "max_concurrent", Load.MaxConcurrent);
  if (!IsValid)
    return badMember("load");
  return {};
}

/// Whether \p Text is "IP:port". Host names are not resolved.
static bool isAddress(const std::string &Text) {
  try {
    size_t Colon = Text.rfind(':');
    if (Colon == std::string::npos)
      return false;
    Poco::Net::IPAddress Host =
        Poco::Net::IPAddress::parse(Text.substr(0, Colon));
    auto Port = parseNumber<uint16_t>(std::string_view(Text).substr(Colon + 1));
    return Port.value_or(0) != 0 && !Host.isWildcard();
  } catch (const Poco::Exception &) {
    return false;
  }
}

AnswerResult<TargetRecord> tryParseAnnouncement(const std::string &Body,
                                                Timestamp Now) {
  auto Parsed = tryParseObject(Body);
  if (!Parsed)
    return makeError(Parsed.error());
  const Poco::JSON::Object &Object = **Parsed;
  TargetRecord Record;
  if (!readText(Object, "id", Record.Id.Value) || Record.Id.empty() ||
      Record.Id.Value.find('/') != std::string::npos)
    return badMember("id");
  if (!readNumber(Object, "incarnation", Record.Incarnation.Value) ||
      Record.Incarnation.Value == 0)
    return badMember("incarnation");
  if (!readText(Object, "address", Record.Address) ||
      !isAddress(Record.Address))
    return badMember("address");
  if (!Object.has("kind") || !readEnum(Object, "kind", Record.Kind))
    return badMember("kind");
  if (!readText(Object, "data_centre", Record.DataCentre.Value))
    return badMember("data_centre");
  if (!readText(Object, "service", Record.Service.Value))
    return badMember("service");
  if (!readText(Object, "model", Record.Model.Value))
    return badMember("model");
  if (!readText(Object, "adapter", Record.Adapter.Value))
    return badMember("adapter");
  if (!readNumber(Object, "weights", Record.Weights.Value))
    return badMember("weights");
  if (!readEnum(Object, "fencing", Record.Fencing))
    return badMember("fencing");
  if (!readNumber(Object, "sequence", Record.Sequence))
    return badMember("sequence");
  Record.Phase = TargetPhase::Ready;
  if (!readEnum(Object, "phase", Record.Phase))
    return badMember("phase");
  if (auto Load = tryReadLoad(Object, Record.Load); !Load)
    return makeError(Load.error());
  if (Object.has("leaving")) {
    auto Leaving = flagMember(Object, "leaving");
    if (!Leaving)
      return badMember("leaving");
    if (*Leaving)
      Record.Phase = TargetPhase::Leaving;
  }
  Record.UsableUntil = Now + SilenceLimit;
  return Record;
}

static std::optional<cache::BlockHash> parseBlock(const std::string &Text) {
  auto Value = parseNumber<uint64_t>(Text, 16);
  if (!Value)
    return std::nullopt;
  return cache::BlockHash{*Value};
}

static std::optional<cache::CacheEvent>
parseEvent(const Poco::JSON::Array::Ptr &Pair) {
  if (!Pair || Pair->size() == 0 || Pair->size() > 2)
    return std::nullopt;
  if (!Pair->get(0).isString())
    return std::nullopt;
  auto Kind =
      enumFromName<cache::CacheEventKind>(Pair->get(0).extract<std::string>());
  if (!Kind)
    return std::nullopt;
  cache::CacheEvent Event{*Kind, {}};
  if (*Kind == cache::CacheEventKind::Cleared)
    return Event;
  if (Pair->size() != 2 || !Pair->get(1).isString())
    return std::nullopt;
  auto Block = parseBlock(Pair->get(1).extract<std::string>());
  if (!Block)
    return std::nullopt;
  Event.Block = *Block;
  return Event;
}

AnswerResult<cache::CacheEventBatch>
tryParseCacheEvents(const std::string &Body, const TargetId &Target) {
  auto Parsed = tryParseObject(Body);
  if (!Parsed)
    return makeError(Parsed.error());
  const Poco::JSON::Object &Object = **Parsed;
  cache::CacheEventBatch Batch;
  Batch.Target = Target;
  if (!readNumber(Object, "incarnation", Batch.Incarnation.Value) ||
      Batch.Incarnation.Value == 0)
    return badMember("incarnation");
  if (!Object.has("first_number") ||
      !readNumber(Object, "first_number", Batch.FirstNumber))
    return badMember("first_number");
  if (Object.has("whole_cache")) {
    auto Whole = flagMember(Object, "whole_cache");
    if (!Whole)
      return badMember("whole_cache");
    if (*Whole)
      Batch.Coverage = cache::CacheEventBatch::Scope::WholeCache;
  }
  Poco::JSON::Array::Ptr Events = Object.getArray("events");
  if (!Events)
    return badMember("events");
  Batch.Events.reserve(Events->size());
  for (size_t I = 0; I < Events->size(); ++I) {
    auto Event = parseEvent(Events->getArray(static_cast<unsigned>(I)));
    if (!Event)
      return badMember("events");
    Batch.Events.push_back(*Event);
  }
  return Batch;
}

Result<std::unique_ptr<TargetServer>, TrafficError>
TargetServer::tryStart(TrafficContext &Context) {
  std::unique_ptr<TargetServer> Server(new TargetServer(Context));
  const config::InputLimits &Limits = Context.Settings.Limits;
  auto Listener = HttpListener::tryStart(
      {Context.Settings.TargetAddress, MaxTargetConnections,
       Limits.MaxHeaderBytes, Limits.MaxEventBatchBytes * BatchesInMemory},
      [Raw = Server.get()](HttpExchange &Exchange) { Raw->handle(Exchange); });
  if (!Listener)
    return makeError(Listener.error());
  Server->Listener = std::move(*Listener);
  return Server;
}

void TargetServer::handle(HttpExchange &Exchange) {
  auto Target = Exchange.tryTarget();
  if (!Target) {
    Exchange.sendError(Target.error());
    return;
  }
  const std::string &Path = Target->Path;
  std::string Prefix = std::string(TargetsPath) + "/";
  bool IsEvents = Path.starts_with(Prefix) && Path.ends_with(EventsSuffix) &&
                  Path.size() > Prefix.size() + EventsSuffix.size();
  if (Path != TargetsPath && !IsEvents) {
    Exchange.sendError({AnswerError::NotFound, "no such route"});
    return;
  }
  if (Exchange.method() != "POST") {
    Exchange.sendError({AnswerError::MethodNotAllowed, "use POST"});
    return;
  }
  if (!IsEvents) {
    handleAnnouncement(Exchange);
    return;
  }
  size_t IdBytes = Path.size() - Prefix.size() - EventsSuffix.size();
  handleEvents(Exchange, {Path.substr(Prefix.size(), IdBytes)});
}

static std::string announceJson(const AnnounceReply &Reply) {
  std::string Body = "{\"accepted\":true,\"resync\":";
  Body += Reply.ResyncRequired ? "true" : "false";
  Body += ",\"events_to\":[";
  for (size_t I = 0; I < Reply.EventAddresses.size(); ++I)
    Body += (I ? "," : "") + jsonString(Reply.EventAddresses[I]);
  return Body + "]}";
}

void TargetServer::handleAnnouncement(HttpExchange &Exchange) {
  auto Body = Exchange.tryReadBody(MaxAnnouncementBytes);
  if (!Body) {
    Exchange.sendError(Body.error());
    return;
  }
  Timestamp Now = steadyNow();
  auto Record = tryParseAnnouncement(*Body, Now);
  if (!Record) {
    Exchange.sendError(Record.error());
    return;
  }
  Timestamp Deadline = Now + AnnounceLimit;
  auto Reply = awaitReply<AnnounceReply>(Deadline, [&](auto Done) {
    Context.Control.Announce(*Record, Deadline, Done);
  });
  if (!Reply) {
    Exchange.sendError({AnswerError::Internal,
                        "the control thread did not reply in time",
                        NotRun::Unknown, steadyNow() + AnnounceLimit});
    return;
  }
  if (Reply->Status == AnnounceReply::Verdict::StaleIncarnation) {
    Exchange.sendError({AnswerError::StaleIncarnation,
                        "a greater incarnation of this target is known"});
    return;
  }
  if (Reply->Status == AnnounceReply::Verdict::LeaveNotRecorded) {
    Exchange.sendError({AnswerError::NoQuorum,
                        "the leave could not be recorded", NotRun::Unknown,
                        steadyNow() + AnnounceLimit});
    return;
  }
  Exchange.sendJson(200, announceJson(*Reply));
}

void TargetServer::handleEvents(HttpExchange &Exchange,
                                const TargetId &Target) {
  auto Body = Exchange.tryReadBody(Context.Settings.Limits.MaxEventBatchBytes);
  if (!Body) {
    Exchange.sendError(Body.error());
    return;
  }
  auto Batch = tryParseCacheEvents(*Body, Target);
  if (!Batch) {
    Exchange.sendError(Batch.error());
    return;
  }
  Context.Placements.cacheEvents(std::move(*Batch));
  Exchange.sendJson(200, "{\"accepted\":true}");
}

} // namespace ferry::traffic
