#include "ferryd/BeliefExchange.h"
#include "LibCore/Random.h"
#include "LibObserve/Log.h"
#include <algorithm>
#include <limits>
#include <map>

namespace ferry::daemon {

using admission::CapHolder;
using admission::CapQuestion;
using admission::CapReply;
using routing::AnswerProgress;
using routing::Beliefs;
using routing::BeliefSpread;
using routing::CrashReport;
using routing::CrashSuspect;
using routing::PartSet;
using routing::QuarantinedParts;
using routing::TargetLimit;
using wire::PayloadKind;

/// Shortest time between two times at which questions about caps are sent by
/// the timer.
static constexpr Duration MinCapInterval = std::chrono::milliseconds(5);

static int32_t wireMillis(Duration Span) {
  return static_cast<int32_t>(std::clamp<int64_t>(
      Span.count() / 1000, 0, std::numeric_limits<int32_t>::max()));
}

static Duration fromWireMillis(int32_t Millis) {
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

static wire::QuarantinedParts toWire(const QuarantinedParts &Set,
                                     Timestamp Now) {
  wire::QuarantinedParts Fields;
  Fields.Parts = toWire(Set.Parts);
  Fields.Epoch = static_cast<int32_t>(Set.Epoch);
  Fields.Ended = Set.Ended;
  Fields.Trials = static_cast<int32_t>(Set.Trials);
  Fields.TrialInMillis = wireMillis(Set.TrialFrom - Now);
  Fields.WantedAgeMillis = wireMillis(Now - Set.WantedAt);
  return Fields;
}

static QuarantinedParts fromWire(const wire::QuarantinedParts &Fields,
                                 Timestamp Now) {
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

static wire::BeliefMessage toWire(const Beliefs &Known) {
  Timestamp Now = steadyNow();
  wire::BeliefMessage Message;
  for (const CrashReport &Report : Known.Crashes.Crashes)
    Message.Crashes.push_back(toWire(Report, Now));
  for (const QuarantinedParts &Set : Known.Crashes.Quarantined)
    Message.Quarantined.push_back(toWire(Set, Now));
  for (const TargetLimit &Limit : Known.Limits)
    Message.Limits.push_back(toWire(Limit, Now));
  return Message;
}

static Beliefs fromWire(const wire::BeliefMessage &Message) {
  Timestamp Now = steadyNow();
  Beliefs Told;
  for (const wire::CrashReport &Fields : Message.Crashes)
    Told.Crashes.Crashes.push_back(fromWire(Fields, Now));
  for (const wire::QuarantinedParts &Fields : Message.Quarantined)
    Told.Crashes.Quarantined.push_back(fromWire(Fields, Now));
  for (const wire::TargetLimit &Fields : Message.Limits)
    Told.Limits.push_back(fromWire(Fields, Now));
  return Told;
}

static wire::CapQuestion toWire(const CapQuestion &Question) {
  wire::CapQuestion Fields;
  Fields.Workspace = Question.Workspace.Value;
  Fields.Number = static_cast<int64_t>(Question.Number);
  if (Question.Needed != 0)
    Fields.__set_Needed(Question.Needed);
  if (Question.Wanted != 0)
    Fields.__set_Wanted(Question.Wanted);
  if (Question.Returned != 0)
    Fields.__set_Returned(Question.Returned);
  return Fields;
}

static CapQuestion fromWire(const wire::CapQuestion &Fields) {
  return {{Fields.Workspace},
          static_cast<uint64_t>(Fields.Number),
          Fields.Needed,
          Fields.Wanted,
          Fields.Returned};
}

static wire::CapReply toWire(const CapReply &Reply) {
  wire::CapReply Fields;
  Fields.Workspace = Reply.Workspace.Value;
  Fields.Number = static_cast<int64_t>(Reply.Number);
  if (Reply.Granted != 0)
    Fields.__set_Granted(Reply.Granted);
  if (Reply.Lifetime != Duration())
    Fields.__set_LifetimeMillis(wireMillis(Reply.Lifetime));
  // Rounded up: 0 means that the sender is not the owner.
  if (Reply.RetryIn != Duration())
    Fields.__set_RetryInMillis(wireMillis(
        std::chrono::ceil<std::chrono::milliseconds>(Reply.RetryIn)));
  return Fields;
}

static CapReply fromWire(const wire::CapReply &Fields) {
  return {{Fields.Workspace},
          static_cast<uint64_t>(Fields.Number),
          Fields.Granted,
          std::chrono::milliseconds(Fields.LifetimeMillis),
          std::chrono::milliseconds(Fields.RetryInMillis)};
}

BeliefExchange::BeliefExchange(
    HostLink &Link, ControlLoop &Loop, OtherRouters Others,
    BeliefHooks Callbacks,
    std::function<void(const routing::Beliefs &)> Observed)
    : Link(Link), Loop(Loop), Others(std::move(Others)),
      Callbacks(std::move(Callbacks)), Observed(std::move(Observed)),
      Spread(systemSeed()) {}

void BeliefExchange::stop() {
  Loop.cancel(NewsTimer);
  Loop.cancel(TickTimer);
  Loop.cancel(CapTimer);
}

void BeliefExchange::newsReady() {
  if (std::exchange(NewsPending, true))
    return;
  NewsTimer =
      Loop.at(steadyNow() + BeliefSpread::NewsDelay, [this] { sendNews(); });
}

void BeliefExchange::sendNews() {
  NewsPending = false;
  askForReach();
  Beliefs News = Callbacks.TakeNews();
  if (News.empty())
    return;
  wire::BeliefMessage Message = toWire(News);
  for (const HostId &To : Spread.receiversOfNews(Others(), steadyNow()))
    Link.send(To, PayloadKind::Beliefs, Message);
}

void BeliefExchange::askForReach() {
  if (!Callbacks.NeedsHelpers())
    return;
  wire::BeliefMessage Question;
  Question.AsksReach = true;
  for (const HostId &To : Spread.askedForReach(Others()))
    Link.send(To, PayloadKind::Beliefs, Question);
}

void BeliefExchange::tick() {
  TickTimer =
      Loop.at(steadyNow() + BeliefSpread::TickInterval, [this] { tick(); });
  askForReach();
  Beliefs All = Callbacks.Everything();
  Observed(All);
  BeliefSpread::Due Due = Spread.tick(Others(), !All.empty(), steadyNow());
  if (!Due.Summary.empty()) {
    wire::BeliefMessage Summary = toWire(All);
    for (const HostId &To : Due.Summary)
      Link.send(To, PayloadKind::Beliefs, Summary);
  }
  wire::BeliefMessage Question;
  Question.Asks = true;
  for (const HostId &To : Due.Question)
    Link.send(To, PayloadKind::Beliefs, Question);
}

void BeliefExchange::receive(const HostId &From,
                             const wire::BeliefMessage &Message) {
  if (!Message.CapQuestions.empty() || !Message.CapReplies.empty())
    return receiveCaps(From, Message);
  if (Message.AsksReach) {
    routing::RouterReach Own = Callbacks.Reach();
    wire::BeliefMessage Answer;
    Answer.Reach.ReachesTargets = Own.ReachesTargets;
    Answer.Reach.PassKey = Own.PassKey;
    Answer.__isset.Reach = true;
    return Link.send(From, PayloadKind::Beliefs, Answer);
  }
  if (Message.__isset.Reach)
    return Callbacks.NoteHelper(
        From, {Message.Reach.ReachesTargets, Message.Reach.PassKey});
  if (Message.Answers) {
    Spread.noteAnswer();
    observe::logEvent(observe::Severity::Info, "routed", "beliefs_answered",
                      {{"from", From},
                       {"crashes", Message.Crashes.size()},
                       {"quarantined", Message.Quarantined.size()},
                       {"limits", Message.Limits.size()}});
  }
  if (Message.Asks) {
    wire::BeliefMessage Answer = toWire(Callbacks.Everything());
    // Otherwise the other one asks on.
    Answer.Answers = Spread.isSettled(steadyNow());
    Link.send(From, PayloadKind::Beliefs, Answer);
  }
  Callbacks.Apply(fromWire(Message), BeliefSpread::passesOn(Others().size()));
}

void BeliefExchange::receiveCaps(const HostId &From,
                                 const wire::BeliefMessage &Message) {
  std::vector<wire::CapReply> Replies;
  for (const wire::CapQuestion &Fields : Message.CapQuestions)
    Replies.push_back(toWire(Callbacks.Caps.Answer(fromWire(Fields))));
  if (!Replies.empty()) {
    wire::BeliefMessage Answer;
    Answer.__set_CapReplies(std::move(Replies));
    Link.send(From, PayloadKind::Beliefs, Answer);
  }
  for (const wire::CapReply &Fields : Message.CapReplies)
    Callbacks.Caps.Apply(From, fromWire(Fields));
  if (!Message.CapReplies.empty())
    sendCapQuestions();
}

void BeliefExchange::sendCapQuestions() {
  Loop.cancel(CapTimer);
  std::map<HostId, std::vector<wire::CapQuestion>> Questions;
  for (const CapHolder::Outgoing &Each : Callbacks.Caps.TakeQuestions())
    Questions[Each.To].push_back(toWire(Each.Question));
  for (auto &[To, Asked] : Questions) {
    wire::BeliefMessage Message;
    Message.__set_CapQuestions(std::move(Asked));
    Link.send(To, PayloadKind::Beliefs, Message);
  }
  Timestamp Due = Callbacks.Caps.NextDue();
  if (Due != NeverExpires)
    CapTimer = Loop.at(std::max(Due, steadyNow() + MinCapInterval),
                       [this] { sendCapQuestions(); });
}

} // namespace ferry::daemon
