// Whole clusters under callers that behave as those of the users' platform.
// Guards against requests that run too often, that run although they were
// answered as not run, or that are not served, while hosts start, stop and are
// killed and while callers resend or abandon their calls.
#include "Fakes/FakeCaller.h"
#include "Support/Announcers.h"
#include <boost/test/unit_test.hpp>
#include <map>
#include <mutex>
#include <thread>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;
using fakes::CallerAttempt;
using fakes::CallerConnections;
using fakes::CallerOptions;
using fakes::CallerResends;
using fakes::FakeCaller;

namespace {

bool eventually(const std::function<bool()> &Condition) {
  return TestCluster::eventually(Condition);
}

/// A plain service that refuses some requests, breaks some, leaves some
/// unanswered, and counts the runs of each.
class CountingService {
public:
  /// Request bodies for which the service resets the connection, or does not
  /// answer until the caller leaves.
  static constexpr const char *Break = "break";
  static constexpr const char *Hold = "hold";

  void answer(const ReceivedRequest &Received, ScriptedConnection &Link) {
    std::string Id = Received.Head.get("X-Request-Id", "");
    if (refuses(Id)) {
      Link.write("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + Id +
                 "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    count(Id);
    if (Received.Body == Break)
      return Link.reset();
    if (Received.Body == Hold) {
      if (Link.awaitPeerClosed(20s))
        ++AbandonedHolds;
      return;
    }
    Announcers::answerDone(Received, Link);
  }

  int runs(const std::string &Id) const {
    std::lock_guard Lock(Mutex);
    auto Run = Runs.find(Id);
    return Run == Runs.end() ? 0 : Run->second;
  }

  /// Unanswered requests whose connection was closed.
  std::atomic<int> AbandonedHolds = 0;

private:
  /// Every seventh attempt of a caller is refused, so that two in a row never
  /// are.
  static constexpr int RefusalInterval = 7;

  static bool refuses(const std::string &Id) {
    size_t Mark = Id.rfind('-');
    return Mark != std::string::npos &&
           std::stoi(Id.substr(Mark + 1)) % RefusalInterval == 0;
  }

  void count(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    ++Runs[Id];
  }

  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
};

/// A caller that makes calls on a thread of its own until it is stopped.
class CallerThread {
public:
  CallerThread(CallerOptions Options, std::string Path, std::string Body)
      : Caller(std::move(Options)), Path(std::move(Path)),
        Body(std::move(Body)), Thread([this] { run(); }) {}

  ~CallerThread() { stop(); }

  void stop() {
    Stopping = true;
    if (Thread.joinable())
      Thread.join();
  }

  int callCount() const { return Count; }
  /// The attempts of each call. To be read once the caller has stopped.
  const std::vector<std::vector<CallerAttempt>> &calls() const { return Calls; }

private:
  void run() {
    while (!Stopping) {
      Calls.push_back(Caller.call("POST", Path, Body));
      ++Count;
      std::this_thread::sleep_for(5ms);
    }
  }

  FakeCaller Caller;
  std::string Path;
  std::string Body;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Count = 0;
  std::vector<std::vector<CallerAttempt>> Calls;
  std::thread Thread;
};

/// A cluster that serves routes, with its service and callers.
struct CallerCluster {
  CallerCluster() {
    Cluster.startAll();
    BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(1); }));
    BOOST_REQUIRE(eventually([&] { return Cluster.routersServe(1); }));
    for (int Host : {11, 12})
      BOOST_REQUIRE(
          eventually([&] { return Cluster.directoryListsRouters(Host); }));
  }

  CallerOptions callerOptions(const std::string &Prefix) {
    CallerOptions Options;
    Options.Directories = {Cluster.directory(11), Cluster.directory(12)};
    Options.Prefix = Prefix;
    Options.Seed = std::hash<std::string>()(Prefix);
    return Options;
  }

  CallerThread &add(CallerOptions Options, const std::string &Path,
                    const std::string &Body = "b") {
    Callers.push_back(
        std::make_unique<CallerThread>(std::move(Options), Path, Body));
    return *Callers.back();
  }

  /// Waits until each caller has made this many more calls.
  bool awaitCalls(int More) {
    std::vector<int> TargetCounts;
    for (auto &Each : Callers)
      TargetCounts.push_back(Each->callCount() + More);
    return eventually([&] {
      for (size_t Index = 0; Index < TargetCounts.size(); ++Index)
        if (Callers[Index]->callCount() < TargetCounts[Index])
          return false;
      return true;
    });
  }

  void stopCallers() {
    for (auto &Each : Callers)
      Each->stop();
  }

  CountingService App;
  RoutedCluster Cluster;
  Announcers Targets{Cluster, [this](const ReceivedRequest &Received,
                                     ScriptedConnection &Link) {
                       App.answer(Received, Link);
                     }};
  std::vector<std::unique_ptr<CallerThread>> Callers;
};

