/// \file
/// Runs one replica of a log: binds the step machine to the control loop, a
/// storage thread and the application's hooks.
#ifndef FERRY_LIBCONSENSUS_LOGDRIVER_H
#define FERRY_LIBCONSENSUS_LOGDRIVER_H

#include "LibConsensus/Errors.h"
#include "LibConsensus/Replica.h"
#include "LibCore/ControlLoop.h"
#include "LibCore/Result.h"
#include <deque>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ferry::consensus {

class LogFiles;
class Storage;

/// What the log calls, all on the control thread.
struct LogHooks {
  /// Hands \p Payload to the network; it may be lost, late or doubled.
  std::function<void(const HostId &To, std::string Payload)> Send;
  /// Applies a committed command. Indices rise and have gaps.
  std::function<void(uint64_t Index, std::string_view Command)> Apply;
  /// \returns the whole applied state. Called once before anything is
  /// applied, for the state that a replica begins again with.
  std::function<std::string()> TakeSnapshot;
  /// Replaces the whole applied state. \returns whether it was understood;
  /// after a failure the log stops and keeps its files.
  std::function<Result<void, StorageError>(std::string_view State)>
      RestoreSnapshot;
  /// Standing, leader or term has changed.
  std::function<void()> StandingChanged;
};

/// What a log is and where it lives.
struct LogOptions {
  ClusterId Cluster;
  GroupId Group{1};
  HostId Self;
  /// All listed control hosts, this one included; the same on each.
  std::vector<HostId> Members;
  /// Whether Members are all, or those that form the log.
  MemberSource Source = MemberSource::Listed;
  /// Whether an empty folder may form the log with the other Members.
  bool MayForm = true;
  /// Voters to aim at where members are discovered.
  size_t WantedVoters = 3;
  /// Belongs to this log alone.
  std::filesystem::path Folder;
  /// Seeds the election jitter and replica ids; differs on each start.
  uint64_t Seed = 0;
  ReplicaTiming Timing = {};
  ReplicaLimits Limits = {};
};

/// One replica of a log. All calls are made on the control thread.
class LogDriver {
public:
  using ProposeCallback = std::function<void(Result<uint64_t, ProposeError>)>;
  using ReadCallback = std::function<void(Result<void, ReadError>)>;

  /// Opens the files in the folder and starts. Apply and RestoreSnapshot are
  /// called for what is known to be committed, never before this returns.
  /// A damaged log is no error: it is kept aside and the replica stands as
  /// Refusing until it is taken in anew.
  /// \returns the running log, or why its folder cannot be used.
  static Result<std::unique_ptr<LogDriver>, StorageError>
  tryOpen(LogOptions Options, ControlLoop &Loop, LogHooks Hooks);

  ~LogDriver();
  LogDriver(const LogDriver &) = delete;
  LogDriver &operator=(const LogDriver &) = delete;

  /// Takes a payload that the log on \p From sent. Malformed and foreign
  /// payloads are dropped and counted.
  void receive(const HostId &From, std::string_view Payload);

  /// Tells of hosts that may hold a replica; for discovered members.
  void hostsKnown(std::vector<HostId> Hosts);

  /// Proposes \p Command. \p Done runs exactly once: with the index after
  /// Apply ran for it, or with an error that says whether it may yet commit.
  void propose(std::string Command, ProposeCallback Done);

  /// Confirms with a quorum that this replica still leads. \p Done runs
  /// exactly once; on success the applied state covers every command that was
  /// committed before this call.
  void confirmRead(ReadCallback Done);

  /// \returns the host that leads, as far as known.
  std::optional<HostId> leader() const;
  bool isLeader() const;
  bool isVoter() const;
  Standing standing() const;
  /// \returns what was found wrong with the files at the start, if anything.
  const std::optional<StorageError> &damage() const { return Damage; }
  /// \returns what stopped the log after its start, if anything has.
  const std::optional<StorageError> &failure() const { return Failure; }
  /// \returns counters and positions, for dumps.
  ReplicaStatus status() const;
  /// Calls \p Visit for each command that the log holds behind the applied
  /// ones, committed or not, in its order.
  void visitUnapplied(
      const std::function<void(std::string_view Command)> &Visit) const;
  /// \returns how many payloads were malformed or foreign.
  uint64_t droppedPayloads() const { return Dropped; }

  /// Ends the log; must not be called from a hook or a callback. Waits for
  /// writes under way and answers callbacks that wait with Closed. Nothing is
  /// called afterwards.
  void close();

private:
  LogDriver(LogOptions Options, ControlLoop &Loop, LogHooks Hooks);
  Result<DurableState, StorageError> tryRecover(LogFiles &Files);
  void start(LogFiles Files, DurableState Recovered);
  void makeReplica(DurableState State);
  void persisted(const Result<uint64_t, StorageError> &Written);
  void stepNow(Event Input);
  void drainEvents();
  void run(Effect &Output);
  void runSend(const HostId &To, const Message &Sent);
  void restore(std::string_view State);
  void startAnew();
  void fail(StorageError Reason);
  void failCallbacks();
  void armTimer();

  LogOptions Options;
  ControlLoop &Loop;
  LogHooks Hooks;
  RandomGenerator Random;
  std::unique_ptr<Storage> Disk;
  std::unique_ptr<Replica> Machine;
  std::optional<StorageError> Damage;
  std::optional<StorageError> Failure;
  std::deque<Event> Waiting;
  bool Draining = false;
  bool Closed = false;
  uint64_t NextRequest = 1;
  uint64_t Dropped = 0;
  /// Writes of replicas that were replaced end here.
  uint64_t TokenBase = 0;
  uint64_t LastToken = 0;
  /// The application's state before anything was applied.
  std::string InitialState;
  std::map<uint64_t, ProposeCallback> Proposals;
  std::map<uint64_t, ReadCallback> Reads;
  std::optional<ControlLoop::TimerId> Timer;
  /// Outlives the driver in tasks that were posted to the loop.
  std::shared_ptr<bool> Alive;
};

} // namespace ferry::consensus

#endif
