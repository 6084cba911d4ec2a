// The log queue under load and with a stalled reader: threads that log must not
// block, the volume must be limited, and dropped lines must be counted.
#include "LibObserve/LogQueue.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace ferry;
using namespace ferry::observe;
using namespace std::chrono_literals;

namespace {

/// Collects lines. While it is stalled, write() blocks.
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

LogQueue::Writer writerOf(Reader &Sink) {
  return [&Sink](const std::string &Line) { Sink.write(Line); };
}

constexpr Timestamp Start{100s};

} // namespace

BOOST_AUTO_TEST_CASE(lines_are_written_in_order) {
  Reader Sink;
  {
    LogQueue Queue(writerOf(Sink), {});
    for (int Count = 0; Count < 100; ++Count)
      Queue.push(std::to_string(Count), LinePriority::Ordinary, Start);
  }
  BOOST_REQUIRE(Sink.Lines.size() == 100U);
  BOOST_TEST(Sink.Lines.front() == "0");
  BOOST_TEST(Sink.Lines.back() == "99");
}

BOOST_AUTO_TEST_CASE(a_stalled_reader_blocks_no_push) {
  Reader Sink;
  Sink.Stalled = true;
  LogQueue Queue(writerOf(Sink), {100, 1e9, 1e9});
  // The test ends only if each push() returns.
  for (int Count = 0; Count < 10'000; ++Count)
    Queue.push("line", LinePriority::Important, Start);
  BOOST_TEST(Queue.droppedLines() >= 9'700U);
  Sink.resume();
}

BOOST_AUTO_TEST_CASE(the_volume_is_limited_and_dropped_lines_are_counted) {
  Reader Sink;
  {
    LogQueue Queue(writerOf(Sink), {4096, 10, 20});
    for (int Count = 0; Count < 1000; ++Count)
      Queue.push("ordinary", LinePriority::Ordinary, Start);
    Queue.push("important", LinePriority::Important, Start);
    Queue.push("later", LinePriority::Ordinary, Start + 1s);
    BOOST_TEST(Queue.droppedLines() == 980U);
  }
  BOOST_REQUIRE(Sink.Lines.size() == 22U);
  BOOST_TEST(Sink.Lines[20] == "important lines_left_out=980");
  BOOST_TEST(Sink.Lines[21] == "later");
}
