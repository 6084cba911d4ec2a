#include "LibRouting/BeliefSpread.h"
#include <algorithm>
#include <utility>

namespace ferry::routing {

std::vector<HostId> BeliefSpread::choose(std::vector<HostId> Others,
                                         size_t Count) {
  Count = std::min(Count, Others.size());
  for (size_t Index = 0; Index < Count; ++Index)
    std::swap(Others[Index],
              Others[Index + randomBelow(Random, Others.size() - Index)]);
  Others.resize(Count);
  return Others;
}

std::vector<HostId> BeliefSpread::receiversOfNews(std::vector<HostId> Others,
                                                  Timestamp Now) {
  FreshUntil = Now + FreshSpan;
  size_t Count = passesOn(Others.size()) ? NewsFanout : Others.size();
  return choose(std::move(Others), Count);
}

BeliefSpread::Due BeliefSpread::tick(std::vector<HostId> Others,
                                     bool HasBeliefs, Timestamp Now) {
  Due Result;
  if (SettledFrom == NeverExpires)
    SettledFrom = Now + SettleSpan;
  if (!isSettled(Now))
    Result.Question = choose(Others, AskFanout);
  bool IsFresh = Now < FreshUntil;
  if (!HasBeliefs || (!IsFresh && Now < SummaryAt))
    return Result;
  SummaryAt = Now + SummaryInterval;
  Result.Summary = choose(std::move(Others), IsFresh ? FreshFanout : 1);
  return Result;
}

} // namespace ferry::routing
