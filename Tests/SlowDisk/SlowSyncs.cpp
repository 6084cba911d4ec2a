// Linked into a build of ferryd for tests: delays each sync of a file, as a
// slow disk does. FERRY_TEST_SYNC_MILLIS is the delay of each; of each n syncs,
// where FERRY_TEST_SLOW_SYNC_EVERY is n, one takes FERRY_TEST_SLOW_SYNC_MILLIS
// longer.
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <thread>

static int64_t numberFrom(const char *Variable) {
  const char *Value = std::getenv(Variable);
  return Value == nullptr ? 0 : std::atoll(Value);
}

static void delaySync() {
  static const int64_t Millis = numberFrom("FERRY_TEST_SYNC_MILLIS");
  static const int64_t SlowEvery = numberFrom("FERRY_TEST_SLOW_SYNC_EVERY");
  static const int64_t SlowMillis = numberFrom("FERRY_TEST_SLOW_SYNC_MILLIS");
  static std::atomic<int64_t> Syncs = 0;
  bool IsSlow = SlowEvery > 0 && ++Syncs % SlowEvery == 0;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Millis + (IsSlow ? SlowMillis : 0)));
}

// The linker option --wrap puts these in place of the functions of the C
// library.
extern "C" {
// NOLINTBEGIN(readability-identifier-naming,bugprone-reserved-identifier)
int __real_fsync(int Descriptor);
int __real_fdatasync(int Descriptor);

int __wrap_fsync(int Descriptor) {
  delaySync();
  return __real_fsync(Descriptor);
}

int __wrap_fdatasync(int Descriptor) {
  delaySync();
  return __real_fdatasync(Descriptor);
}
// NOLINTEND(readability-identifier-naming,bugprone-reserved-identifier)
}
