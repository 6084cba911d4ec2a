#include "ferryd/BeliefMessages.h"
#include <algorithm>
#include <limits>

namespace ferry::daemon {

using routing::AnswerProgress;
using routing::Beliefs;
using routing::CrashReport;
using routing::CrashSuspect;
using routing::PartSet;
using routing::QuarantinedParts;
using routing::TargetLimit;

int32_t wireMillis(Duration Span) {
  return static_cast<int32_t>(std::clamp<int64_t>(
      Span.count() / 1000, 0, std::numeric_limits<int32_t>::max()));
}

Duration fromWireMillis(int32_t Millis) {
  return std::chrono::milliseconds(std::max(Millis, 0));
}

static std::vector<int64_t> toWire(const PartSet &Parts) {
  return {Parts.begin(), Parts.end()};
}

/// \returns the parts in the order of a set, whatever the sender's was.
static PartSet fromWire(const std::vector<int64_t> &Fields) {
  PartSet Parts(Fields.begin(), Fields.end());
  std::sort(Parts.begin(), Parts.end());
  Parts.erase(std::unique(Parts.begin(), Parts.end()), Parts.end());
  return Parts;
}

static wire::CrashReport toWire(const CrashReport &Report, Timestamp Now) {
  wire::CrashReport Fields;
  Fields.Crash = static_cast<int64_t>(Report.Id.Value);
  Fields.AgeMillis = wireMillis(Now - Report.SeenAt);
  for (const CrashSuspect &Suspect : Report.Suspects) {
    Fields.Suspects.emplace_back();
    Fields.Suspects.back().Parts = toWire(Suspect.Parts);
    Fields.Suspects.back().Begun = Suspect.Progress == AnswerProgress::Begun;
    Fields.Suspects.back().AgeMillis = wireMillis(Now - Suspect.SeenAt);
  }
  for (const auto &[Part, PartMarks] : Report.Marks) {
    if (!PartMarks.ServedBefore && !PartMarks.ServedAfter)
      continue;
    wire::PartServed Known;
    Known.Part = static_cast<int64_t>(Part);
    Known.ServedBefore = PartMarks.ServedBefore;
    Known.ServedAfter = PartMarks.ServedAfter;
    Fields.Served.push_back(Known);
  }
  return Fields;
}

static CrashReport fromWire(const wire::CrashReport &Fields, Timestamp Now) {
  CrashReport Report;
  Report.Id = {static_cast<uint64_t>(Fields.Crash)};
  Report.SeenAt = Now - fromWireMillis(Fields.AgeMillis);
  for (const wire::CrashSuspect &Suspect : Fields.Suspects)
    Report.Suspects.push_back(
        {fromWire(Suspect.Parts),
         Suspect.Begun ? AnswerProgress::Begun : AnswerProgress::Waiting,
         Now - fromWireMillis(Suspect.AgeMillis)});
  for (const wire::PartServed &Known : Fields.Served)
    Report.Marks[static_cast<uint64_t>(Known.Part)] = {Known.ServedBefore,
                                                       Known.ServedAfter};
  return Report;
}

wire::QuarantinedParts toWire(const QuarantinedParts &Set, Timestamp Now) {
  wire::QuarantinedParts Fields;
  Fields.Parts = toWire(Set.Parts);
  Fields.Epoch = static_cast<int32_t>(Set.Epoch);
  Fields.Ended = Set.Ended;
  Fields.Trials = static_cast<int32_t>(Set.Trials);
  Fields.TrialInMillis = wireMillis(Set.TrialFrom - Now);
  Fields.WantedAgeMillis = wireMillis(Now - Set.WantedAt);
  return Fields;
}

QuarantinedParts fromWire(const wire::QuarantinedParts &Fields, Timestamp Now) {
  QuarantinedParts Set;
  Set.Parts = fromWire(Fields.Parts);
  Set.Epoch = static_cast<uint32_t>(std::max(Fields.Epoch, 0));
  Set.Ended = Fields.Ended;
  Set.Trials = static_cast<uint32_t>(std::max(Fields.Trials, 0));
  Set.TrialFrom = Now + fromWireMillis(Fields.TrialInMillis);
  Set.WantedAt = Now - fromWireMillis(Fields.WantedAgeMillis);
  return Set;
}

static wire::TargetLimit toWire(const TargetLimit &Limit, Timestamp Now) {
  wire::TargetLimit Fields;
  Fields.Target = Limit.Target.Value;
  Fields.Incarnation = static_cast<int64_t>(Limit.Incarnation.Value);
  if (Limit.PerSecond)
    Fields.__set_PerSecond(*Limit.PerSecond);
  if (Limit.RejectionsPerSecond)
    Fields.__set_RejectionsPerSecond(*Limit.RejectionsPerSecond);
  Fields.AgeMillis = wireMillis(Now - Limit.ObservedAt);
  return Fields;
}

static TargetLimit fromWire(const wire::TargetLimit &Fields, Timestamp Now) {
  TargetLimit Limit;
  Limit.Target = {Fields.Target};
  Limit.Incarnation = {static_cast<uint64_t>(Fields.Incarnation)};
  if (Fields.__isset.PerSecond)
    Limit.PerSecond = Fields.PerSecond;
  if (Fields.__isset.RejectionsPerSecond)
    Limit.RejectionsPerSecond = Fields.RejectionsPerSecond;
  Limit.ObservedAt = Now - fromWireMillis(Fields.AgeMillis);
  return Limit;
}

wire::BeliefMessage toWire(const Beliefs &Known, Timestamp Now) {
  wire::BeliefMessage Message;
  for (const CrashReport &Report : Known.Crashes.Crashes)
    Message.Crashes.push_back(toWire(Report, Now));
  for (const QuarantinedParts &Set : Known.Crashes.Quarantined)
    Message.Quarantined.push_back(toWire(Set, Now));
  for (const TargetLimit &Limit : Known.Limits)
    Message.Limits.push_back(toWire(Limit, Now));
  return Message;
}

Beliefs fromWire(const wire::BeliefMessage &Message, Timestamp Now) {
  Beliefs Told;
  for (const wire::CrashReport &Fields : Message.Crashes)
    Told.Crashes.Crashes.push_back(fromWire(Fields, Now));
  for (const wire::QuarantinedParts &Fields : Message.Quarantined)
    Told.Crashes.Quarantined.push_back(fromWire(Fields, Now));
  for (const wire::TargetLimit &Fields : Message.Limits)
    Told.Limits.push_back(fromWire(Fields, Now));
  return Told;
}

} // namespace ferry::daemon
