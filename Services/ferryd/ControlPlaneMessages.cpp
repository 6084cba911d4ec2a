// Messages from other hosts to the control plane.
#include "ferryd/ControlPlane.h"

namespace ferry::daemon {

using wire::PayloadKind;

/// Shortest time between two whole copies of one description to one host: a
/// large one takes as long on a slow link.
static constexpr Duration WholeCopyInterval = std::chrono::seconds(1);

template <typename MessageType, typename HandlerType>
void ControlPlane::receiveAs(const std::string &Payload, HandlerType Handle) {
  auto Message = wire::tryDecode<MessageType>(Payload);
  if (!Message)
    return Link->countMalformed();
  Handle(std::move(*Message));
}

void ControlPlane::receive(const HostId &From, PayloadKind::type Kind,
                           const std::string &Payload) {
  switch (Kind) {
  case PayloadKind::Consensus:
    if (Node)
      Node->receiveConsensus(From, Payload);
    return;
  case PayloadKind::RegistryRequest:
    return receiveAs<wire::RegistryRequest>(Payload, [&](auto Request) {
      if (Node)
        Node->receiveRequest(From, std::move(Request));
    });
  case PayloadKind::RegistryReply:
    return receiveAs<wire::RegistryReply>(Payload, [&](auto Reply) {
      Gateway->receiveReply(From, std::move(Reply));
    });
  case PayloadKind::Membership:
    return receiveAs<wire::MembershipMessage>(Payload, [&](auto Message) {
      stepMembership(membership::MembershipReceived{From, std::move(Message)});
    });
  case PayloadKind::Confirmation:
    return receiveAs<wire::ConfirmationMessage>(
        Payload, [&](auto Message) { receiveConfirmation(From, Message); });
  case PayloadKind::DescriptionFetch:
    return receiveAs<wire::DescriptionFetch>(
        Payload, [&](auto Fetch) { receiveFetch(From, Fetch); });
  case PayloadKind::DescriptionCopy:
    return receiveAs<wire::DescriptionCopy>(
        Payload, [&](auto Copy) { receiveDescription(From, Copy); });
  case PayloadKind::WorkDigest:
    return receiveAs<wire::WorkDigest>(
        Payload, [&](auto Digest) { receiveDigest(From, Digest); });
  case PayloadKind::EngineChanges:
    return receiveAs<wire::EngineChanges>(
        Payload, [&](auto Changes) { receiveEngineChanges(From, Changes); });
  case PayloadKind::Streams:
    return receiveAs<wire::StreamMessage>(
        Payload, [&](auto Message) { Streams->receive(From, Message); });
  case PayloadKind::Beliefs:
    return receiveAs<wire::BeliefMessage>(Payload, [&](auto Message) {
      if (!Slots->receive(From, Message))
        Beliefs->receive(From, Message);
    });
  }
  Link->countMalformed();
}

void ControlPlane::receiveConfirmation(
    const HostId &From, const wire::ConfirmationMessage &Message) {
  if (Message.__isset.Answer) {
    stepConfirmation(membership::ConfirmationAnswered{From, Message.Answer});
    // The leader announces a number that it has in force, so that it can be
    // fetched there at once.
    bool IsAnnouncement = Message.Answer.QueryNumber == 0;
    if (IsAnnouncement && Message.Answer.GreatestNumber > Holder.copy().Number)
      fetchFrom(From);
  }
  if (!Message.__isset.Query || !Node)
    return;
  wire::ConfirmationMessage Reply;
  Reply.__set_Answer(membership::answerQuery(
      Message.Query, Node->greatestNumber(), Node->isCurrentVoter(),
      Settings.Interface == config::Interface::Routed ? Node->voterCount() : 0,
      Node->log().leader().has_value()));
  Link->send(From, PayloadKind::Confirmation, Reply);
}

void ControlPlane::receiveFetch(const HostId &From,
                                const wire::DescriptionFetch &Fetch) {
  // Only the description in force is sent, because it is committed.
  if (Fetch.__isset.PieceOf)
    return Link->send(
        From, PayloadKind::DescriptionCopy,
        membership::pieceFor(Fetch, Holder.copy(), Holder.packedText()));
  if (Holder.copy().Number <= Fetch.HaveNumber)
    return;
  // Older hosts ask again while the copy is under way.
  Timestamp Now = steadyNow();
  auto [Sent, IsFirst] = WholeCopySentAt.try_emplace(From, Now);
  if (!IsFirst && Now < Sent->second + WholeCopyInterval)
    return;
  Sent->second = Now;
  Link->send(From, PayloadKind::DescriptionCopy, Holder.copy());
}

void ControlPlane::receiveDescription(const HostId &From,
                                      const wire::DescriptionCopy &Copy) {
  stepTransfer(Transfer.receive(From, Copy, Holder.number(), steadyNow()));
}

} // namespace ferry::daemon
