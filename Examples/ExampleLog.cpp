/// \file
/// Uses the replicated log without the rest of the system: three members in one
/// process, which exchange their messages by function calls, agree on a few
/// commands.
#include "LibConsensus/LogDriver.h"
#include "LibCore/Random.h"
#include <cstdio>
#include <cstdlib>

using namespace ferry;
using namespace ferry::consensus;

/// A member of the log with the commands that it has applied.
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
    Participant &Member = Participants[Host];
    LogHooks Hooks;
    Hooks.Send = [&, Host](const HostId &To, std::string Payload) {
      Loop.post([&, Host, To, Payload = std::move(Payload)] {
        if (Participants[To].Log)
          Participants[To].Log->receive(Host, Payload);
      });
    };
    Hooks.Apply = [&Member](uint64_t, std::string_view Command) {
      Member.Applied.append(Command).push_back(' ');
    };
    Hooks.TakeSnapshot = [&Member] { return Member.Applied; };
    Hooks.RestoreSnapshot = [&Member](std::string_view State) {
      Member.Applied = State;
      return Result<void, StorageError>();
    };
    auto Driver = LogDriver::tryOpen({.Cluster = {"example"},
                                      .Self = Host,
                                      .Members = Hosts,
                                      .Folder = Folder + "/" + Host.Value,
                                      .Seed = systemSeed()},
                                     Loop, Hooks);
    if (!Driver) {
      std::fprintf(stderr, "%s\n", Driver.error().message().c_str());
      return EXIT_FAILURE;
    }
    Member.Log = std::move(*Driver);
  }
  bool Proposed = false;
  std::function<void()> Poll = [&] {
    size_t MembersDone = 0;
    for (auto &[Host, Member] : Participants) {
      MembersDone += Member.Applied == "red green blue " ? 1 : 0;
      if (Proposed || !Member.Log->isLeader())
        continue;
      Proposed = true;
      for (const char *Command : {"red", "green", "blue"})
        Member.Log->propose(Command,
                            [=](Result<uint64_t, ProposeError> Outcome) {
                              std::printf("%s: %s\n", Command,
                                          Outcome ? "committed" : "unknown");
                            });
    }
    if (MembersDone == Hosts.size())
      return Loop.stop();
    Loop.at(steadyNow() + std::chrono::milliseconds(5), Poll);
  };
  Poll();
  Loop.run();
  for (auto &[Host, Member] : Participants) {
    std::printf("%s has %s\n", Host.Value.c_str(), Member.Applied.c_str());
    Member.Log->close();
  }
  std::filesystem::remove_all(Folder);
}
