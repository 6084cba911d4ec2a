/// \file
/// Checks that requests reach the leader across refusals and silent control
/// hosts, that each gets its own answer, and that a request which may still
/// commit is never reported as not proposed.
#include "LibRegistry/RegistryClient.h"
#include "LibRegistry/RegistryServer.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;
using namespace std::chrono_literals;

static const std::vector<HostId> Controls = {{"c1"}, {"c2"}, {"c3"}};

static Timestamp at(Duration Since) { return Timestamp(100s) + Since; }

static ClientSubmit submit(Duration Deadline) {
  return {42, Command(ChangeDescription{{0}, "op", "text"}), at(Deadline)};
}

static wire::RegistryReply reply(const wire::RegistryRequest &Request,
                                 wire::ReplyStatus::type Status,
                                 const std::string &Hint = "") {
  wire::RegistryReply Reply;
  Reply.RequestNumber = Request.RequestNumber;
  Reply.Status = Status;
  Reply.LeaderHint = Hint;
  Reply.Answer = "answer";
  return Reply;
}

BOOST_AUTO_TEST_CASE(
    a_request_is_resent_to_other_control_hosts_until_its_deadline) {
  RegistryClient Client({Controls, 1});
  std::set<HostId> ReceivingHosts;
  std::set<int64_t> Numbers;
  std::vector<ClientFinished> Ends;
  auto CollectEffects = [&](const std::vector<ClientEffect> &Effects) {
    for (const ClientEffect &Effect : Effects) {
      if (auto *Send = std::get_if<ClientSend>(&Effect)) {
        ReceivingHosts.insert(Send->To);
        Numbers.insert(Send->Request.RequestNumber);
      }
      if (auto *End = std::get_if<ClientFinished>(&Effect))
        Ends.push_back(*End);
    }
  };
  CollectEffects(Client.step(submit(2s), at(0s)));
  for (Duration Now = 0s; Now <= 2s; Now += 50ms)
    CollectEffects(Client.step(ClientTick{}, at(Now)));
  BOOST_TEST(ReceivingHosts.size() >= 2u);
  BOOST_TEST(Numbers.size() == 1u);
  BOOST_REQUIRE(Ends.size() == 1u);
  BOOST_TEST(Ends.front().Id == 42u);
  BOOST_TEST((Ends.front().Answer.error().Kind == RegistryErrorKind::Timeout));
}

// Copies of a large description fill the links of the control hosts and delay
// the first one.
BOOST_AUTO_TEST_CASE(a_large_change_is_not_resent_while_it_is_under_way) {
  for (auto [Bytes, MaxSends] : {std::pair(size_t{4}, size_t{4}),
                                 std::pair(size_t{1} << 20, size_t{2})}) {
    RegistryClient Client({Controls, 1});
    ClientSubmit Change{
        42, Command(ChangeDescription{{0}, "op", std::string(Bytes, 'x')}),
        at(850ms)};
    size_t Sends = 0;
    auto Count = [&](const std::vector<ClientEffect> &Effects) {
      for (const ClientEffect &Effect : Effects)
        Sends += std::holds_alternative<ClientSend>(Effect);
    };
    Count(Client.step(Change, at(0s)));
    for (Duration Now = 0s; Now < 850ms; Now += 10ms)
      Count(Client.step(ClientTick{}, at(Now)));
    // A lost request is still sent again in time.
    BOOST_TEST(Sends >= 2U);
    BOOST_TEST(Sends <= MaxSends);
  }
}

struct EndCase {
  const char *Name;
  std::vector<HostId> Hosts;
  Duration Deadline;
  size_t TextBytes;
  RegistryErrorKind Kind;
};

static std::ostream &operator<<(std::ostream &Out, const EndCase &Case) {
  return Out << Case.Name;
}

static const EndCase EndCases[] = {
    {"no control hosts", {}, 1s, 1, RegistryErrorKind::NotProposed},
    {"deadline passed", Controls, 0s, 1, RegistryErrorKind::NotProposed},
    {"too large", Controls, 1s, MaxCommandBytes, RegistryErrorKind::Invalid}};

