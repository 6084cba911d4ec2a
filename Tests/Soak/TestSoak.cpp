// A soak of the real programs: faults are drawn by seed and injected from
// outside, and promises are checked from what callers and targets see.
//
//   FERRY_SOAK_FIRST=100 FERRY_SOAK_SEEDS=50 FERRY_SOAK_SECONDS=20 TestSoak
#include "Soak/SoakWorld.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

using namespace ferry;
using namespace ferry::soak;
using ferry::test::Answer;
using ferry::test::Formation;
using ferry::test::TestCluster;

namespace ferry::soak {

/// One call of an operator may take this long, as the users' pages say.
static constexpr int OperatorMillis = 1000;
static constexpr std::chrono::milliseconds StrikePause{250};

static std::vector<CallerGroup> callerGroups() {
  return {{"once", "t1", 1},  {"fresh", "t1", 1}, {"wall", "t2", 1},
          {"many", "t1", 2},  {"stale", "t2", 2}, {"flow", "t1", 1},
          {"goon", "t2", 64}, {"probe", "t1", 64}};
}

SoakWorld::SoakWorld(uint64_t Seed) : Random(Seed), Record(callerGroups()) {
  for (int Number : {1, 2, 3, 4, 11, 12, 13}) {
    Hosts[Number].Proxy = std::make_unique<fakes::FakeProxy>(
        Cluster.peers(Number), Cluster.hiddenPeers(Number));
    start(Number, Formation::Allowed);
  }
  for (int Number = 0; Number < 2; ++Number) {
    Targets.push_back(std::make_unique<SoakTarget>(
        Cluster, Record, TargetService::Plain, "i-app" + std::to_string(Number),
        Random()));
    Targets.push_back(std::make_unique<SoakTarget>(
        Cluster, Record, TargetService::Engine, "i-lm" + std::to_string(Number),
        Random()));
  }
  for (int Count = 0; Count < 2; ++Count)
    Threads.emplace_back([this, Drawn = Random()] { putRoutes(Drawn); });
  Threads.emplace_back([this, Drawn = Random()] { nameWeights(Drawn); });
  Threads.emplace_back([this, Drawn = Random()] { readRoutes(Drawn); });
  addCallers();
}

SoakWorld::~SoakWorld() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
}

//===--- Processes -------------------------------------------------------===//

void SoakWorld::start(int Number, Formation MayForm) {
  if (isRouter(Number))
    Cluster.startRouter(Number);
  else
    Cluster.startControl(Number, MayForm);
  Hosts[Number].State = HostState::Running;
  Hosts[Number].DiskFull = false;
  Hosts[Number].Answered = false;
}

/// A process that is just being loaded has no say in what a signal does.
bool SoakWorld::takesSignals(int Number) {
  Host &Known = Hosts[Number];
  if (Known.State != HostState::Running)
    return false;
  if (!Known.Answered)
    Known.Answered =
        test::request(Cluster.figures(Number), "GET", "/metrics", "", {}, 100)
            .Status == 200;
  return Known.Answered;
}

void SoakWorld::later(uint64_t MaxMillis, std::function<void()> Work) {
  Later.emplace(steadyNow() + std::chrono::milliseconds(below(MaxMillis + 1)),
                std::move(Work));
}

void SoakWorld::restartLater(int Number, uint64_t MaxMillis) {
  later(MaxMillis, [this, Number] {
    if (Hosts[Number].State == HostState::Down)
      start(Number, Formation::Forbidden);
  });
}

void SoakWorld::kill(int Number) {
  Cluster.kill(Number);
  Hosts[Number].State = HostState::Down;
}

void SoakWorld::stop(int Number) {
  Cluster.host(Number).signal(SIGTERM);
  Hosts[Number].State = HostState::Stopping;
}

