// Soak test of the real programs. Faults are drawn from a seed and injected
// from outside the processes; the guarantees (no request runs more often than
// it may, none runs that was answered as not run, acknowledged routes are never
// lost) are checked from what callers, operators and targets observe.
//
//   FERRY_SOAK_FIRST=100 FERRY_SOAK_SEEDS=50 FERRY_SOAK_SECONDS=20 TestSoak
#include "Soak/SoakRun.h"
#include <Poco/Net/SocketAddress.h>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

using namespace ferry;
using namespace ferry::soak;
using ferry::test::Answer;
using ferry::test::LogFormation;
using ferry::test::TestCluster;

namespace ferry::soak {

/// Longest duration of one operator call, as the users' pages prescribe.
static constexpr int OperatorTimeoutMillis = 1000;
/// Average time between two faults.
static constexpr std::chrono::milliseconds MeanFaultPause{250};

/// once: keeps its connection. fresh: opens a connection for each call. leaver:
/// abandons its calls early. many: resends to an idempotent route. stale: as
/// many, and uses the directory's answers for too long. stream, resumable: read
/// event streams. probe: has no callers in the soak. crash, lastcrash: send a
/// part that crashes engines, during the faults and behind them. request,
/// lastrequest: send a request that crashes targets, likewise. first: counts
/// first tries at a router that is cut off from targets.
static std::vector<CallerGroup> callerGroups() {
  return {
      {"once", "t1", 1},       {"fresh", "t1", 1},    {"leaver", "t2", 1},
      {"many", "t1", 2},       {"stale", "t2", 2},    {"stream", "t1", 1},
      {"resumable", "t2", 64}, {"probe", "t1", 64},   {"crash", "t1", 64},
      {"lastcrash", "t1", 64}, {"request", "t1", 64}, {"lastrequest", "t1", 64},
      {"first", "t1", 64}};
}

SoakRun::SoakRun(uint64_t Seed)
    : Random(Seed), LaterRandom(~Seed), Record(callerGroups()) {
  for (int Number : {1, 2, 3, 4, 11, 12, 13}) {
    Hosts[Number].Proxy = std::make_unique<fakes::FakeProxy>(
        Cluster.peers(Number), Cluster.proxiedPeers(Number));
    start(Number, LogFormation::Allowed);
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
    Threads.emplace_back(
        [this, ThreadSeed = Random()] { putRoutesRepeatedly(ThreadSeed); });
  Threads.emplace_back(
      [this, ThreadSeed = Random()] { nameWeightsRepeatedly(ThreadSeed); });
  Threads.emplace_back(
      [this, ThreadSeed = Random()] { readRoutesRepeatedly(ThreadSeed); });
  addCallers();
  Threads.emplace_back([this, ThreadSeed = LaterRandom()] {
    sendCrashingPart("crash", "bad1", ThreadSeed, NeverExpires);
  });
  Threads.emplace_back([this, ThreadSeed = LaterRandom()] {
    limitTargetsRepeatedly(ThreadSeed);
  });
  Threads.emplace_back([this, ThreadSeed = LaterRandom()] {
    sendCrashingRequest("request", "crash1", ThreadSeed, NeverExpires);
  });
  for (auto &Target : Targets) {
    auto ProxyPort = static_cast<uint16_t>(
        Poco::Net::SocketAddress(Target->proxy().address()).port());
    Target->proxy().setGate([this, ProxyPort](uint16_t PeerPort) {
      return std::ranges::any_of(CutProcesses, [&](int Process) {
        return Process != 0 &&
               test::hasConnection(Process, PeerPort, ProxyPort);
      });
    });
  }
}

SoakRun::~SoakRun() {
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
}

//===--- Processes -------------------------------------------------------===//

void SoakRun::start(int Number, LogFormation MayForm) {
  if (isRouter(Number))
    Cluster.startRouter(Number);
  else
    Cluster.startControl(Number, MayForm);
  Hosts[Number].State = HostState::Running;
  Hosts[Number].DiskFull = false;
  Hosts[Number].HasAnswered = false;
}

/// A signal that arrives before a process has set up its signal handling would
/// end it; the first answer shows that it has.
bool SoakRun::handlesSignals(int Number) {
  Host &Process = Hosts[Number];
  if (Process.State != HostState::Running)
    return false;
  if (!Process.HasAnswered)
    Process.HasAnswered =
        test::request(Cluster.operators(Number), "GET", "/metrics", "", {}, 100)
            .Status == 200;
  return Process.HasAnswered;
}

void SoakRun::schedule(uint64_t MaxMillis, std::function<void()> Work) {
  Scheduled.emplace(steadyNow() +
                        std::chrono::milliseconds(drawBelow(MaxMillis + 1)),
                    std::move(Work));
}

void SoakRun::scheduleRestart(int Number, uint64_t MaxMillis) {
  schedule(MaxMillis, [this, Number] {
    if (Hosts[Number].State == HostState::Down)
      start(Number, LogFormation::Forbidden);
  });
}

void SoakRun::kill(int Number) {
  Cluster.kill(Number);
  Hosts[Number].State = HostState::Down;
}

void SoakRun::stop(int Number) {
  Cluster.host(Number).signal(SIGTERM);
  Hosts[Number].State = HostState::Stopping;
}

void SoakRun::pause(int Number) {
  Cluster.host(Number).signal(SIGSTOP);
  Hosts[Number].State = HostState::Paused;
  schedule(2500, [this, Number] {
    if (Hosts[Number].State != HostState::Paused)
      return;
    Cluster.host(Number).signal(SIGCONT);
    Hosts[Number].State = HostState::Running;
  });
}

void SoakRun::fillDisk(int Number) {
  Cluster.host(Number).limitFileSize(1);
  Hosts[Number].DiskFull = true;
  schedule(2000, [this, Number] {
    if (Hosts[Number].State != HostState::Down)
      Cluster.host(Number).liftFileSizeLimit();
    Hosts[Number].DiskFull = false;
  });
}

void SoakRun::disturbPeers(int Number) {
  auto Mode = static_cast<ProxyMode>(1 + drawBelow(5));
  Hosts[Number].Proxy->setMode(Mode);
  schedule(3000,
           [this, Number] { Hosts[Number].Proxy->setMode(ProxyMode::Pass); });
}

/// The cluster bears the loss of one disk at a time, so at least three replicas
/// must vote before a disk is lost.
void SoakRun::loseDisk() {
  endFaults();
  if (!TestCluster::eventually([this] { return hasEnoughVoters(); }))
    return Record.addViolation(
        "fewer than three replicas vote after the faults have ended");
  int Acknowledged = NewestAcknowledged;
  // The disk is lost soon after an acknowledgement, which may have come from
  // the same host.
  TestCluster::eventually([&] { return NewestAcknowledged > Acknowledged; });
  std::this_thread::sleep_for(std::chrono::milliseconds(drawBelow(400)));
  int LostHost = 1 + static_cast<int>(drawBelow(ControlCount));
  bool KillAll = drawBelow(2) == 0;
  for (int Number = 1; Number <= ControlCount; ++Number)
    if (KillAll || Number == LostHost)
      kill(Number);
  Cluster.wipeDisk(LostHost);
  for (int Number = 1; Number <= ControlCount; ++Number)
    if (Hosts[Number].State == HostState::Down)
      scheduleRestart(Number, 1500);
}

void SoakRun::cutFromTargets(int Router) {
  CutProcesses[static_cast<size_t>(Router - FirstRouter)] =
      Cluster.host(Router).id();
}

void SoakRun::reconnectToTargets(int Router) {
  CutProcesses[static_cast<size_t>(Router - FirstRouter)] = 0;
}

void SoakRun::checkProcesses() {
  for (auto &[Number, Process] : Hosts) {
    if (Process.State == HostState::Down || Cluster.host(Number).isRunning())
      continue;
    if (Process.State == HostState::Stopping) {
      if (std::string Ending = Cluster.host(Number).endStatus();
          Ending != "code 0")
        Record.addViolation("host " + std::to_string(Number) +
                            " was sent SIGTERM and ended with " + Ending);
      Cluster.host(Number).wait();
      Process.State = HostState::Down;
      scheduleRestart(Number, 500);
      continue;
    }
    // A host that starts while its disk is full cannot store its own state and
    // exits with code 5.
    std::string Ending = Cluster.host(Number).endStatus();
    if (!Process.DiskFull || Ending != "code 5")
      Record.addViolation("host " + std::to_string(Number) +
                          " ended unexpectedly with " + Ending);
    Cluster.host(Number).wait();
    Process.State = HostState::Down;
    scheduleRestart(Number, 500);
  }
}

int SoakRun::drawHost() {
  auto Host = Hosts.begin();
  std::advance(Host, static_cast<long>(drawBelow(Hosts.size())));
  return Host->first;
}

/// The faults that are injected, each with the same probability.
enum class FaultKind : uint8_t {
  Kill,
  Stop,
  Pause,
  ReloadAll,
  FillDisk,
  DisturbPeers,
  RestartTarget,
  DisturbTarget,
  SilenceTarget
};
static constexpr uint64_t FaultKindCount = 9;

void SoakRun::injectFault() {
  int Number = drawHost();
  bool Running = Hosts[Number].State == HostState::Running;
  SoakTarget &Target = *Targets[drawBelow(Targets.size())];
  switch (static_cast<FaultKind>(drawBelow(FaultKindCount))) {
  case FaultKind::Kill:
    if (Running) {
      kill(Number);
      scheduleRestart(Number, 1000);
    }
    return;
  case FaultKind::Stop:
    if (handlesSignals(Number))
      stop(Number);
    return;
  case FaultKind::Pause:
    if (Running)
      pause(Number);
    return;
  case FaultKind::ReloadAll:
    for (auto &[Other, Process] : Hosts)
      if (handlesSignals(Other))
        Cluster.host(Other).signal(SIGHUP);
    return;
  case FaultKind::FillDisk:
    if (Running && !isRouter(Number))
      fillDisk(Number);
    return;
  case FaultKind::DisturbPeers:
    return disturbPeers(Number);
  case FaultKind::RestartTarget:
    return Target.restart();
  case FaultKind::DisturbTarget:
    Target.proxy().setMode(static_cast<ProxyMode>(1 + drawBelow(5)));
    return schedule(1500,
                    [&Target] { Target.proxy().setMode(ProxyMode::Pass); });
  case FaultKind::SilenceTarget:
    Target.setAnnouncing(false);
    return schedule(2500, [&Target] { Target.setAnnouncing(true); });
  }
}

void SoakRun::runScheduled(Timestamp Until) {
  while (steadyNow() < Until) {
    checkProcesses();
    if (!Scheduled.empty() && Scheduled.begin()->first <= steadyNow()) {
      auto Due = Scheduled.extract(Scheduled.begin());
      Due.mapped()();
      continue;
    }
    std::this_thread::sleep_for(2ms);
  }
}

void SoakRun::endFaults() {
  for (auto &Target : Targets) {
    Target->setFaulty(false);
    Target->setAnnouncing(true);
    Target->proxy().setMode(ProxyMode::Pass);
  }
  for (int Number = 0; Number < RouterCount; ++Number)
    reconnectToTargets(FirstRouter + Number);
  for (auto &[Number, Process] : Hosts)
    Process.Proxy->setMode(ProxyMode::Pass);
  // Scheduled restarts and ends of faults happen now; hosts that are stopping
  // are awaited.
  while (!Scheduled.empty() || std::ranges::any_of(Hosts, [](const auto &Each) {
    return Each.second.State == HostState::Stopping;
  })) {
    auto Pending = std::exchange(Scheduled, {});
    for (auto &[At, Work] : Pending)
      Work();
    runScheduled(steadyNow() + 20ms);
  }
}

//===--- Callers and operators -------------------------------------------===//

std::string SoakRun::routesText(int Number) const {
  auto Route = [](const std::string &Name, const char *Kind,
                  const std::string &MoreFields) {
    return R"({"name":")" + Name + R"(","host":"a.example","path_prefix":"/)" +
           Name + R"(/","route_kind":")" + Kind + R"(","timeout_ms":2000,)" +
           MoreFields + "}";
  };
  return R"({"version":)" + std::to_string(Number) + R"(,"routes":[)" +
         Route("once", "non_idempotent", R"("service":"app")") + "," +
         Route("many", "idempotent", R"("service":"app","max_attempts":2)") +
         "," + Route("stream", "stream", R"("service":"lm","sticky":true)") +
         "," +
         Route("resumable", "stream",
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

void SoakRun::addCallers() {
  const std::map<std::string, std::string> Prompt{
      {"X-Model", "m0"},
      {"X-Token-Counts", "900,20"},
      {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:100"}};
  for (const CallerGroup &Group : callerGroups()) {
    static const std::set<std::string> SentApart = {
        "probe", "crash", "lastcrash", "request", "lastrequest", "first"};
    if (SentApart.contains(Group.Name))
      continue;
    bool Streams = Group.Name == "stream" || Group.Name == "resumable";
    fakes::CallerOptions Options;
    for (int Number = 0; Number < RouterCount; ++Number)
      Options.Directories.push_back(Cluster.directory(FirstRouter + Number));
    Options.Prefix = Group.Name;
    Options.Seed = Random();
    Options.CallTimeout = std::chrono::milliseconds(4000);
    Options.Fields["Authorization"] =
        Group.Workspace == "t1" ? "Bearer k1" : "Bearer k2";
    if (Streams)
      Options.Fields.insert(Prompt.begin(), Prompt.end());
    if (Group.Name == "fresh")
      Options.Connections = fakes::CallerConnections::NewEachTime;
    if (Group.Name == "stale")
      Options.LifetimeFactor = 3;
    if (Group.Name == "leaver")
      Options.AbandonsAfter = std::chrono::milliseconds(50);
    if (Group.MaxRuns > 1)
      Options.Resends = fakes::CallerResends::Always;
    std::string Path = Streams             ? "/" + Group.Name + "/x"
                       : Group.MaxRuns > 1 ? "/many/x"
                                           : "/once/x";
    Threads.emplace_back(
        [this, Caller = fakes::FakeCaller(Options), Path, Streams]() mutable {
          callRepeatedly(std::move(Caller), Path, Streams);
        });
  }
}

void SoakRun::callRepeatedly(fakes::FakeCaller Caller, std::string Path,
                             bool Streams, Duration Pause) {
  while (!Stopping) {
    for (const auto &Attempt : Caller.call("POST", Path))
      checkAttempt(Attempt, Streams);
    std::this_thread::sleep_for(Pause);
  }
}

void SoakRun::sendCrashingPart(const std::string &Group,
                               const std::string &Part, uint64_t Seed,
                               Timestamp Until) {
  fakes::CallerOptions Options;
  for (int Number = 0; Number < RouterCount; ++Number)
    Options.Directories.push_back(Cluster.directory(FirstRouter + Number));
  Options.Prefix = Group;
  Options.Seed = Seed;
  Options.CallTimeout = std::chrono::milliseconds(2000);
  // Each request goes to a router drawn anew.
  Options.Connections = fakes::CallerConnections::NewEachTime;
  Options.Fields = {
      {"Authorization", "Bearer k1"},
      {"X-Model", "m0"},
      {"X-Token-Counts", "900,20"},
      {"X-Prompt-Prefix", "5c1e07a2:800," + Part + ":50,91bd3f07:50"}};
  fakes::FakeCaller Caller(Options);
  while (!Stopping && steadyNow() < Until) {
    for (const auto &Attempt : Caller.call("POST", "/resumable/x"))
      checkAttempt(Attempt, /*Streams=*/true);
    std::this_thread::sleep_for(150ms);
  }
}

void SoakRun::sendCrashingRequest(const std::string &Group,
                                  const std::string &Body, uint64_t Seed,
                                  Timestamp Until) {
  fakes::CallerOptions Options;
  for (int Number = 0; Number < RouterCount; ++Number)
    Options.Directories.push_back(Cluster.directory(FirstRouter + Number));
  Options.Prefix = Group;
  Options.Seed = Seed;
  Options.CallTimeout = std::chrono::milliseconds(2000);
  // Each request goes to a router drawn anew.
  Options.Connections = fakes::CallerConnections::NewEachTime;
  Options.Fields = {{"Authorization", "Bearer k1"}};
  fakes::FakeCaller Caller(Options);
  while (!Stopping && steadyNow() < Until) {
    for (const auto &Attempt : Caller.call("POST", "/many/x", Body))
      checkAttempt(Attempt, /*Streams=*/false);
    std::this_thread::sleep_for(200ms);
  }
}

void SoakRun::limitTargetsRepeatedly(uint64_t Seed) {
  RandomGenerator ThreadRandom(Seed);
  while (!Stopping) {
    if (Limiting) {
      SoakTarget &Target = *Targets[randomBelow(ThreadRandom, Targets.size())];
      Target.setLimit(1 + static_cast<int>(randomBelow(ThreadRandom, 8)));
      std::this_thread::sleep_for(
          std::chrono::milliseconds(500 + randomBelow(ThreadRandom, 2000)));
      Target.setLimit(0);
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(randomBelow(ThreadRandom, 1000)));
  }
}

void SoakRun::checkAttempt(const fakes::CallerAttempt &Attempt, bool Streams) {
  // Routers refuse all calls until they have routes: with 503, not with 401
  // or 404.
  Record.checkAttempt(Attempt);
  if (Attempt.Status != 200)
    return;
  ++Served;
  if (!Streams) {
    if (Attempt.Whole && Attempt.Body != "done " + Attempt.Id)
      Record.addViolation(Attempt.Id +
                          " got the body: " + Attempt.Body.substr(0, 60));
    return;
  }
  std::string Events;
  for (int Event = 1; Event <= SoakTarget::Events; ++Event)
    Events += "id: " + std::to_string(Event) + "\ndata: " + Attempt.Id + " " +
              std::to_string(Event) + "\n\n";
  // A stream that broke is a prefix of the whole one, and does not look whole.
  if (Attempt.Whole && Attempt.Body != Events)
    Record.addViolation(Attempt.Id + " looks whole with the events: " +
                        Attempt.Body.substr(0, 200));
  if (!Events.starts_with(Attempt.Body))
    Record.addViolation(Attempt.Id +
                        " got events: " + Attempt.Body.substr(0, 200));
}

void SoakRun::putRoutesRepeatedly(uint64_t Seed) {
  RandomGenerator ThreadRandom(Seed);
  while (!Stopping) {
    int Number = NextRoutes++;
    std::string Text = routesText(Number);
    int Status = 0;
    while (!Stopping && Status != 200) {
      int Host = 1 + static_cast<int>(randomBelow(ThreadRandom, ControlCount));
      Status = test::request(Cluster.control(Host), "PUT", "/config", Text, {},
                             OperatorTimeoutMillis)
                   .Status;
      if (Status / 100 == 4)
        Record.addViolation("routes " + std::to_string(Number) +
                            " were refused with " + std::to_string(Status));
      if (Status != 200)
        std::this_thread::sleep_for(30ms);
    }
    if (Status == 200) {
      int Newest = NewestAcknowledged;
      while (Newest < Number &&
             !NewestAcknowledged.compare_exchange_weak(Newest, Number))
        ;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(randomBelow(ThreadRandom, 400)));
  }
}

void SoakRun::nameWeightsRepeatedly(uint64_t Seed) {
  RandomGenerator ThreadRandom(Seed);
  while (!Stopping) {
    int Number = ++NextWeights;
    int Status = 0;
    while (!Stopping && Status != 200) {
      Status = Cluster
                   .nameWeights(1 + static_cast<int>(randomBelow(ThreadRandom,
                                                                 ControlCount)),
                                Number)
                   .Status;
      if (Status != 200)
        std::this_thread::sleep_for(30ms);
    }
    if (Status == 200)
      NewestWeights = Number;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(500 + randomBelow(ThreadRandom, 3000)));
  }
}

int SoakRun::readRoutesAt(int Host) {
  Answer RoutesAnswer = test::request(Cluster.control(Host), "GET", "/config",
                                      "", {}, OperatorTimeoutMillis);
  int Number = test::RoutedCluster::routesVersionIn(RoutesAnswer);
  if (Number != 0 && RoutesAnswer.Body != routesText(Number))
    Record.addViolation("routes " + std::to_string(Number) +
                        " were read back with another text");
  return Number;
}

void SoakRun::readRoutesRepeatedly(uint64_t Seed) {
  RandomGenerator ThreadRandom(Seed);
  while (!Stopping) {
    int Acknowledged = NewestAcknowledged;
    int Host = 1 + static_cast<int>(randomBelow(ThreadRandom, ControlCount));
    int Number = readRoutesAt(Host);
    if (Number != 0 && Number < Acknowledged)
      Record.addViolation(
          "host " + std::to_string(Host) + " read " + std::to_string(Number) +
          " after the acknowledgement of " + std::to_string(Acknowledged));
    std::this_thread::sleep_for(20ms);
  }
}

//===--- The run ---------------------------------------------------------===//

bool SoakRun::hasEnoughVoters() {
  int Voters = 0;
  for (int Number = 1; Number <= ControlCount; ++Number)
    Voters += Cluster.isVoter(Number);
  return Voters >= 3;
}

bool SoakRun::hasRecovered() {
  // Also restarts hosts that ended unexpectedly.
  runScheduled(steadyNow() + 50ms);
  int Newest = NewestAcknowledged;
  if (Newest == 0 || !hasEnoughVoters())
    return false;
  for (int Number = 1; Number <= ControlCount; ++Number)
    if (readRoutesAt(Number) < Newest)
      return false;
  for (const auto &Target : Targets)
    if (Target->weights() != 1 && Target->weights() < NewestWeights)
      return false;
  return true;
}

void SoakRun::checkRecovery() {
  endFaults();
  int ServedBefore = Served;
  if (!TestCluster::eventually([this] { return hasRecovered(); }))
    Record.addViolation("the cluster has not recovered after the faults");
  if (!TestCluster::eventually([&] { return Served > ServedBefore + 20; }))
    Record.addViolation("callers are not served after the faults");
}

/// The time of the users' rules from which on no fault excuses a host.
static constexpr std::chrono::seconds ContactTime{3};

void SoakRun::checkCrashingPart() {
  static constexpr size_t CrashesThatCount = 5;
  static constexpr size_t MaxLateArrivals = 3;
  const std::string Part = "bad2";
  Timestamp Begin = steadyNow();
  sendCrashingPart("lastcrash", Part, LaterRandom(), Begin + 3 * ContactTime);
  SoakRecord::PartLog &Log = Record.logOf(Part);
  auto Counted = Log.Crashes.timeOf(CrashesThatCount);
  if (!Counted)
    return Record.addViolation("no request with " + Part + " was sent");
  if (size_t Late = Log.Arrivals.countFrom(*Counted + ContactTime);
      Late > MaxLateArrivals)
    Record.addViolation(std::to_string(Late) + " requests with " + Part +
                        " reached engines too late after " +
                        std::to_string(Log.Crashes.size()) + " crashes");
  // That of the faults is known to all routers by now.
  if (size_t Late = Record.logOf("bad1").Arrivals.countFrom(Begin);
      Late > CrashesThatCount + MaxLateArrivals)
    Record.addViolation(std::to_string(Late) +
                        " requests with bad1 reached engines after the faults");
}

void SoakRun::checkCrashingRequest() {
  static constexpr size_t CrashesThatCount = 3;
  static constexpr size_t MaxLateArrivals = 3;
  const std::string Body = "crash2";
  Timestamp Begin = steadyNow();
  sendCrashingRequest("lastrequest", Body, LaterRandom(),
                      Begin + 4 * ContactTime);
  SoakRecord::PartLog &Log = Record.logOf(Body);
  auto Counted = Log.Crashes.timeOf(CrashesThatCount);
  if (!Counted)
    return Record.addViolation("the request " + Body + " was not sent");
  if (size_t Late = Log.Arrivals.countFrom(*Counted + ContactTime);
      Late > MaxLateArrivals)
    Record.addViolation("the request " + Body + " reached targets " +
                        std::to_string(Late) + " times too late after " +
                        std::to_string(Log.Crashes.size()) + " crashes");
  // That of the faults is known to all routers by now.
  if (size_t Late = Record.logOf("crash1").Arrivals.countFrom(Begin);
      Late > CrashesThatCount + MaxLateArrivals)
    Record.addViolation("the request crash1 reached targets " +
                        std::to_string(Late) + " times after the faults");
}

void SoakRun::checkCutRouter() {
  int Router =
      FirstRouter + static_cast<int>(randomBelow(LaterRandom, RouterCount));
  cutFromTargets(Router);
  Timestamp Begin = steadyNow();
  size_t Sent = 0;
  size_t ServedFirst = 0;
  for (int Number = 0; steadyNow() < Begin + 2 * ContactTime; ++Number) {
    bool Counts = steadyNow() >= Begin + ContactTime;
    Answer Got =
        test::request(Cluster.callers(Router), "POST", "/many/x", "first",
                      {{"Host", "a.example"},
                       {"Authorization", "Bearer k1"},
                       {"X-Request-Id", "first-" + std::to_string(Number)}},
                      2000);
    Sent += Counts ? 1 : 0;
    ServedFirst += Counts && Got.Status == 200 ? 1 : 0;
    std::this_thread::sleep_for(20ms);
  }
  reconnectToTargets(Router);
  // The users' bounds, with the others served fully.
  if (3 * ServedFirst < 2 * Sent || Sent - ServedFirst > 10 + Sent / 50)
    Record.addViolation("router " + std::to_string(Router) +
                        " was cut off from targets and served " +
                        std::to_string(ServedFirst) + " of " +
                        std::to_string(Sent) + " first tries");
}

void SoakRun::checkLimits() {
  static constexpr Duration Window = std::chrono::seconds(4);
  Timestamp Begin = steadyNow();
  std::map<SoakTarget *, int> Limits;
  // One plain service and one engine; the others serve the rest.
  for (size_t Index : {0, 1}) {
    Limits[Targets[Index].get()] =
        1 + static_cast<int>(randomBelow(LaterRandom, 6));
    Targets[Index]->setLimit(Limits[Targets[Index].get()]);
  }
  std::this_thread::sleep_for(ContactTime + Window + Window / 2);
  for (auto &[Target, PerSecond] : Limits) {
    size_t Most = Target->arrivals().mostIn(Window, Begin + ContactTime);
    double Allowed = 1.5 * 4 * PerSecond + 5;
    if (double(Most) > Allowed)
      Record.addViolation(
          std::to_string(Most) +
          " requests reached a target in 4 s under a limit of " +
          std::to_string(PerSecond) + " a second");
    Target->setLimit(0);
  }
}

std::vector<std::string> SoakRun::run(Duration Span) {
  if (!TestCluster::eventually([this] { return Served > 5; }))
    return {"no calls are served before the faults"};
  for (auto &Target : Targets)
    Target->setFaulty(true);
  Limiting = true;
  Timestamp DiskLossAt = steadyNow() + Span / 2;
  Timestamp End = steadyNow() + Span;
  bool DiskLost = false;
  while (steadyNow() < End) {
    if (!DiskLost && steadyNow() > DiskLossAt) {
      DiskLost = true;
      loseDisk();
      for (auto &Target : Targets)
        Target->setFaulty(true);
    }
    injectFault();
    // One fault in this many cuts a router off from targets as well.
    static constexpr uint64_t CutInterval = 8;
    int Router =
        FirstRouter + static_cast<int>(randomBelow(LaterRandom, RouterCount));
    if (randomBelow(LaterRandom, CutInterval) == 0 &&
        Hosts[Router].State == HostState::Running) {
      cutFromTargets(Router);
      Scheduled.emplace(
          steadyNow() +
              std::chrono::milliseconds(1000 + randomBelow(LaterRandom, 4000)),
          [this, Router] { reconnectToTargets(Router); });
    }
    runScheduled(steadyNow() + std::chrono::milliseconds(
                                   drawBelow(MeanFaultPause.count() * 2)));
  }
  Limiting = false;
  checkRecovery();
  checkCrashingPart();
  checkCrashingRequest();
  checkCutRouter();
  checkLimits();
  Stopping = true;
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  Record.finish();
  return Record.violations();
}

} // namespace ferry::soak

static uint64_t fromEnvironment(const char *Name, uint64_t Default) {
  const char *Value = std::getenv(Name);
  return Value == nullptr ? Default : std::strtoull(Value, nullptr, 10);
}

/// How long faults are injected; with the recovery a seed takes three times as
/// long.
static constexpr uint64_t DefaultSeconds = 5;

/// A seed that has failed, with the cause.
struct FailedSeed {
  uint64_t Seed;
  const char *Cause;
};
static constexpr FailedSeed FailedSeeds[] = {
    {3, "SIGHUP before the signal mask was set ended a process"},
    {13, "an answer of the log reached orders that had ended because the disk "
         "was full"}};

static void runSeed(uint64_t Seed, std::chrono::seconds Span) {
  std::vector<std::string> Violations = SoakRun(Seed).run(Span);
  for (const std::string &Violation : Violations)
    BOOST_ERROR("seed " << Seed << ": " << Violation);
}

BOOST_AUTO_TEST_CASE(promises_hold_under_random_faults) {
  uint64_t First = fromEnvironment("FERRY_SOAK_FIRST", 1);
  uint64_t Seeds = fromEnvironment("FERRY_SOAK_SEEDS", 1);
  auto Span = std::chrono::seconds(
      fromEnvironment("FERRY_SOAK_SECONDS", DefaultSeconds));
  if (std::getenv("FERRY_SOAK_FAILED") != nullptr)
    for (const FailedSeed &Failed : FailedSeeds) {
      std::cerr << "soak: seed " << Failed.Seed << ", " << Failed.Cause
                << std::endl;
      runSeed(Failed.Seed, Span);
    }
  for (uint64_t Seed = First; Seed < First + Seeds; ++Seed) {
    std::cerr << "soak: seed " << Seed << std::endl;
    runSeed(Seed, Span);
  }
}
