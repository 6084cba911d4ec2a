/// \file
/// Inputs and outputs of Membership.
#ifndef FERRY_LIBMEMBERSHIP_EVENTS_H
#define FERRY_LIBMEMBERSHIP_EVENTS_H

#include "LibCore/HostStanding.h"
#include "LibCore/TargetRecord.h"
#include "LibWire/Generated/Membership_types.h"
#include <variant>

namespace ferry::membership {

/// Whether a host may be given to callers as an entry.
using Standing = HostStanding;

/// What a host does for the others.
enum class HostDuty : uint8_t { Router, Control };

/// One host as this host sees it.
struct HostState {
  HostId Id;
  DataCentreId DataCentre;
  ferry::Incarnation Incarnation;
  membership::Standing Standing = membership::Standing::Silent;
  /// The description in force there.
  DescriptionNumber Number;
  /// Of a discovered host, as it introduced itself.
  HostDuty Duty = HostDuty::Router;
  /// "IP:port" for callers, where the host was discovered and serves any.
  std::string CallerAddress = {};
};

/// A target announced itself to this host. UsableUntil is not read.
struct TargetAnnounced {
  TargetRecord Record;
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

/// This host knows that at \p AsOf no number above \p Number was accepted.
struct LocalConfirmed {
  DescriptionNumber Number;
  Timestamp AsOf;
};

/// Time has passed; due at least each Membership::TickInterval.
struct MembershipTick {};

/// A host whose id is all that is known of it: one of the seeds.
struct SeedGiven {
  HostId Id;
};

using MembershipEvent =
    std::variant<TargetAnnounced, MembershipReceived, LocalStanding,
                 DescriptionApplied, LocalConfirmed, MembershipTick, SeedGiven>;

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

/// A peer knows that at \p AsOf, by this host's clock, no number above
/// \p Number was accepted; for Confirmation.
struct ConfirmationHeard {
  DescriptionNumber Number;
  Timestamp AsOf;
  HostId From;
};

/// The announcement is of a life that has ended: a greater incarnation was
/// seen, or this one has left.
struct AnnouncementRefused {
  TargetId Target;
  ferry::Incarnation Greatest;
};

/// A peer remembered a later life of this host, which has taken one above it.
struct LifeRaised {
  ferry::Incarnation Remembered;
  ferry::Incarnation Taken;
};

using MembershipEffect =
    std::variant<MembershipSend, TargetsChanged, HostsChanged,
                 NewerDescriptionSeen, ConfirmationHeard, AnnouncementRefused,
                 LifeRaised>;

} // namespace ferry::membership

#endif