void SoakWorld::pause(int Number) {
  Cluster.host(Number).signal(SIGSTOP);
  Hosts[Number].State = HostState::Paused;
  later(2500, [this, Number] {
    if (Hosts[Number].State != HostState::Paused)
      return;
    Cluster.host(Number).signal(SIGCONT);
    Hosts[Number].State = HostState::Running;
  });
}

void SoakWorld::fillDisk(int Number) {
  Cluster.host(Number).limitFiles(1);
  Hosts[Number].DiskFull = true;
  later(2000, [this, Number] {
    if (Hosts[Number].State != HostState::Down)
      Cluster.host(Number).liftFileLimit();
    Hosts[Number].DiskFull = false;
  });
}

void SoakWorld::harmPeers(int Number) {
  auto Mode = static_cast<ProxyMode>(1 + below(5));
  Hosts[Number].Proxy->set(Mode);
  later(3000, [this, Number] { Hosts[Number].Proxy->set(ProxyMode::Pass); });
}

/// Once all is well: one disk may be lost at a time.
void SoakWorld::loseDisk() {
  heal();
  if (!TestCluster::eventually([this] { return replicasVote(); }))
    return Record.violate("the replicas do not heal");
  int Acked = NewestAcked;
  // The loss comes soon after an acknowledgement, maybe of its host.
  TestCluster::eventually([&] { return NewestAcked > Acked; });
  std::this_thread::sleep_for(std::chrono::milliseconds(below(400)));
  int Lost = 1 + static_cast<int>(below(Controls));
  bool All = below(2) == 0;
  for (int Number = 1; Number <= Controls; ++Number)
    if (All || Number == Lost)
      kill(Number);
  Cluster.wipeDisk(Lost);
  for (int Number = 1; Number <= Controls; ++Number)
    if (Hosts[Number].State == HostState::Down)
      restartLater(Number, 1500);
}

void SoakWorld::checkProcesses() {
  for (auto &[Number, Known] : Hosts) {
    if (Known.State == HostState::Down || Cluster.host(Number).isRunning())
      continue;
    if (Known.State == HostState::Stopping) {
      if (std::string Ending = Cluster.host(Number).ending();
          Ending != "code 0")
        Record.violate("host " + std::to_string(Number) +
                       " was to stop and ended with " + Ending);
      Cluster.host(Number).wait();
      Known.State = HostState::Down;
      restartLater(Number, 500);
      continue;
    }
    // A disk that is full at the start refuses the host's own state.
    std::string Ending = Cluster.host(Number).ending();
    if (!Known.DiskFull || Ending != "code 5")
      Record.violate("host " + std::to_string(Number) +
                     " ended by itself with " + Ending);
    Cluster.host(Number).wait();
    Known.State = HostState::Down;
    restartLater(Number, 500);
  }
}

int SoakWorld::anyHost() {
  auto Place = Hosts.begin();
  std::advance(Place, static_cast<long>(below(Hosts.size())));
  return Place->first;
}

/// What strikes next, each as likely as the others.
enum class Strike : uint8_t {
  Kill,
  Stop,
  Pause,
  ReloadAll,
  FillDisk,
  HarmPeers,
  RebornTarget,
  HarmTarget,
  SilentTarget
};
static constexpr uint64_t StrikeCount = 9;

void SoakWorld::strike() {
  int Number = anyHost();
  bool Running = Hosts[Number].State == HostState::Running;
  SoakTarget &Target = *Targets[below(Targets.size())];
  switch (static_cast<Strike>(below(StrikeCount))) {
  case Strike::Kill:
    if (Running) {
      kill(Number);
      restartLater(Number, 1000);
    }
    return;
  case Strike::Stop:
    if (takesSignals(Number))
      stop(Number);
    return;
  case Strike::Pause:
    if (Running)
      pause(Number);
    return;
  case Strike::ReloadAll:
    for (auto &[Each, Known] : Hosts)
      if (takesSignals(Each))
        Cluster.host(Each).signal(SIGHUP);
    return;
  case Strike::FillDisk:
    if (Running && !isRouter(Number))
      fillDisk(Number);
    return;
  case Strike::HarmPeers:
    return harmPeers(Number);
  case Strike::RebornTarget:
    return Target.reborn();
  case Strike::HarmTarget:
    Target.proxy().set(static_cast<ProxyMode>(1 + below(5)));
    return later(1500, [&Target] { Target.proxy().set(ProxyMode::Pass); });
  case Strike::SilentTarget:
    Target.setAnnouncing(false);
    return later(2500, [&Target] { Target.setAnnouncing(true); });
  }
}

