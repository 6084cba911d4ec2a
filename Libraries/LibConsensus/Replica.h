/// \file
/// The protocol logic of one replica of a log, without any I/O.
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
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace ferry::consensus {

/// The state of a replica, for dumps, metrics and tests.
struct ReplicaStatus {
  ReplicaId Replica;
  Standing CurrentStanding = Standing::Blank;
  bool IsLeader = false;
  /// The leader of the term, where it is known.
  std::optional<HostId> Leader;
  uint64_t Term = 0;
  /// Elections that this replica has begun since it started, pre-votes
  /// included.
  uint64_t ElectionsBegun = 0;
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
  /// \param Recovered what is on disk; only an identity for a new replica.
  Replica(ReplicaOptions Options, DurableState Recovered, Timestamp Now);

  /// Processes one event. \returns the effects, to be run in this order.
  std::vector<Effect> step(Event Input, Timestamp Now);

  /// \returns when the next TickEvent is due.
  Timestamp nextDeadline() const;

  Standing standing() const;
  bool isLeader() const { return std::holds_alternative<LeaderState>(Role); }
  /// \returns the host of the leader, or nothing where it is not known.
  std::optional<HostId> leader() const;
  ReplicaStatus status() const;
  const EntryLog &log() const { return Log; }
  uint64_t commitIndex() const { return CommitIndex; }

private:
  enum class AppendContent : uint8_t { Nothing, Entries };
  enum class ChunkContent : uint8_t { Nothing, Data };

  /// The replication progress of a peer, as the leader knows it.
  struct Progress {
    HostId Host;
    /// The greatest index up to which the peer's log is synced and equal to
    /// the leader's.
    uint64_t MatchIndex = 0;
    /// Index of the next entry to send.
    uint64_t NextIndex = 1;
    /// The last heartbeat round that the peer acknowledged.
    uint64_t AckedRound = 0;
    /// Has replied since the last quorum check.
    bool RecentlyActive = true;
    Timestamp LastContact;
    /// Appends are sent without waiting for the replies to earlier ones.
    bool Pipelined = false;
    /// While not pipelined: an append has been sent and not replied to.
    bool AwaitingReply = false;
    /// Last index of each append that has not been replied to.
    std::deque<uint64_t> Inflight;
    /// The snapshot that is being sent, if any.
    std::shared_ptr<const Snapshot> SendingSnapshot;
    /// Bytes of the snapshot that the peer has received.
    uint64_t SnapshotOffset = 0;
    uint64_t OffsetAtHeartbeat = 0;
    /// The peer received no chunk between two heartbeats.
    bool SnapshotStalled = false;
  };

  /// A read that waits until a quorum acknowledges the round.
  struct PendingRead {
    uint64_t Request;
    uint64_t Round;
  };

  /// A former voter asks whether it still is a member; the answer waits until
  /// a quorum acknowledges the round.
  struct MembershipCheck {
    ReplicaId Replica;
    HostId Host;
    int64_t Nonce;
    uint64_t Round;
  };

  struct FollowerState {
    std::optional<HostId> Leader;
  };
  struct CandidateState {
    /// Who granted the pre-vote for the next term, while one is under way. It
    /// changes no term.
    std::optional<std::set<ReplicaId>> PreVotes;
    /// Who granted the vote of the present term, if this replica asked for it.
    /// Votes that arrive during the next pre-vote still count: a peer sends its
    /// vote once it is synced.
    std::optional<std::set<ReplicaId>> Votes;
  };
  struct LeaderState {
    /// Index of the first entry of this leader's term; reads wait until it is
    /// committed.
    uint64_t TermStart = 0;
    std::map<ReplicaId, Progress> Voters;
    std::map<ReplicaId, Progress> Learners;
    /// Number of the latest heartbeat round. A quorum of acknowledgements
    /// shows that this replica still led when the round started.
    uint64_t Round = 0;
    std::vector<PendingRead> Reads;
    std::vector<MembershipCheck> MembershipChecks;
    /// Replicas that were dismissed in this term; they do not become learners.
    std::set<ReplicaId> Dismissed;
    /// Request numbers of the proposals that are not committed, by index.
    std::map<uint64_t, uint64_t> Proposals;
    uint64_t UncommittedBytes = 0;
    Timestamp HeartbeatAt;
    Timestamp QuorumCheckAt;
  };

  /// A message that is sent once the write with the token is synced.
  struct DelayedMessage {
    uint64_t Token;
    HostId To;
    Message Content;
  };

  /// A host's answer to the current probe.
  struct ProbeAnswer {
    ReplicaId Replica;
    Standing ReportedStanding;
  };

  // Replica.cpp: dispatch, and what all roles have in common.
  void handle(TickEvent &);
  void handle(ReceiveEvent &Input);
  void handle(ProposeEvent &Input);
  void handle(ReadEvent &Input);
  void handle(PersistedEvent &Input);
  void handle(SnapshotTakenEvent &Input);
  void handle(HostsEvent &Input);
  /// Checks the receiver and the term of a message, and adopts a greater term.
  /// \returns whether the message is to be processed.
  bool admit(const ReceiveEvent &Input);
  void emit(Effect Output) { Effects.push_back(std::move(Output)); }
  void send(const HostId &To, ReplicaId Receiver, MessageBody Body);
  /// Sends \p Content once the write \p Token is synced.
  void sendAfter(uint64_t Token, const HostId &To, Message Content);
  Message message(ReplicaId Receiver, MessageBody Body) const;
  /// Emits the pending batch as one write.
  void flush();
  /// \returns the token of the write after which all changes so far are
  /// durable.
  uint64_t pendingToken() const;
  /// \returns the token of the last write that changes the identity, term or
  /// vote. Messages that depend on them wait until it is synced.
  uint64_t hardStateToken() const;
  void recordVote();
  void noteHardStateChange();
  void recordIdentity();
  void recordCheckpoint();
  void appendEntry(Entry NewEntry);
  void truncateFrom(uint64_t Index);
  void commitTo(uint64_t Index);
  void maybeSnapshot();
  /// \returns the index up to which the log is dropped once there is a snapshot
  /// at \p SnapshotIndex.
  uint64_t trailingBase(uint64_t SnapshotIndex) const;
  void becomeFollower(uint64_t NewTerm, std::optional<HostId> Leader);
  void adoptTerm(uint64_t NewTerm);
  bool mayVote() const;
  /// Restarts the election timer. It is longer on a slow disk: an election
  /// takes a sync of the candidate and one of its voters, in which another
  /// campaign would split the votes.
  void restartElectionTimer();
  /// The timer does not run while a vote or term of this replica is synced.
  bool electionTimerRuns() const { return hardStateToken() <= PersistedToken; }
  /// Notes that the write of \p Token is synced, and the time that it took.
  void recordSync(uint64_t Token);

  // ReplicaElection.cpp
  void beginPreVote();
  /// Begins the next term and asks the other voters for their votes.
  void beginElection();
  void sendVoteRequests(bool PreVote);
  void countVotes();
  bool isQuorum(const std::set<ReplicaId> &Replicas) const;
  /// \returns whether the candidate's log is at least as up to date as this
  /// replica's.
  bool upToDate(const wire::VoteRequest &Request) const;
  /// \returns whether a leader is presumed to be alive: this replica, or one
  /// that it heard from within the election timeout.
  bool hasActiveLeader() const;
  void receive(const ReceiveEvent &Input, const wire::VoteRequest &Request);
  void receivePreVote(const ReceiveEvent &Input,
                      const wire::VoteRequest &Request);
  void receive(const ReceiveEvent &Input, const wire::VoteReply &Reply);

  // ReplicaFollower.cpp
  void receive(const ReceiveEvent &Input, const wire::AppendRequest &Request);
  void receive(const ReceiveEvent &Input, const wire::SnapshotChunk &Chunk);
  bool acceptLeader(const ReceiveEvent &Input);
  void rejectAppend(const ReceiveEvent &Input,
                    const wire::AppendRequest &Request);
  /// Whether the request would replace committed entries, which no leader does.
  bool contradictsCommitted(const wire::AppendRequest &Request) const;
  /// \returns the index up to which the log equals the leader's.
  uint64_t storeEntries(const wire::AppendRequest &Request);
  void installSnapshot();
  void replyMatched(const ReceiveEvent &Input, uint64_t Index, int64_t Round);

  // ReplicaLeader.cpp
  void becomeLeader();
  /// Matches the progress of the voters with the latest configuration.
  void syncProgress();
  void heartbeat();
  void checkQuorum();
  void replicate(ReplicaId Peer, Progress &To);
  void replicateAll();
  void sendAppend(ReplicaId Peer, Progress &To, AppendContent Content);
  void sendChunk(ReplicaId Peer, Progress &To, ChunkContent Content);
  Progress *progressOf(ReplicaId Peer);
  /// Records a reply of this term, which acknowledges \p Round. \returns its
  /// sender's progress, or nullptr if the reply is to be ignored.
  Progress *recordReply(const ReceiveEvent &Input, int64_t Round);
  void receive(const ReceiveEvent &Input, const wire::AppendReply &Reply);
  void receive(const ReceiveEvent &Input, const wire::SnapshotReply &Reply);
  void recordMatch(Progress &Peer, uint64_t Index);
  void advanceCommit();
  void startRound();
  /// Answers the reads and membership checks whose round a quorum has
  /// acknowledged.
  void finishRounds();
  void finishProposals(uint64_t Index);
  void abandonRequests();

  // ReplicaMembership.cpp
  void probe();
  /// \returns the one host that may form the cluster, so that it forms once.
  const HostId &formingHost() const;
  void formIfAllBlank();
  void adoptFormation(Configuration Members);
  void sendJoinRequests(wire::JoinReason::type Reason);
  void addLearner(const ReceiveEvent &Input);
  void changeMembers();
  bool removeOldIdentity(const Progress &Learner);
  bool mayAddVoter() const;
  bool isReplaceable(const Progress &Voter) const;
  bool removeSilentVoter();
  std::vector<HostId> knownHosts() const;
  void proposeMembers(Configuration Members);
  /// Tells the sender of \p Check that it is no member, if that is so.
  void dismiss(const MembershipCheck &Check);
  void receive(const ReceiveEvent &Input, const wire::Probe &Request);
  void receive(const ReceiveEvent &Input, const wire::ProbeReply &Reply);
  void receive(const ReceiveEvent &Input, const wire::JoinRequest &Request);
  void receive(const ReceiveEvent &Input, const wire::Dismissal &Notice);

  ReplicaOptions Options;
  RandomGenerator Random;
  Timestamp Now;
  std::vector<Effect> Effects;

  /// Hosts of the last HostsEvent.
  std::vector<HostId> Discovered;
  Identity Self;
  Vote LastVote;
  EntryLog Log;
  std::shared_ptr<const Snapshot> LastSnapshot;
  bool SnapshotRequested = false;
  uint64_t CommitIndex = 0;
  std::variant<FollowerState, CandidateState, LeaderState> Role;
  Timestamp ElectionAt;
  Timestamp ElectionTimerStartedAt;
  uint64_t ElectionsBegun = 0;
  /// The greatest term for which a pre-vote was granted.
  uint64_t PreVoteGrantedTerm = 0;
  /// Until then the leader is presumed to be alive, and no vote is granted.
  Timestamp LeaderActiveUntil = Timestamp::min();

  /// Changes that flush() has not emitted yet.
  WriteBatch PendingBatch;
  uint64_t LastToken = 0;
  uint64_t PersistedToken = 0;
  /// Token of the last write that changes the identity, term or vote.
  uint64_t HardStateToken = 0;
  /// When the first of those that are not synced was made.
  Timestamp HardStateChangedAt;
  uint64_t DurableIndex = 0;
  /// A write that is not synced.
  struct PendingWrite {
    uint64_t Token;
    /// The last index that is durable after it.
    uint64_t LastIndex;
    Timestamp EmittedAt;
  };
  std::deque<PendingWrite> PendingWrites;
  /// Times of the last two syncs.
  Duration LastSyncTime{};
  Duration SyncTimeBefore{};
  /// In the order of their tokens.
  std::deque<DelayedMessage> DelayedMessages;

  /// The snapshot that is being received.
  std::optional<Snapshot> IncomingSnapshot;

  Timestamp ProbeAt;
  /// Identifies the current probe, and the join requests of this replica.
  int64_t Nonce = 0;
  std::map<HostId, ProbeAnswer> ProbeAnswers;
  bool SawNonBlankPeer = false;
  /// Whether a reply to the current probe may make this replica a member of a
  /// new cluster.
  bool MayAdoptFormation = false;

  /// The status after the last step.
  ReplicaStatus LastStatus;
};

} // namespace ferry::consensus

#endif
