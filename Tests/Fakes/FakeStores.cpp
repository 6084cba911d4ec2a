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

void FakeCacheStore::handle(const std::string &Path, Request &Incoming,
                            Response &Answer) {
  auto Object = parseObject(readBody(Incoming));
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

void FakeWeightStore::handle(const std::string &, Request &Incoming,
                             Response &Answer) {
  readBody(Incoming);
  uint32_t Loads = ++ActiveLoads;
  PeakLoads = std::max<uint32_t>(PeakLoads, Loads);
  pause(LoadMillis * std::max(Loads, FullSpeedLoads) / FullSpeedLoads);
  --ActiveLoads;
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

void FakeService::handle(const std::string &Path, Request &Incoming,
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
  write(Path, Incoming, Answer);
  --Running;
}

void FakeService::write(const std::string &Path, Request &Incoming,
                        Response &Answer) {
  std::string Body = readBody(Incoming);
  std::string Key = Incoming.get("Idempotency-Key", "");
  if (auto Slow = faults().consume(Fault::SlowMillis))
    pause(static_cast<double>(*Slow));
  if (faults().consume(Fault::Refuse)) {
    sendJson(Answer, 503, "{\"error\":\"busy\"}");
    return;
  }
  bool IsWrite =
      Incoming.getMethod() != "GET" && Incoming.getMethod() != "HEAD";
  uint64_t Count = 0;
  if (IsWrite) {
    std::lock_guard Lock(Mutex);
    Count = ++Counts[Key];
  }
  if (faults().consume(Fault::CloseBeforeAnswer)) {
    dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Incoming)
        .socket()
        .shutdown();
    return;
  }
  if (auto Late = faults().consume(Fault::LateAnswerMillis))
    pause(static_cast<double>(*Late));
  std::string Echo = Incoming.get("X-Ferry-Request", "");
  if (faults().consume(Fault::WrongEcho))
    Echo = "somebody-else";
  Answer.set("X-Ferry-Request", Echo);
  std::string Text = "{\"path\":\"" + Path +
                     "\",\"writes\":" + std::to_string(Count) +
                     ",\"bytes\":" + std::to_string(Body.size()) + "}";
  if (!faults().consume(Fault::CloseMidAnswer)) {
    sendJson(Answer, IsWrite ? 201 : 200, Text);
    return;
  }
  Answer.setContentType("application/json");
  Answer.setContentLength64(static_cast<Poco::Int64>(Text.size()));
  Answer.send() << Text.substr(0, Text.size() / 2) << std::flush;
}

} // namespace ferry::fakes
