/// \file
/// Measures how long the Scheduler takes to place one request, by the number of
/// targets. Prints a Markdown table.
#include "LibRouting/Scheduler.h"
#include <algorithm>
#include <cstdio>

using namespace ferry;
using namespace ferry::routing;

static const ServiceId Model{"lm"};
static constexpr size_t PromptBlocks = 30;
static constexpr int Samples = 5000;

static RoutingView makeView(int Targets) {
  RoutingView View;
  auto Text = std::make_shared<config::Description>();
  Text->Workspaces.push_back(
      {WorkspaceId{"w"}, 1, config::TokenPolicy::NotRequired, ""});
  config::Service Service;
  Service.Id = Model;
  Service.MaxConcurrent = 64;
  Text->Services.push_back(Service);
  View.Description = Text;
  View.ConfirmedUntil = NeverExpires;
  for (int Index = 0; Index < Targets; ++Index) {
    TargetRecord Record;
    Record.Id = TargetId{"e" + std::to_string(Index)};
    Record.Incarnation = Incarnation{1};
    Record.Phase = TargetPhase::Ready;
    Record.Service = Model;
    Record.Sequence = 1;
    Record.UsableUntil = NeverExpires;
    View.Targets.push_back(Record);
  }
  return View;
}

/// \returns the blocks of a prompt that starts with one of 50 roots and goes on
/// with one of the 20 branches of that root.
static std::vector<cache::BlockHash> makePrompt(RandomGenerator &Random) {
  uint64_t Root = 1 + randomBelow(Random, 50);
  uint64_t Branch = randomBelow(Random, 20);
  std::vector<cache::BlockHash> Blocks;
  for (uint64_t Level = 0; Level < PromptBlocks; ++Level) {
    uint64_t Part = Level < 2 * PromptBlocks / 3 ? 0 : 1 + Branch;
    Blocks.push_back({(Root << 40) + (Part << 20) + Level + 1});
  }
  return Blocks;
}

/// \returns the sorted times of Samples submissions in microseconds. Another
/// Samples submissions go before them as a warm-up.
static std::vector<double> measure(int Targets) {
  Scheduler RequestScheduler = Scheduler::create({HostId{"r"}, 1});
  RandomGenerator Random(1);
  Timestamp Now{std::chrono::seconds(1)};
  RequestScheduler.step(
      ViewChanged{std::make_shared<RoutingView>(makeView(Targets))}, Now);
  std::vector<double> Times;
  for (int Index = 0; Index < 2 * Samples; ++Index) {
    Now += std::chrono::milliseconds(50);
    SubmitRequest Event;
    Event.Id = RequestId{"q" + std::to_string(Index)};
    Event.Workspace = WorkspaceId{"w"};
    Event.Service = Model;
    Event.Deadline = Now + std::chrono::seconds(60);
    Event.Blocks = makePrompt(Random);
    Event.PromptTokens = PromptBlocks * cache::BlockTokens + 100;
    Event.MaxOutputTokens = 100;
    SchedulerEvent Submitted = Event;
    Timestamp Unused = Now;
    auto Start = std::chrono::steady_clock::now();
    auto Effects = RequestScheduler.step(Submitted, Unused);
    auto End = std::chrono::steady_clock::now();
    if (Index >= Samples)
      Times.push_back(
          std::chrono::duration<double, std::micro>(End - Start).count());
    Now += std::chrono::milliseconds(500);
    RequestScheduler.step(FirstByte{Event.Id, 0}, Now);
    RequestScheduler.step(TryEnded{Event.Id, TryOutcome::Succeeded}, Now);
  }
  std::sort(Times.begin(), Times.end());
  return Times;
}

int main() {
  std::printf("One submission with a prompt of %zu blocks, to its dispatch.\n\n"
              "| targets | p50, us | p99, us |\n|---|---|---|\n",
              PromptBlocks);
  for (int Targets : {8, 100, 3000}) {
    std::vector<double> Times = measure(Targets);
    std::printf("| %d | %.1f | %.1f |\n", Targets, Times[Times.size() / 2],
                Times[Times.size() * 99 / 100]);
  }
}
