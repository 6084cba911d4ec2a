// Single steps of a replica, for orders of messages and syncs that a random
// simulation seldom reaches.
#include "LibConsensus/Replica.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::consensus;
using namespace std::chrono_literals;

/// Replica "a" of three. The test plays the peers and the disk.
struct Fixture {
  Configuration Members{{{{1}, {"a"}}, {{2}, {"b"}}, {{3}, {"c"}}}};
  Timestamp Now{};
  std::optional<Replica> LocalReplica;
  std::vector<Effect> LastEffects;

  void start(DurableState State) {
    State.Self = {{1}, Standing::Learner, Members};
    ReplicaOptions Options;
    Options.Cluster = {"test"};
    Options.Self = {"a"};
    Options.Hosts = {{"a"}, {"b"}, {"c"}};
    Options.Seed = 1;
    LocalReplica.emplace(Options, std::move(State), Now);
    // The first step emits StandingChangedEffect; later ones need not expect
    // it.
    step(PersistedEvent{0});
  }

  void step(Event Input) {
    LastEffects = LocalReplica->step(std::move(Input), Now);
  }

  void receive(uint64_t Sender, uint64_t Term, MessageBody Body) {
    HostId Host{std::string(1, static_cast<char>('a' + Sender - 1))};
    step(ReceiveEvent{Host, {{Sender}, {1}, Term, std::move(Body)}});
  }

  void persistAll() {
    for (const Effect &Output : std::exchange(LastEffects, {}))
      if (const auto *Write = std::get_if<PersistEffect>(&Output)) {
        step(PersistedEvent{Write->Token});
        return;
      }
  }

  /// Makes the replica win the election for \p Term + 1 with the vote of "b".
  void elect(uint64_t Term) {
    Now += 2s;
    step(TickEvent{});
    wire::VoteReply Granted;
    Granted.Granted = true;
    Granted.Preliminary = true;
    receive(2, Term + 1, Granted);
    persistAll();
    Granted.Preliminary = false;
    receive(2, Term + 1, Granted);
    BOOST_REQUIRE(LocalReplica->isLeader());
  }

  template <typename BodyType> std::vector<BodyType> sent() const {
    std::vector<BodyType> Bodies;
    for (const Effect &Output : LastEffects)
      if (const auto *Send = std::get_if<SendEffect>(&Output))
        if (const auto *Body = std::get_if<BodyType>(&Send->Sent.Body))
          Bodies.push_back(*Body);
    return Bodies;
  }
};

static wire::AppendReply matched(int64_t Index) {
  wire::AppendReply Reply;
  Reply.Matched = true;
  Reply.Index = Index;
  return Reply;
}

BOOST_AUTO_TEST_CASE(entries_of_earlier_terms_commit_with_one_of_this_term) {
  Fixture Test;
  DurableState State;
  State.LastVote = {3, {}};
  State.Entries = {{1, 1, EntryKind::Noop, {}},
                   {2, 2, EntryKind::Command, "older"}};
  Test.start(std::move(State));
  Test.elect(3);
  Test.persistAll();
  // A quorum has entry 2, but a leader that has an entry of a later term may
  // still overwrite it.
  Test.receive(2, 4, matched(2));
  BOOST_TEST(Test.LocalReplica->commitIndex() == 0u);
  Test.receive(2, 4, matched(3));
  BOOST_TEST(Test.LocalReplica->commitIndex() == 3u);
}

BOOST_AUTO_TEST_CASE(votes_and_appends_are_answered_after_the_sync) {
  Fixture Test;
  Test.start({});
  Test.Now += 1s;
  wire::VoteRequest Request;
  Test.receive(2, 1, Request);
  BOOST_TEST(Test.sent<wire::VoteReply>().empty());
  Test.persistAll();
  BOOST_REQUIRE(Test.sent<wire::VoteReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::VoteReply>().front().Granted);
  // The replica has one vote in each term.
  Test.receive(3, 1, Request);
  BOOST_TEST(!Test.sent<wire::VoteReply>().front().Granted);
  wire::AppendRequest Append;
  Append.Entries = {toWire(Entry{1, 1, EntryKind::Command, "x"})};
  Append.CommitIndex = 1;
  Test.receive(2, 1, Append);
  BOOST_TEST(Test.sent<wire::AppendReply>().empty());
  auto AppendEffects = Test.LastEffects;
  // Meanwhile a heartbeat is answered at once, with the last synced index.
  wire::AppendRequest Heartbeat;
  Heartbeat.PreviousIndex = 1;
  Heartbeat.PreviousTerm = 1;
  Test.receive(2, 1, Heartbeat);
  BOOST_REQUIRE(Test.sent<wire::AppendReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 0);
  Test.LastEffects = AppendEffects;
  Test.persistAll();
  BOOST_REQUIRE(Test.sent<wire::AppendReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 1);
}