void SoakWorld::runLater(Timestamp Until) {
  while (steadyNow() < Until) {
    checkProcesses();
    if (!Later.empty() && Later.begin()->first <= steadyNow()) {
      auto Due = Later.extract(Later.begin());
      Due.mapped()();
      continue;
    }
    std::this_thread::sleep_for(2ms);
  }
}

void SoakWorld::heal() {
  for (auto &Target : Targets) {
    Target->setFaulty(false);
    Target->setAnnouncing(true);
    Target->proxy().set(ProxyMode::Pass);
  }
  for (auto &[Number, Known] : Hosts)
    Known.Proxy->set(ProxyMode::Pass);
  // What was to end or come back later does so now.
  while (!Later.empty() || std::ranges::any_of(Hosts, [](const auto &Each) {
    return Each.second.State == HostState::Stopping;
  })) {
    auto Due = std::exchange(Later, {});
    for (auto &[At, Work] : Due)
      Work();
    runLater(steadyNow() + 20ms);
  }
}

//===--- Callers and operators -------------------------------------------===//

std::string SoakWorld::routesText(int Number) const {
  auto Route = [](const std::string &Name, const char *Kind,
                  const std::string &More) {
    return R"({"name":")" + Name + R"(","host":"a.example","path_prefix":"/)" +
           Name + R"(/","route_kind":")" + Kind + R"(","timeout_ms":2000,)" +
           More + "}";
  };
  return R"({"version":)" + std::to_string(Number) + R"(,"routes":[)" +
         Route("once", "non_idempotent", R"("service":"app")") + "," +
         Route("many", "idempotent", R"("service":"app","max_attempts":2)") +
         "," + Route("flow", "stream", R"("service":"lm","sticky":true)") +
         "," +
         Route("goon", "stream",
               R"("service":"lm","sticky":true,"resumable":true,)"
               R"("max_attempts":2)") +
         "," +
         Route("v" + std::to_string(Number), "idempotent",
               R"("service":"app")") +
         R"(],"services":[{"name":"app"},{"name":"lm","engine":{"slots":4,)"
         R"("kv_capacity":100000,"kv_token_bytes":1,"link_mbps":1,)"
         R"("models":[{"name":"m0"}]}}],"tenants":[{"name":"t1",)"
         R"("api_keys":["k1"]},{"name":"t2","api_keys":["k2"],)"
         R"("isolated":true}]})";
}

