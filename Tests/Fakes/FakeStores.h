/// \file
/// A fake cache store, a fake weight store and a fake plain service.
#ifndef FERRY_FAKES_FAKESTORES_H
#define FERRY_FAKES_FAKESTORES_H

#include "Fakes/FakeBlockCache.h"
#include "Fakes/FakeServer.h"
#include <map>

namespace ferry::fakes {

/// Stores the blocks that engines export.
class FakeCacheStore : public FakeServer {
public:
  FakeCacheStore(FakeOptions Base, size_t Capacity);
  ~FakeCacheStore() override { stop(); }

protected:
  void handle(const std::string &Path, Request &Incoming,
              Response &Answer) override;
  std::vector<cache::BlockHash> blocks() override { return Cache.blocks(); }

private:
  FakeBlockCache Cache;
};

/// Serves weights at a limited rate: a load takes longer while more than two
/// are in progress.
class FakeWeightStore : public FakeServer {
public:
  FakeWeightStore(FakeOptions Base, double LoadMillis);
  ~FakeWeightStore() override { stop(); }

  /// The greatest number of loads that were in progress at the same time.
  uint32_t peakLoads() const { return PeakLoads; }

protected:
  void handle(const std::string &Path, Request &Incoming,
              Response &Answer) override;

private:
  double LoadMillis;
  std::atomic<uint32_t> ActiveLoads = 0;
  std::atomic<uint32_t> PeakLoads = 0;
};

/// Writes records and counts how often each key was written.
class FakeService : public FakeServer {
public:
  explicit FakeService(FakeOptions Base);
  ~FakeService() override { stop(); }

  /// \returns the number of writes by Idempotency-Key.
  std::map<std::string, uint64_t> counts();
  uint64_t calls() const { return Calls; }

protected:
  void handle(const std::string &Path, Request &Incoming,
              Response &Answer) override;
  TargetLoad load() override { return {Running, 0, 0, 64}; }

private:
  void write(const std::string &Path, Request &Incoming, Response &Answer);

  std::mutex Mutex;
  std::map<std::string, uint64_t> Counts;
  std::atomic<uint32_t> Running = 0;
  std::atomic<uint64_t> Calls = 0;
};

} // namespace ferry::fakes

#endif
