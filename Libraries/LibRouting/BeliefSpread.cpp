#include "LibRouting/BeliefSpread.h"
#include <algorithm>
#include <iterator>
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
                                     bool HasBeliefs, Timestamp Now,
                                     const std::vector<HostId> &Keepers) {
  Due Result;
  std::erase_if(AnsweredKeepers, [&Keepers](const HostId &Keeper) {
    return std::find(Keepers.begin(), Keepers.end(), Keeper) == Keepers.end();
  });
  std::copy_if(Keepers.begin(), Keepers.end(),
               std::back_inserter(Result.KeeperQuestion),
               [this](const HostId &Keeper) {
                 return !AnsweredKeepers.contains(Keeper);
               });
  if (SettledFrom == NeverExpires)
    SettledFrom = Now + SettleSpan;
  if (!isSettled(Now))
    Result.Question = choose(Others, AskFanout);
  bool IsFresh = Now < FreshUntil;
  if (!HasBeliefs || (!IsFresh && Now < SummaryAt))
    return Result;
  SummaryAt = Now + SummaryInterval;
  Result.Summary = choose(std::move(Others), IsFresh ? FreshFanout : 1);
  Result.KeeperSummary = choose(Keepers, 1);
  return Result;
}

} // namespace ferry::routing
