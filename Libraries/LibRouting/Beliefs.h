/// \file
/// What a router has learnt of prompts and targets and the others need.
#ifndef FERRY_LIBROUTING_BELIEFS_H
#define FERRY_LIBROUTING_BELIEFS_H

#include "LibRouting/PartQuarantine.h"
#include "LibRouting/TargetLimits.h"

namespace ferry::routing {

/// Crashes with the parts that cause them, and limits of targets.
struct Beliefs {
  CrashNews Crashes;
  std::vector<TargetLimit> Limits;
  bool empty() const { return Crashes.empty() && Limits.empty(); }
};

} // namespace ferry::routing

#endif
