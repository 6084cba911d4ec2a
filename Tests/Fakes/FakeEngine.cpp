#include "Fakes/FakeEngine.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/String.h>
#include <algorithm>
#include <sstream>
#include <xxhash.h>

namespace ferry::fakes {

std::string fakeToken(const std::string &Body, uint64_t Index) {
  uint64_t Seed = XXH3_64bits(Body.data(), Body.size());
  uint64_t Hash = XXH3_64bits_withSeed(&Index, sizeof(Index), Seed);
  return " " + hexBlock({Hash & 0xffffff});
}

std::string fakeAnswer(const std::string &Body, uint64_t Count) {
  std::string Text;
  for (uint64_t I = 0; I < Count; ++I)
    Text += fakeToken(Body, I);
  return Text;
}

FakeEngine::FakeEngine(FakeOptions Base, EngineOptions InitialSpeed)
    : FakeServer(std::move(Base)), Speed(std::move(InitialSpeed)),
      Cache(Speed.CacheBlocks,
            std::chrono::milliseconds(Speed.BlockLifetimeMillis),
            [this](cache::CacheEvent Event) { publish(Event); }) {
  changeRecord([](TargetRecord &Record) {
    Record.Kind = TargetKind::Engine;
    Record.Phase = TargetPhase::Ready;
  });
}

FakeEngine::~FakeEngine() {
  stop();
  for (std::thread &Load : Loads)
    Load.join();
}

TargetLoad FakeEngine::load() {
  std::lock_guard Lock(Mutex);
  return {Running, QueuedRequests, QueuedTokens, Speed.MaxConcurrent};
}

void FakeEngine::handle(const std::string &Path, Request &Incoming,
                        Response &Answer) {
  if (Path == "/v1/chat/completions") {
    handleChat(Incoming, Answer);
  } else if (Path == "/v1/cancel") {
    cancel(readBody(Incoming));
    sendJson(Answer, 200, "{}");
  } else if (Path == "/orders") {
    handleOrder(Incoming, Answer);
  } else {
    sendJson(Answer, 404, "{}");
  }
}

FakeEngine::ChatRequest FakeEngine::readChat(Request &Incoming) {
  ChatRequest Chat;
  Chat.Body = readBody(Incoming);
  Chat.Id = Incoming.get("X-Ferry-Request", "");
  Chat.Batch = Incoming.get("X-Priority", "") == "batch";
  Chat.PromptTokens = cache::estimateTokens(Chat.Body);
  if (Incoming.has("Last-Event-ID"))
    Chat.FirstToken = std::stoull(Incoming.get("Last-Event-ID")) + 1;
  for (const auto &[Name, Value] : Incoming)
    if (Poco::icompare(Name, "X-Ferry-Blocks") == 0) {
      auto HeaderBlocks = parseBlocks(Value);
      Chat.Blocks.insert(Chat.Blocks.end(), HeaderBlocks.begin(),
                         HeaderBlocks.end());
    }
  if (auto Object = parseObject(Chat.Body)) {
    Chat.Streams = Object->optValue("stream", false);
    Chat.Tokens = Object->optValue<uint64_t>("max_tokens", 16);
  }
  return Chat;
}

void FakeEngine::handleChat(Request &Incoming, Response &Answer) {
  ChatRequest Chat = readChat(Incoming);
  if (auto Slow = faults().consume(Fault::SlowMillis))
    pause(static_cast<double>(*Slow));
  if (faults().consume(Fault::CloseBeforeAnswer)) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Incoming)
        .socket()
        .shutdown();
    return;
  }
  if (faults().consume(Fault::Refuse) || Running >= Speed.MaxConcurrent) {
    sendJson(Answer, 503, "{\"error\":\"busy\"}");
    return;
  }
  ++Running;
  auto Cached = prefill(Chat, Incoming);
  std::string EchoId = Chat.Id;
  {
    std::lock_guard Lock(Mutex);
    std::string ReceivedBody = Chat.Body;
    if (!LastBody.empty() && faults().consume(Fault::SwapAnswers)) {
      EchoId = LastRequestId;
      Chat.Body = LastBody;
    }
    LastRequestId = Chat.Id;
    LastBody = ReceivedBody;
  }
  if (faults().consume(Fault::WrongEcho))
    EchoId = "somebody-else";
  if (auto Late = faults().consume(Fault::LateAnswerMillis))
    pause(static_cast<double>(*Late));
  TargetRecord Record = record();
  Answer.set("X-Ferry-Request", EchoId);
  Answer.set("X-Ferry-Incarnation", std::to_string(Record.Incarnation.Value));
  Answer.set("X-Ferry-Weights", std::to_string(Record.Weights.Value));
  Answer.set("X-Ferry-Cached-Tokens", std::to_string(Cached.value_or(0)));
  if (Cached && faults().consume(Fault::Garbage)) {
    Answer.setContentLength(5);
    Answer.send() << "}{}{}" << std::flush;
  } else if (Cached && Chat.Streams) {
    answerStream(Chat, Answer);
  } else if (Cached) {
    answerWhole(Chat, Answer);
  }
  --Running;
  ++Served;
  std::lock_guard Lock(Mutex);
  CancelledIds.erase(Chat.Id);
}

