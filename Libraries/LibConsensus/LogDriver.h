/// \file
/// Runs one replica of a log: connects Replica with the control loop, a storage
/// thread and the application's hooks.
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

/// Functions of the application that the log calls, all on the control thread.
struct LogHooks {
  /// Sends \p Payload to \p To. The network may lose, delay or duplicate it.
  std::function<void(const HostId &To, std::string Payload)> Send;
  /// Applies a committed command. The indices rise, with gaps.
  std::function<void(uint64_t Index, std::string_view Command)> Apply;
  /// \returns the whole applied state. The first call comes before anything is
  /// applied; a replica that restarts as a new one is restored to that state.
  std::function<std::string()> TakeSnapshot;
  /// Replaces the whole applied state. \returns an error if \p State is
  /// invalid; the log then stops and keeps its files.
  std::function<Result<void, StorageError>(std::string_view State)>
      RestoreSnapshot;
  /// The standing, leader or term has changed.
  std::function<void()> StandingChanged;
  /// A sync has ended, \p Elapsed after the oldest write that it covers was
  /// queued.
  std::function<void(Duration Elapsed)> Synced;
};

/// The identity, members, folder and limits of a log.
struct LogOptions {
  ClusterId Cluster;
  GroupId Group{1};
  HostId Self;
  /// All listed control hosts, this one included; the same on each host.
  std::vector<HostId> Members;
  /// Whether Members lists all hosts, or only those that form the log.
  MemberSource Source = MemberSource::Listed;
  /// Whether a replica with an empty folder may form the log with the other
  /// Members.
  bool MayForm = true;
  /// Number of voters to keep, where members are discovered.
  size_t WantedVoters = 3;
  /// The folder of the log's files, which no other log uses.
  std::filesystem::path Folder;
  /// Seeds the election jitter and the replica ids; must differ on each start.
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
  /// A damaged log is no error: its files are moved aside, and the replica is
  /// Refusing until a leader adds it as a new one.
  /// \returns the running log, or why its folder cannot be used.
  static Result<std::unique_ptr<LogDriver>, StorageError>
  tryOpen(LogOptions Options, ControlLoop &Loop, LogHooks Hooks);

  ~LogDriver();
  LogDriver(const LogDriver &) = delete;
  LogDriver &operator=(const LogDriver &) = delete;

  /// Processes a payload that the log on \p From sent. Malformed and foreign
  /// payloads are dropped and counted.
  void receive(const HostId &From, std::string_view Payload);

  /// Sets the hosts that may run a replica, beside the listed ones and the
  /// voters; where members are discovered.
  void setDiscoveredHosts(std::vector<HostId> Hosts);

  /// Proposes \p Command. \p Done runs exactly once: with the index, after
  /// Apply has run for it, or with an error that tells whether it may still
  /// commit.
  void propose(std::string Command, ProposeCallback Done);

  /// Confirms with a quorum that this replica still leads. \p Done runs
  /// exactly once; on success the applied state covers every command that was
  /// committed before this call.
  void confirmRead(ReadCallback Done);

  /// \returns the host of the leader, or nothing where it is not known.
  std::optional<HostId> leader() const;
  bool isLeader() const;
  bool isVoter() const;
  Standing standing() const;
  /// \returns the damage that was found in the files at the start, if any.
  const std::optional<StorageError> &damage() const { return Damage; }
  /// \returns the error that stopped the log after its start, if any.
  const std::optional<StorageError> &failure() const { return Failure; }
  /// \returns the state of the replica, for dumps.
  ReplicaStatus status() const;
  /// \returns when the oldest write that is not synced was queued.
  std::optional<Timestamp> oldestUnsyncedWrite() const;
  /// Calls \p Visit for each command in the log that is not applied yet,
  /// committed or not, in the order of the log.
  void visitUnapplied(
      const std::function<void(std::string_view Command)> &Visit) const;
  /// \returns the number of payloads that were malformed or foreign.
  uint64_t droppedPayloads() const { return Dropped; }

  /// Stops the log; must not be called from a hook or a callback. Waits for
  /// the queued writes, and calls pending callbacks with Closed. Nothing is
  /// called afterwards.
  void close();

private:
  LogDriver(LogOptions Options, ControlLoop &Loop, LogHooks Hooks);
  Result<DurableState, StorageError> tryRecover(LogFiles &Files);
  void start(LogFiles Files, DurableState Recovered);
  void makeReplica(DurableState State);
  void onPersisted(const Result<uint64_t, StorageError> &SyncedToken);
  void processEvent(Event Input);
  void drainEvents();
  void runEffect(Effect &Output);
  void send(const HostId &To, const Message &Content);
  void restore(std::string_view State);
  /// Gives up the replica's identity and files and starts a new replica that
  /// only joins.
  void restartAsNewReplica();
  void fail(StorageError Reason);
  void failCallbacks();
  void armTimer();

  LogOptions Options;
  ControlLoop &Loop;
  LogHooks Hooks;
  RandomGenerator Random;
  std::unique_ptr<Storage> Disk;
  std::unique_ptr<Replica> LocalReplica;
  std::optional<StorageError> Damage;
  std::optional<StorageError> Failure;
  std::deque<Event> PendingEvents;
  bool Draining = false;
  bool Closed = false;
  uint64_t NextRequest = 1;
  uint64_t Dropped = 0;
  /// Greatest token of the replicas before the present one. Added to the
  /// tokens of the present one, so that the tokens of Disk always rise.
  uint64_t TokenBase = 0;
  uint64_t LastToken = 0;
  /// A write that is not synced.
  struct UnsyncedWrite {
    uint64_t Token;
    Timestamp QueuedAt;
  };
  std::deque<UnsyncedWrite> UnsyncedWrites;
  /// The application's state before anything is applied.
  std::string InitialState;
  std::map<uint64_t, ProposeCallback> Proposals;
  std::map<uint64_t, ReadCallback> Reads;
  std::optional<ControlLoop::TimerId> Timer;
  /// Set to false by close(). Tasks that were posted to the loop share it,
  /// because they may outlive the driver.
  std::shared_ptr<bool> Alive;
};

} // namespace ferry::consensus

#endif
