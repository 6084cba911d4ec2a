/// \file
/// What goes into a replica's step machine and what comes out of it.
#ifndef FERRY_LIBCONSENSUS_REPLICAEVENTS_H
#define FERRY_LIBCONSENSUS_REPLICAEVENTS_H

#include "LibConsensus/Errors.h"
#include "LibConsensus/Message.h"
#include "LibConsensus/Types.h"
#include "LibCore/Result.h"
#include <variant>

namespace ferry::consensus {

/// Time has passed.
struct TickEvent {};
/// A message has come.
struct ReceiveEvent {
  HostId From;
  Message Received;
};
/// A command is proposed; answered by one ProposalDone.
struct ProposeEvent {
  uint64_t Request;
  std::string Command;
};
/// A read point is asked for; answered by one ReadDone.
struct ReadEvent {
  uint64_t Request;
};
/// The write with this token and all before it are synced.
struct PersistedEvent {
  uint64_t Token;
};
/// The application's state at Index, in answer to TakeSnapshotEffect.
struct SnapshotTakenEvent {
  uint64_t Index;
  std::string State;
};

/// Hosts that may hold a replica, beside the voters; for discovered members.
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
/// Write and sync, in the order of the tokens; answer with PersistedEvent.
struct PersistEffect {
  uint64_t Token;
  WriteBatch Batch;
};
/// Apply a committed command.
struct ApplyEffect {
  uint64_t Index;
  std::string Command;
};
/// Replace the applied state.
struct RestoreEffect {
  std::shared_ptr<const Snapshot> Restored;
};
/// Take a snapshot of the state, which has just reached Index.
struct TakeSnapshotEffect {
  uint64_t Index;
};
/// A proposal has ended.
struct ProposalDone {
  uint64_t Request;
  Result<uint64_t, ProposeError> Outcome;
};
/// A read point is confirmed and covered by the applied state, or is not.
struct ReadDone {
  uint64_t Request;
  Result<void, ReadError> Outcome;
};
/// Standing, leader or term has changed.
struct StandingChangedEffect {};
/// A quorum says that this identity is in no configuration: give it up, and
/// start again under a new one that only joins.
struct DismissedEffect {};

using Effect = std::variant<SendEffect, PersistEffect, ApplyEffect,
                            RestoreEffect, TakeSnapshotEffect, ProposalDone,
                            ReadDone, StandingChangedEffect, DismissedEffect>;

} // namespace ferry::consensus

#endif