std::optional<uint64_t> FakeEngine::prefill(const ChatRequest &Chat,
                                            Request &Incoming) {
  importBlocks(Chat, Incoming);
  std::unique_lock Lock(Mutex);
  ++QueuedRequests;
  QueuedTokens += Chat.PromptTokens;
  InteractiveWaiting += Chat.Batch ? 0 : 1;
  PrefillFreed.wait(Lock, [&] {
    return stopping() ||
           (!PrefillBusy && (!Chat.Batch || InteractiveWaiting == 0));
  });
  InteractiveWaiting -= Chat.Batch ? 0 : 1;
  PrefillBusy = true;
  Lock.unlock();
  size_t CachedBlocks = Cache.useLeading(Chat.Blocks);
  uint64_t Cached =
      std::min(Chat.PromptTokens, CachedBlocks * cache::BlockTokens);
  double Millis = static_cast<double>(Chat.PromptTokens - Cached) * 1000 /
                  Speed.PrefillTokensPerSecond;
  bool Alive = pause(Millis);
  Cache.store(Chat.Blocks);
  Lock.lock();
  PrefillBusy = false;
  --QueuedRequests;
  QueuedTokens -= Chat.PromptTokens;
  PrefillFreed.notify_all();
  Lock.unlock();
  if (CachedBlocks > 0)
    exportBlocks(Chat);
  if (!Alive)
    return std::nullopt;
  return Cached;
}

static std::string blockList(const std::vector<cache::BlockHash> &Blocks) {
  std::string Text = "{\"blocks\":[";
  for (size_t I = 0; I < Blocks.size(); ++I)
    Text += (I ? ",\"" : "\"") + hexBlock(Blocks[I]) + "\"";
  return Text + "]}";
}

void FakeEngine::importBlocks(const ChatRequest &Chat, Request &Incoming) {
  std::istringstream Plan(Incoming.get("X-Ferry-Import", ""));
  std::string Store;
  size_t Count = 0;
  if (!(Plan >> Store >> Count))
    return;
  std::vector<cache::BlockHash> Blocks = Chat.Blocks;
  Blocks.resize(std::min(Blocks.size(), Count));
  auto Reply = postJson(Store, "/v1/blocks/lookup", blockList(Blocks));
  auto Object = Reply ? parseObject(*Reply) : nullptr;
  if (!Object)
    return;
  Blocks.resize(std::min<size_t>(Blocks.size(),
                                 Object->optValue<uint64_t>("leading", 0)));
  pause(Speed.ImportMillisPerBlock * static_cast<double>(Blocks.size()));
  Cache.store(Blocks);
}

void FakeEngine::exportBlocks(const ChatRequest &Chat) {
  if (!Speed.ExportTo.empty() && !Chat.Blocks.empty())
    postJson(Speed.ExportTo, "/v1/blocks", blockList(Chat.Blocks));
}

bool FakeEngine::sleepUnlessCancelled(const ChatRequest &Chat, double Millis) {
  bool Alive = pause(Millis);
  std::lock_guard Lock(Mutex);
  return Alive && !CancelledIds.contains(Chat.Id);
}

static std::string chunkJson(const std::string &Id, const std::string &Content,
                             bool Last) {
  std::string Text = "{\"id\":\"" + Id + "\",\"choices\":[{\"index\":0,";
  Text += "\"delta\":{";
  if (!Last)
    Text += "\"content\":\"" + Content + "\"";
  Text += "},\"finish_reason\":";
  Text += Last ? "\"stop\"" : "null";
  Text += "}],\"sent_us\":";
  auto Sent = steadyNow().time_since_epoch().count();
  return Text + std::to_string(Sent) + "}";
}