void SoakWorld::addCallers() {
  const std::map<std::string, std::string> Prompt{
      {"X-Model", "m0"},
      {"X-Token-Counts", "900,20"},
      {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:100"}};
  for (const CallerGroup &Group : callerGroups()) {
    if (Group.Name == "probe")
      continue;
    bool Stream = Group.Name == "flow" || Group.Name == "goon";
    fakes::CallerHabits Habits;
    for (int Number = 0; Number < Routers; ++Number)
      Habits.Directories.push_back(Cluster.directory(FirstRouter + Number));
    Habits.Prefix = Group.Name;
    Habits.Seed = Random();
    Habits.Budget = std::chrono::milliseconds(4000);
    Habits.Fields["Authorization"] =
        Group.Workspace == "t1" ? "Bearer k1" : "Bearer k2";
    if (Stream)
      Habits.Fields.insert(Prompt.begin(), Prompt.end());
    if (Group.Name == "fresh")
      Habits.Connections = fakes::CallerConnections::NewEachTime;
    if (Group.Name == "stale")
      Habits.Lifetimes = 3;
    if (Group.Name == "wall")
      Habits.LeavesAfter = std::chrono::milliseconds(50);
    if (Group.MostRuns > 1)
      Habits.Repeats = fakes::CallerRepeats::Always;
    std::string Path = Stream               ? "/" + Group.Name + "/x"
                       : Group.MostRuns > 1 ? "/many/x"
                                            : "/once/x";
    Threads.emplace_back(
        [this, Caller = fakes::FakeCaller(Habits), Path, Stream]() mutable {
          callInTurns(std::move(Caller), Path, Stream);
        });
  }
}

void SoakWorld::callInTurns(fakes::FakeCaller Caller, std::string Path,
                            bool Stream) {
  while (!Stopping) {
    for (const auto &Made : Caller.call("POST", Path))
      checkAnswer(Made, Stream);
    std::this_thread::sleep_for(10ms);
  }
}

void SoakWorld::checkAnswer(const fakes::CallerAttempt &Made, bool Stream) {
  // Before the first description everything is refused, nothing is denied.
  Record.answered(Made);
  if (Made.Status != 200)
    return;
  ++Served;
  if (!Stream) {
    if (Made.Whole && Made.Body != "done " + Made.Id)
      Record.violate(Made.Id + " got: " + Made.Body.substr(0, 60));
    return;
  }
  std::string Wanted;
  for (int Event = 1; Event <= SoakTarget::Events; ++Event)
    Wanted += "id: " + std::to_string(Event) + "\ndata: " + Made.Id + " " +
              std::to_string(Event) + "\n\n";
  // A stream that broke is a part of it.
  if (!Wanted.starts_with(Made.Body))
    Record.violate(Made.Id + " got events: " + Made.Body.substr(0, 200));
}

void SoakWorld::putRoutes(uint64_t Seed) {
  RandomGenerator Own(Seed);
  while (!Stopping) {
    int Number = NextRoutes++;
    std::string Text = routesText(Number);
    int Status = 0;
    while (!Stopping && Status != 200) {
      int Host = 1 + static_cast<int>(randomBelow(Own, Controls));
      Status = test::request(Cluster.control(Host), "PUT", "/config", Text, {},
                             OperatorMillis)
                   .Status;
      if (Status / 100 == 4)
        Record.violate("routes " + std::to_string(Number) +
                       " were refused with " + std::to_string(Status));
      if (Status != 200)
        std::this_thread::sleep_for(30ms);
    }
    if (Status == 200) {
      int Before = NewestAcked;
      while (Before < Number &&
             !NewestAcked.compare_exchange_weak(Before, Number))
        ;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(randomBelow(Own, 400)));
  }
}

void SoakWorld::nameWeights(uint64_t Seed) {
  RandomGenerator Own(Seed);
  while (!Stopping) {
    int Number = ++NextWeights;
    int Status = 0;
    while (!Stopping && Status != 200) {
      Status = Cluster
                   .nameWeights(
                       1 + static_cast<int>(randomBelow(Own, Controls)), Number)
                   .Status;
      if (Status != 200)
        std::this_thread::sleep_for(30ms);
    }
    if (Status == 200)
      NewestWeights = Number;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(500 + randomBelow(Own, 3000)));
  }
}

int SoakWorld::readOnce(int Host) {
  Answer Read = test::request(Cluster.control(Host), "GET", "/config", "", {},
                              OperatorMillis);
  int Number = test::RoutedCluster::routesIn(Read);
  if (Number != 0 && Read.Body != routesText(Number))
    Record.violate("routes " + std::to_string(Number) + " read back otherwise");
  return Number;
}

void SoakWorld::readRoutes(uint64_t Seed) {
  RandomGenerator Own(Seed);
  while (!Stopping) {
    int Least = NewestAcked;
    int Host = 1 + static_cast<int>(randomBelow(Own, Controls));
    int Number = readOnce(Host);
    if (Number != 0 && Number < Least)
      Record.violate("host " + std::to_string(Host) + " read " +
                     std::to_string(Number) + " after an acknowledgement of " +
                     std::to_string(Least));
    std::this_thread::sleep_for(20ms);
  }
}

//===--- The run ---------------------------------------------------------===//

bool SoakWorld::replicasVote() {
  int Voters = 0;
  for (int Number = 1; Number <= Controls; ++Number)
    Voters += Cluster.votes(Number);
  return Voters >= 3;
}

bool SoakWorld::wellAgain() {
  // Hosts that ended by themselves are started again here too.
  runLater(steadyNow() + 50ms);
  int Newest = NewestAcked;
  if (Newest == 0 || !replicasVote())
    return false;
  for (int Number = 1; Number <= Controls; ++Number)
    if (readOnce(Number) < Newest)
      return false;
  for (const auto &Target : Targets)
    if (Target->weights() != 1 && Target->weights() < NewestWeights)
      return false;
  return true;
}

void SoakWorld::checkEnd() {
  heal();
  int Before = Served;
  if (!TestCluster::eventually([this] { return wellAgain(); }))
    Record.violate("not well again after the faults");
  if (!TestCluster::eventually([&] { return Served > Before + 20; }))
    Record.violate("callers are not served after the faults");
}

std::vector<std::string> SoakWorld::run(Duration Span) {
  if (!TestCluster::eventually([this] { return Served > 5; }))
    return {"nothing is served at the start"};
  for (auto &Target : Targets)
    Target->setFaulty(true);
  Timestamp Middle = steadyNow() + Span / 2;
  Timestamp End = steadyNow() + Span;
  bool DiskLost = false;
  while (steadyNow() < End) {
    if (!DiskLost && steadyNow() > Middle) {
      DiskLost = true;
      loseDisk();
      for (auto &Target : Targets)
        Target->setFaulty(true);
    }
    strike();
    runLater(steadyNow() +
             std::chrono::milliseconds(below(StrikePause.count() * 2)));
  }
  checkEnd();
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  Record.finish();
  return Record.violations();
}

} // namespace ferry::soak

