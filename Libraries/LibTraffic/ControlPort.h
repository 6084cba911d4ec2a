/// \file
/// The operations of the control thread that traffic threads call.
#ifndef FERRY_LIBTRAFFIC_CONTROLPORT_H
#define FERRY_LIBTRAFFIC_CONTROLPORT_H

#include "LibCore/Result.h"
#include "LibCore/TargetRecord.h"
#include "LibCore/Time.h"
#include "LibRegistry/Commands.h"
#include "LibRegistry/Outcomes.h"
#include "LibRouting/RoutedCall.h"
#include "LibRouting/RoutingView.h"
#include "LibRouting/StreamBuilds.h"
#include <functional>
#include <string>
#include <vector>

namespace ferry::traffic {

/// An operator's change of the description.
struct ChangeRequest {
  /// The number of the description that the change is based on.
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

/// A change that came into force on this host.
struct PastChange {
  DescriptionNumber Number;
  std::string Operation;
};

/// How many hosts a description has reached.
struct SpreadStatus {
  DescriptionNumber Number;
  /// Hosts that have it in force or refuse new requests until they do.
  uint32_t HostsInForce = 0;
  uint32_t HostsKnown = 0;
};

/// The reply to a target's announcement.
struct AnnounceReply {
  enum class Verdict : uint8_t {
    Accepted,
    StaleIncarnation,
    /// The target leaves, and the log has not recorded it: no quorum answered,
    /// or it is not known which incarnation is meant. It must tell another
    /// host, or again.
    LeaveNotRecorded
  } Status = Verdict::Accepted;
  /// "IP:port" addresses that the target sends its cache events to.
  std::vector<std::string> EventAddresses;
  /// Whether the next batch of cache events must list the whole cache.
  bool ResyncRequired = false;
};

template <typename ValueType>
using RegistryResult = Result<ValueType, registry::RegistryError>;

/// Calls into the control thread. Each call is thread-safe and does not block.
/// Each callback runs once, on the control thread, and must not block.
struct ControlPort {
  /// Claims a non-idempotent call before its first byte is sent.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, uint64_t BodyDigest,
      Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      Claim;
  /// Records the answer of a call that ran. The callback runs after the commit.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, registry::ClaimCompleted,
      Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      Complete;
  /// Releases the claim of a call that did not run. A reply of ClaimGranted
  /// confirms the release.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      Release;
  /// Marks the claim as unknown because its call may have run.
  std::function<void(
      registry::ClaimKey, registry::ClaimAttempt, Timestamp Deadline,
      std::function<void(RegistryResult<registry::ClaimOutcome>)>)>
      MarkUnknown;
  /// Proposes a description. The caller has parsed and checked the text.
  std::function<void(
      ChangeRequest,
      std::function<void(RegistryResult<registry::ChangeOutcome>)>)>
      Change;
  /// Puts a description into force whose number its author chose. The caller
  /// has decoded and checked the text.
  std::function<void(
      registry::ReplaceDescription, Timestamp Deadline,
      std::function<void(RegistryResult<registry::ChangeOutcome>)>)>
      Replace;
  /// Names the weights that the engines of a model must load.
  std::function<void(
      ModelId, WeightsVersion, Timestamp Deadline,
      std::function<void(RegistryResult<registry::WeightsNamed>)>)>
      NameWeights;
  /// Reads the newest accepted description, confirmed by a quorum.
  std::function<void(Timestamp Deadline,
                     std::function<void(RegistryResult<CurrentDescription>)>)>
      ReadDescription;
  /// Counts the hosts that \p Number has reached, as far as this host knows.
  std::function<void(DescriptionNumber, std::function<void(SpreadStatus)>)>
      ReadSpread;
  /// Lists the newest changes that came into force on this host since its
  /// start, the oldest first. Numbers that the host never received are missing.
  std::function<void(std::function<void(std::vector<PastChange>)>)> ReadHistory;
  /// Processes a target's announcement. If it leaves, the callback runs once
  /// the log has recorded that, or at the deadline.
  std::function<void(TargetRecord, Timestamp Deadline,
                     std::function<void(AnnounceReply)>)>
      Announce;
  /// Reports that an incarnation of a target said in an answer that it leaves.
  std::function<void(TargetId, Incarnation)> NoticeLeave;
  /// Tells other routers which build began a stream.
  std::function<void(routing::BegunStream)> TellStream;
  /// Asks other routers which build began a stream. The callback gets nothing
  /// if none of them knows, at the deadline at the latest.
  std::function<void(routing::StreamKey, Timestamp Deadline,
                     std::function<void(std::optional<BuildId>)>)>
      AskStream;
  /// Asks another router for a slot of a brittle target. The callback gets the
  /// number of the loan, or nothing if there is none, at the deadline at the
  /// latest.
  std::function<void(const routing::SlotLoan &, Timestamp ExpiresAt,
                     Timestamp Deadline,
                     std::function<void(std::optional<uint64_t>)>)>
      AskSlot;
  std::function<void(const HostId &Lender, uint64_t Number)> GiveBackSlot;
  /// Tells other routers soon what this one has learnt of crashes and limits.
  std::function<void()> TellBeliefs;
  /// Sends the questions about caps that are due to other routers.
  std::function<void()> SendCapQuestions;
  /// Renders the state of this process as one JSON text.
  std::function<void(std::function<void(std::string)>)> Dump;
  /// Begins the graceful shutdown of this host.
  std::function<void()> Drain;
};

} // namespace ferry::traffic

#endif