BOOST_DATA_TEST_CASE(a_request_that_was_never_sent_ends_with_its_reason,
                     boost::unit_test::data::make(EndCases), Case) {
  RegistryClient Client({Case.Hosts, 1});
  ChangeDescription Change{{0}, "op", std::string(Case.TextBytes, 'x')};
  auto Effects =
      Client.step(ClientSubmit{1, Command(Change), at(Case.Deadline)}, at(0s));
  BOOST_REQUIRE(Effects.size() == 1u);
  const auto &End = std::get<ClientFinished>(Effects.front());
  BOOST_TEST((End.Answer.error().Kind == Case.Kind));
}

BOOST_AUTO_TEST_CASE(a_sent_request_never_ends_as_not_proposed) {
  RegistryClient Client({Controls, 1});
  auto Effects = Client.step(submit(1s), at(0s));
  std::optional<ClientFinished> End;
  for (Duration Now = 0s; Now <= 1s; Now += 10ms) {
    for (auto &Effect : Effects) {
      if (auto *Send = std::get_if<ClientSend>(&Effect))
        Client.step(
            ClientReplyReceived{
                Send->To, reply(Send->Request, wire::ReplyStatus::NotLeader)},
            at(Now));
      if (auto *Finished = std::get_if<ClientFinished>(&Effect))
        End = *Finished;
    }
    Effects = Client.step(ClientTick{}, at(Now + 10ms));
  }
  for (auto &Effect : Effects)
    if (auto *Finished = std::get_if<ClientFinished>(&Effect))
      End = *Finished;
  BOOST_REQUIRE(End.has_value());
  BOOST_TEST((End->Answer.error().Kind == RegistryErrorKind::Timeout));
}

BOOST_AUTO_TEST_CASE(a_leader_hint_is_followed_at_once) {
  RegistryClient Client({Controls, 1});
  auto First = std::get<ClientSend>(Client.step(submit(1s), at(0s)).front());
  std::string Leader = First.To.Value == "c1" ? "c2" : "c1";
  auto Effects = Client.step(
      ClientReplyReceived{
          First.To, reply(First.Request, wire::ReplyStatus::NotLeader, Leader)},
      at(1ms));
  BOOST_REQUIRE(Effects.size() == 1u);
  auto Second = std::get<ClientSend>(Effects.front());
  BOOST_TEST(Second.To.Value == Leader);
  Effects = Client.step(
      ClientReplyReceived{Second.To,
                          reply(Second.Request, wire::ReplyStatus::Answered)},
      at(2ms));
  BOOST_REQUIRE(Effects.size() == 1u);
  BOOST_TEST(*std::get<ClientFinished>(Effects.front()).Answer == "answer");
  // A duplicate of the answer has no effect.
  BOOST_TEST(Client
                 .step(ClientReplyReceived{Second.To,
                                           reply(Second.Request,
                                                 wire::ReplyStatus::Answered)},
                       at(3ms))
                 .empty());
  // The next request goes to the leader at once.
  auto LaterRequest =
      std::get<ClientSend>(Client.step(submit(1s), at(4ms)).front());
  BOOST_TEST(LaterRequest.To.Value == Leader);
}

static wire::RegistryRequest
request(int64_t Number, wire::RequestKind::type Kind, std::string Command) {
  wire::RegistryRequest Request;
  Request.RequestNumber = Number;
  Request.Kind = Kind;
  Request.Command = std::move(Command);
  return Request;
}

