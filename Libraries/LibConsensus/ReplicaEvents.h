/// \file
/// The inputs (events) and outputs (effects) of Replica::step().
#ifndef FERRY_LIBCONSENSUS_REPLICAEVENTS_H
#define FERRY_LIBCONSENSUS_REPLICAEVENTS_H

#include "LibConsensus/Errors.h"
#include "LibConsensus/Message.h"
#include "LibConsensus/Types.h"
#include "LibCore/Result.h"
#include <variant>

namespace ferry::consensus {

/// A deadline of the replica has passed.
struct TickEvent {};
/// A message has arrived.
struct ReceiveEvent {
  HostId From;
  Message Received;
};
/// The application proposes a command; answered by one ProposalDone.
struct ProposeEvent {
  uint64_t Request;
  std::string Command;
};
/// The application asks for a linearizable read; answered by one ReadDone.
struct ReadEvent {
  uint64_t Request;
};
/// The write with this token and all earlier ones are synced.
struct PersistedEvent {
  uint64_t Token;
};
/// The application's state at Index, which answers a TakeSnapshotEffect.
struct SnapshotTakenEvent {
  uint64_t Index;
  std::string State;
};

/// Hosts that may run a replica, beside the voters; where members are
/// discovered.
struct HostsEvent {
  std::vector<HostId> Hosts;
};

using Event = std::variant<TickEvent, ReceiveEvent, ProposeEvent, ReadEvent,
                           PersistedEvent, SnapshotTakenEvent, HostsEvent>;

/// Send a message; it may be lost.
struct SendEffect {
  HostId To;
  Message Sent;
};
/// Write and sync the batch, in the order of the tokens; a PersistedEvent
/// answers it.
struct PersistEffect {
  uint64_t Token;
  WriteBatch Batch;
};
/// Apply a committed command.
struct ApplyEffect {
  uint64_t Index;
  std::string Command;
};
/// Replace the application's state by that of a snapshot.
struct RestoreEffect {
  std::shared_ptr<const Snapshot> Restored;
};
/// Take a snapshot of the application's state, which has reached Index.
struct TakeSnapshotEffect {
  uint64_t Index;
};
/// The proposal is committed at the index, or has failed.
struct ProposalDone {
  uint64_t Request;
  Result<uint64_t, ProposeError> Outcome;
};
/// The read is confirmed, and the applied state covers it; or it has failed.
struct ReadDone {
  uint64_t Request;
  Result<void, ReadError> Outcome;
};
/// The standing, leader or term has changed.
struct StandingChangedEffect {};
/// A quorum has confirmed that this replica is no member any more: discard its
/// state, and restart as a new replica that only joins.
struct DismissedEffect {};

using Effect = std::variant<SendEffect, PersistEffect, ApplyEffect,
                            RestoreEffect, TakeSnapshotEffect, ProposalDone,
                            ReadDone, StandingChangedEffect, DismissedEffect>;

} // namespace ferry::consensus

#endif
