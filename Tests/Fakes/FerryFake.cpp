/// \file
/// ferryfake: a stand-in target of a chosen kind, for system tests and manual
/// trials.
#include "Fakes/FakeEngine.h"
#include "Fakes/FakeStores.h"
#include <Poco/Exception.h>
#include <csignal>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>

using namespace ferry;
using namespace ferry::fakes;

namespace {

/// The parsed command line.
struct CommandLine {
  FakeOptions Base;
  EngineOptions Engine;
  std::string Kind;
  std::vector<std::string> Faults;
};

} // namespace

static std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  std::string Part;
  while (std::getline(In, Part, ','))
    Parts.push_back(Part);
  return Parts;
}

static CommandLine parseCommandLine(int Count, char **Arguments) {
  TCLAP::CmdLine Command("Stand-in target for trials of flamingoferry", ' ',
                         "0.1.0");
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<double>;
  Text Kind("", "kind", "engine, cache_store, weight_store or service", true,
            "", "KIND", Command);
  Text Id("", "id", "Target id", true, "", "ID", Command);
  Text Listen("", "listen", "Address to listen on", false, "127.0.0.1:0",
              "IP:PORT", Command);
  Text Hosts("", "hosts", "Target addresses of ferryd hosts, by comma", false,
             "", "LIST", Command);
  Text Service("", "service", "Service of the description", false, "", "NAME",
               Command);
  Text Model("", "model", "Model name", false, "", "NAME", Command);
  Text Centre("", "data-centre", "Data centre", false, "", "NAME", Command);
  Text ExportTo("", "export-to", "Address of a cache store", false, "",
                "IP:PORT", Command);
  Text Weights("", "weight-store", "Address of the weight store", false, "",
               "IP:PORT", Command);
  Number Version("", "weights", "Weights version", false, 1, "N", Command);
  Number Incarnation("", "incarnation", "Incarnation; 0: the time", false, 0,
                     "N", Command);
  Number Prefill("", "prefill", "Prefill tokens a second", false, 200'000, "N",
                 Command);
  Number TokenMillis("", "token-ms", "Time of one token", false, 1, "MS",
                     Command);
  Number LoadMillis("", "load-ms", "Time to load weights", false, 1000, "MS",
                    Command);
  Number Concurrent("", "concurrent", "Requests side by side", false, 16, "N",
                    Command);
  Number Blocks("", "cache-blocks", "Blocks in the cache", false, 256, "N",
                Command);
  Number Lifetime("", "block-ms", "Lifetime of an unused block", false, 5000,
                  "MS", Command);
  TCLAP::SwitchArg Checks("", "check-fencing", "Refuse old fencing numbers",
                          Command);
  TCLAP::MultiArg<std::string> Faults("", "fault",
                                      "name=value or "
                                      "name=value*count",
                                      false, "FAULT", Command);
  Command.parse(Count, Arguments);
  CommandLine Line;
  TargetRecord &Record = Line.Base.Record;
  Record.Id = {Id.getValue()};
  Record.Service = {Service.getValue()};
  Record.Model = {Model.getValue()};
  Record.DataCentre = {Centre.getValue()};
  Record.Weights = {static_cast<uint64_t>(Version.getValue())};
  Record.Incarnation = {static_cast<uint64_t>(Incarnation.getValue())};
  if (Record.Incarnation.Value == 0)
    Record.Incarnation = {static_cast<uint64_t>(unixNow().Value)};
  if (Checks.getValue())
    Record.Fencing = FencingCheck::Checked;
  Line.Base.Listen = Listen.getValue();
  Line.Base.Hosts = splitList(Hosts.getValue());
  Line.Engine.PrefillTokensPerSecond = Prefill.getValue();
  Line.Engine.TokenMillis = TokenMillis.getValue();
  Line.Engine.LoadWeightsMillis = LoadMillis.getValue();
  Line.Engine.MaxConcurrent = static_cast<uint32_t>(Concurrent.getValue());
  Line.Engine.CacheBlocks = static_cast<size_t>(Blocks.getValue());
  Line.Engine.BlockLifetimeMillis = static_cast<int>(Lifetime.getValue());
  Line.Engine.ExportTo = ExportTo.getValue();
  Line.Engine.WeightStore = Weights.getValue();
  Line.Kind = Kind.getValue();
  Line.Faults = Faults.getValue();
  return Line;
}

static std::unique_ptr<FakeServer> makeFake(const CommandLine &Line) {
  auto Kind = enumFromName<TargetKind>(Line.Kind);
  if (!Kind)
    return nullptr;
  switch (*Kind) {
  case TargetKind::Engine:
    return std::make_unique<FakeEngine>(Line.Base, Line.Engine);
  case TargetKind::CacheStore:
    return std::make_unique<FakeCacheStore>(Line.Base, Line.Engine.CacheBlocks);
  case TargetKind::WeightStore:
    return std::make_unique<FakeWeightStore>(Line.Base,
                                             Line.Engine.LoadWeightsMillis);
  case TargetKind::PlainService:
    return std::make_unique<FakeService>(Line.Base);
  }
  return nullptr;
}

int main(int Count, char **Arguments) {
  // All threads inherit the blocked signals, so that only sigwait below
  // receives them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  try {
    CommandLine Line = parseCommandLine(Count, Arguments);
    auto Fake = makeFake(Line);
    if (!Fake) {
      std::cerr << "ferryfake: unknown kind " << Line.Kind << "\n";
      return 2;
    }
    for (const std::string &Text : Line.Faults)
      if (!Fake->faults().set(Text)) {
        std::cerr << "ferryfake: unknown fault " << Text << "\n";
        return 2;
      }
    Fake->start();
    std::cout << "listening " << Fake->address() << std::endl;
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Fake->leave();
    Fake->stop();
    return 0;
  } catch (const TCLAP::ArgException &Failure) {
    std::cerr << "ferryfake: " << Failure.error() << "\n";
    return 2;
  } catch (const Poco::Exception &Failure) {
    std::cerr << "ferryfake: " << Failure.displayText() << "\n";
    return 1;
  }
}
