/// \file
/// Callers of streams whose prompts share parts.
#ifndef FERRY_TESTS_SUPPORT_STREAMCALLERS_H
#define FERRY_TESTS_SUPPORT_STREAMCALLERS_H

#include "LibCore/Time.h"
#include "Support/RoutedCluster.h"
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>
#include <vector>

namespace ferry::test {

/// The routers that callers send requests to.
inline constexpr std::array<int, 3> Routers = {11, 12, 13};

/// Callers of all routers, and what they got.
class StreamCallers {
public:
  explicit StreamCallers(RoutedCluster &Cluster, std::string Path = "/stream/x")
      : Cluster(Cluster), Path(std::move(Path)) {}
  ~StreamCallers() { stop(); }

  /// Sends requests to all routers in turn, one each \p Pause. Their prompts
  /// have a shared first part, \p Part, and a part of their own.
  void start(const std::string &Part, Duration Pause) {
    Threads.emplace_back([this, Part, Pause] {
      std::vector<std::thread> Calls;
      for (int Number = 0; !Stopping; ++Number) {
        int Router = Routers[static_cast<size_t>(Number) % Routers.size()];
        Calls.emplace_back(
            [this, Part, Number, Router] { call(Part, Number, Router); });
        std::this_thread::sleep_for(Pause);
      }
      for (std::thread &Call : Calls)
        Call.join();
    });
  }

  void stop() {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
    Threads.clear();
  }

  /// \returns the share of the calls with \p Part that were sent from \p From
  /// on, before \p Until, and got a whole stream.
  double servedShare(const std::string &Part, Timestamp From, Timestamp Until) {
    std::lock_guard Lock(Mutex);
    double Sent = 0;
    double Served = 0;
    for (const Outcome &Each : Outcomes)
      if (Each.Part == Part && Each.SentAt >= From && Each.SentAt < Until) {
        Sent += 1;
        Served += Each.Served ? 1 : 0;
      }
    BOOST_REQUIRE(Sent >= 20);
    return Served / Sent;
  }

private:
  struct Outcome {
    std::string Part;
    Timestamp SentAt;
    bool Served = false;
  };

  void call(const std::string &Part, int Number, int Router) {
    std::string Id = Part + "-" + std::to_string(Number);
    Timestamp SentAt = steadyNow();
    Answer Got = request(
        Cluster.callers(Router), "POST", Path, "b",
        {{"Host", "a.example"},
         {"X-Request-Id", Id},
         {"X-Model", "m0"},
         {"X-Token-Counts", "100,4"},
         {"X-Prompt-Prefix",
          "5eed:40," + Part + ":40," + std::to_string(1000 + Number) + ":20"}},
        4000);
    bool Whole =
        Got.Status == 200 && Got.Body.find("id: 3") != std::string::npos;
    std::lock_guard Lock(Mutex);
    Outcomes.push_back({Part, SentAt, Whole});
  }

  RoutedCluster &Cluster;
  const std::string Path;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::vector<Outcome> Outcomes;
  std::vector<std::thread> Threads;
};

} // namespace ferry::test

#endif