void FakeEngine::answerWhole(const ChatRequest &Chat, Response &Answer) {
  bool Alive = sleepUnlessCancelled(Chat, Speed.TokenMillis *
                                              static_cast<double>(Chat.Tokens));
  if (!Alive)
    return;
  std::string Body = "{\"id\":\"" + Chat.Id +
                     "\",\"choices\":[{\"index\":0,\"message\":{\"role\":"
                     "\"assistant\",\"content\":\"" +
                     fakeAnswer(Chat.Body, Chat.Tokens) +
                     "\"},\"finish_reason\":\"stop\"}]}";
  TokensSent += Chat.Tokens;
  if (!faults().consume(Fault::CloseMidAnswer)) {
    sendJson(Answer, 200, Body);
    return;
  }
  Answer.setContentType("application/json");
  Answer.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Answer.send() << Body.substr(0, Body.size() / 2) << std::flush;
}

void FakeEngine::answerStream(const ChatRequest &Chat, Response &Answer) {
  auto Crash = faults().consume(Fault::CrashAfterTokens);
  auto Stall = faults().consume(Fault::StallAfterTokens);
  bool EarlyDone = faults().consume(Fault::EarlyDone).has_value();
  auto Skip = faults().consume(Fault::SkipToken);
  auto Repeat = faults().consume(Fault::RepeatToken);
  Answer.setContentType("text/event-stream");
  Answer.setChunkedTransferEncoding(true);
  std::ostream &Out = Answer.send();
  uint64_t Sent = 0;
  for (uint64_t I = Chat.FirstToken; I <= Chat.Tokens; ++I) {
    if (Crash && Sent >= static_cast<uint64_t>(*Crash))
      return;
    if (Stall && Sent >= static_cast<uint64_t>(*Stall)) {
      while (sleepUnlessCancelled(Chat, 10))
        ;
      ++Cancelled;
      return;
    }
    if (EarlyDone && Sent == 2)
      break;
    bool Alive = sleepUnlessCancelled(Chat, Speed.TokenMillis);
    if (!Alive || !Out.good()) {
      ++Cancelled;
      return;
    }
    if (Skip && I == static_cast<uint64_t>(*Skip))
      continue;
    std::string Event =
        "id: " + std::to_string(I) + "\ndata: " +
        chunkJson(Chat.Id, fakeToken(Chat.Body, I), I == Chat.Tokens) + "\n\n";
    if (Repeat && I == static_cast<uint64_t>(*Repeat))
      Out << Event;
    Out << Event << std::flush;
    ++Sent;
    ++TokensSent;
  }
  Out << "data: [DONE]\n\n" << std::flush;
}

void FakeEngine::cancel(const std::string &Body) {
  auto Object = parseObject(Body);
  if (!Object || faults().consume(Fault::AnswerCancelled))
    return;
  std::lock_guard Lock(Mutex);
  CancelledIds.insert(Object->optValue<std::string>("request_id", ""));
}

void FakeEngine::handleOrder(Request &Incoming, Response &Answer) {
  auto Object = parseObject(readBody(Incoming));
  if (!Object) {
    sendJson(Answer, 400, "{}");
    return;
  }
  auto Fencing = Object->optValue<uint64_t>("fencing", 0);
  bool ChecksFencing = record().Fencing == FencingCheck::Checked;
  {
    std::lock_guard Lock(Mutex);
    if (ChecksFencing && Fencing < HighestFencing) {
      sendJson(Answer, 409, "{\"error\":\"stale_fencing\"}");
      return;
    }
    HighestFencing = std::max(HighestFencing, Fencing);
  }
  auto Kind = Object->optValue<std::string>("order", "");
  if (Kind == "load_weights") {
    auto Weights = Object->optValue<uint64_t>("weights", 0);
    std::lock_guard Lock(Mutex);
    Loads.emplace_back([this, Weights] { loadWeights(Weights); });
  } else if (Kind == "load_adapter") {
    auto Adapter = Object->optValue<std::string>("adapter", "");
    Cache.clear();
    changeRecord([&](TargetRecord &Record) { Record.Adapter = {Adapter}; });
  } else if (Kind == "set_role") {
    auto Service = Object->optValue<std::string>("service", "");
    changeRecord([&](TargetRecord &Record) { Record.Service = {Service}; });
  } else {
    sendJson(Answer, 400, "{}");
    return;
  }
  sendJson(Answer, 200, "{\"accepted\":true}");
}

void FakeEngine::loadWeights(uint64_t Weights) {
  changeRecord(
      [](TargetRecord &Record) { Record.Phase = TargetPhase::Starting; });
  if (!Speed.WeightStore.empty())
    postJson(Speed.WeightStore, "/v1/weights",
             "{\"weights\":" + std::to_string(Weights) + "}");
  else
    pause(Speed.LoadWeightsMillis);
  Cache.clear();
  changeRecord([&](TargetRecord &Record) {
    Record.Weights = {Weights};
    Record.Phase = TargetPhase::Ready;
  });
}

} // namespace ferry::fakes