// The replica overwrites synced entries by unsynced ones at the same indices,
// and must not answer a heartbeat for these.
BOOST_AUTO_TEST_CASE(overwritten_entries_are_acknowledged_after_their_sync) {
  Fixture Test;
  DurableState State;
  State.LastVote = {2, {}};
  for (uint64_t Index = 1; Index <= 3; ++Index)
    State.Entries.push_back({Index, 1, EntryKind::Command, "old"});
  Test.start(std::move(State));
  wire::AppendRequest Append;
  Append.PreviousIndex = 1;
  Append.PreviousTerm = 1;
  Append.Entries = {toWire(Entry{2, 2, EntryKind::Command, "new"}),
                    toWire(Entry{3, 2, EntryKind::Command, "new"})};
  Test.receive(2, 2, Append);
  wire::AppendRequest Heartbeat;
  Heartbeat.PreviousIndex = 3;
  Heartbeat.PreviousTerm = 2;
  Test.receive(2, 2, Heartbeat);
  BOOST_REQUIRE(Test.sent<wire::AppendReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 1);
}

BOOST_AUTO_TEST_CASE(messages_for_another_replica_of_the_host_are_dropped) {
  Fixture Test;
  Test.start({});
  Test.Now += 1s;
  Test.step(ReceiveEvent{{"b"}, {{2}, {99}, 5, wire::VoteRequest()}});
  BOOST_TEST(Test.LastEffects.empty());
  BOOST_TEST(Test.LocalReplica->status().Term == 0u);
}

// A snapshot that arrives late covers entries that the log has. Restoring it
// would drop later entries, which the replica has acknowledged.
BOOST_AUTO_TEST_CASE(a_snapshot_within_the_log_drops_no_acknowledged_entry) {
  Fixture Test;
  DurableState State;
  State.LastVote = {1, {}};
  for (uint64_t Index = 1; Index <= 5; ++Index)
    State.Entries.push_back({Index, 1, EntryKind::Command, "x"});
  Test.start(std::move(State));
  wire::SnapshotChunk Chunk;
  Chunk.Index = 3;
  Chunk.LastTerm = 1;
  Chunk.Configuration = toWire(Test.Members);
  Test.receive(2, 1, Chunk);
  BOOST_TEST(Test.LocalReplica->log().lastIndex() == 5u);
  BOOST_TEST(Test.LocalReplica->commitIndex() == 3u);
  // A snapshot beyond the log replaces it, and is acknowledged after its sync.
  Chunk.Index = 9;
  Test.receive(2, 1, Chunk);
  BOOST_TEST(Test.sent<wire::AppendReply>().empty());
  BOOST_TEST(Test.LocalReplica->log().lastIndex() == 9u);
  Test.persistAll();
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 9);
}

BOOST_AUTO_TEST_CASE(proposals_beyond_the_limits_are_refused) {
  Fixture Test;
  Test.start({});
  auto Refusal = [&](std::string Command) {
    Test.step(ProposeEvent{7, std::move(Command)});
    for (const Effect &Output : Test.LastEffects)
      if (const auto *Done = std::get_if<ProposalDone>(&Output))
        return std::optional(Done->Outcome.error().Kind);
    return std::optional<ProposeErrorKind>();
  };
  BOOST_TEST((Refusal("x") == ProposeErrorKind::NotLeader));
  Test.elect(0);
  ReplicaLimits Limits;
  std::string Largest(Limits.MaxCommandBytes, 'x');
  BOOST_TEST((Refusal(Largest + "x") == ProposeErrorKind::TooLarge));
  uint64_t Fitting = Limits.MaxUncommittedBytes / Largest.size();
  for (uint64_t Index = 0; Index < Fitting; ++Index)
    BOOST_TEST(!Refusal(Largest));
  BOOST_TEST((Refusal("x") == ProposeErrorKind::Overloaded));
}

// A damaged message may carry the term that this replica leads, or entries that
// differ from committed ones. It changes nothing and must not end the process.
BOOST_AUTO_TEST_CASE(a_leader_ignores_another_leader_of_its_term) {
  Fixture Test;
  DurableState State;
  State.LastVote = {3, {}};
  State.Entries = {{1, 1, EntryKind::Noop, {}}};
  Test.start(std::move(State));
  Test.elect(3);
  wire::AppendRequest Append;
  Test.receive(2, 4, Append);
  wire::SnapshotChunk Chunk;
  Chunk.Index = 9;
  Chunk.LastTerm = 1;
  Test.receive(3, 4, Chunk);
  BOOST_TEST(Test.LocalReplica->isLeader());
  BOOST_TEST(Test.sent<wire::AppendReply>().empty());
}

BOOST_AUTO_TEST_CASE(a_request_to_replace_committed_entries_is_ignored) {
  Fixture Test;
  Test.start({});
  wire::AppendRequest Append;
  Append.Entries = {toWire(Entry{1, 1, EntryKind::Command, "a"}),
                    toWire(Entry{2, 1, EntryKind::Command, "b"})};
  Append.CommitIndex = 2;
  Test.receive(2, 1, Append);
  Test.persistAll();
  BOOST_REQUIRE(Test.LocalReplica->commitIndex() == 2U);
  wire::AppendRequest Damaged;
  Damaged.Entries = {toWire(Entry{1, 2, EntryKind::Command, "x"})};
  Test.receive(2, 2, Damaged);
  BOOST_TEST(Test.LocalReplica->commitIndex() == 2U);
  BOOST_TEST(Test.LocalReplica->log().termAt(1).value() == 1U);
  BOOST_TEST(Test.LocalReplica->log().lastIndex() == 2U);
}
