#include "LibRegistry/RegistryServer.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::registry {

/// A proposal's result comes right after its command was applied, at the
/// latest with the batch that it was applied in.
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
  if (Pending.size() >= MaxPending) {
    Out.emplace_back(
        ServerReply{Received.From,
                    replyOf(Request.RequestNumber, wire::ReplyStatus::Busy)});
    return;
  }
  uint64_t Token = NextToken++;
  if (Request.Kind == wire::RequestKind::ReadDescription) {
    Pending[Token] = {Received.From, Request.RequestNumber};
    Out.emplace_back(ServerConfirmRead{Token});
    return;
  }
  // A malformed command never reaches the log, nor one of an unknown kind.
  if (Request.Kind != wire::RequestKind::Propose ||
      !tryDecodeCommand(Request.Command)) {
    wire::RegistryReply Reply =
        replyOf(Request.RequestNumber, wire::ReplyStatus::Answered);
    Reply.Answer = encodeReply(CommandInvalid{});
    Out.emplace_back(ServerReply{Received.From, std::move(Reply)});
    return;
  }
  Pending[Token] = {Received.From, Request.RequestNumber};
  Out.emplace_back(ServerPropose{Token, std::move(Request.Command)});
}

void RegistryServer::keepAnswer(ServerCommandApplied Applied) {
  // Without requests under way nobody will ask for it.
  if (Pending.empty()) {
    Answers.clear();
    return;
  }
  Answers.push_back(std::move(Applied));
  if (Answers.size() > MaxKeptAnswers)
    Answers.pop_front();
}

void RegistryServer::answer(uint64_t Token, std::string Answer, Effects &Out) {
  auto Found = Pending.find(Token);
  if (Found == Pending.end())
    return;
  wire::RegistryReply Reply =
      replyOf(Found->second.Number, wire::ReplyStatus::Answered);
  Reply.Answer = std::move(Answer);
  Out.emplace_back(ServerReply{Found->second.From, std::move(Reply)});
  Pending.erase(Found);
}

void RegistryServer::answerCommitted(const ServerProposalCommitted &Committed,
                                     Effects &Out) {
  auto Found = std::find_if(Answers.begin(), Answers.end(),
                            [&](const ServerCommandApplied &Kept) {
                              return Kept.Index == Committed.Index;
                            });
  // Its answer went in a snapshot; the client's resend will bring it again.
  if (Found == Answers.end()) {
    refuse(Committed.Token, {}, Out);
    return;
  }
  std::string Answer = std::move(Found->Answer);
  Answers.erase(Found);
  answer(Committed.Token, std::move(Answer), Out);
}

void RegistryServer::refuse(uint64_t Token, const HostId &Leader,
                            Effects &Out) {
  auto Found = Pending.find(Token);
  if (Found == Pending.end())
    return;
  wire::RegistryReply Reply =
      replyOf(Found->second.Number, wire::ReplyStatus::NotLeader);
  Reply.LeaderHint = Leader.Value;
  Out.emplace_back(ServerReply{Found->second.From, std::move(Reply)});
  Pending.erase(Found);
}

} // namespace ferry::registry
