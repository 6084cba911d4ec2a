// Requests at a control host that come again before they are answered.
#include "LibRegistry/RegistryServer.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;

static ServerRequestReceived leaveRequest(const HostId &From, int64_t Number) {
  wire::RegistryRequest Request;
  Request.RequestNumber = Number;
  Request.Kind = wire::RequestKind::Propose;
  Request.Command = encodeCommand(RecordLeave{{"target"}, {5}});
  return {From, Request, {1000}};
}

/// \returns the tokens that \p Effects propose.
static std::vector<uint64_t>
proposedBy(const std::vector<ServerEffect> &Effects) {
  std::vector<uint64_t> Tokens;
  for (const ServerEffect &Effect : Effects)
    if (const auto *Proposal = std::get_if<ServerPropose>(&Effect))
      Tokens.push_back(Proposal->Token);
  return Tokens;
}

// Finding review/7: on a slow disk each request was written to the log again at
// each resend, and the writes waited for each other.
BOOST_AUTO_TEST_CASE(a_request_that_waits_for_the_disk_is_proposed_once) {
  Registry State;
  RegistryServer Server(State);
  auto Proposed = proposedBy(Server.step(leaveRequest({"a"}, 1)));
  BOOST_REQUIRE(Proposed.size() == 1U);
  BOOST_TEST(Server.step(leaveRequest({"a"}, 1)).empty());
  // Numbers of different hosts are independent.
  BOOST_TEST(proposedBy(Server.step(leaveRequest({"b"}, 1))).size() == 1U);
  BOOST_TEST(proposedBy(Server.step(leaveRequest({"a"}, 2))).size() == 1U);
  // The answer may be lost, and the proposal may fail.
  Server.step(ServerCommandApplied{9, "answer"});
  BOOST_TEST(Server.step(ServerProposalCommitted{Proposed.front(), 9}).size() ==
             1U);
  Proposed = proposedBy(Server.step(leaveRequest({"a"}, 1)));
  BOOST_REQUIRE(Proposed.size() == 1U);
  BOOST_TEST(Server.step(ServerProposalFailed{Proposed.front(), {}}).size() ==
             1U);
  BOOST_TEST(proposedBy(Server.step(leaveRequest({"a"}, 1))).size() == 1U);
  BOOST_TEST(Server.pendingCount() == 3U);
}

// Finding review/7: where a sync takes about a second, a repeated change was
// written to the log again, and never acknowledged in time.
BOOST_AUTO_TEST_CASE(what_is_committed_is_settled_without_a_further_entry) {
  Registry State;
  const std::vector<Command> Requests = {
      ChangeDescription{{0}, "operation", "text"},
      ReplaceDescription{{7}, "text of 7"}, NameWeights{{"model"}, {3}},
      RecordLeave{{"target"}, {5}, {1000}}};
  uint64_t Index = 0;
  for (const Command &Request : Requests) {
    BOOST_TEST(!State.settledReply(Request).has_value());
    State.apply(++Index, encodeCommand(Request));
    auto Settled = State.settledReply(Request);
    BOOST_REQUIRE(Settled.has_value());
    // As if it were proposed once more.
    BOOST_TEST(*Settled == State.apply(++Index, encodeCommand(Request)));
  }
  BOOST_TEST(State.settledReply(ReplaceDescription{{6}, "other"}).has_value());
  BOOST_TEST(!State.settledReply(ReplaceDescription{{8}, "other"}));
  BOOST_TEST(State.settledReply(NameWeights{{"model"}, {2}}).has_value());
  BOOST_TEST(!State.settledReply(NameWeights{{"model"}, {4}}));
  BOOST_TEST(!State.settledReply(NameWeights{{"other"}, {3}}));
  BOOST_TEST(!State.settledReply(RecordLeave{{"target"}, {6}, {1000}}));
  BOOST_TEST(!State.settledReply(ChangeDescription{{7}, "another", "text"}));
}
