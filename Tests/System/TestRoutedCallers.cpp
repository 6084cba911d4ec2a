// Callers of the users' platform before whole clusters: they ask the directory,
// keep connections, come back and leave, while hosts come and go.
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

bool eventually(const std::function<bool()> &Done) {
  return TestCluster::eventually(Done);
}

/// A plain service that refuses some requests, breaks some and holds some, and
/// counts what it ran.
class Service {
public:
  /// The bodies that ask for more than an answer.
  static constexpr const char *Break = "break";
  static constexpr const char *Hold = "hold";

  void answer(const ReceivedRequest &Read, ScriptedConnection &Link) {
    std::string Id = Read.Head.get("X-Request-Id", "");
    if (refuses(Id)) {
      Link.write("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + Id +
                 "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    count(Id);
    if (Read.Body == Break)
      return Link.reset();
    if (Read.Body == Hold) {
      if (Link.awaitPeerClosed(20s))
        ++Left;
      return;
    }
    Announcers::done(Read, Link);
  }

  int runs(const std::string &Id) const {
    std::lock_guard Lock(Mutex);
    auto Found = Runs.find(Id);
    return Found == Runs.end() ? 0 : Found->second;
  }

  /// Requests whose caller left while they were held.
  std::atomic<int> Left = 0;

private:
  /// Every seventh attempt of a caller is refused, so never two in a row.
  static constexpr int RefusedOne = 7;

  static bool refuses(const std::string &Id) {
    size_t Mark = Id.rfind('-');
    return Mark != std::string::npos &&
           std::stoi(Id.substr(Mark + 1)) % RefusedOne == 0;
  }

  void count(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    ++Runs[Id];
  }

  mutable std::mutex Mutex;
  std::map<std::string, int> Runs;
};

/// One caller on a thread of its own, until it is told to stop.
class Calling {
public:
  Calling(CallerOptions Habits, std::string Path, std::string Body)
      : Caller(std::move(Habits)), Path(std::move(Path)), Body(std::move(Body)),
        Thread([this] { run(); }) {}

  ~Calling() { stop(); }

  void stop() {
    Stopping = true;
    if (Thread.joinable())
      Thread.join();
  }

  int calls() const { return Count; }
  /// To be read once the caller has stopped.
  const std::vector<std::vector<CallerAttempt>> &made() const { return Made; }

private:
  void run() {
    while (!Stopping) {
      Made.push_back(Caller.call("POST", Path, Body));
      ++Count;
      std::this_thread::sleep_for(5ms);
    }
  }

  FakeCaller Caller;
  std::string Path;
  std::string Body;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Count = 0;
  std::vector<std::vector<CallerAttempt>> Made;
  std::thread Thread;
};

/// The cluster of a day, with its service and callers.
struct Day {
  Day() {
    Cluster.startAll();
    BOOST_REQUIRE(eventually([&] { return Cluster.accepts(1); }));
    BOOST_REQUIRE(eventually([&] { return Cluster.serves(1); }));
    for (int Host : {11, 12})
      BOOST_REQUIRE(eventually([&] { return Cluster.namesRouters(Host); }));
  }

  CallerOptions habits(const std::string &Prefix) {
    CallerOptions Habits;
    Habits.Directories = {Cluster.directory(11), Cluster.directory(12)};
    Habits.Prefix = Prefix;
    Habits.Seed = std::hash<std::string>()(Prefix);
    return Habits;
  }

  Calling &add(CallerOptions Habits, const std::string &Path,
               const std::string &Body = "b") {
    Callers.push_back(std::make_unique<Calling>(std::move(Habits), Path, Body));
    return *Callers.back();
  }

  /// Waits until each caller has made this many calls more.
  bool callsMade(int More) {
    std::vector<int> Aims;
    for (auto &Each : Callers)
      Aims.push_back(Each->calls() + More);
    return eventually([&] {
      for (size_t Place = 0; Place < Aims.size(); ++Place)
        if (Callers[Place]->calls() < Aims[Place])
          return false;
      return true;
    });
  }

  void stopCallers() {
    for (auto &Each : Callers)
      Each->stop();
  }

  Service App;
  RoutedCluster Cluster;
  Announcers Targets{
      Cluster, [this](const ReceivedRequest &Read, ScriptedConnection &Link) {
        App.answer(Read, Link);
      }};
  std::vector<std::unique_ptr<Calling>> Callers;
};

bool isPromise(int Status) { return Status == 503 || Status == 429; }

/// Checks what holds for every caller: a promise is kept, nothing runs more
/// often than it may, and what was answered has been run.
void checkRuns(const Service &App, const Calling &Each, int MostRuns) {
  BOOST_TEST(!Each.made().empty());
  for (const auto &Call : Each.made())
    for (const CallerAttempt &Made : Call) {
      int Runs = App.runs(Made.Id);
      BOOST_TEST(Runs <= MostRuns, Made.Id);
      if (isPromise(Made.Status))
        BOOST_TEST(Runs == 0, Made.Id);
      if (Made.Status == 200)
        BOOST_TEST(Runs >= 1, Made.Id);
    }
}

/// Checks that every call ended with a whole answer.
void checkServed(const Calling &Each) {
  for (const auto &Call : Each.made()) {
    std::string Attempts;
    for (const CallerAttempt &Made : Call)
      Attempts += Made.Id + " at " + Made.Address + " got " +
                  std::to_string(Made.Status) + "; ";
    BOOST_TEST(
        (!Call.empty() && Call.back().Status == 200 && Call.back().Whole),
        Attempts);
  }
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_day_of_callers_while_hosts_come_and_go, Day) {
  CallerOptions Fresh = habits("fresh");
  Fresh.Connections = CallerConnections::NewEachTime;
  CallerOptions Stale = habits("stale");
  Stale.LifetimeFactor = 3;
  Stale.Resends = CallerResends::Always;
  CallerOptions Eager = habits("eager");
  Eager.Resends = CallerResends::Always;
  Calling &Once = add(habits("once"), "/1/x");
  Calling &FreshOnce = add(Fresh, "/1/x");
  Calling &Repeated = add(Eager, "/many/x");
  Calling &StaleRepeated = add(Stale, "/many/x");
  BOOST_REQUIRE(callsMade(20));
  // Another router is named to callers, and one that stops is no longer.
  Cluster.startRouter(13);
  BOOST_TEST(eventually([&] { return Cluster.call(13, 1).Status == 200; }));
  Cluster.host(11).signal(SIGTERM);
  BOOST_REQUIRE(callsMade(20));
  BOOST_TEST(Cluster.host(11).wait() == 0);
  Cluster.kill(1);
  BOOST_REQUIRE(callsMade(20));
  BOOST_REQUIRE(eventually([&] { return Cluster.accepts(2); }));
  BOOST_REQUIRE(callsMade(20));
  stopCallers();
  checkRuns(App, Once, 1);
  checkRuns(App, FreshOnce, 1);
  checkRuns(App, Repeated, 2);
  checkRuns(App, StaleRepeated, 2);
  // Nothing failed but what the service refused, so all were served; a kept
  // connection that ends beneath a call that may run once promises nothing.
  checkServed(FreshOnce);
  checkServed(Repeated);
  checkServed(StaleRepeated);
  for (const auto &Call : Once.made()) {
    BOOST_REQUIRE(!Call.empty());
    BOOST_TEST((Call.back().Status == 200 || Call.back().Status == 0));
  }
}

BOOST_FIXTURE_TEST_CASE(callers_that_leave_end_the_work_they_asked_for, Day) {
  CallerOptions Leaver = habits("leaver");
  Leaver.AbandonsAfter = 100ms;
  Calling &Leaving = add(Leaver, "/1/x", Service::Hold);
  BOOST_REQUIRE(callsMade(5));
  stopCallers();
  int Held = 0;
  for (const auto &Call : Leaving.made())
    for (const CallerAttempt &Made : Call)
      Held += App.runs(Made.Id);
  BOOST_TEST(Held > 0);
  BOOST_TEST(eventually([&] { return App.Left == Held; }));
}

BOOST_FIXTURE_TEST_CASE(a_broken_answer_is_repeated_only_where_it_may_be, Day) {
  CallerOptions Eager = habits("eager");
  Eager.Resends = CallerResends::Always;
  Calling &Once = add(habits("once"), "/1/x", Service::Break);
  Calling &Repeated = add(Eager, "/many/x", Service::Break);
  BOOST_REQUIRE(callsMade(5));
  stopCallers();
  checkRuns(App, Once, 1);
  checkRuns(App, Repeated, 2);
  for (const auto &Call : Once.made()) {
    BOOST_REQUIRE(!Call.empty());
    BOOST_TEST((Call.back().Status == 502 || isPromise(Call.back().Status)));
  }
}
