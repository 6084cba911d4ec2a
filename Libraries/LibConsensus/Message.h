/// \file
/// Messages between replicas: a common header and a typed body.
#ifndef FERRY_LIBCONSENSUS_MESSAGE_H
#define FERRY_LIBCONSENSUS_MESSAGE_H

#include "LibConsensus/Types.h"
#include "LibCore/Result.h"
#include "LibWire/Generated/Consensus_types.h"
#include "LibWire/WireError.h"
#include <string_view>
#include <variant>

namespace ferry::consensus {

using MessageBody =
    std::variant<wire::VoteRequest, wire::VoteReply, wire::AppendRequest,
                 wire::AppendReply, wire::SnapshotChunk, wire::SnapshotReply,
                 wire::Probe, wire::ProbeReply, wire::JoinRequest,
                 wire::Dismissal>;

/// A message between replicas. The cluster and the group are added when it is
/// encoded.
struct Message {
  ReplicaId Sender;
  /// The replica that is addressed; 0 for whichever the host runs.
  ReplicaId Receiver;
  uint64_t Term = 0;
  MessageBody Body;
};

/// \returns the encoding of \p Content for the log \p Group of \p Cluster.
std::string encodeMessage(const ClusterId &Cluster, GroupId Group,
                          const Message &Content);

/// \returns the message in \p Payload, or WireErrorKind::Untrusted if it
/// belongs to another cluster or group, or the error of a malformed payload.
Result<Message, wire::WireError> tryDecodeMessage(const ClusterId &Cluster,
                                                  GroupId Group,
                                                  std::string_view Payload);

/// Conversions between the values of this library and their wire forms.
wire::LogEntry toWire(const Entry &From);
wire::LogConfiguration toWire(const Configuration &From);
wire::LogIdentity toWire(const Identity &From);
wire::LogSnapshotMark toWireMark(const Snapshot &From);
wire::LogStanding::type toWire(Standing From);
/// \returns whether \p Kind is one of the enumerators. A decoded kind may be
/// any number.
bool isKnown(wire::LogEntryKind::type Kind);
Entry fromWire(const wire::LogEntry &From);
Configuration fromWire(const wire::LogConfiguration &From);
Identity fromWire(const wire::LogIdentity &From);
Standing fromWire(wire::LogStanding::type From);

/// \returns the payload of a Configuration entry.
std::string encodeConfiguration(const Configuration &Members);

/// \returns the configuration in \p Payload, or nothing if it is malformed.
std::optional<Configuration> decodeConfiguration(std::string_view Payload);

} // namespace ferry::consensus

#endif
