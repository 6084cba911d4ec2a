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

FakeEngine::FakeEngine(FakeOptions Base, EngineOptions Given)
    : FakeServer(std::move(Base)), Speed(std::move(Given)),
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

void FakeEngine::handle(const std::string &Path, Request &Asked,
                        Response &Answer) {
  if (Path == "/v1/chat/completions") {
    chat(Asked, Answer);
  } else if (Path == "/v1/cancel") {
    cancel(readBody(Asked));
    sendJson(Answer, 200, "{}");
  } else if (Path == "/orders") {
    order(Asked, Answer);
  } else {
    sendJson(Answer, 404, "{}");
  }
}

FakeEngine::Chat FakeEngine::readChat(Request &Asked) {
  Chat Wanted;
  Wanted.Body = readBody(Asked);
  Wanted.Id = Asked.get("X-Ferry-Request", "");
  Wanted.Batch = Asked.get("X-Priority", "") == "batch";
  Wanted.PromptTokens = cache::estimateTokens(Wanted.Body);
  if (Asked.has("Last-Event-ID"))
    Wanted.FirstToken = std::stoull(Asked.get("Last-Event-ID")) + 1;
  for (const auto &[Name, Value] : Asked)
    if (Poco::icompare(Name, "X-Ferry-Blocks") == 0) {
      auto More = parseBlocks(Value);
      Wanted.Blocks.insert(Wanted.Blocks.end(), More.begin(), More.end());
    }
  if (auto Object = parseObject(Wanted.Body)) {
    Wanted.Streams = Object->optValue("stream", false);
    Wanted.Tokens = Object->optValue<uint64_t>("max_tokens", 16);
  }
  return Wanted;
}

void FakeEngine::chat(Request &Asked, Response &Answer) {
  Chat Wanted = readChat(Asked);
  if (auto Slow = faults().take(Fault::SlowMillis))
    pause(static_cast<double>(*Slow));
  if (faults().take(Fault::CloseBeforeAnswer)) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Asked).socket().shutdown();
    return;
  }
  if (faults().take(Fault::Refuse) || Running >= Speed.MaxConcurrent) {
    sendJson(Answer, 503, "{\"error\":\"busy\"}");
    return;
  }
  ++Running;
  auto Cached = prefill(Wanted, Asked);
  std::string EchoId = Wanted.Id;
  {
    std::lock_guard Lock(Mutex);
    std::string OwnBody = Wanted.Body;
    if (!LastBody.empty() && faults().take(Fault::SwapAnswers)) {
      EchoId = LastRequestId;
      Wanted.Body = LastBody;
    }
    LastRequestId = Wanted.Id;
    LastBody = OwnBody;
  }
  if (faults().take(Fault::WrongEcho))
    EchoId = "somebody-else";
  if (auto Late = faults().take(Fault::LateAnswerMillis))
    pause(static_cast<double>(*Late));
  TargetRecord Own = record();
  Answer.set("X-Ferry-Request", EchoId);
  Answer.set("X-Ferry-Incarnation", std::to_string(Own.Incarnation.Value));
  Answer.set("X-Ferry-Weights", std::to_string(Own.Weights.Value));
  Answer.set("X-Ferry-Cached-Tokens", std::to_string(Cached.value_or(0)));
  if (Cached && faults().take(Fault::Garbage)) {
    Answer.setContentLength(5);
    Answer.send() << "}{}{}" << std::flush;
  } else if (Cached && Wanted.Streams) {
    answerStream(Wanted, Answer);
  } else if (Cached) {
    answerWhole(Wanted, Answer);
  }
  --Running;
  ++Served;
  std::lock_guard Lock(Mutex);
  CancelledIds.erase(Wanted.Id);
}

