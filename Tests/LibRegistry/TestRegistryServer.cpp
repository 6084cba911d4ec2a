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
