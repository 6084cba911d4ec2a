// The storage threads of a log, on disks that are slow, hang or fail.
#include "LibConsensus/LogCluster.h"
#include "LibConsensus/Storage.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace ferry;
using namespace ferry::consensus;
using namespace std::chrono_literals;

namespace {

const LogName Name{{"cluster"}, {1}};

WriteBatch entryBatch(uint64_t Index) {
  WriteBatch Batch;
  Batch.Entries.push_back(
      {Index, 1, EntryKind::Command, "command " + std::to_string(Index)});
  return Batch;
}

/// A storage whose syncs are delayed or fail as the test says.
class TestedStorage {
public:
  using Fault = std::function<bool(int Number)>;

  /// \param IsSound called before each sync with its number from 1 on; the sync
  /// fails if it returns false.
  explicit TestedStorage(Fault IsSound) {
    auto Files = LogFiles::tryOpen(Folder.Path, Name);
    BOOST_REQUIRE(Files.has_value());
    BOOST_REQUIRE(Files->tryInitialise({{7}, Standing::Blank, {}}).has_value());
    auto OnSynced = [this](Result<uint64_t, StorageError> Outcome) {
      std::lock_guard Lock(Mutex);
      if (Outcome)
        Synced = std::max(Synced, *Outcome);
      else
        HasFailed = true;
    };
    auto Sync = [this, IsSound = std::move(IsSound)](
                    const WrittenLog &Written,
                    size_t Slot) -> Result<void, StorageError> {
      if (!IsSound(++Syncs))
        return makeTypedError(StorageErrorKind::Io, "injected");
      return LogFiles::trySync(Written, Slot);
    };
    Disk = std::make_unique<Storage>(std::move(*Files), OnSynced, Sync);
  }

  void write(uint64_t Token) { Disk->write(Token, entryBatch(Token)); }
  uint64_t synced() {
    std::lock_guard Lock(Mutex);
    return Synced;
  }
  bool hasFailed() {
    std::lock_guard Lock(Mutex);
    return HasFailed;
  }
  int syncs() const { return Syncs; }

  bool eventually(const std::function<bool()> &Condition,
                  Duration Limit = 5s) const {
    Timestamp End = steadyNow() + Limit;
    while (!Condition() && steadyNow() < End) {
      Disk->overlapSlowSync();
      std::this_thread::sleep_for(1ms);
    }
    return Condition();
  }

  /// Ends the storage. \returns the entries that the files have.
  std::vector<Entry> endAndRecover() {
    Disk.reset();
    auto Files = LogFiles::tryOpen(Folder.Path, Name);
    BOOST_REQUIRE(Files.has_value());
    auto Recovered = Files->tryRecover();
    BOOST_REQUIRE(Recovered.has_value());
    return (*Recovered)->Entries;
  }

private:
  TemporaryFolder Folder;
  std::mutex Mutex;
  uint64_t Synced = 0;
  bool HasFailed = false;
  std::atomic<int> Syncs = 0;
  std::unique_ptr<Storage> Disk;
};

} // namespace

// Finding review/7: a leave waited for the sync under way and then for its own,
// and was refused after 850 ms.
BOOST_AUTO_TEST_CASE(a_write_does_not_wait_for_a_sync_that_hangs) {
  std::promise<void> Released;
  auto Release = Released.get_future().share();
  TestedStorage Disk([Release](int Number) {
    if (Number == 1)
      Release.wait();
    return true;
  });
  Disk.write(1);
  BOOST_REQUIRE(Disk.eventually([&] { return Disk.syncs() == 1; }));
  Disk.write(2);
  Disk.write(3);
  // A sync covers what was written before it.
  BOOST_TEST(Disk.eventually([&] { return Disk.synced() == 3; }));
  Released.set_value();
  BOOST_TEST(Disk.endAndRecover().size() == 3U);
}

BOOST_AUTO_TEST_CASE(writes_wait_if_all_syncs_hang) {
  std::promise<void> Released;
  auto Release = Released.get_future().share();
  TestedStorage Disk([Release](int) {
    Release.wait();
    return true;
  });
  int MaxSyncs = MaxConcurrentSyncs;
  for (int Token = 1; Token <= MaxSyncs + 3; ++Token) {
    Disk.write(Token);
    Disk.eventually([&] { return Disk.syncs() == std::min(Token, MaxSyncs); });
  }
  std::this_thread::sleep_for(2 * Storage::SyncOverlapDelay);
  BOOST_TEST(Disk.syncs() == MaxSyncs);
  BOOST_TEST(Disk.synced() == 0U);
  Released.set_value();
  BOOST_TEST(
      Disk.eventually([&] { return Disk.synced() == uint64_t(MaxSyncs) + 3; }));
  BOOST_TEST(Disk.endAndRecover().size() == size_t(MaxSyncs) + 3);
}

BOOST_AUTO_TEST_CASE(writes_during_a_short_sync_share_the_next_one) {
  TestedStorage Disk([](int) {
    std::this_thread::sleep_for(Storage::SyncOverlapDelay / 5);
    return true;
  });
  for (uint64_t Token = 1; Token <= 100; ++Token) {
    Disk.write(Token);
    std::this_thread::sleep_for(Storage::SyncOverlapDelay / 50);
  }
  BOOST_TEST(Disk.eventually([&] { return Disk.synced() == 100; }));
  BOOST_TEST(Disk.syncs() <= 50);
  BOOST_TEST(Disk.endAndRecover().size() == 100U);
}

BOOST_AUTO_TEST_CASE(nothing_is_written_after_a_failed_sync) {
  TestedStorage Disk([](int Number) { return Number != 2; });
  Disk.write(1);
  BOOST_REQUIRE(Disk.eventually([&] { return Disk.synced() == 1; }));
  Disk.write(2);
  BOOST_TEST(Disk.eventually([&] { return Disk.hasFailed(); }));
  int Syncs = Disk.syncs();
  Disk.write(3);
  std::this_thread::sleep_for(2 * Storage::SyncOverlapDelay);
  BOOST_TEST(Disk.syncs() == Syncs);
  BOOST_TEST(Disk.synced() == 1U);
}
