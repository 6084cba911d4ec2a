#include "LibRegistry/RegistryServer.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::registry {

/// Number of answers of applied commands that are kept until their
/// ServerProposalCommitted arrives. It arrives at the latest with the batch in
/// which the command was applied.
static constexpr size_t MaxKeptAnswers = 2 * RegistryServer::MaxPending;

RegistryServer::RegistryServer(const Registry &State) : State(State) {}

std::vector<ServerEffect> RegistryServer::step(ServerEvent Event) {
  Effects Out;
  match(
      std::move(Event),
      [&](ServerRequestReceived &&E) { receive(std::move(E), Out); },
      [&](ServerCommandApplied &&E) { keepAnswer(std::move(E)); },
      [&](ServerProposalCommitted &&E) { answerCommitted(E, Out); },
      [&](ServerProposalFailed &&E) { refuse(E.Token, E.Leader, Out); },
      [&](ServerReadConfirmed &&E) {
        answer(E.Token, encodeReply(State.description()), Out);
      },
      [&](ServerReadFailed &&E) { refuse(E.Token, E.Leader, Out); });
  return Out;
}

static wire::RegistryReply replyOf(int64_t Number,
                                   wire::ReplyStatus::type Status) {
  wire::RegistryReply Reply;
  Reply.RequestNumber = Number;
  Reply.Status = Status;
  return Reply;
}

void RegistryServer::receive(ServerRequestReceived Received, Effects &Out) {
  wire::RegistryRequest &Request = Received.Request;
  // A client resends sooner than a slow disk syncs. The answer to the first
  // copy ends the request.
  if (PendingRequests.contains({Received.From, Request.RequestNumber}))
    return;
  if (Pending.size() >= MaxPending) {
    Out.emplace_back(
        ServerReply{Received.From,
                    replyOf(Request.RequestNumber, wire::ReplyStatus::Busy)});
    return;
  }
  if (Request.Kind == wire::RequestKind::ReadDescription) {
    Out.emplace_back(
        ServerConfirmRead{addPending(Received.From, Request.RequestNumber)});
    return;
  }
  // Malformed commands and requests of unknown kinds never reach the log.
  auto Decoded = tryDecodeCommand(Request.Command);
  if (Request.Kind != wire::RequestKind::Propose || !Decoded) {
    wire::RegistryReply Reply =
        replyOf(Request.RequestNumber, wire::ReplyStatus::Answered);
    Reply.Answer = encodeReply(CommandInvalid{});
    Out.emplace_back(ServerReply{Received.From, std::move(Reply)});
    return;
  }
  // The leader tells the age of a naming, so it is the leader's clock that
  // dates it: the clock of another host may be seconds ahead or behind.
  if (auto *Naming = std::get_if<NameWeights>(&*Decoded)) {
    Naming->NamedAt = Received.ReceivedAt;
    Request.Command = encodeCommand(*Naming);
  }
  if (auto *Leave = std::get_if<RecordLeave>(&*Decoded)) {
    Leave->LeftAt = Received.ReceivedAt;
    Request.Command = encodeCommand(*Leave);
  }
  Out.emplace_back(
      ServerPropose{addPending(Received.From, Request.RequestNumber),
                    std::move(Request.Command)});
}

uint64_t RegistryServer::addPending(const HostId &From, int64_t Number) {
  uint64_t Token = NextToken++;
  Pending[Token] = {From, Number};
  PendingRequests.insert({From, Number});
  return Token;
}

void RegistryServer::removePending(std::map<uint64_t, Request>::iterator It) {
  PendingRequests.erase({It->second.From, It->second.Number});
  Pending.erase(It);
}

void RegistryServer::keepAnswer(ServerCommandApplied Applied) {
  // Without pending requests no proposal needs the answer.
  if (Pending.empty()) {
    Answers.clear();
    return;
  }
  Answers.push_back(std::move(Applied));
  if (Answers.size() > MaxKeptAnswers)
    Answers.pop_front();
}

void RegistryServer::answer(uint64_t Token, std::string Answer, Effects &Out) {
  auto RequestIt = Pending.find(Token);
  if (RequestIt == Pending.end())
    return;
  wire::RegistryReply Reply =
      replyOf(RequestIt->second.Number, wire::ReplyStatus::Answered);
  Reply.Answer = std::move(Answer);
  Out.emplace_back(ServerReply{RequestIt->second.From, std::move(Reply)});
  removePending(RequestIt);
}

void RegistryServer::answerCommitted(const ServerProposalCommitted &Committed,
                                     Effects &Out) {
  auto AnswerIt = std::find_if(Answers.begin(), Answers.end(),
                               [&](const ServerCommandApplied &Applied) {
                                 return Applied.Index == Committed.Index;
                               });
  // The command was applied as a part of a snapshot, without an answer. The
  // client resends its request.
  if (AnswerIt == Answers.end()) {
    refuse(Committed.Token, {}, Out);
    return;
  }
  std::string Answer = std::move(AnswerIt->Answer);
  Answers.erase(AnswerIt);
  answer(Committed.Token, std::move(Answer), Out);
}

void RegistryServer::refuse(uint64_t Token, const HostId &Leader,
                            Effects &Out) {
  auto RequestIt = Pending.find(Token);
  if (RequestIt == Pending.end())
    return;
  wire::RegistryReply Reply =
      replyOf(RequestIt->second.Number, wire::ReplyStatus::NotLeader);
  Reply.LeaderHint = Leader.Value;
  Out.emplace_back(ServerReply{RequestIt->second.From, std::move(Reply)});
  removePending(RequestIt);
}

} // namespace ferry::registry
