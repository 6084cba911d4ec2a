/// \file
/// What routers tell each other about the caps of workspaces.
#ifndef FERRY_LIBADMISSION_CAPMESSAGES_H
#define FERRY_LIBADMISSION_CAPMESSAGES_H

#include "LibConfig/RouteTable.h"
#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstdint>
#include <map>

namespace ferry::admission {

/// A router asks the owner of a workspace for units. Sent to the owner only;
/// sent again unchanged until it is answered.
struct CapQuestion {
  WorkspaceId Workspace;
  /// Tells questions of all routers and of their earlier runs apart: the upper
  /// 32 bits stand for the router and its run, the lower 32 bits rise with each
  /// question.
  uint64_t Number = 0;
  /// Units for requests that wait, and for what was admitted without a grant.
  double Needed = 0;
  /// Units for requests that are expected.
  double Wanted = 0;
  /// Units of expired grants of this owner that were not used.
  double Returned = 0;
};

/// The owner's answer, sent to the router that asked.
struct CapReply {
  WorkspaceId Workspace;
  uint64_t Number = 0;
  double Granted = 0;
  /// How long the grant may be used, counted from the sending of the question.
  /// 0 in a reply that grants nothing.
  Duration Lifetime{};
  /// When the owner can grant the needed units. If this, Granted and Lifetime
  /// are 0 although units were needed, the sender is not the owner.
  Duration RetryIn{};
};

/// Share of the tolerance that owners may use, from settings.
struct CapTolerance {
  double WindowSeconds = 0;
  /// Share of the rate and the burst.
  double Overage = 0;
  /// Tokens.
  double Slack = 0;
};

using CapsByWorkspace = std::map<WorkspaceId, config::WorkspaceCap>;

/// \returns units per second that the owner of a workspace grants.
inline double ownerRate(const config::WorkspaceCap &Cap,
                        const CapTolerance &Tolerance) {
  return Cap.PerSecond * (1 + Tolerance.Overage / 2);
}

/// \returns the units that the owner's bucket holds, which is also the size of
/// the largest request that is ever admitted.
inline double ownerDepth(const config::WorkspaceCap &Cap,
                         const CapTolerance &Tolerance) {
  bool IsTokens = Cap.Unit == config::CapUnit::Tokens;
  double Depth = Cap.Burst * (1 + Tolerance.Overage / 2) +
                 (IsTokens ? Tolerance.Slack / 2 : 0);
  // A burst below one request would admit none at all.
  return IsTokens || Depth > 1 ? Depth : 1;
}

} // namespace ferry::admission

#endif
