/// \file
/// When weights were named, as far as this host can tell.
#ifndef FERRY_LIBCONTROL_NAMINGTIMES_H
#define FERRY_LIBCONTROL_NAMINGTIMES_H

#include "LibRegistry/Registry.h"
#include "LibRouting/RoutedCall.h"
#include <map>

namespace ferry::control {

/// Converts the wall-clock times of namings in the log to this process's
/// monotonic clock, from which the routers' deadlines count. Each is converted
/// once, so that a later step of the wall clock moves no deadline.
class NamingTimes {
public:
  /// Applies the versions named for \p Model, oldest first, as the log has
  /// them. \p WallNow and \p Now are readings of the two clocks at one moment.
  void update(const ModelId &Model,
              const std::vector<registry::NamedVersion> &Versions,
              UnixMillis WallNow, Timestamp Now);

  /// \returns the named weights of all models; those of each are in rising
  /// order.
  std::vector<routing::NamedWeights> all() const;

private:
  std::map<ModelId, std::vector<routing::NamedWeights>> NamedByModel;
};

/// \returns the whole milliseconds since the naming, within the range of the
/// messages.
int32_t ageMillis(const routing::NamedWeights &Named, Timestamp Now);

} // namespace ferry::control

#endif
