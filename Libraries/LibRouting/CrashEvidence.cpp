#include "LibRouting/CrashEvidence.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace ferry::routing {

PartSet sharedParts(const std::vector<PromptPart> &Parts) {
  PartSet Shared;
  for (size_t Index = 0;
       Index + 1 < Parts.size() && Index < CrashEvidence::MaxParts; ++Index)
    Shared.push_back(Parts[Index].Id);
  std::sort(Shared.begin(), Shared.end());
  Shared.erase(std::unique(Shared.begin(), Shared.end()), Shared.end());
  return Shared;
}

bool includesAll(const PartSet &Whole, const PartSet &Subset) {
  return std::includes(Whole.begin(), Whole.end(), Subset.begin(),
                       Subset.end());
}

std::string partsText(const PartSet &Parts) {
  static constexpr size_t MaxListed = 16;
  static constexpr size_t MaxDigits = 16;
  std::string Text;
  for (size_t Index = 0; Index < Parts.size() && Index < MaxListed; ++Index) {
    std::array<char, MaxDigits> Digits;
    auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                             Parts[Index], /*base=*/16);
    Text.append(Text.empty() ? "" : ",").append(Digits.data(), End.ptr);
  }
  return Text;
}

CrashId crashIdOf(const TargetId &Target, Incarnation Ended) {
  return {rendezvousWeight(hashIdentifier(Target.Value), Ended.Value)};
}

static bool contains(const PartSet &Parts, uint64_t Part) {
  return std::binary_search(Parts.begin(), Parts.end(), Part);
}

/// \returns the suspects that count: those whose answer had begun, or all if
/// there are none.
static std::vector<const CrashSuspect *>
countedSuspects(const CrashReport &Report) {
  auto HadBegun = [](const CrashSuspect &Suspect) {
    return Suspect.Progress == AnswerProgress::Begun;
  };
  bool AnyBegun =
      std::any_of(Report.Suspects.begin(), Report.Suspects.end(), HadBegun);
  std::vector<const CrashSuspect *> Counted;
  for (const CrashSuspect &Suspect : Report.Suspects)
    if (!AnyBegun || HadBegun(Suspect))
      Counted.push_back(&Suspect);
  return Counted;
}

bool CrashEvidence::wasServed(uint64_t Part, Timestamp Now) const {
  for (const auto *Generation : {&ServedAt, &OlderServedAt})
    if (auto Found = Generation->find(Part);
        Found != Generation->end() && Found->second + Lifetime > Now)
      return true;
  return false;
}

CrashEvidence::Crash *CrashEvidence::touch(CrashId Ended, Timestamp SeenAt,
                                           Timestamp Now) {
  if (auto Found = Crashes.find(Ended); Found != Crashes.end())
    return &Found->second;
  if (SeenAt + Lifetime <= Now)
    return nullptr;
  std::erase_if(Crashes, [Now](const auto &Entry) {
    return Entry.second.Report.SeenAt + Lifetime <= Now;
  });
  if (Crashes.size() >= MaxCrashes)
    Crashes.erase(std::min_element(Crashes.begin(), Crashes.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.Report.SeenAt <
                                            Right.second.Report.SeenAt;
                                   }));
  Crash &Added = Crashes[Ended];
  Added.Report.Id = Ended;
  Added.Report.SeenAt = std::min(SeenAt, Now);
  Added.LearntAt = Now;
  return &Added;
}

bool CrashEvidence::addSuspect(Crash &Ended, const CrashSuspect &Suspect,
                               Timestamp Now) {
  CrashReport &Report = Ended.Report;
  std::vector<CrashSuspect> &Suspects = Report.Suspects;
  Timestamp SeenAt = std::min(Suspect.SeenAt, Now);
  if (Suspect.Parts.empty() || Suspect.Parts.size() > MaxParts ||
      SeenAt + CrashSpan < Report.SeenAt)
    return false;
  bool AnyDropped = std::erase_if(Suspects, [SeenAt](const auto &Each) {
                      return Each.SeenAt + CrashSpan < SeenAt;
                    }) > 0;
  if (AnyDropped) {
    Ended.LearntAt = Now;
    std::erase_if(Report.Marks, [&Suspects](const auto &Entry) {
      return std::none_of(Suspects.begin(), Suspects.end(),
                          [&Entry](const CrashSuspect &Each) {
                            return contains(Each.Parts, Entry.first);
                          });
    });
  }
  Report.SeenAt = std::max(Report.SeenAt, SeenAt);
  bool IsKnown = std::any_of(
      Suspects.begin(), Suspects.end(), [&Suspect](const CrashSuspect &Each) {
        return Each.Parts == Suspect.Parts && Each.Progress == Suspect.Progress;
      });
  if (IsKnown)
    return false;
  if (Suspects.size() >= MaxSuspects) {
    // Requests that only waited make room for one whose answer had begun.
    auto Waiting = std::find_if(
        Suspects.begin(), Suspects.end(), [](const CrashSuspect &Each) {
          return Each.Progress == AnswerProgress::Waiting;
        });
    if (Suspect.Progress == AnswerProgress::Waiting ||
        Waiting == Suspects.end())
      return false;
    Suspects.erase(Waiting);
  }
  Suspects.push_back({Suspect.Parts, Suspect.Progress, SeenAt});
  for (uint64_t Part : Suspect.Parts) {
    CrashReport::ServedMarks &PartMarks = Report.Marks[Part];
    PartMarks.ServedBefore = PartMarks.ServedBefore || wasServed(Part, Now);
  }
  return true;
}