BOOST_AUTO_TEST_CASE(the_server_answers_each_request_with_its_own_result) {
  Registry State;
  RegistryServer Server(State);
  std::vector<ServerPropose> Proposals;
  for (int64_t Number : {1, 2}) {
    auto EncodedCommand =
        encodeCommand(ChangeDescription{{0}, std::to_string(Number), "text"});
    auto Effects = Server.step(ServerRequestReceived{
        {"r1"}, request(Number, wire::RequestKind::Propose, EncodedCommand)});
    BOOST_REQUIRE(Effects.size() == 1u);
    Proposals.push_back(std::get<ServerPropose>(Effects.front()));
  }
  // The second request commits first, with another host's command in between.
  Server.step(ServerCommandApplied{7, State.apply(7, Proposals[1].Command)});
  Server.step(ServerCommandApplied{8, State.apply(8, "x")});
  Server.step(ServerCommandApplied{9, State.apply(9, Proposals[0].Command)});
  for (size_t Index : {0, 1}) {
    auto Effects = Server.step(
        ServerProposalCommitted{Proposals[Index].Token, Index == 0 ? 9u : 7u});
    BOOST_REQUIRE(Effects.size() == 1u);
    const auto &Sent = std::get<ServerReply>(Effects.front());
    BOOST_TEST(Sent.Reply.RequestNumber == static_cast<int64_t>(Index) + 1);
    auto Outcome = tryOutcome<ChangeOutcome>(Sent.Reply.Answer);
    BOOST_REQUIRE(Outcome.has_value());
    BOOST_TEST(std::holds_alternative<ChangeAccepted>(*Outcome) ==
               (Index == 1));
  }
  BOOST_TEST(Server.pendingCount() == 0u);
}

BOOST_AUTO_TEST_CASE(the_server_refuses_what_it_cannot_answer) {
  Registry State;
  RegistryServer Server(State);
  auto ReadEffects = Server.step(ServerRequestReceived{
      {"r1"}, request(1, wire::RequestKind::ReadDescription, "")});
  uint64_t Token = std::get<ServerConfirmRead>(ReadEffects.front()).Token;
  auto FailureEffects = Server.step(ServerReadFailed{Token, {"c2"}});
  const auto &Refusal = std::get<ServerReply>(FailureEffects.front()).Reply;
  BOOST_TEST((Refusal.Status == wire::ReplyStatus::NotLeader));
  BOOST_TEST(Refusal.LeaderHint == "c2");
  BOOST_TEST(Server.step(ServerReadConfirmed{Token}).empty());
  // A malformed command is answered without a proposal.
  auto Malformed = Server.step(ServerRequestReceived{
      {"r1"}, request(2, wire::RequestKind::Propose, "x")});
  const auto &Answer = std::get<ServerReply>(Malformed.front()).Reply;
  BOOST_TEST((Answer.Status == wire::ReplyStatus::Answered));
  BOOST_TEST(
      std::holds_alternative<CommandInvalid>(*tryDecodeReply(Answer.Answer)));
  // So is a request of an unknown kind.
  auto ValidCommand = encodeCommand(ChangeDescription{{0}, "op", "text"});
  auto UnknownKind = Server.step(ServerRequestReceived{
      {"r1"},
      request(2, static_cast<wire::RequestKind::type>(3), ValidCommand)});
  const auto &UnknownKindReply =
      std::get<ServerReply>(UnknownKind.front()).Reply;
  BOOST_TEST(std::holds_alternative<CommandInvalid>(
      *tryDecodeReply(UnknownKindReply.Answer)));
  // Requests above MaxPending are refused as Busy.
  auto EncodedCommand = encodeCommand(ChangeDescription{{0}, "op", "text"});
  int64_t MaxPending = RegistryServer::MaxPending;
  for (int64_t Number = 1; Number <= MaxPending; ++Number)
    Server.step(ServerRequestReceived{
        {"r1"}, request(Number, wire::RequestKind::Propose, EncodedCommand)});
  auto Busy = Server.step(ServerRequestReceived{
      {"r1"},
      request(MaxPending + 1, wire::RequestKind::Propose, EncodedCommand)});
  BOOST_TEST((std::get<ServerReply>(Busy.front()).Reply.Status ==
              wire::ReplyStatus::Busy));
}