/// \returns whether the status promises that the request was not run.
bool saysNotRun(int Status) { return Status == 503 || Status == 429; }

/// Checks the guarantees to a caller: attempts answered as not run did not run,
/// none ran more often than it may, and those that were answered did run.
void checkRuns(const CountingService &App, const CallerThread &Each,
               int MaxRuns) {
  BOOST_TEST(!Each.calls().empty());
  for (const auto &Call : Each.calls())
    for (const CallerAttempt &Attempt : Call) {
      int Runs = App.runs(Attempt.Id);
      BOOST_TEST(Runs <= MaxRuns, Attempt.Id);
      if (saysNotRun(Attempt.Status))
        BOOST_TEST(Runs == 0, Attempt.Id);
      if (Attempt.Status == 200)
        BOOST_TEST(Runs >= 1, Attempt.Id);
    }
}

/// Checks that every call ended with a whole answer.
void checkServed(const CallerThread &Each) {
  for (const auto &Call : Each.calls()) {
    std::string Attempts;
    for (const CallerAttempt &Attempt : Call)
      Attempts += Attempt.Id + " at " + Attempt.Address + " got " +
                  std::to_string(Attempt.Status) + "; ";
    BOOST_TEST(
        (!Call.empty() && Call.back().Status == 200 && Call.back().Whole),
        Attempts);
  }
}

} // namespace

BOOST_FIXTURE_TEST_CASE(callers_are_served_while_hosts_join_and_leave,
                        CallerCluster) {
  CallerOptions Fresh = callerOptions("fresh");
  Fresh.Connections = CallerConnections::NewEachTime;
  CallerOptions Stale = callerOptions("stale");
  Stale.LifetimeFactor = 3;
  Stale.Resends = CallerResends::Always;
  CallerOptions Eager = callerOptions("eager");
  Eager.Resends = CallerResends::Always;
  CallerThread &Once = add(callerOptions("once"), "/1/x");
  CallerThread &FreshOnce = add(Fresh, "/1/x");
  CallerThread &Repeated = add(Eager, "/many/x");
  CallerThread &StaleRepeated = add(Stale, "/many/x");
  BOOST_REQUIRE(awaitCalls(20));
  // The directory lists a new router, and no longer lists one that stops.
  Cluster.startRouter(13);
  BOOST_TEST(eventually([&] { return Cluster.call(13, 1).Status == 200; }));
  Cluster.host(11).signal(SIGTERM);
  BOOST_REQUIRE(awaitCalls(20));
  BOOST_TEST(Cluster.host(11).wait() == 0);
  Cluster.kill(1);
  BOOST_REQUIRE(awaitCalls(20));
  BOOST_REQUIRE(eventually([&] { return Cluster.putRoutesAnywhere(2); }));
  BOOST_REQUIRE(awaitCalls(20));
  stopCallers();
  checkRuns(App, Once, 1);
  checkRuns(App, FreshOnce, 1);
  checkRuns(App, Repeated, 2);
  checkRuns(App, StaleRepeated, 2);
  // Only requests that the service refused failed, so every call was served in
  // the end. The exception is a call that may run once: if its kept connection
  // ends, it is unknown whether the call ran, and the caller does not resend.
  checkServed(FreshOnce);
  checkServed(Repeated);
  checkServed(StaleRepeated);
  for (const auto &Call : Once.calls()) {
    BOOST_REQUIRE(!Call.empty());
    BOOST_TEST((Call.back().Status == 200 || Call.back().Status == 0));
  }
}

BOOST_FIXTURE_TEST_CASE(abandoned_calls_end_their_requests_at_the_target,
                        CallerCluster) {
  CallerOptions Leaver = callerOptions("leaver");
  Leaver.AbandonsAfter = 100ms;
  CallerThread &LeavingCaller = add(Leaver, "/1/x", CountingService::Hold);
  BOOST_REQUIRE(awaitCalls(5));
  stopCallers();
  int Held = 0;
  for (const auto &Call : LeavingCaller.calls())
    for (const CallerAttempt &Attempt : Call)
      Held += App.runs(Attempt.Id);
  BOOST_TEST(Held > 0);
  BOOST_TEST(eventually([&] { return App.AbandonedHolds == Held; }));
}

BOOST_FIXTURE_TEST_CASE(broken_answers_are_retried_only_on_idempotent_routes,
                        CallerCluster) {
  CallerOptions Eager = callerOptions("eager");
  Eager.Resends = CallerResends::Always;
  CallerThread &Once =
      add(callerOptions("once"), "/1/x", CountingService::Break);
  CallerThread &Repeated = add(Eager, "/many/x", CountingService::Break);
  BOOST_REQUIRE(awaitCalls(5));
  stopCallers();
  checkRuns(App, Once, 1);
  checkRuns(App, Repeated, 2);
  for (const auto &Call : Once.calls()) {
    BOOST_REQUIRE(!Call.empty());
    BOOST_TEST((Call.back().Status == 502 || saysNotRun(Call.back().Status)));
  }
}
