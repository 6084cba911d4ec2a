#include "LibAdmission/CapOwner.h"
#include "LibAdmission/CapAmounts.h"
#include <algorithm>
#include <cmath>

namespace ferry::admission {

/// How long after an answer its question may be repeated.
static constexpr Duration AnswerLifetime = std::chrono::seconds(10);

bool CapOwner::owns(const WorkspaceId &Workspace, Timestamp Now) const {
  return !Routers.isSet() || Routers.ownerOf(Workspace, Now) == Routers.self();
}

void CapOwner::setCaps(const CapsByWorkspace &NewCaps, Timestamp Now) {
  if (NewCaps == Caps)
    return;
  Caps = NewCaps;
  updateBuckets(/*IsHandover=*/false, Now);
}

void CapOwner::setRouters(const HostId &Self,
                          const std::vector<HostId> &Serving, Timestamp Now) {
  bool IsHandover = Routers.isSet();
  if (Routers.set(Self, Serving, Now))
    updateBuckets(IsHandover, Now);
}

void CapOwner::updateBuckets(bool IsHandover, Timestamp Now) {
  std::erase_if(Buckets, [this, Now](const auto &Entry) {
    return !Caps.contains(Entry.first) || !owns(Entry.first, Now);
  });
  for (const auto &[Workspace, Cap] : Caps) {
    if (!std::isfinite(Cap.PerSecond) || Cap.PerSecond <= 0 ||
        !isAmount(Cap.Burst)) {
      Buckets.erase(Workspace);
      continue;
    }
    auto Entry = Buckets.find(Workspace);
    if (Entry == Buckets.end()) {
      if (!owns(Workspace, Now))
        continue;
      Bucket New;
      New.Cap = Cap;
      begin(New, IsHandover, Now);
      Buckets.emplace(Workspace, std::move(New));
      continue;
    }
    Bucket &Subject = Entry->second;
    if (Subject.Cap == Cap)
      continue;
    fill(Subject, Now);
    Subject.Cap = Cap;
    Subject.Level = std::min(Subject.Level, ownerDepth(Cap, Tolerance));
    Subject.ReservedUntil = Now;
  }
}

double CapOwner::depthOf(const Bucket &Subject) const {
  return std::max(0.0, ownerDepth(Subject.Cap, Tolerance) - Subject.AheadSum);
}

double CapOwner::levelAt(const Bucket &Subject, Timestamp Now) const {
  Duration Since = std::max(Duration(), Now - Subject.FilledAt);
  Duration InHandover =
      std::clamp(Subject.HandoverEnd - Subject.FilledAt, Duration(), Since);
  double Filled =
      secondsOf(Since - InHandover / 2) * ownerRate(Subject.Cap, Tolerance);
  return std::min(std::max(Subject.Level, depthOf(Subject)),
                  Subject.Level + Filled);
}

void CapOwner::begin(Bucket &Subject, bool IsHandover, Timestamp Now) const {
  Subject.Level =
      std::min(ownerDepth(Subject.Cap, Tolerance),
               ownerRate(Subject.Cap, Tolerance) * secondsOf(FirstFill));
  Subject.FilledAt = Now;
  Subject.HandoverEnd = IsHandover ? Now + HandoverSpan : Now;
  Subject.AnsweredAt = Now;
  Subject.ReservedUntil = Now;
  Subject.WasBusy = false;
}

void CapOwner::fill(Bucket &Subject, Timestamp Now) const {
  Subject.Level = levelAt(Subject, Now);
  Subject.FilledAt = std::max(Subject.FilledAt, Now);
}

void CapOwner::updateAhead(Bucket &Subject, Timestamp Now) {
  Subject.AheadSum = 0;
  for (const auto &[Router, Last] : Subject.Answers)
    if (Last.AheadUntil > Now)
      Subject.AheadSum += Last.Ahead;
}

std::optional<double> CapOwner::level(const WorkspaceId &Workspace,
                                      Timestamp Now) const {
  auto Entry = Buckets.find(Workspace);
  if (Entry == Buckets.end())
    return std::nullopt;
  return levelAt(Entry->second, Now);
}

CapReply CapOwner::answer(const CapQuestion &Question, Timestamp Now) {
  CapReply NotOwner{Question.Workspace, Question.Number, 0, {}, {}};
  if (!isAmount(Question.Needed) || !isAmount(Question.Wanted) ||
      !isAmount(Question.Returned)) {
    ++Invalid;
    return NotOwner;
  }
  auto Entry = Buckets.find(Question.Workspace);
  if (Entry == Buckets.end())
    return NotOwner;
  ++Answered;
  Bucket &Subject = Entry->second;
  auto Known = Subject.Answers.find(uint32_t(Question.Number >> 32));
  if (Known != Subject.Answers.end()) {
    if (Known->second.Reply.Number == Question.Number)
      return Known->second.Reply;
    // A later question of the same router has been answered, so it no longer
    // awaits this one.
    if (uint32_t(Question.Number) < Known->second.Count)
      return NotOwner;
  }
  Answer &Asker = answerFor(Subject, Question.Number, Now);
  Asker.Reply = decide(Subject, Question, Asker, Now);
  Asker.Count = uint32_t(Question.Number);
  Asker.At = Now;
  return Asker.Reply;
}

size_t CapOwner::askers(const Bucket &Subject, Timestamp Now) {
  size_t Count = 0;
  for (const auto &[Router, Last] : Subject.Answers)
    Count += Now - Last.At <= LongestGrantLifetime;
  return Count;
}

double CapOwner::aheadFor(const Bucket &Subject, const CapQuestion &Question,
                          double Held, size_t Askers) const {
  // Less than half of the bucket is for the units that routers hold in advance,
  // in equal parts, so that the first ones to ask do not take all of it.
  double Half = ownerDepth(Subject.Cap, Tolerance) / 2;
  double Part = 0.75 * Half / double(std::max<size_t>(1, Askers));
  double Spare = Subject.Level - Question.Needed - Half;
  return std::max(0.0, std::min({Spare, Part - Held, Question.Wanted}));
}

CapReply CapOwner::decide(Bucket &Subject, const CapQuestion &Question,
                          Answer &Asker, Timestamp Now) {
  double Rate = ownerRate(Subject.Cap, Tolerance);
  double Depth = ownerDepth(Subject.Cap, Tolerance);
  fill(Subject, Now);
  if (Subject.WasBusy && Now - Subject.AnsweredAt >= SilenceLimit) {
    double Level = Subject.Level;
    begin(Subject, /*IsHandover=*/true, Now);
    Subject.Level = std::min(Level, Subject.Level);
  }
  Subject.AnsweredAt = std::max(Subject.AnsweredAt, Now);
  // A router asks when it has less than a request needs, or less than half of
  // its last grant.
  Asker.Ahead = Asker.AheadUntil <= Now ? 0
                : Question.Needed > 0   ? std::min(Asker.Ahead, Question.Needed)
                                        : Asker.Ahead / 2;
  updateAhead(Subject, Now);
  Subject.Level = std::min(Depth, Subject.Level + Question.Returned);
  Subject.AnswerCount.add(1, Now);
  Subject.WasBusy = Subject.AnswerCount.sum(Now) >= BusyAnswers;
  // With more questions than that, each one takes a greater part of the rate.
  if (Subject.Level > Depth / 4)
    Subject.ScarceSince.reset();
  else if (!Subject.ScarceSince)
    Subject.ScarceSince = Now;
  bool IsPressed = Subject.ScarceSince &&
                   Now - *Subject.ScarceSince >= TurnsAfter &&
                   Subject.AnswerCount.sum(Now) > AnswersPerSecond &&
                   Subject.AheadSum < Depth / 2;
  double Turn = IsPressed ? Rate / AnswersPerSecond : 0;
  CapReply Reply{Question.Workspace, Question.Number, 0, {}, {}};
  if (Subject.Level <= 0) {
    if (Question.Needed > 0) {
      Timestamp RetryAt =
          std::max(Subject.ReservedUntil,
                   Now + timeFor(-Subject.Level, Rate) + Duration(1));
      RetryAt = std::min(RetryAt, Now + MaxRetry);
      Reply.RetryIn = RetryAt - Now;
      Subject.ReservedUntil =
          RetryAt +
          timeFor(std::clamp(Question.Needed, std::min(Turn, Depth), Depth),
                  Rate);
    }
    return Reply;
  }
  size_t Askers = askers(Subject, Now);
  double Ahead = std::max(aheadFor(Subject, Question, Asker.Ahead, Askers),
                          std::min(Question.Wanted, Turn - Question.Needed));
  Ahead = std::max(0.0, Ahead);
  Reply.Granted = Question.Needed + Ahead;
  Reply.Lifetime = std::clamp(
      Duration(static_cast<int64_t>(double(Askers) / AnswersPerSecond * 1e6)),
      GrantLifetime, LongestGrantLifetime);
  if (Ahead > 0) {
    Asker.Ahead += Ahead;
    Asker.AheadUntil = Now + Reply.Lifetime;
    Subject.AheadSum += Ahead;
  }
  Subject.Level -= Reply.Granted;
  return Reply;
}

CapOwner::Answer &CapOwner::answerFor(Bucket &Subject, uint64_t Number,
                                      Timestamp Now) {
  auto Router = uint32_t(Number >> 32);
  if (Subject.Answers.size() >= MaxRememberedAnswers &&
      !Subject.Answers.contains(Router)) {
    std::erase_if(Subject.Answers, [Now](const auto &Each) {
      return Each.second.At + AnswerLifetime < Now;
    });
    if (Subject.Answers.size() >= MaxRememberedAnswers)
      Subject.Answers.erase(
          std::min_element(Subject.Answers.begin(), Subject.Answers.end(),
                           [](const auto &Left, const auto &Right) {
                             return Left.second.At < Right.second.At;
                           }));
  }
  return Subject.Answers[Router];
}

} // namespace ferry::admission
