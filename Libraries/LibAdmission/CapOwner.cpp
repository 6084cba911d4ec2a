#include "LibAdmission/CapOwner.h"
#include <algorithm>
#include <cmath>

namespace ferry::admission {

/// Upper bound of the retry times, which also keeps them within the range of
/// the wire format.
static constexpr Duration MaxRetry = std::chrono::minutes(10);
/// How long after an answer its question may be repeated.
static constexpr Duration AnswerLifetime = std::chrono::seconds(10);

static double secondsOf(Duration Span) { return double(Span.count()) / 1e6; }

static Duration timeFor(double Units, double PerSecond) {
  double Micros = std::ceil(std::max(0.0, Units / PerSecond) * 1e6);
  return Duration(
      static_cast<int64_t>(std::min(Micros, double(MaxRetry.count()))));
}

static bool isAmount(double Units) {
  return std::isfinite(Units) && Units >= 0;
}

bool CapOwner::owns(const WorkspaceId &Workspace, Timestamp Now) const {
  return !Routers.isSet() || Routers.ownerOf(Workspace, Now) == Routers.self();
}

void CapOwner::setCaps(const CapsByWorkspace &NewCaps, Timestamp Now) {
  if (NewCaps == Caps)
    return;
  Caps = NewCaps;
  updateBuckets(Now);
}

void CapOwner::setRouters(const HostId &Self,
                          const std::vector<HostId> &Serving, Timestamp Now) {
  if (Routers.set(Self, Serving, Now))
    updateBuckets(Now);
}

void CapOwner::updateBuckets(Timestamp Now) {
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
      Bucket New{Cap, 0, Now, Now, {}};
      New.Level = std::min(ownerDepth(Cap, Tolerance),
                           ownerRate(Cap, Tolerance) * secondsOf(FirstFill));
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

double CapOwner::levelAt(const Bucket &Subject, Timestamp Now) const {
  double Since = secondsOf(std::max(Duration(), Now - Subject.FilledAt));
  return std::min(ownerDepth(Subject.Cap, Tolerance),
                  Subject.Level + Since * ownerRate(Subject.Cap, Tolerance));
}

void CapOwner::fill(Bucket &Subject, Timestamp Now) const {
  Subject.Level = levelAt(Subject, Now);
  Subject.FilledAt = std::max(Subject.FilledAt, Now);
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
  CapReply Reply = decide(Subject, Question, Now);
  remember(Subject, Reply, Now);
  return Reply;
}

CapReply CapOwner::decide(Bucket &Subject, const CapQuestion &Question,
                          Timestamp Now) {
  double Rate = ownerRate(Subject.Cap, Tolerance);
  double Depth = ownerDepth(Subject.Cap, Tolerance);
  fill(Subject, Now);
  Subject.Level = std::min(Depth, Subject.Level + Question.Returned);
  CapReply Reply{Question.Workspace, Question.Number, 0, {}, {}};
  if (Subject.Level <= 0) {
    if (Question.Needed > 0) {
      Timestamp RetryAt =
          std::max(Subject.ReservedUntil,
                   Now + timeFor(-Subject.Level, Rate) + Duration(1));
      RetryAt = std::min(RetryAt, Now + MaxRetry);
      Reply.RetryIn = RetryAt - Now;
      Subject.ReservedUntil =
          RetryAt + timeFor(std::min(Question.Needed, Depth), Rate);
    }
    return Reply;
  }
  Reply.Granted = Question.Needed;
  Reply.Lifetime = GrantLifetime;
  // More than half full after the needed units, so that units which may stay
  // unused are not taken from other routers when they become scarce.
  double Spare = Subject.Level - Question.Needed - Depth / 2;
  if (Spare > 0)
    Reply.Granted += std::min(Spare, Question.Wanted);
  Subject.Level -= Reply.Granted;
  return Reply;
}

void CapOwner::remember(Bucket &Subject, const CapReply &Reply, Timestamp Now) {
  if (Subject.Answers.size() >= MaxRememberedAnswers) {
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
  Subject.Answers[uint32_t(Reply.Number >> 32)] = {uint32_t(Reply.Number),
                                                   Reply, Now};
}

} // namespace ferry::admission
