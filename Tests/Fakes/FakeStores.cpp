#include "Fakes/FakeStores.h"
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <algorithm>
#include <sstream>

namespace ferry::fakes {

/// How long a cache store keeps a block.
static constexpr std::chrono::minutes StoreLifetime{10};
/// Loads that the weight store serves at full speed.
static constexpr uint32_t FullSpeedLoads = 2;

FakeCacheStore::FakeCacheStore(FakeOptions Base, size_t Capacity)
    : FakeServer(std::move(Base)),
      Cache(Capacity, StoreLifetime,
            [this](cache::CacheEvent Event) { publish(Event); }) {
  changeRecord([](TargetRecord &Record) {
    Record.Kind = TargetKind::CacheStore;
    Record.Phase = TargetPhase::Ready;
  });
}

void FakeCacheStore::handle(const std::string &Path, Request &Asked,
                            Response &Answer) {
  auto Object = parseObject(readBody(Asked));
  auto List = Object ? Object->getArray("blocks") : nullptr;
  if (!List) {
    sendJson(Answer, 400, "{}");
    return;
  }
  std::vector<cache::BlockHash> Blocks;
  for (const auto &Block : *List)
    Blocks.push_back({std::strtoull(Block.toString().c_str(), nullptr, 16)});
  if (Path == "/v1/blocks/lookup") {
    sendJson(Answer, 200,
             "{\"leading\":" + std::to_string(Cache.useLeading(Blocks)) + "}");
    return;
  }
  Cache.store(Blocks);
  sendJson(Answer, 200, "{}");
}

FakeWeightStore::FakeWeightStore(FakeOptions Base, double LoadMillis)
    : FakeServer(std::move(Base)), LoadMillis(LoadMillis) {
  changeRecord([](TargetRecord &Record) {
    Record.Kind = TargetKind::WeightStore;
    Record.Phase = TargetPhase::Ready;
  });
}

void FakeWeightStore::handle(const std::string &, Request &Asked,
                             Response &Answer) {
  readBody(Asked);
  uint32_t Now = ++Active;
  Peak = std::max<uint32_t>(Peak, Now);
  pause(LoadMillis * std::max(Now, FullSpeedLoads) / FullSpeedLoads);
  --Active;
  sendJson(Answer, 200, "{}");
}

FakeService::FakeService(FakeOptions Base) : FakeServer(std::move(Base)) {
  changeRecord([](TargetRecord &Record) {
    Record.Kind = TargetKind::PlainService;
    Record.Phase = TargetPhase::Ready;
  });
}

std::map<std::string, uint64_t> FakeService::counts() {
  std::lock_guard Lock(Mutex);
  return Counts;
}

void FakeService::handle(const std::string &Path, Request &Asked,
                         Response &Answer) {
  if (Path == "/counts") {
    std::ostringstream Out;
    Out << "{\"counts\":{";
    const char *Comma = "";
    for (const auto &[Key, Count] : counts()) {
      Out << Comma << "\"" << Key << "\":" << Count;
      Comma = ",";
    }
    Out << "}}";
    sendJson(Answer, 200, Out.str());
    return;
  }
  ++Calls;
  ++Running;
  write(Path, Asked, Answer);
  --Running;
}

void FakeService::write(const std::string &Path, Request &Asked,
                        Response &Answer) {
  std::string Body = readBody(Asked);
  std::string Key = Asked.get("Idempotency-Key", "");
  if (auto Slow = faults().take(Fault::SlowMillis))
    pause(static_cast<double>(*Slow));
  if (faults().take(Fault::Refuse)) {
    sendJson(Answer, 503, "{\"error\":\"busy\"}");
    return;
  }
  bool Writes = Asked.getMethod() != "GET" && Asked.getMethod() != "HEAD";
  uint64_t Count = 0;
  if (Writes) {
    std::lock_guard Lock(Mutex);
    Count = ++Counts[Key];
  }
  if (faults().take(Fault::CloseBeforeAnswer)) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Asked).socket().shutdown();
    return;
  }
  if (auto Late = faults().take(Fault::LateAnswerMillis))
    pause(static_cast<double>(*Late));
  std::string Echo = Asked.get("X-Ferry-Request", "");
  if (faults().take(Fault::WrongEcho))
    Echo = "somebody-else";
  Answer.set("X-Ferry-Request", Echo);
  std::string Text = "{\"path\":\"" + Path +
                     "\",\"writes\":" + std::to_string(Count) +
                     ",\"bytes\":" + std::to_string(Body.size()) + "}";
  if (!faults().take(Fault::CloseMidAnswer)) {
    sendJson(Answer, Writes ? 201 : 200, Text);
    return;
  }
  Answer.setContentType("application/json");
  Answer.setContentLength64(static_cast<Poco::Int64>(Text.size()));
  Answer.send() << Text.substr(0, Text.size() / 2) << std::flush;
}

} // namespace ferry::fakes
