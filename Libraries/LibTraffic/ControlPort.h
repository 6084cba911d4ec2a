/// \file
/// What the traffic threads ask of the control thread.
#ifndef FERRY_LIBTRAFFIC_CONTROLPORT_H
#define FERRY_LIBTRAFFIC_CONTROLPORT_H

#include "LibCore/Result.h"
#include "LibCore/TargetRecord.h"
#include "LibCore/Time.h"
#include "LibRegistry/Outcomes.h"
#include "LibRouting/RoutingView.h"
#include <functional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// An operator's change of the description.
struct ChangeRequest {
  /// The number that the change is based on.
  DescriptionNumber Base;
  std::string Operation;
  std::string Text;
  Timestamp Deadline;
};

/// The description in force on this host.
struct CurrentDescription {
  DescriptionNumber Number;
  std::string Operation;
  std::string Text;
};

/// A change that came in force on this host.
struct PastChange {
  DescriptionNumber Number;
  std::string Operation;
};

/// How far a number has come.
struct SpreadStatus {
  DescriptionNumber Number;
  /// Hosts that have it in force, or refuse work until they do.
  uint32_t HostsInForce = 0;
  uint32_t HostsKnown = 0;
};

/// What a target is told on its announcement.
struct AnnounceReply {
  enum class Verdict : uint8_t {
    Accepted,
    StaleIncarnation
  } Answer = Verdict::Accepted;
  /// "IP:port" for targets of the hosts that want its cache events.
  std::vector<std::string> EventAddresses;
  /// The target must send its whole cache with the next batch.
  bool ResyncWanted = false;
};

template <typename ValueType>
using RegistryResult = Result<ValueType, registry::RegistryError>;

/// Calls into the control thread. Each is safe from any thread and does not
/// block; each callback runs once, on the control thread, and must not block.
struct ControlPort {
  /// Claims a non-idempotent call before its first byte is sent.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, uint64_t BodyDigest,
      Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      Claim;
  /// Records the answer of a call that ran; the callback runs once committed.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, registry::ClaimCompleted,
      Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      Complete;
  /// Gives the claim up as not run. Granted again means: released.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      Release;
  /// Marks the claim as unknown: its call may have run.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      MarkUnknown;
  /// Proposes a description; the text was parsed and checked before.
  std::function<void(
      ChangeRequest,
      std::function<void(RegistryResult<registry::ChangeOutcome>)>)>
      Change;
  /// Puts a description in force whose number its author chose; the text was
  /// decoded and checked before.
  std::function<void(
      DescriptionNumber, std::string Text, Timestamp Deadline,
      std::function<void(RegistryResult<registry::ChangeOutcome>)>)>
      Replace;
  /// Names the weights that the engines of a model are to have.
  std::function<void(
      ModelId, WeightsVersion, Timestamp Deadline,
      std::function<void(RegistryResult<registry::WeightsNamed>)>)>
      NameWeights;
  /// Reads the newest accepted description, confirmed by a quorum.
  std::function<void(Timestamp Deadline,
                     std::function<void(RegistryResult<CurrentDescription>)>)>
      ReadDescription;
  /// Reads how far \p Number has spread, as this host knows it.
  std::function<void(DescriptionNumber, std::function<void(SpreadStatus)>)>
      ReadSpread;
  /// Lists the newest numbers that came in force on this host since its start,
  /// the oldest first; numbers that it never saw are missing.
  std::function<void(std::function<void(std::vector<PastChange>)>)> ReadHistory;
  /// Takes a target's announcement.
  std::function<void(TargetRecord, std::function<void(AnnounceReply)>)>
      Announce;
  /// Collects the state of this process as one JSON text.
  std::function<void(std::function<void(std::string)>)> Dump;
  /// Begins the graceful shutdown of this host.
  std::function<void()> Drain;
};

} // namespace ferry::traffic

#endif
