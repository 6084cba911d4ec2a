/// \file
/// A fake model engine.
#ifndef FERRY_FAKES_FAKEENGINE_H
#define FERRY_FAKES_FAKEENGINE_H

#include "Fakes/FakeBlockCache.h"
#include "Fakes/FakeServer.h"
#include <set>

namespace ferry::fakes {

/// Speeds and sizes of a fake engine. Its delays are real, but shorter than
/// those of a real engine.
struct EngineOptions {
  double PrefillTokensPerSecond = 200'000;
  double TokenMillis = 1;
  double LoadWeightsMillis = 1000;
  double ImportMillisPerBlock = 1;
  uint32_t MaxConcurrent = 16;
  size_t CacheBlocks = 256;
  int BlockLifetimeMillis = 5000;
  /// Address of a cache store that gets the blocks of a prompt once some of
  /// them are reused; "" for none.
  std::string ExportTo;
  /// Address of the weight store; "" for none.
  std::string WeightStore;
};

/// \returns token \p Index of the answer to the request body \p Body.
std::string fakeToken(const std::string &Body, uint64_t Index);
/// \returns the whole answer of \p Count tokens to \p Body.
std::string fakeAnswer(const std::string &Body, uint64_t Count);

/// Models continuous batching: one prefill at a time, interactive requests
/// first, and up to MaxConcurrent requests in all. Its answers are a function
/// of the request's body, so that tests can check a resumed stream.
class FakeEngine : public FakeServer {
public:
  FakeEngine(FakeOptions Base, EngineOptions Speed);
  ~FakeEngine() override;

  uint32_t running() const { return Running; }
  uint64_t cancelled() const { return Cancelled; }
  uint64_t served() const { return Served; }
  /// Tokens that were sent, over all answers.
  uint64_t tokensSent() const { return TokensSent; }

protected:
  void handle(const std::string &Path, Request &Incoming,
              Response &Answer) override;
  TargetLoad load() override;
  std::vector<cache::BlockHash> blocks() override { return Cache.blocks(); }

private:
  /// A parsed chat request.
  struct ChatRequest {
    std::string Body;
    std::string Id;
    bool Streams = false;
    uint64_t FirstToken = 0;
    uint64_t Tokens = 16;
    uint64_t PromptTokens = 0;
    bool Batch = false;
    std::vector<cache::BlockHash> Blocks;
  };

  void handleChat(Request &Incoming, Response &Answer);
  ChatRequest readChat(Request &Incoming);
  /// \returns the number of cached prompt tokens; nothing if the engine stops.
  std::optional<uint64_t> prefill(const ChatRequest &Chat, Request &Incoming);
  void importBlocks(const ChatRequest &Chat, Request &Incoming);
  void exportBlocks(const ChatRequest &Chat);
  void answerWhole(const ChatRequest &Chat, Response &Answer);
  void answerStream(const ChatRequest &Chat, Response &Answer);
  /// Sleeps. \returns false if the engine stops or the request is cancelled.
  bool sleepUnlessCancelled(const ChatRequest &Chat, double Millis);
  void cancel(const std::string &Body);
  void handleOrder(Request &Incoming, Response &Answer);
  void loadWeights(uint64_t Weights);

  EngineOptions Speed;
  FakeBlockCache Cache;
  std::mutex Mutex;
  std::condition_variable PrefillFreed;
  uint32_t InteractiveWaiting = 0;
  uint32_t QueuedRequests = 0;
  uint64_t QueuedTokens = 0;
  bool PrefillBusy = false;
  std::set<std::string> CancelledIds;
  uint64_t HighestFencing = 0;
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
