/// \file
/// The step machine of one replica of a log.
#ifndef FERRY_LIBCONSENSUS_REPLICA_H
#define FERRY_LIBCONSENSUS_REPLICA_H

#include "LibConsensus/EntryLog.h"
#include "LibConsensus/Message.h"
#include "LibConsensus/ReplicaEvents.h"
#include "LibConsensus/ReplicaOptions.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace ferry::consensus {

/// What a replica of the log is doing, for dumps and tests.
struct ReplicaStatus {
  ReplicaId Replica;
  Standing Now = Standing::Blank;
  bool Leads = false;
  std::optional<HostId> Leader;
  uint64_t Term = 0;
  uint64_t CommitIndex = 0;
  uint64_t AppliedIndex = 0;
  uint64_t FirstIndex = 0;
  uint64_t LastIndex = 0;
  uint64_t SnapshotIndex = 0;
  Configuration Members;
};

/// One replica. It owns no thread, file, socket or clock: step() takes an
/// event and the time, and returns what the caller must do, in order.
class Replica {
public:
  /// \param Recovered what is on disk; a fresh one has an identity only.
  Replica(ReplicaOptions Options, DurableState Recovered, Timestamp Now);

  /// Takes one event. \returns the effects, to be run in this order.
  std::vector<Effect> step(Event Input, Timestamp Now);

  /// \returns when the next TickEvent is due.
  Timestamp nextDeadline() const;

  Standing standing() const;
  bool isLeader() const { return std::holds_alternative<Leading>(Role); }
  std::optional<HostId> leader() const;
  ReplicaStatus status() const;
  const EntryLog &log() const { return Log; }
  uint64_t commitIndex() const { return Commit; }

private:
  enum class AppendContent : uint8_t { Nothing, Entries };
  enum class ChunkContent : uint8_t { Nothing, Data };

  /// How far a peer's copy of the log has come, as the leader knows it.
  struct Progress {
    HostId Host;
    /// Synced on the peer and equal to the leader's log up to here.
    uint64_t Match = 0;
    uint64_t Next = 1;
    uint64_t AckedRound = 0;
    /// Heard from since the last quorum check.
    bool Heard = true;
    Timestamp HeardAt;
    /// Appends are sent ahead of their replies.
    bool Pipelined = false;
    /// A probing append waits for its reply.
    bool Waiting = false;
    /// Last index of each append that waits for its reply.
    std::deque<uint64_t> Inflight;
    /// The snapshot that is being sent, if any, and how much has arrived.
    std::shared_ptr<const Snapshot> Sending;
    uint64_t SentBytes = 0;
    uint64_t BytesAtHeartbeat = 0;
    /// No chunk arrived between two heartbeats.
    bool Stalled = false;
  };

  struct WaitingRead {
    uint64_t Request;
    uint64_t Round;
  };

  /// A replica that asked whether it still is a member.
  struct WaitingDismissal {
    ReplicaId Replica;
    HostId Host;
    int64_t Nonce;
    uint64_t Round;
  };

  struct Following {
    std::optional<HostId> Leader;
  };
  struct Campaigning {
    bool Preliminary;
    std::set<ReplicaId> Granted;
  };
  struct Leading {
    /// The first entry of the own term; reads wait until it is committed.
    uint64_t TermStart = 0;
    std::map<ReplicaId, Progress> Voters;
    std::map<ReplicaId, Progress> Learners;
    uint64_t Round = 0;
    std::vector<WaitingRead> Reads;
    std::vector<WaitingDismissal> Dismissals;
    std::set<ReplicaId> Dismissed;
    std::map<uint64_t, uint64_t> Proposals;
    uint64_t UncommittedBytes = 0;
    Timestamp HeartbeatAt;
    Timestamp QuorumCheckAt;
  };

  struct HeldMessage {
    uint64_t Token;
    HostId To;
    Message Held;
  };

  /// A host's answer to the current probe.
  struct Probed {
    ReplicaId Replica;
    Standing Answered;
  };

  // Replica.cpp: dispatch and what is common to all roles.
  void handle(TickEvent &);
  void handle(ReceiveEvent &Input);
  void handle(ProposeEvent &Input);
  void handle(ReadEvent &Input);
  void handle(PersistedEvent &Input);
  void handle(SnapshotTakenEvent &Input);
  void handle(HostsEvent &Input);
  bool admit(const ReceiveEvent &Input);
  void emit(Effect Output) { Effects.push_back(std::move(Output)); }
  void send(const HostId &To, ReplicaId Receiver, MessageBody Body);
  void sendAfter(uint64_t Token, const HostId &To, Message Sent);
  Message message(ReplicaId Receiver, MessageBody Body) const;
  void flush();
  uint64_t pendingToken() const;
  uint64_t promiseToken() const;
  void recordVote();
  void recordIdentity();
  void recordCheckpoint();
  void appendEntry(Entry Next);
  void truncateFrom(uint64_t Index);
  void commitTo(uint64_t Index);
  void maybeSnapshot();
  void becomeFollower(uint64_t NewTerm, std::optional<HostId> Leader);
  void adoptTerm(uint64_t NewTerm);
  bool mayVote() const;
  Timestamp electionDeadline();

