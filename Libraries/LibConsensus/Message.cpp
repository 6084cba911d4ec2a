#include "LibConsensus/Message.h"
#include "LibCore/Visit.h"
#include "LibWire/Codec.h"

namespace ferry::consensus {

using wire::ConsensusKind;

static ConsensusKind::type kindOf(const MessageBody &Body) {
  // The alternatives are in the order of the enumerators, which start at 1.
  return static_cast<ConsensusKind::type>(Body.index() + 1);
}

std::string encodeMessage(const ClusterId &Cluster, GroupId Group,
                          const Message &Content) {
  wire::ConsensusMessage Framed;
  Framed.ClusterId = Cluster.Value;
  Framed.GroupId = static_cast<int64_t>(Group.Value);
  Framed.Sender = static_cast<int64_t>(Content.Sender.Value);
  Framed.Receiver = static_cast<int64_t>(Content.Receiver.Value);
  Framed.Term = static_cast<int64_t>(Content.Term);
  Framed.Kind = kindOf(Content.Body);
  Framed.Body = std::visit([](const auto &Body) { return wire::encode(Body); },
                           Content.Body);
  return wire::encode(Framed);
}

template <typename BodyType>
static Result<MessageBody, wire::WireError>
tryDecodeAs(const std::string &Bytes) {
  auto Decoded = wire::tryDecode<BodyType>(Bytes);
  if (!Decoded)
    return tl::unexpected(Decoded.error());
  return MessageBody(std::move(*Decoded));
}

static Result<MessageBody, wire::WireError>
tryDecodeBody(const wire::ConsensusMessage &Framed) {
  switch (Framed.Kind) {
  case ConsensusKind::VoteRequest:
    return tryDecodeAs<wire::VoteRequest>(Framed.Body);
  case ConsensusKind::VoteReply:
    return tryDecodeAs<wire::VoteReply>(Framed.Body);
  case ConsensusKind::AppendRequest:
    return tryDecodeAs<wire::AppendRequest>(Framed.Body);
  case ConsensusKind::AppendReply:
    return tryDecodeAs<wire::AppendReply>(Framed.Body);
  case ConsensusKind::SnapshotChunk:
    return tryDecodeAs<wire::SnapshotChunk>(Framed.Body);
  case ConsensusKind::SnapshotReply:
    return tryDecodeAs<wire::SnapshotReply>(Framed.Body);
  case ConsensusKind::Probe:
    return tryDecodeAs<wire::Probe>(Framed.Body);
  case ConsensusKind::ProbeReply:
    return tryDecodeAs<wire::ProbeReply>(Framed.Body);
  case ConsensusKind::JoinRequest:
    return tryDecodeAs<wire::JoinRequest>(Framed.Body);
  case ConsensusKind::Dismissal:
    return tryDecodeAs<wire::Dismissal>(Framed.Body);
  }
  return makeTypedError(wire::WireErrorKind::Malformed, "unknown kind");
}

bool isKnown(wire::LogEntryKind::type Kind) {
  switch (Kind) {
  case wire::LogEntryKind::Noop:
  case wire::LogEntryKind::Command:
  case wire::LogEntryKind::Configuration:
    return true;
  }
  return false;
}

/// Numbers from the network are checked only here. Enumerators are among them,
/// because the generated code accepts any number for one.
static bool valid(const wire::AppendRequest &Body, int64_t Term) {
  int64_t LastIndex = Body.PreviousIndex;
  for (const wire::LogEntry &NewEntry : Body.Entries) {
    bool Malformed = !isKnown(NewEntry.Kind) ||
                     (NewEntry.Kind == wire::LogEntryKind::Configuration &&
                      !decodeConfiguration(NewEntry.Payload));
    if (NewEntry.Index != ++LastIndex || NewEntry.Term < 0 ||
        NewEntry.Term > Term || Malformed)
      return false;
  }
  return Body.PreviousIndex >= 0 && Body.PreviousTerm >= 0 &&
         Body.CommitIndex >= 0 && Body.Round >= 0;
}

static bool valid(const wire::SnapshotChunk &Body, int64_t Term) {
  auto Size = static_cast<int64_t>(Body.Data.size());
  bool ValidRange = Body.Offset >= 0 && Body.TotalBytes >= 0 &&
                    Body.Offset <= Body.TotalBytes - Size;
  return ValidRange && Body.Index > 0 && Body.LastTerm >= 0 &&
         Body.LastTerm <= Term && Body.Round >= 0;
}

static bool validNumbers(const MessageBody &Body, int64_t Term) {
  return match(
      Body,
      [&](const wire::AppendRequest &Request) { return valid(Request, Term); },
      [&](const wire::SnapshotChunk &Chunk) { return valid(Chunk, Term); },
      [](const wire::VoteRequest &Request) {
        return Request.LastIndex >= 0 && Request.LastTerm >= 0;
      },
      [](const wire::AppendReply &Reply) {
        return Reply.Index >= 0 && Reply.Round >= 0;
      },
      [](const wire::SnapshotReply &Reply) {
        return Reply.NextOffset >= 0 && Reply.Round >= 0;
      },
      [](const wire::JoinRequest &Request) {
        return Request.Reason == wire::JoinReason::NewReplica ||
               Request.Reason == wire::JoinReason::LeaderSilent;
      },
      [](const auto &) { return true; });
}

Result<Message, wire::WireError> tryDecodeMessage(const ClusterId &Cluster,
                                                  GroupId Group,
                                                  std::string_view Payload) {
  auto Framed = wire::tryDecode<wire::ConsensusMessage>(Payload);
  if (!Framed)
    return tl::unexpected(Framed.error());
  if (Framed->ClusterId != Cluster.Value ||
      static_cast<uint64_t>(Framed->GroupId) != Group.Value)
    return makeTypedError(wire::WireErrorKind::Untrusted, "foreign log");
  if (Framed->Term < 0 || Framed->Sender == 0)
    return makeTypedError(wire::WireErrorKind::Malformed,
                          "header out of range");
  auto Body = tryDecodeBody(*Framed);
  if (!Body)
    return tl::unexpected(Body.error());
  if (!validNumbers(*Body, Framed->Term))
    return makeTypedError(wire::WireErrorKind::Malformed,
                          "numbers out of range");
  Message Received;
  Received.Sender = {static_cast<uint64_t>(Framed->Sender)};
  Received.Receiver = {static_cast<uint64_t>(Framed->Receiver)};
  Received.Term = static_cast<uint64_t>(Framed->Term);
  Received.Body = std::move(*Body);
  return Received;
}

wire::LogEntry toWire(const Entry &From) {
  wire::LogEntry To;
  To.Index = static_cast<int64_t>(From.Index);
  To.Term = static_cast<int64_t>(From.Term);
  To.Kind = static_cast<wire::LogEntryKind::type>(
      static_cast<int>(From.Kind) + static_cast<int>(wire::LogEntryKind::Noop));
  To.Payload = From.Payload;
  return To;
}

Entry fromWire(const wire::LogEntry &From) {
  Entry To;
  To.Index = static_cast<uint64_t>(From.Index);
  To.Term = static_cast<uint64_t>(From.Term);
  To.Payload = From.Payload;
  if (From.Kind == wire::LogEntryKind::Command)
    To.Kind = EntryKind::Command;
  if (From.Kind == wire::LogEntryKind::Configuration)
    To.Kind = EntryKind::Configuration;
  return To;
}

wire::LogConfiguration toWire(const Configuration &From) {
  wire::LogConfiguration To;
  for (const Member &Voter : From.Voters) {
    wire::LogMember Encoded;
    Encoded.ReplicaId = static_cast<int64_t>(Voter.Replica.Value);
    Encoded.HostId = Voter.Host.Value;
    To.Voters.push_back(std::move(Encoded));
  }
  return To;
}

Configuration fromWire(const wire::LogConfiguration &From) {
  Configuration To;
  for (const wire::LogMember &Voter : From.Voters)
    To.Voters.push_back(
        {{static_cast<uint64_t>(Voter.ReplicaId)}, {Voter.HostId}});
  return To;
}

wire::LogStanding::type toWire(Standing From) {
  return static_cast<wire::LogStanding::type>(
      static_cast<int>(From) + static_cast<int>(wire::LogStanding::Blank));
}

Standing fromWire(wire::LogStanding::type From) {
  switch (From) {
  case wire::LogStanding::Blank:
    return Standing::Blank;
  case wire::LogStanding::Learner:
    return Standing::Learner;
  case wire::LogStanding::Voter:
    return Standing::Voter;
  case wire::LogStanding::Refusing:
    return Standing::Refusing;
  }
  // An unknown standing, of a later version, must not count as blank.
  return Standing::Refusing;
}

wire::LogIdentity toWire(const Identity &From) {
  wire::LogIdentity To;
  To.ReplicaId = static_cast<int64_t>(From.Replica.Value);
  To.Standing = toWire(From.StoredStanding);
  if (From.Formation)
    To.__set_Formation(toWire(*From.Formation));
  return To;
}

Identity fromWire(const wire::LogIdentity &From) {
  Identity To;
  To.Replica = {static_cast<uint64_t>(From.ReplicaId)};
  To.StoredStanding = fromWire(From.Standing);
  if (From.__isset.Formation)
    To.Formation = fromWire(From.Formation);
  return To;
}

wire::LogSnapshotMark toWireMark(const Snapshot &From) {
  wire::LogSnapshotMark To;
  To.Index = static_cast<int64_t>(From.Index);
  To.Term = static_cast<int64_t>(From.Term);
  To.Configuration = toWire(From.Members);
  return To;
}

std::string encodeConfiguration(const Configuration &Members) {
  return wire::encode(toWire(Members));
}

std::optional<Configuration> decodeConfiguration(std::string_view Payload) {
  auto Decoded = wire::tryDecode<wire::LogConfiguration>(Payload);
  if (!Decoded)
    return std::nullopt;
  return fromWire(*Decoded);
}

} // namespace ferry::consensus
