/// \file
/// Measures the bytes, processor time and memory of membership and confirmation
/// by number of hosts, and the time until an accepted change is in force on all
/// hosts. Runs in virtual time; the processor time is that of the real step
/// machines.

#include "LibMembership/HostWorld.h"
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace ferry;
using namespace ferry::test;
using namespace std::chrono_literals;

/// What a host may spend: bytes sent per second, and percent of a core.
static constexpr double BudgetBytes = 4096;
static constexpr double BudgetCorePercent = 3.9;

struct Deployment {
  const char *Name;
  size_t Hosts;
  size_t DataCentres;
  size_t Targets;
  size_t Controls;
};

static constexpr Deployment Deployments[] = {
    {"7 hosts, 12 targets", 7, 4, 12, 3},
    {"50 hosts, 375 targets", 50, 5, 375, 5},
    {"400 hosts, no targets", 400, 13, 0, 7},
    {"400 hosts, 3,000 targets", 400, 13, 3000, 7}};

static double residentMegabytes() {
  std::ifstream File("/proc/self/statm");
  size_t TotalPages = 0;
  size_t Resident = 0;
  File >> TotalPages >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

static HostWorldOptions optionsOf(const Deployment &Setup) {
  HostWorldOptions Options;
  Options.Hosts = Setup.Hosts;
  Options.DataCentres = Setup.DataCentres;
  Options.Targets = Setup.Targets;
  Options.Controls = Setup.Controls;
  Options.Change = 0;
  Options.Measure = true;
  if (Setup.Hosts > 32)
    Options.QueryPolicy = membership::QueryPolicy::WhenStale;
  return Options;
}

/// Averages per host and second.
struct Load {
  double Bytes = 0;
  double Messages = 0;
  double CorePercent = 0;
};

/// \returns the averages over the hosts [First, Last) and \p Seconds.
static Load loadOf(const HostWorld &World, size_t First, size_t Last,
                   double Seconds) {
  Load Sum;
  for (size_t Index = First; Index < Last; ++Index) {
    const HostWorld::Host &Each = World.Hosts[Index];
    Sum.Bytes += static_cast<double>(Each.Bytes);
    Sum.Messages += static_cast<double>(Each.Messages);
    Sum.CorePercent += static_cast<double>(Each.Busy.count()) / 1e7;
  }
  double HostSeconds = static_cast<double>(Last - First) * Seconds;
  return {Sum.Bytes / HostSeconds, Sum.Messages / HostSeconds,
          Sum.CorePercent / HostSeconds};
}

static void printLoad(const char *Name, const char *Role, const Load &Average) {
  std::printf("| %s | %s | %.0f | %.1f | %.0f%% | %.3f | %.0f%% |\n", Name,
              Role, Average.Bytes, Average.Messages,
              Average.Bytes / BudgetBytes * 100, Average.CorePercent,
              Average.CorePercent / BudgetCorePercent * 100);
}

static void measureLoad(const Deployment &Setup) {
  static constexpr auto MeasuredTime = 30s;
  double Before = residentMegabytes();
  HostWorld World(optionsOf(Setup));
  World.run(10s);
  for (HostWorld::Host &Each : World.Hosts) {
    Each.Bytes = 0;
    Each.Messages = 0;
    Each.Busy = {};
  }
  size_t Confirmed = 0;
  size_t Usable = 0;
  size_t Samples = 0;
  size_t InScope =
      Setup.Hosts <= 32 ? Setup.Targets : Setup.Targets / Setup.DataCentres;
  for (Timestamp End = World.Now + MeasuredTime; World.Now < End;) {
    World.run(1s);
    for (const HostWorld::Host &Each : World.Hosts) {
      Usable += Each.Members->targets(World.Now).size();
      Confirmed += Each.Confirm->isConfirmed(World.Now);
      ++Samples;
    }
  }
  double Seconds = std::chrono::duration<double>(MeasuredTime).count();
  printLoad(Setup.Name, "router",
            loadOf(World, Setup.Controls, Setup.Hosts, Seconds));
  printLoad(Setup.Name, "control", loadOf(World, 0, Setup.Controls, Seconds));
  double Hosts = static_cast<double>(Samples);
  std::printf(
      "| %s | samples | %.2f%% confirmed | %.2f%% of %zu targets usable "
      "| %.2f MB a host | | |\n",
      Setup.Name, 100 * static_cast<double>(Confirmed) / Hosts,
      InScope == 0 ? 100.0
                   : 100 * static_cast<double>(Usable) / Hosts /
                         static_cast<double>(InScope),
      InScope,
      (residentMegabytes() - Before) / static_cast<double>(Setup.Hosts));
}

/// Computes the load if each host sent a heartbeat to every other one each half
/// second.
static void printFullMesh(const Deployment &Setup) {
  wire::OriginHeartbeat Heartbeat;
  Heartbeat.Tag = tagOf({"host-123"});
  Heartbeat.Incarnation = 1'700'000'000'000;
  Heartbeat.Number = 4000;
  Heartbeat.Version = 12'000;
  Heartbeat.Structure = 12'000;
  Heartbeat.TargetsAgeMillis = 400;
  wire::MembershipReply Reply;
  Reply.Heartbeats.push_back(Heartbeat);
  wire::MembershipMessage Message;
  Message.__set_Reply(Reply);
  wire::Envelope Envelope;
  Envelope.ClusterId = "cluster";
  Envelope.GroupId = 1;
  Envelope.SenderIncarnation = 1'700'000'000'000;
  Envelope.Payload = wire::encode(Message);
  auto Bytes = static_cast<double>(wire::frame(wire::encode(Envelope)).size());
  double Messages = 2.0 * static_cast<double>(Setup.Hosts - 1);
  std::printf("| %s | full mesh, computed | %.0f | %.1f | %.0f%% | | |\n",
              Setup.Name, Messages * Bytes, Messages,
              Messages * Bytes / BudgetBytes * 100);
}

static void measureInForce(const Deployment &Setup) {
  static constexpr int Rounds = 20;
  HostWorldOptions Options = optionsOf(Setup);
  Options.Measure = false;
  Options.Targets = 0;
  HostWorld World(Options);
  World.run(10s);
  std::vector<double> Half;
  std::vector<double> All;
  for (int Round = 0; Round < Rounds; ++Round) {
    World.run(Duration(137'000));
    uint64_t Number = World.change();
    Timestamp Accepted = World.Now;
    bool HalfRecorded = false;
    while (World.inForce(Number) < Setup.Hosts) {
      World.run(HostWorld::StepLength);
      std::chrono::duration<double, std::milli> Since = World.Now - Accepted;
      if (!HalfRecorded && World.inForce(Number) >= Setup.Hosts / 2)
        Half.push_back(Since.count());
      HalfRecorded |= World.inForce(Number) >= Setup.Hosts / 2;
      if (World.inForce(Number) == Setup.Hosts)
        All.push_back(Since.count());
    }
  }
  std::sort(Half.begin(), Half.end());
  std::sort(All.begin(), All.end());
  std::printf("| %zu | %.0f | %.0f | %.0f |\n", Setup.Hosts, Half[Rounds / 2],
              All[Rounds / 2], All.back());
}

int main() {
  std::printf("| deployment | role | bytes/s sent | messages/s | of 4 KB/s | "
              "core %% | of 3.9%% |\n|---|---|---|---|---|---|---|\n");
  for (const Deployment &Setup : Deployments) {
    measureLoad(Setup);
    printFullMesh(Setup);
  }
  std::printf("\nAccepted change in force, ms of virtual time in steps of 50, "
              "20 changes\n\n| hosts | half of them, median | all, median | "
              "all, worst |\n|---|---|---|---|\n");
  for (size_t Index : {0, 1, 2})
    measureInForce(Deployments[Index]);
  return 0;
}
