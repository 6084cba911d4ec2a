// The log under load and with a reader that stalls.
#include "LibObserve/LogQueue.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace ferry;
using namespace ferry::observe;
using namespace std::chrono_literals;

namespace {

/// Collects lines; while it is stalled, its writer is stuck in the first one.
struct Reader {
  void write(const std::string &Line) {
    std::unique_lock Lock(Mutex);
    Resumed.wait(Lock, [this] { return !Stalled; });
    Lines.push_back(Line);
  }
  void resume() {
    {
      std::lock_guard Lock(Mutex);
      Stalled = false;
    }
    Resumed.notify_all();
  }
  std::mutex Mutex;
  std::condition_variable Resumed;
  bool Stalled = false;
  std::vector<std::string> Lines;
};

LogQueue::Writer writerOf(Reader &To) {
  return [&To](const std::string &Line) { To.write(Line); };
}

constexpr Timestamp Start{100s};

} // namespace

BOOST_AUTO_TEST_CASE(lines_come_in_order) {
  Reader Lines;
  {
    LogQueue Queue(writerOf(Lines), {});
    for (int Count = 0; Count < 100; ++Count)
      Queue.push(std::to_string(Count), LineWeight::Ordinary, Start);
  }
  BOOST_REQUIRE(Lines.Lines.size() == 100U);
  BOOST_TEST(Lines.Lines.front() == "0");
  BOOST_TEST(Lines.Lines.back() == "99");
}

BOOST_AUTO_TEST_CASE(a_stalled_reader_holds_nobody_up) {
  Reader Lines;
  Lines.Stalled = true;
  LogQueue Queue(writerOf(Lines), {100, 1e9, 1e9});
  // Each push returns, or this test would not end.
  for (int Count = 0; Count < 10'000; ++Count)
    Queue.push("line", LineWeight::Important, Start);
  BOOST_TEST(Queue.leftOut() >= 9'700U);
  Lines.resume();
}

BOOST_AUTO_TEST_CASE(volume_is_bounded_and_what_is_missing_is_told) {
  Reader Lines;
  {
    LogQueue Queue(writerOf(Lines), {4096, 10, 20});
    for (int Count = 0; Count < 1000; ++Count)
      Queue.push("ordinary", LineWeight::Ordinary, Start);
    Queue.push("important", LineWeight::Important, Start);
    Queue.push("later", LineWeight::Ordinary, Start + 1s);
    BOOST_TEST(Queue.leftOut() == 980U);
  }
  BOOST_REQUIRE(Lines.Lines.size() == 22U);
  BOOST_TEST(Lines.Lines[20] == "important lines_left_out=980");
  BOOST_TEST(Lines.Lines[21] == "later");
}