static uint64_t fromEnvironment(const char *Name, uint64_t Usual) {
  const char *Set = std::getenv(Name);
  return Set == nullptr ? Usual : std::strtoull(Set, nullptr, 10);
}

/// Faults strike for this long; with the healing a seed takes three times it.
static constexpr uint64_t UsualSeconds = 5;

/// Seeds that have failed, each with its cause.
struct FailedSeed {
  uint64_t Seed;
  const char *Cause;
};
static constexpr FailedSeed FailedSeeds[] = {
    {3, "SIGHUP before the mask was set ended a process"},
    {13, "an answer of the log reached orders that a full disk had ended"}};

static void playSeed(uint64_t Seed, std::chrono::seconds Span) {
  std::vector<std::string> Broken = SoakWorld(Seed).run(Span);
  for (const std::string &What : Broken)
    BOOST_ERROR("seed " << Seed << ": " << What);
}

BOOST_AUTO_TEST_CASE(promises_hold_under_random_faults) {
  uint64_t First = fromEnvironment("FERRY_SOAK_FIRST", 1);
  uint64_t Seeds = fromEnvironment("FERRY_SOAK_SEEDS", 1);
  auto Span =
      std::chrono::seconds(fromEnvironment("FERRY_SOAK_SECONDS", UsualSeconds));
  if (std::getenv("FERRY_SOAK_FAILED") != nullptr)
    for (const FailedSeed &Failed : FailedSeeds) {
      std::cerr << "soak: seed " << Failed.Seed << ", " << Failed.Cause
                << std::endl;
      playSeed(Failed.Seed, Span);
    }
  for (uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    std::cerr << "soak: seed " << Seed << std::endl;
    playSeed(Seed, Span);
  }
}