bool CrashEvidence::noteSuspect(CrashId Ended, const CrashSuspect &Suspect,
                                Timestamp Now) {
  if (Suspect.Parts.empty())
    return false;
  return addSuspect(*touch(Ended, Now, Now), Suspect, Now);
}

std::vector<CrashId> CrashEvidence::noteServed(const PartSet &Parts,
                                               Timestamp Now) {
  std::vector<CrashId> Changed;
  for (auto &[Id, Ended] : Crashes) {
    bool IsNew = false;
    for (uint64_t Part : Parts)
      if (auto Found = Ended.Report.Marks.find(Part);
          Found != Ended.Report.Marks.end())
        IsNew = !std::exchange(Found->second.ServedAfter, true) || IsNew;
    if (IsNew)
      Changed.push_back(Id);
  }
  for (uint64_t Part : Parts) {
    if (ServedAt.size() >= MaxServedParts && !ServedAt.contains(Part))
      OlderServedAt = std::exchange(ServedAt, {});
    ServedAt[Part] = Now;
  }
  return Changed;
}

bool CrashEvidence::merge(const CrashReport &Report, Timestamp Now) {
  Crash *Ended = touch(Report.Id, Report.SeenAt, Now);
  if (Ended == nullptr)
    return false;
  bool Changed = false;
  for (const CrashSuspect &Suspect : Report.Suspects)
    Changed = addSuspect(*Ended, Suspect, Now) || Changed;
  for (const auto &[Part, Told] : Report.Marks) {
    auto Found = Ended->Report.Marks.find(Part);
    if (Found == Ended->Report.Marks.end())
      continue;
    CrashReport::ServedMarks &Known = Found->second;
    Changed = Changed || (Told.ServedBefore && !Known.ServedBefore) ||
              (Told.ServedAfter && !Known.ServedAfter);
    Known.ServedBefore = Known.ServedBefore || Told.ServedBefore;
    Known.ServedAfter = Known.ServedAfter || Told.ServedAfter;
  }
  return Changed;
}

const CrashReport *CrashEvidence::find(CrashId Ended) const {
  auto Found = Crashes.find(Ended);
  return Found == Crashes.end() ? nullptr : &Found->second.Report;
}

std::vector<const CrashEvidence::Crash *>
CrashEvidence::recentCrashes(Timestamp Now) const {
  std::vector<const Crash *> Recent;
  for (const auto &[Id, Ended] : Crashes)
    if (Ended.Report.SeenAt + Lifetime > Now)
      Recent.push_back(&Ended);
  std::sort(Recent.begin(), Recent.end(),
            [](const Crash *Left, const Crash *Right) {
              return Left->Report.SeenAt < Right->Report.SeenAt;
            });
  return Recent;
}

std::vector<CrashReport> CrashEvidence::reports(Timestamp Now) const {
  std::vector<CrashReport> Reports;
  for (const Crash *Ended : recentCrashes(Now))
    Reports.push_back(Ended->Report);
  return Reports;
}

