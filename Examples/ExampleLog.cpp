/// \file
/// Embeds the replicated log alone: three members in one process, which pass
/// their payloads by function call, agree on a few commands.
#include "LibConsensus/LogDriver.h"
#include "LibCore/Random.h"
#include <cstdio>
#include <cstdlib>

using namespace ferry;
using namespace ferry::consensus;

struct Participant {
  std::string Applied;
  std::unique_ptr<LogDriver> Log;
};

int main() {
  std::string Folder = "/tmp/ferry-example-XXXXXX";
  if (mkdtemp(Folder.data()) == nullptr)
    return EXIT_FAILURE;
  ControlLoop Loop;
  std::vector<HostId> Hosts{{"north"}, {"centre"}, {"south"}};
  std::map<HostId, Participant> Participants;
  for (const HostId &Host : Hosts) {
    Participant &Own = Participants[Host];
    LogHooks Hooks;
    Hooks.Send = [&, Host](const HostId &To, std::string Payload) {
      Loop.post([&, Host, To, Payload = std::move(Payload)] {
        if (Participants[To].Log)
          Participants[To].Log->receive(Host, Payload);
      });
    };
    Hooks.Apply = [&Own](uint64_t, std::string_view Command) {
      Own.Applied.append(Command).push_back(' ');
    };
    Hooks.TakeSnapshot = [&Own] { return Own.Applied; };
    Hooks.RestoreSnapshot = [&Own](std::string_view State) {
      Own.Applied = State;
      return Result<void, StorageError>();
    };
    auto Opened = LogDriver::tryOpen({.Cluster = {"example"},
                                      .Self = Host,
                                      .Members = Hosts,
                                      .Folder = Folder + "/" + Host.Value,
                                      .Seed = systemSeed()},
                                     Loop, Hooks);
    if (!Opened) {
      std::fprintf(stderr, "%s\n", Opened.error().message().c_str());
      return EXIT_FAILURE;
    }
    Own.Log = std::move(*Opened);
  }
  bool Proposed = false;
  std::function<void()> Poll = [&] {
    size_t Agreed = 0;
    for (auto &[Host, Own] : Participants) {
      Agreed += Own.Applied == "red green blue " ? 1 : 0;
      if (Proposed || !Own.Log->isLeader())
        continue;
      Proposed = true;
      for (const char *Command : {"red", "green", "blue"})
        Own.Log->propose(Command, [=](Result<uint64_t, ProposeError> Outcome) {
          std::printf("%s: %s\n", Command, Outcome ? "committed" : "unknown");
        });
    }
    if (Agreed == Hosts.size())
      return Loop.stop();
    Loop.at(steadyNow() + std::chrono::milliseconds(5), Poll);
  };
  Poll();
  Loop.run();
  for (auto &[Host, Own] : Participants) {
    std::printf("%s has %s\n", Host.Value.c_str(), Own.Applied.c_str());
    Own.Log->close();
  }
  std::filesystem::remove_all(Folder);
}
