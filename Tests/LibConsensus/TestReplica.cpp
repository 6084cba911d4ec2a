#include "LibConsensus/Replica.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::consensus;
using namespace std::chrono_literals;

/// One replica, "a" of three, fed by hand.
struct Fixture {
  Configuration Members{{{{1}, {"a"}}, {{2}, {"b"}}, {{3}, {"c"}}}};
  Timestamp Now{};
  std::optional<Replica> Machine;
  std::vector<Effect> Last;

  void start(DurableState State) {
    State.Self = {{1}, Standing::Learner, Members};
    ReplicaOptions Options;
    Options.Cluster = {"test"};
    Options.Self = {"a"};
    Options.Hosts = {{"a"}, {"b"}, {"c"}};
    Options.Seed = 1;
    Machine.emplace(Options, std::move(State), Now);
    // The first step reports the standing.
    step(PersistedEvent{0});
  }

  void step(Event Input) { Last = Machine->step(std::move(Input), Now); }

  void receive(uint64_t Sender, uint64_t Term, MessageBody Body) {
    HostId Host{std::string(1, static_cast<char>('a' + Sender - 1))};
    step(ReceiveEvent{Host, {{Sender}, {1}, Term, std::move(Body)}});
  }

  void persistAll() {
    for (const Effect &Output : std::exchange(Last, {}))
      if (const auto *Written = std::get_if<PersistEffect>(&Output)) {
        step(PersistedEvent{Written->Token});
        return;
      }
  }

  /// Wins the election of the term after \p Term with the vote of "b".
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
    BOOST_REQUIRE(Machine->isLeader());
  }

  template <typename BodyType> std::vector<BodyType> sent() const {
    std::vector<BodyType> Found;
    for (const Effect &Output : Last)
      if (const auto *Sent = std::get_if<SendEffect>(&Output))
        if (const auto *Body = std::get_if<BodyType>(&Sent->Sent.Body))
          Found.push_back(*Body);
    return Found;
  }
};

static wire::AppendReply matched(int64_t Index) {
  wire::AppendReply Reply;
  Reply.Matched = true;
  Reply.Index = Index;
  return Reply;
}

BOOST_AUTO_TEST_CASE(entries_of_earlier_terms_commit_with_one_of_the_own) {
  Fixture Test;
  DurableState State;
  State.LastVote = {3, {}};
  State.Entries = {{1, 1, EntryKind::Noop, {}},
                   {2, 2, EntryKind::Command, "older"}};
  Test.start(std::move(State));
  Test.elect(3);
  Test.persistAll();
  // A quorum holds entry 2, yet a leader of a term between may replace it.
  Test.receive(2, 4, matched(2));
  BOOST_TEST(Test.Machine->commitIndex() == 0u);
  Test.receive(2, 4, matched(3));
  BOOST_TEST(Test.Machine->commitIndex() == 3u);
}

BOOST_AUTO_TEST_CASE(a_vote_and_an_append_are_answered_once_synced) {
  Fixture Test;
  Test.start({});
  Test.Now += 1s;
  wire::VoteRequest Asked;
  Test.receive(2, 1, Asked);
  BOOST_TEST(Test.sent<wire::VoteReply>().empty());
  Test.persistAll();
  BOOST_REQUIRE(Test.sent<wire::VoteReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::VoteReply>().front().Granted);
  // The term has one vote.
  Test.receive(3, 1, Asked);
  BOOST_TEST(!Test.sent<wire::VoteReply>().front().Granted);
  wire::AppendRequest Append;
  Append.Entries = {toWire(Entry{1, 1, EntryKind::Command, "x"})};
  Append.CommitIndex = 1;
  Test.receive(2, 1, Append);
  BOOST_TEST(Test.sent<wire::AppendReply>().empty());
  auto Written = Test.Last;
  // A heartbeat meanwhile is answered at once, for what is synced.
  wire::AppendRequest Heartbeat;
  Heartbeat.PreviousIndex = 1;
  Heartbeat.PreviousTerm = 1;
  Test.receive(2, 1, Heartbeat);
  BOOST_REQUIRE(Test.sent<wire::AppendReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 0);
  Test.Last = Written;
  Test.persistAll();
  BOOST_REQUIRE(Test.sent<wire::AppendReply>().size() == 1u);
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 1);
}

BOOST_AUTO_TEST_CASE(replaced_entries_are_not_confirmed_before_their_sync) {
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
  BOOST_TEST(Test.Last.empty());
  BOOST_TEST(Test.Machine->status().Term == 0u);
}

BOOST_AUTO_TEST_CASE(a_snapshot_of_held_entries_drops_no_acknowledged_one) {
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
  BOOST_TEST(Test.Machine->log().lastIndex() == 5u);
  BOOST_TEST(Test.Machine->commitIndex() == 3u);
  // One that differs replaces the log, and is confirmed once it is synced.
  Chunk.Index = 9;
  Test.receive(2, 1, Chunk);
  BOOST_TEST(Test.sent<wire::AppendReply>().empty());
  BOOST_TEST(Test.Machine->log().lastIndex() == 9u);
  Test.persistAll();
  BOOST_TEST(Test.sent<wire::AppendReply>().front().Index == 9);
}

BOOST_AUTO_TEST_CASE(proposals_beyond_the_limits_are_certainly_refused) {
  Fixture Test;
  Test.start({});
  auto Refusal = [&](std::string Command) {
    Test.step(ProposeEvent{7, std::move(Command)});
    for (const Effect &Output : Test.Last)
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