  // ReplicaElection.cpp
  void campaign(bool Preliminary);
  void countVotes();
  bool upToDate(const wire::VoteRequest &Asked) const;
  bool leaderPresumed() const;
  void receive(const ReceiveEvent &From, const wire::VoteRequest &Asked);
  void receivePreliminary(const ReceiveEvent &From,
                          const wire::VoteRequest &Asked);
  void receive(const ReceiveEvent &From, const wire::VoteReply &Reply);

  // ReplicaFollower.cpp
  void receive(const ReceiveEvent &From, const wire::AppendRequest &Sent);
  void receive(const ReceiveEvent &From, const wire::SnapshotChunk &Chunk);
  bool acceptLeader(const ReceiveEvent &From);
  void rejectAppend(const ReceiveEvent &From, const wire::AppendRequest &Sent);
  uint64_t storeEntries(const wire::AppendRequest &Sent);
  void installSnapshot();
  void replyMatched(const ReceiveEvent &From, uint64_t Index, int64_t Round);

  // ReplicaLeader.cpp
  void becomeLeader();
  void syncProgress();
  void heartbeat();
  void checkQuorum();
  void replicate(ReplicaId Peer, Progress &To);
  void replicateAll();
  void sendAppend(ReplicaId Peer, Progress &To, AppendContent Content);
  void sendChunk(ReplicaId Peer, Progress &To, ChunkContent Content);
  Progress *progressOf(ReplicaId Peer);
  /// Notes a reply of this term, which acknowledges \p Round. \returns its
  /// sender's progress, or nullptr for a reply that counts for nothing.
  Progress *heardReply(const ReceiveEvent &From, int64_t Round);
  void receive(const ReceiveEvent &From, const wire::AppendReply &Reply);
  void receive(const ReceiveEvent &From, const wire::SnapshotReply &Reply);
  void acknowledged(Progress &From, uint64_t Index);
  void advanceCommit();
  void startRound();
  void finishRounds();
  void finishProposals(uint64_t Index);
  void abandonRequests();

  // ReplicaMembership.cpp
  void probe();
  /// \returns the one host that may form the cluster, so that it forms once.
  const HostId &formingHost() const;
  void tryForm();
  void adoptFormation(Configuration Members);
  void join(wire::JoinReason::type Reason);
  void takeLearner(const ReceiveEvent &From);
  void changeMembers();
  bool removeOldIdentity(const Progress &Learner);
  bool mayAddVoter() const;
  bool isReplaceable(const Progress &Voter) const;
  bool removeSilentVoter();
  std::vector<HostId> knownHosts() const;
  void proposeMembers(Configuration Members);
  void dismiss(const WaitingDismissal &Asked);
  void receive(const ReceiveEvent &From, const wire::Probe &Asked);
  void receive(const ReceiveEvent &From, const wire::ProbeReply &Reply);
  void receive(const ReceiveEvent &From, const wire::JoinRequest &Asked);
  void receive(const ReceiveEvent &From, const wire::Dismissal &Sent);

  ReplicaOptions Options;
  RandomGenerator Random;
  Timestamp Now;
  std::vector<Effect> Effects;

  /// Hosts that were discovered.
  std::vector<HostId> Discovered;
  Identity Self;
  Vote LastVote;
  EntryLog Log;
  std::shared_ptr<const Snapshot> LastSnapshot;
  bool SnapshotAsked = false;
  uint64_t Commit = 0;
  std::variant<Following, Campaigning, Leading> Role;
  Timestamp ElectionAt;
  /// Until then a leader is presumed to be alive, and no vote is given.
  Timestamp LeaderPresumedUntil = Timestamp::min();

  WriteBatch Pending;
  uint64_t LastToken = 0;
  uint64_t PersistedToken = 0;
  /// The last write that holds a vote or an identity.
  uint64_t PromiseToken = 0;
  uint64_t DurableIndex = 0;
  /// Token of each write under way, and the last index durable after it.
  std::deque<std::pair<uint64_t, uint64_t>> Writes;
  std::deque<HeldMessage> Held;

  /// The snapshot that is being received.
  std::optional<Snapshot> Incoming;

  Timestamp ProbeAt;
  int64_t Nonce = 0;
  std::map<HostId, Probed> Answers;
  bool PeersNotBlank = false;
  bool FormationAllowed = false;

  ReplicaStatus Reported;
};

} // namespace ferry::consensus

#endif
