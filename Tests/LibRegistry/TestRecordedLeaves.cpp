/// \file
/// Checks that the log keeps the leaves of targets. Without them, hosts that
/// restart would take a late announcement for a new one.
#include "LibRegistry/RegistryServer.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;

static std::string leave(const std::string &Target, uint64_t Incarnation,
                         int64_t LeftAtMillis) {
  return encodeCommand(RecordLeave{{Target}, {Incarnation}, {LeftAtMillis}});
}

BOOST_AUTO_TEST_CASE(recorded_leaves_survive_a_restart) {
  Registry State;
  auto Outcome = tryOutcome<RecordedLeave>(State.apply(1, leave("a", 5, 1000)));
  BOOST_REQUIRE(Outcome.has_value());
  BOOST_TEST((*Outcome == RecordedLeave{{"a"}, {5}, 1000}));
  State.apply(2, leave("b", 9, 1000));
  // An older incarnation, and the same one again, change nothing.
  State.apply(3, leave("a", 4, 7000));
  State.apply(4, leave("a", 5, 7000));
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(State.snapshot()).has_value());
  BOOST_TEST(Restored.snapshot() == State.snapshot());
  const LeaveLedger &Leaves = Restored.leaves();
  BOOST_TEST(Leaves.size() == 2U);
  BOOST_TEST(Leaves.hasLeft({"a"}, {4}));
  BOOST_TEST(Leaves.hasLeft({"a"}, {5}));
  BOOST_TEST(!Leaves.hasLeft({"a"}, {6}));
  BOOST_TEST(!Leaves.hasLeft({"c"}, {1}));
  BOOST_TEST(Leaves.newestNumber() == 1001U);
}

BOOST_AUTO_TEST_CASE(a_later_leave_of_a_target_replaces_the_earlier_one) {
  LeaveLedger Leaves;
  Leaves.record({"a"}, {5}, {1000});
  Leaves.record({"b"}, {5}, {2000});
  Leaves.record({"a"}, {6}, {3000});
  auto Later = Leaves.after(1000);
  BOOST_REQUIRE(Later.size() == 2U);
  BOOST_TEST((Later.front() == RecordedLeave{{"b"}, {5}, 2000}));
  BOOST_TEST((Later.back() == RecordedLeave{{"a"}, {6}, 3000}));
  BOOST_TEST(Leaves.after(1000, 1).size() == 1U);
}

// The clock of a leader may be behind that of the one before.
BOOST_AUTO_TEST_CASE(numbers_of_leaves_rise_when_the_clock_was_set_back) {
  LeaveLedger Leaves;
  Leaves.record({"a"}, {5}, {9000});
  Leaves.record({"b"}, {5}, {-3});
  BOOST_TEST(Leaves.newestNumber() == 9001U);
  BOOST_TEST(!Leaves.add({{"c"}, {1}, 9001}));
  BOOST_TEST(!Leaves.hasLeft({"c"}, {1}));
}

BOOST_AUTO_TEST_CASE(the_oldest_leaves_are_dropped) {
  LeaveLedger Leaves;
  for (size_t Number = 0; Number < LeaveLedger::MaxLeaves + 2; ++Number)
    Leaves.record({"t" + std::to_string(Number)}, {1},
                  {static_cast<int64_t>(Number)});
  BOOST_TEST(Leaves.size() == LeaveLedger::MaxLeaves);
  BOOST_TEST(!Leaves.hasLeft({"t1"}, {1}));
  BOOST_TEST(Leaves.hasLeft({"t2"}, {1}));
}

BOOST_AUTO_TEST_CASE(leaves_without_an_id_or_incarnation_are_refused) {
  Registry State;
  BOOST_TEST(
      !tryOutcome<RecordedLeave>(State.apply(1, leave("", 5, 1))).has_value());
  BOOST_TEST(
      !tryOutcome<RecordedLeave>(State.apply(2, leave("a", 0, 1))).has_value());
  std::string LongId(LeaveLedger::MaxIdBytes + 1, 'i');
  BOOST_TEST(!tryOutcome<RecordedLeave>(State.apply(3, leave(LongId, 5, 1)))
                  .has_value());
  BOOST_TEST(State.leaves().size() == 0U);
}

BOOST_AUTO_TEST_CASE(the_leader_dates_a_leave) {
  Registry State;
  RegistryServer Server(State);
  wire::RegistryRequest Request;
  Request.RequestNumber = 1;
  Request.Kind = wire::RequestKind::Propose;
  Request.Command = leave("a", 5, 3);
  auto Effects = Server.step(ServerRequestReceived{{"r1"}, Request, {70'000}});
  BOOST_REQUIRE(Effects.size() == 1U);
  State.apply(1, std::get<ServerPropose>(Effects.front()).Command);
  BOOST_TEST(State.leaves().newestNumber() == 70'000U);
}
