/// \file
/// Inputs and outputs of Membership.
#ifndef FERRY_LIBMEMBERSHIP_EVENTS_H
#define FERRY_LIBMEMBERSHIP_EVENTS_H

#include "LibCore/HostStanding.h"
#include "LibCore/LeaveLedger.h"
#include "LibCore/TargetRecord.h"
#include "LibWire/Generated/Membership_types.h"
#include <variant>
#include <vector>

namespace ferry::membership {

/// Whether a host may be given to callers as an entry.
using Standing = HostStanding;

/// Whether a host routes calls or is a control host.
enum class HostDuty : uint8_t { Router, Control };

/// What this host knows of one host.
struct HostState {
  HostId Id;
  DataCentreId DataCentre;
  ferry::Incarnation Incarnation;
  membership::Standing Standing = membership::Standing::Silent;
  /// Number of the description in force on that host.
  DescriptionNumber Number;
  /// Of a discovered host: the duty in its introduction.
  HostDuty Duty = HostDuty::Router;
  /// "IP:port" for callers; empty unless the host was discovered and serves
  /// callers.
  std::string CallerAddress = {};
};

/// A target announced itself to this host. Record.UsableUntil is ignored.
struct TargetAnnounced {
  TargetRecord Record;
};

/// This host saw in an answer of a target that the incarnation leaves.
struct TargetLeaveNoticed {
  TargetId Target;
  ferry::Incarnation Incarnation;
};

/// The log of this control host has recorded these leaves, the oldest first.
struct LeavesRecorded {
  std::vector<RecordedLeave> Leaves;
};

/// \p From sent \p Message.
struct MembershipReceived {
  HostId From;
  wire::MembershipMessage Message;
};

/// This host's own standing has changed.
struct LocalStanding {
  membership::Standing Standing = membership::Standing::Unconfirmed;
};

/// The committed description \p Number is in force on this host.
struct DescriptionApplied {
  DescriptionNumber Number;
};

/// This host has confirmed that no number above \p Number had been accepted at
/// \p AsOf.
struct LocalConfirmed {
  DescriptionNumber Number;
  Timestamp AsOf;
};

/// A timer tick, which is needed at least once per Membership::TickInterval.
struct MembershipTick {};

/// A seed. Only its id is known until it introduces itself.
struct SeedAdded {
  HostId Id;
};

using MembershipEvent =
    std::variant<TargetAnnounced, TargetLeaveNoticed, LeavesRecorded,
                 MembershipReceived, LocalStanding, DescriptionApplied,
                 LocalConfirmed, MembershipTick, SeedAdded>;

/// Send \p Message to \p To.
struct MembershipSend {
  HostId To;
  wire::MembershipMessage Message;
};

/// Membership::targets() has changed.
struct TargetsChanged {};

/// Membership::hosts() has changed.
struct HostsChanged {};

/// Host \p From has \p Number in force, which is above this host's.
struct NewerDescriptionSeen {
  DescriptionNumber Number;
  HostId From;
};

/// Peer \p From has confirmed that no number above \p Number had been accepted
/// at \p AsOf, which is a time of this host's clock. For Confirmation.
struct ConfirmationReceived {
  DescriptionNumber Number;
  Timestamp AsOf;
  HostId From;
};

/// An announcement was refused because its incarnation has ended: a greater one
/// was seen, or this one has left.
struct AnnouncementRefused {
  TargetId Target;
  ferry::Incarnation Greatest;
};

/// A router has told this control host of a leave that it noticed. The log is
/// to record it.
struct NoticedLeaveReceived {
  TargetId Target;
  ferry::Incarnation Incarnation;
};

/// A peer remembered a later incarnation of this host, so this host has raised
/// its incarnation to \p Raised.
struct IncarnationRaised {
  ferry::Incarnation Remembered;
  ferry::Incarnation Raised;
};

using MembershipEffect =
    std::variant<MembershipSend, TargetsChanged, HostsChanged,
                 NewerDescriptionSeen, ConfirmationReceived,
                 AnnouncementRefused, NoticedLeaveReceived, IncarnationRaised>;

} // namespace ferry::membership

#endif