std::optional<uint64_t> FakeEngine::prefill(const Chat &Wanted,
                                            Request &Asked) {
  importBlocks(Wanted, Asked);
  std::unique_lock Lock(Mutex);
  ++QueuedRequests;
  QueuedTokens += Wanted.PromptTokens;
  InteractiveWaiting += Wanted.Batch ? 0 : 1;
  Freed.wait(Lock, [&] {
    return stopping() ||
           (!PrefillBusy && (!Wanted.Batch || InteractiveWaiting == 0));
  });
  InteractiveWaiting -= Wanted.Batch ? 0 : 1;
  PrefillBusy = true;
  Lock.unlock();
  size_t Held = Cache.useLeading(Wanted.Blocks);
  uint64_t Cached = std::min(Wanted.PromptTokens, Held * cache::BlockTokens);
  double Millis = static_cast<double>(Wanted.PromptTokens - Cached) * 1000 /
                  Speed.PrefillTokensPerSecond;
  bool Alive = pause(Millis);
  Cache.store(Wanted.Blocks);
  Lock.lock();
  PrefillBusy = false;
  --QueuedRequests;
  QueuedTokens -= Wanted.PromptTokens;
  Freed.notify_all();
  Lock.unlock();
  if (Held > 0)
    exportBlocks(Wanted);
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

void FakeEngine::importBlocks(const Chat &Wanted, Request &Asked) {
  std::istringstream Plan(Asked.get("X-Ferry-Import", ""));
  std::string Store;
  size_t Count = 0;
  if (!(Plan >> Store >> Count))
    return;
  std::vector<cache::BlockHash> Blocks = Wanted.Blocks;
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

void FakeEngine::exportBlocks(const Chat &Wanted) {
  if (!Speed.ExportTo.empty() && !Wanted.Blocks.empty())
    postJson(Speed.ExportTo, "/v1/blocks", blockList(Wanted.Blocks));
}

bool FakeEngine::sleepOrCancelled(const Chat &Wanted, double Millis) {
  bool Alive = pause(Millis);
  std::lock_guard Lock(Mutex);
  return Alive && !CancelledIds.contains(Wanted.Id);
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

void FakeEngine::answerWhole(const Chat &Wanted, Response &Answer) {
  bool Alive = sleepOrCancelled(Wanted, Speed.TokenMillis *
                                            static_cast<double>(Wanted.Tokens));
  if (!Alive)
    return;
  std::string Body = "{\"id\":\"" + Wanted.Id +
                     "\",\"choices\":[{\"index\":0,\"message\":{\"role\":"
                     "\"assistant\",\"content\":\"" +
                     fakeAnswer(Wanted.Body, Wanted.Tokens) +
                     "\"},\"finish_reason\":\"stop\"}]}";
  TokensSent += Wanted.Tokens;
  if (!faults().take(Fault::CloseMidAnswer)) {
    sendJson(Answer, 200, Body);
    return;
  }
  Answer.setContentType("application/json");
  Answer.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Answer.send() << Body.substr(0, Body.size() / 2) << std::flush;
}

void FakeEngine::answerStream(const Chat &Wanted, Response &Answer) {
  auto Crash = faults().take(Fault::CrashAfterTokens);
  auto Stall = faults().take(Fault::StallAfterTokens);
  bool EarlyDone = faults().take(Fault::EarlyDone).has_value();
  auto Skip = faults().take(Fault::SkipToken);
  auto Repeat = faults().take(Fault::RepeatToken);
  Answer.setContentType("text/event-stream");
  Answer.setChunkedTransferEncoding(true);
  std::ostream &Out = Answer.send();
  uint64_t Sent = 0;
  for (uint64_t I = Wanted.FirstToken; I <= Wanted.Tokens; ++I) {
    if (Crash && Sent >= static_cast<uint64_t>(*Crash))
      return;
    if (Stall && Sent >= static_cast<uint64_t>(*Stall)) {
      while (sleepOrCancelled(Wanted, 10))
        ;
      ++Cancelled;
      return;
    }
    if (EarlyDone && Sent == 2)
      break;
    bool Alive = sleepOrCancelled(Wanted, Speed.TokenMillis);
    if (!Alive || !Out.good()) {
      ++Cancelled;
      return;
    }
    if (Skip && I == static_cast<uint64_t>(*Skip))
      continue;
    std::string Event =
        "id: " + std::to_string(I) + "\ndata: " +
        chunkJson(Wanted.Id, fakeToken(Wanted.Body, I), I == Wanted.Tokens) +
        "\n\n";
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
  if (!Object || faults().take(Fault::AnswerCancelled))
    return;
  std::lock_guard Lock(Mutex);
  CancelledIds.insert(Object->optValue<std::string>("request_id", ""));
}

void FakeEngine::order(Request &Asked, Response &Answer) {
  auto Object = parseObject(readBody(Asked));
  if (!Object) {
    sendJson(Answer, 400, "{}");
    return;
  }
  auto Fencing = Object->optValue<uint64_t>("fencing", 0);
  bool Checks = record().Fencing == FencingCheck::Checked;
  {
    std::lock_guard Lock(Mutex);
    if (Checks && Fencing < GreatestFencing) {
      sendJson(Answer, 409, "{\"error\":\"stale_fencing\"}");
      return;
    }
    GreatestFencing = std::max(GreatestFencing, Fencing);
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
