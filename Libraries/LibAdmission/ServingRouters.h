/// \file
/// The routers that serve, and which of them owns the cap of a workspace.
#ifndef FERRY_LIBADMISSION_SERVINGROUTERS_H
#define FERRY_LIBADMISSION_SERVINGROUTERS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstddef>
#include <optional>
#include <vector>

namespace ferry::admission {

/// \returns the router that owns the workspace: the one with the greatest
/// rendezvous weight. Nothing if \p Serving is empty.
std::optional<HostId> capOwnerOf(const WorkspaceId &Workspace,
                                 const std::vector<HostId> &Serving);

/// The routers that serve as one of them sees it. Owns no clock.
///
/// Answers the load of a fleet that is cut in two: if each part chose an owner
/// of its own, each would admit the whole rate. So a part with fewer than half
/// of the routers that served before has no owner and keeps to equal shares; a
/// part with just half of them has one only if it has the first of them.
class ServingRouters {
public:
  /// How long routers that are gone count as cut off.
  static constexpr Duration CutOffLifetime = std::chrono::minutes(10);

  /// \returns whether this changes anything.
  bool set(const HostId &Self, const std::vector<HostId> &Serving,
           Timestamp Now);

  const HostId &self() const { return Self; }
  bool isSet() const { return !Self.empty(); }

  /// \returns the owner; nothing if this part of the fleet has none.
  std::optional<HostId> ownerOf(const WorkspaceId &Workspace,
                                Timestamp Now) const;
  /// \returns the number of routers that may use the rate, at least 1.
  size_t sharers(Timestamp Now) const;

private:
  bool isMinority(Timestamp Now) const;

  HostId Self;
  std::vector<HostId> Serving;
  /// The greatest number of routers that served together, and the first of
  /// them.
  size_t Greatest = 0;
  HostId First;
  /// Until when the routers that have gone since count.
  Timestamp GreatestUntil = NeverExpires;
};

} // namespace ferry::admission

#endif
