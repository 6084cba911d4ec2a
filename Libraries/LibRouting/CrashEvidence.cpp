#include "LibRouting/CrashEvidence.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>
#include <utility>

namespace ferry::routing {

PartSet sharedParts(const std::vector<PromptPart> &Parts) {
  PartSet Shared;
  for (size_t Index = 0;
       Index + 1 < Parts.size() && Index < CrashEvidence::MaxParts; ++Index)
    Shared.push_back(Parts[Index].Id & ~RequestIdBit);
  std::sort(Shared.begin(), Shared.end());
  Shared.erase(std::unique(Shared.begin(), Shared.end()), Shared.end());
  return Shared;
}

bool namesRequest(const PartSet &Parts) {
  // The ids are sorted, and those of requests are the largest.
  return !Parts.empty() && isRequestId(Parts.back());
}

PartSet withRequestIds(PartSet Parts, std::initializer_list<uint64_t> Ids) {
  Parts.insert(Parts.end(), Ids);
  std::sort(Parts.begin(), Parts.end());
  Parts.erase(std::unique(Parts.begin(), Parts.end()), Parts.end());
  return Parts;
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

/// \returns when the first of \p Suspects, of which there is one at least, was
/// broken off.
static Timestamp firstBreak(const std::vector<CrashSuspect> &Suspects) {
  return std::min_element(Suspects.begin(), Suspects.end(),
                          [](const auto &Left, const auto &Right) {
                            return Left.SeenAt < Right.SeenAt;
                          })
      ->SeenAt;
}

static bool hasBegun(const CrashSuspect &Suspect) {
  return Suspect.Progress == AnswerProgress::Begun;
}

/// \returns the suspects with \p Id, whether their answers had begun or not: a
/// reset may have discarded the head of the one that ended the target.
static std::vector<const CrashSuspect *> suspectsWith(const CrashReport &Report,
                                                      uint64_t Id) {
  std::vector<const CrashSuspect *> Found;
  for (const CrashSuspect &Suspect : Report.Suspects)
    if (contains(Suspect.Parts, Id))
      Found.push_back(&Suspect);
  return Found;
}

/// Whether a suspect with \p Id is among those that most likely ended the
/// target: one whose answer had begun, or any if no answer had. A request may
/// end its target before its answer begins.
static bool isLikelyCause(const CrashReport &Report, uint64_t Id) {
  auto HasId = [Id](const CrashSuspect &Suspect) {
    return contains(Suspect.Parts, Id);
  };
  const auto &Suspects = Report.Suspects;
  bool AnyBegun = std::any_of(Suspects.begin(), Suspects.end(), hasBegun);
  return std::any_of(
      Suspects.begin(), Suspects.end(), [&](const CrashSuspect &Each) {
        return HasId(Each) && (isRequestId(Id) || !AnyBegun || hasBegun(Each));
      });
}

static bool includesAny(const PartSet &Whole,
                        const std::vector<PartSet> &Sets) {
  return std::any_of(Sets.begin(), Sets.end(), [&](const PartSet &Each) {
    return includesAll(Whole, Each);
  });
}

void ServedHistory::note(uint64_t Id, Timestamp Now) {
  if (Newer.size() >= MaxIds && !Newer.contains(Id))
    Older = std::exchange(Newer, {});
  Newer[Id] = Now;
}

std::optional<Timestamp> ServedHistory::lastServed(uint64_t Id) const {
  for (const auto *Generation : {&Newer, &Older})
    if (auto Found = Generation->find(Id); Found != Generation->end())
      return Found->second;
  return std::nullopt;
}

std::optional<Timestamp> CrashEvidence::lastServed(uint64_t Part) const {
  return (isRequestId(Part) ? ServedRequests : ServedParts).lastServed(Part);
}

bool CrashEvidence::wasServed(uint64_t Part, Timestamp Now) const {
  auto ServedAt = lastServed(Part);
  return ServedAt && *ServedAt + Lifetime > Now;
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

bool CrashEvidence::isInOtherCrash(const CrashSuspect &Suspect,
                                   CrashId Ended) const {
  return std::any_of(Crashes.begin(), Crashes.end(), [&](const auto &Entry) {
    const auto &Marks = Entry.second.Report.Marks;
    return Entry.first != Ended &&
           std::any_of(Suspect.Parts.begin(), Suspect.Parts.end(),
                       [&Marks](uint64_t Id) {
                         auto Found = Marks.find(Id);
                         return Found != Marks.end() &&
                                (isRequestId(Id) || Found->second.never());
                       });
  });
}

bool CrashEvidence::hasUnservedPart(const CrashSuspect &Suspect,
                                    Timestamp Now) const {
  return std::any_of(
      Suspect.Parts.begin(), Suspect.Parts.end(),
      [&](uint64_t Id) { return !isRequestId(Id) && !wasServed(Id, Now); });
}

bool CrashEvidence::makeRoom(CrashReport &Report, const CrashSuspect &Suspect,
                             Timestamp Now) const {
  auto Rank = [&](const CrashSuspect &Each) {
    return std::tuple(isInOtherCrash(Each, Report.Id),
                      hasUnservedPart(Each, Now), hasBegun(Each));
  };
  auto Least = std::min_element(Report.Suspects.begin(), Report.Suspects.end(),
                                [&](const auto &Left, const auto &Right) {
                                  return Rank(Left) < Rank(Right);
                                });
  if (Rank(*Least) >= Rank(Suspect))
    return false;
  Report.Suspects.erase(Least);
  return true;
}

bool CrashEvidence::wasSentBehindEnd(const Crash &Ended,
                                     const CrashSuspect &Suspect) {
  const auto &Suspects = Ended.Report.Suspects;
  if (hasBegun(Suspect) || Suspects.empty())
    return false;
  Timestamp EndedAt = firstBreak(Suspects);
  return Ended.AliveAt <= EndedAt && Suspect.SentAt > EndedAt &&
         Suspect.SentAt < EndedAt + EndedSpan;
}

bool CrashEvidence::addSuspect(Crash &Ended, const CrashSuspect &Suspect,
                               Timestamp Now) {
  CrashReport &Report = Ended.Report;
  std::vector<CrashSuspect> &Suspects = Report.Suspects;
  Timestamp SeenAt = std::min(Suspect.SeenAt, Now);
  if (Suspect.Parts.empty() || Suspect.Parts.size() > MaxIds ||
      SeenAt + CrashSpan < Report.SeenAt || SeenAt < Ended.AliveAt ||
      wasSentBehindEnd(Ended, Suspect))
    return false;
  bool AnyDropped =
      std::erase_if(Suspects, [&](const auto &Each) {
        return Each.SeenAt + CrashSpan < SeenAt || Each.SeenAt < Ended.AliveAt;
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
  if (Suspects.size() >= MaxSuspects && !makeRoom(Report, Suspect, Now))
    return false;
  Suspects.push_back({Suspect.Parts, Suspect.Progress, SeenAt, Suspect.SentAt});
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

bool CrashEvidence::noteReplaced(CrashId Ended, const CrashSuspect &Suspect,
                                 Timestamp Now) {
  if (!noteSuspect(Ended, Suspect, Now))
    return false;
  auto &Marks = Crashes.at(Ended).Report.Marks;
  for (uint64_t Part : Suspect.Parts) {
    auto ServedAt = lastServed(Part);
    if (ServedAt && *ServedAt > Suspect.SentAt)
      Marks.at(Part).ServedAfter = true;
  }
  return true;
}

void CrashEvidence::noteAnswered(CrashId Incarnation, Timestamp SentAt) {
  if (auto Found = Crashes.find(Incarnation); Found != Crashes.end())
    Found->second.AliveAt = std::max(Found->second.AliveAt, SentAt);
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
  for (uint64_t Part : Parts)
    (isRequestId(Part) ? ServedRequests : ServedParts).note(Part, Now);
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

CrashEvidence::Incidences
CrashEvidence::incidencesIn(const std::vector<const Crash *> &Recent) {
  Incidences Result;
  for (const Crash *Ended : Recent)
    for (const auto &[Id, IdMarks] : Ended->Report.Marks) {
      if (IdMarks.ServedAfter || suspectsWith(Ended->Report, Id).empty())
        continue;
      Incidence &Found = Result[Id];
      ++Found.Crashes;
      Found.NeverServed = Found.NeverServed && !IdMarks.ServedBefore;
    }
  return Result;
}

/// Whether another request that was broken off in the crash has an id of the
/// same kind that is in more crashes than \p Id.
template <typename IncidenceMap>
static bool explainedByAnother(const CrashReport &Report, uint64_t Id,
                               const IncidenceMap &Known) {
  auto Own = Known.find(Id);
  if (Own == Known.end())
    return false;
  auto IsInMore = [&](uint64_t OtherId) {
    auto Found = Known.find(OtherId);
    if (isRequestId(OtherId) != isRequestId(Id) || Found == Known.end())
      return false;
    // New parts stand beside a crash more often than new requests, so that one
    // that was never served explains nothing by that alone.
    return isRequestId(Id)
               ? Found->second > Own->second
               : Found->second.Crashes > Own->second.Crashes &&
                     Found->second.NeverServed >= Own->second.NeverServed;
  };
  return std::any_of(Report.Suspects.begin(), Report.Suspects.end(),
                     [&](const CrashSuspect &Other) {
                       return !contains(Other.Parts, Id) &&
                              std::any_of(Other.Parts.begin(),
                                          Other.Parts.end(), IsInMore);
                     });
}

/// \returns the parts of the crash's suspects that were never served, sorted.
static PartSet unservedParts(const CrashReport &Report) {
  PartSet Unserved;
  for (const auto &[Id, IdMarks] : Report.Marks)
    if (!isRequestId(Id) && IdMarks.never())
      Unserved.push_back(Id);
  return Unserved;
}

CrashEvidence::Tally
CrashEvidence::tallyOf(uint64_t Part, const std::vector<const Crash *> &Recent,
                       const Incidences &Known,
                       const std::vector<PartSet> &Quarantined) const {
  Tally Result;
  Duration Apart = isRequestId(Part) ? RequestSeparation : Separation;
  std::optional<Timestamp> LastCounted;
  bool IsFirst = true;
  for (const Crash *Ended : Recent) {
    const CrashReport &Report = Ended->Report;
    auto PartMarks = Report.Marks.find(Part);
    if (PartMarks == Report.Marks.end() || PartMarks->second.ServedAfter)
      continue;
    bool IsSuspect = false;
    bool HadBegun = isRequestId(Part);
    // A crash that a quarantined set explains counts for no other part.
    bool Explained = explainedByAnother(Report, Part, Known) ||
                     std::any_of(Report.Suspects.begin(), Report.Suspects.end(),
                                 [&](const CrashSuspect &Each) {
                                   return (!isRequestId(Part) ||
                                           contains(Each.Parts, Part)) &&
                                          includesAny(Each.Parts, Quarantined);
                                 });
    for (const CrashSuspect *Suspect : suspectsWith(Report, Part)) {
      HadBegun = HadBegun || hasBegun(*Suspect);
      if (!std::exchange(IsSuspect, true) && IsFirst)
        Result.Common = Suspect->Parts;
      else
        std::erase_if(Result.Common, [&](uint64_t Other) {
          return !contains(Suspect->Parts, Other);
        });
    }
    if (!IsSuspect)
      continue;
    PartSet Unserved = unservedParts(Report);
    if (std::exchange(IsFirst, false))
      Result.Rivals = std::move(Unserved);
    else
      std::erase_if(Result.Rivals,
                    [&](uint64_t Other) { return !contains(Unserved, Other); });
    Result.UnexplainedBegun =
        Result.UnexplainedBegun || (!Explained && HadBegun);
    Result.Served = Result.Served || PartMarks->second.ServedBefore;
    std::erase_if(Result.Common, [&](uint64_t Other) {
      auto OfOther = Report.Marks.find(Other);
      return OfOther != Report.Marks.end() && OfOther->second.ServedAfter;
    });
    if (LastCounted && Report.SeenAt < *LastCounted + Apart)
      continue;
    LastCounted = Report.SeenAt;
    Result.LearntAll.push_back(Ended->LearntAt);
    if (!Explained)
      Result.LearntUnexplained.push_back(Ended->LearntAt);
    if (HadBegun)
      Result.LearntBegun.push_back(Ended->LearntAt);
  }
  std::erase_if(Result.Rivals, [&](uint64_t Other) {
    return Other == Part || contains(Result.Common, Other);
  });
  return Result;
}

std::optional<CrashEvidence::Cause> CrashEvidence::causeWith(
    uint64_t Part, const std::vector<const Crash *> &Recent,
    const Incidences &Known, const std::vector<PartSet> &Quarantined,
    Timestamp Now) const {
  Tally Counted = tallyOf(Part, Recent, Known, Quarantined);
  // Where another part stood beside each time, the answers that had begun do
  // not tell which of the two it was.
  bool IsClear = !Counted.Served && Counted.UnexplainedBegun &&
                 (isRequestId(Part) || Counted.Rivals.empty()) &&
                 Counted.LearntBegun.size() >= MinCrashes;
  // Requests that only waited do not tell parts apart that were quarantined
  // together.
  const std::vector<Timestamp> &Learnt = IsClear ? Counted.LearntBegun
                                         : Counted.UnexplainedBegun
                                             ? Counted.LearntAll
                                             : Counted.LearntUnexplained;
  size_t Needed = IsClear ? MinCrashes : MinCrashesOfServed;
  Duration Wait = IsClear ? DecisionDelay : DecisionDelayOfServed;
  if (Learnt.size() < Needed || Now < Learnt[Needed - 1] + Wait)
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
  Incidences Known = incidencesIn(Recent);
  std::optional<Cause> First;
  auto Rank = [](const Cause &Each) {
    return std::pair(Each.NeverServed, Each.Parts.size());
  };
  for (const auto &[Part, Found] : Known) {
    if (Found.Crashes < MinCrashes)
      continue;
    auto FoundCause = causeWith(Part, Recent, Known, Quarantined, Now);
    if (FoundCause && (!First || Rank(*FoundCause) > Rank(*First)))
      First = std::move(FoundCause);
  }
  return First ? std::optional(First->Parts) : std::nullopt;
}

bool CrashEvidence::mayRepeat(const PartSet &Parts, Timestamp Now) const {
  std::vector<const Crash *> Recent = recentCrashes(Now);
  for (uint64_t Part : Parts) {
    size_t Count = 0;
    size_t LikelyCount = 0;
    bool Served = false;
    for (const Crash *Ended : Recent) {
      auto PartMarks = Ended->Report.Marks.find(Part);
      if (PartMarks == Ended->Report.Marks.end() ||
          PartMarks->second.ServedAfter)
        continue;
      ++Count;
      LikelyCount += isLikelyCause(Ended->Report, Part);
      Served = Served || PartMarks->second.ServedBefore;
    }
    bool Likely = LikelyCount + 1 >= MinCrashes && !Served;
    if (Likely || Count + 1 >= MinCrashesOfServed)
      return false;
  }
  return true;
}

} // namespace ferry::routing
