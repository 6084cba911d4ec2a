/// \file
/// A fake model engine.
#ifndef FERRY_FAKES_FAKEENGINE_H
#define FERRY_FAKES_FAKEENGINE_H

#include "Fakes/FakeBlockCache.h"
#include "Fakes/FakeServer.h"
#include <set>

namespace ferry::fakes {

/// Speed and size of a fake engine; times are real but small.
struct EngineOptions {
  double PrefillTokensPerSecond = 200'000;
  double TokenMillis = 1;
  double LoadWeightsMillis = 1000;
  double ImportMillisPerBlock = 1;
  uint32_t MaxConcurrent = 16;
  size_t CacheBlocks = 256;
  int BlockLifetimeMillis = 5000;
  /// Address of a cache store that gets the blocks used twice; "" for none.
  std::string ExportTo;
  /// Address of the weight store; "" for none.
  std::string WeightStore;
};

/// \returns token \p Index of the answer to the request body \p Body.
std::string fakeToken(const std::string &Body, uint64_t Index);
/// \returns the whole answer of \p Count tokens to \p Body.
std::string fakeAnswer(const std::string &Body, uint64_t Count);

/// Batches continuously: one prefill at a time, interactive requests first,
/// and up to MaxConcurrent requests that decode side by side. Its answers are a
/// function of the request's body, so that a resumed stream can be checked.
class FakeEngine : public FakeServer {
public:
  FakeEngine(FakeOptions Base, EngineOptions Speed);
  ~FakeEngine() override;

  uint32_t running() const { return Running; }
  uint64_t cancelled() const { return Cancelled; }
  uint64_t served() const { return Served; }
  /// Tokens that were computed although some answer had them before.
  uint64_t tokensSent() const { return TokensSent; }

protected:
  void handle(const std::string &Path, Request &Asked,
              Response &Answer) override;
  TargetLoad load() override;
  std::vector<cache::BlockHash> blocks() override { return Cache.blocks(); }

private:
  /// One chat request as the engine read it.
  struct Chat {
    std::string Body;
    std::string Id;
    bool Streams = false;
    uint64_t FirstToken = 0;
    uint64_t Tokens = 16;
    uint64_t PromptTokens = 0;
    bool Batch = false;
    std::vector<cache::BlockHash> Blocks;
  };

  void chat(Request &Asked, Response &Answer);
  Chat readChat(Request &Asked);
  /// \returns the tokens found cached, nothing if the engine stops.
  std::optional<uint64_t> prefill(const Chat &Wanted, Request &Asked);
  void importBlocks(const Chat &Wanted, Request &Asked);
  void exportBlocks(const Chat &Wanted);
  void answerWhole(const Chat &Wanted, Response &Answer);
  void answerStream(const Chat &Wanted, Response &Answer);
  bool sleepOrCancelled(const Chat &Wanted, double Millis);
  void cancel(const std::string &Body);
  void order(Request &Asked, Response &Answer);
  void loadWeights(uint64_t Weights);

  EngineOptions Speed;
  FakeBlockCache Cache;
  std::mutex Mutex;
  std::condition_variable Freed;
  uint32_t InteractiveWaiting = 0;
  uint32_t QueuedRequests = 0;
  uint64_t QueuedTokens = 0;
  bool PrefillBusy = false;
  std::set<std::string> CancelledIds;
  uint64_t GreatestFencing = 0;
  std::string LastRequestId;
  std::string LastBody;
  std::atomic<uint32_t> Running = 0;
  std::atomic<uint64_t> Cancelled = 0;
  std::atomic<uint64_t> Served = 0;
  std::atomic<uint64_t> TokensSent = 0;
  std::vector<std::thread> Loads;
};

} // namespace ferry::fakes

#endif