CrashEvidence::Tally
CrashEvidence::tallyOf(uint64_t Part, const std::vector<const Crash *> &Recent,
                       const std::vector<PartSet> &Quarantined) const {
  Tally Result;
  std::optional<Timestamp> LastCounted;
  bool IsFirst = true;
  for (const Crash *Ended : Recent) {
    const CrashReport &Report = Ended->Report;
    auto PartMarks = Report.Marks.find(Part);
    if (PartMarks == Report.Marks.end() || PartMarks->second.ServedAfter)
      continue;
    bool IsSuspect = false;
    bool HadBegun = false;
    bool Explained = false;
    for (const CrashSuspect *Suspect : countedSuspects(Report)) {
      if (!contains(Suspect->Parts, Part))
        continue;
      IsSuspect = true;
      HadBegun = Suspect->Progress == AnswerProgress::Begun;
      Explained =
          Explained || std::any_of(Quarantined.begin(), Quarantined.end(),
                                   [&](const PartSet &Each) {
                                     return includesAll(Suspect->Parts, Each);
                                   });
      if (std::exchange(IsFirst, false))
        Result.Common = Suspect->Parts;
      else
        std::erase_if(Result.Common, [&](uint64_t Other) {
          return !contains(Suspect->Parts, Other);
        });
    }
    if (!IsSuspect)
      continue;
    Result.Unexplained = Result.Unexplained || !Explained;
    Result.Served = Result.Served || PartMarks->second.ServedBefore;
    std::erase_if(Result.Common, [&](uint64_t Other) {
      auto OfOther = Report.Marks.find(Other);
      return OfOther != Report.Marks.end() && OfOther->second.ServedAfter;
    });
    if (LastCounted && Report.SeenAt < *LastCounted + Separation)
      continue;
    LastCounted = Report.SeenAt;
    Result.LearntAll.push_back(Ended->LearntAt);
    if (HadBegun)
      Result.LearntBegun.push_back(Ended->LearntAt);
  }
  return Result;
}

std::optional<CrashEvidence::Cause> CrashEvidence::causeWith(
    uint64_t Part, const std::vector<const Crash *> &Recent,
    const std::vector<PartSet> &Quarantined, Timestamp Now) const {
  Tally Counted = tallyOf(Part, Recent, Quarantined);
  bool IsClear = !Counted.Served && Counted.LearntBegun.size() >= MinCrashes;
  const std::vector<Timestamp> &Learnt =
      IsClear ? Counted.LearntBegun : Counted.LearntAll;
  size_t Needed = IsClear ? MinCrashes : MinCrashesOfServed;
  Duration Wait = IsClear ? DecisionDelay : DecisionDelayOfServed;
  if (!Counted.Unexplained || Learnt.size() < Needed ||
      Now < Learnt[Needed - 1] + Wait)
    return std::nullopt;
  // Among parts that are always together, those that were never served are
  // the cause.
  PartSet Unserved;
  for (uint64_t Other : Counted.Common) {
    bool WasServed =
        std::any_of(Recent.begin(), Recent.end(), [Other](const Crash *Ended) {
          auto PartMarks = Ended->Report.Marks.find(Other);
          return PartMarks != Ended->Report.Marks.end() &&
                 PartMarks->second.ServedBefore;
        });
    if (!WasServed)
      Unserved.push_back(Other);
  }
  if (Unserved.empty())
    return Cause{Counted.Common, /*NeverServed=*/false};
  if (!contains(Unserved, Part))
    return std::nullopt;
  return Cause{Unserved, /*NeverServed=*/true};
}

std::optional<PartSet>
CrashEvidence::findCause(const std::vector<PartSet> &Quarantined,
                         Timestamp Now) const {
  std::vector<const Crash *> Recent = recentCrashes(Now);
  std::map<uint64_t, size_t> CrashesOf;
  for (const Crash *Ended : Recent) {
    std::set<uint64_t> Parts;
    for (const CrashSuspect *Suspect : countedSuspects(Ended->Report))
      Parts.insert(Suspect->Parts.begin(), Suspect->Parts.end());
    for (uint64_t Part : Parts)
      ++CrashesOf[Part];
  }
  std::optional<Cause> First;
  auto Rank = [](const Cause &Each) {
    return std::pair(Each.NeverServed, Each.Parts.size());
  };
  for (const auto &[Part, Count] : CrashesOf) {
    if (Count < MinCrashes)
      continue;
    auto Found = causeWith(Part, Recent, Quarantined, Now);
    if (Found && (!First || Rank(*Found) > Rank(*First)))
      First = std::move(Found);
  }
  return First ? std::optional(First->Parts) : std::nullopt;
}

bool CrashEvidence::mayRepeat(const PartSet &Parts, Timestamp Now) const {
  std::vector<const Crash *> Recent = recentCrashes(Now);
  for (uint64_t Part : Parts) {
    size_t Count = 0;
    bool Served = false;
    for (const Crash *Ended : Recent) {
      auto PartMarks = Ended->Report.Marks.find(Part);
      if (PartMarks == Ended->Report.Marks.end() ||
          PartMarks->second.ServedAfter)
        continue;
      std::vector<const CrashSuspect *> Counted =
          countedSuspects(Ended->Report);
      if (std::none_of(Counted.begin(), Counted.end(),
                       [Part](const CrashSuspect *Suspect) {
                         return contains(Suspect->Parts, Part);
                       }))
        continue;
      ++Count;
      Served = Served || PartMarks->second.ServedBefore;
    }
    if (Count >= (Served ? MinCrashesOfServed : MinCrashes) - 1)
      return false;
  }
  return true;
}

} // namespace ferry::routing
