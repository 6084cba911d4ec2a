/// \file
/// Which incarnations of targets have ended, as others show.
#ifndef FERRY_LIBROUTING_REPLACEDTARGETS_H
#define FERRY_LIBROUTING_REPLACEDTARGETS_H

#include "LibCore/TargetRecord.h"
#include <map>
#include <string_view>
#include <vector>

namespace ferry::routing {

/// Answers the load of targets that end without an end of their connections, as
/// a machine without power does: a target that has started again, under its id
/// or at its address, has ended before.
class ReplacedTargets {
public:
  /// \param Announced the targets that are known. They outlive this.
  explicit ReplacedTargets(const std::vector<TargetRecord> &Announced);

  /// \returns whether the incarnation of \p Target at \p Address has ended.
  bool contains(const TargetId &Target, Incarnation Subject,
                std::string_view Address) const;

private:
  std::map<std::string_view, Incarnation> NewestById;
  std::map<std::string_view, Incarnation> NewestByAddress;
};

} // namespace ferry::routing

#endif
