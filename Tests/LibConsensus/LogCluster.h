/// \file
/// Several LogDrivers on one ControlLoop, with real files. Payloads are passed
/// by function calls.
#ifndef FERRY_TESTS_LIBCONSENSUS_LOGCLUSTER_H
#define FERRY_TESTS_LIBCONSENSUS_LOGCLUSTER_H

#include "LibConsensus/LogDriver.h"
#include "LibCore/Random.h"
#include <filesystem>
#include <future>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>

namespace ferry::consensus {

/// A new folder, which the destructor removes.
struct TemporaryFolder {
  std::filesystem::path Path;
  TemporaryFolder() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "ferry-XXXXXX").string();
    Path = mkdtemp(Name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  TemporaryFolder(const TemporaryFolder &) = delete;
};

/// The members of a log. The application's state is the concatenation of the
/// commands.
struct LogCluster {
  TemporaryFolder Folder;
  ControlLoop Loop;
  std::vector<HostId> Hosts;
  ReplicaTiming Timing{std::chrono::milliseconds(20),
                       std::chrono::milliseconds(100),
                       std::chrono::milliseconds(40)};
  ReplicaLimits Limits;
  std::map<HostId, std::unique_ptr<LogDriver>> Drivers;
  std::map<HostId, std::string> States;
  /// Hosts that neither send nor receive.
  std::set<HostId> Isolated;
  /// A state that grows longer loses its older half.
  size_t MaxStateBytes = std::numeric_limits<size_t>::max();

  ~LogCluster() {
    onLoop([this] { Drivers.clear(); });
    Loop.stop();
    Runner.join();
  }

  explicit LogCluster(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index)
      Hosts.push_back({std::string(1, static_cast<char>('a' + Index))});
  }

  std::filesystem::path folderOf(const HostId &Host) const {
    return Folder.Path / Host.Value;
  }

  Result<void, StorageError> tryStart(const HostId &Host) {
    LogOptions Options;
    Options.Cluster = {"test"};
    Options.Self = Host;
    Options.Members = Hosts;
    Options.Folder = folderOf(Host);
    Options.Seed = systemSeed();
    Options.Timing = Timing;
    Options.Limits = Limits;
    States[Host].clear();
    auto Opened = LogDriver::tryOpen(std::move(Options), Loop, hooks(Host));
    if (!Opened)
      return tl::unexpected(Opened.error());
    Drivers[Host] = std::move(*Opened);
    return {};
  }

  LogHooks hooks(const HostId &Host) {
    LogHooks Hooks;
    Hooks.Send = [this, Host](const HostId &To, std::string Payload) {
      if (Isolated.count(Host) != 0)
        return;
      Loop.post([this, Host, To, Payload = std::move(Payload)] {
        auto Receiver = Drivers.find(To);
        if (Isolated.count(To) == 0 && Receiver != Drivers.end() &&
            Receiver->second)
          Receiver->second->receive(Host, Payload);
      });
    };
    Hooks.Apply = [this, Host](uint64_t, std::string_view Command) {
      std::string &State = States[Host];
      State.append(Command).push_back(';');
      if (State.size() > MaxStateBytes)
        State.erase(0, State.size() / 2);
    };
    Hooks.TakeSnapshot = [this, Host] { return States[Host]; };
    Hooks.RestoreSnapshot = [this, Host](std::string_view State) {
      States[Host] = State;
      return Result<void, StorageError>();
    };
    return Hooks;
  }

  /// Runs \p Work on the control thread and waits for it.
  void onLoop(const std::function<void()> &Work) {
    std::promise<void> Ran;
    Loop.post([&] {
      Work();
      Ran.set_value();
    });
    Ran.get_future().wait();
  }

  /// Checks \p Condition on the control thread every millisecond until it is
  /// true. \returns false if it was not true within \p Timeout.
  bool waitFor(const std::function<bool()> &Condition,
               Duration Timeout = std::chrono::seconds(30)) {
    Timestamp End = steadyNow() + Timeout;
    bool IsTrue = false;
    while (!IsTrue && steadyNow() < End) {
      onLoop([&] { IsTrue = Condition(); });
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return IsTrue;
  }

  LogDriver *leader() {
    for (auto &[Host, Driver] : Drivers)
      if (Driver && Driver->isLeader())
        return Driver.get();
    return nullptr;
  }

  std::thread Runner{[this] { Loop.run(); }};
};

} // namespace ferry::consensus

#endif
