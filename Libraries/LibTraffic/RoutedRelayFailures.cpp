// Attempts that failed: what they tell of their targets, and of the requests
// that these ran.
#include "LibObserve/Log.h"
#include "LibTraffic/RoutedRelay.h"

namespace ferry::traffic {

using namespace ferry::routing;
using observe::Severity;

/// An answer counts as just begun for this long after its first event: a few
/// steps of an engine.
static constexpr Duration BegunSpan = std::chrono::milliseconds(100);

RoutedRelay::NextStep RoutedRelay::recordFailure(const PlacedCall &Destination,
                                                 const LinkError &Seen,
                                                 bool Sent) {
  bool Replaced = Sent && AtTarget && AtTarget->wasEnded() &&
                  Seen.Kind != LinkErrorKind::CallerGone;
  const LinkError Failure = Replaced ? targetReplaced() : Seen;
  LastFailure = {Failure.Kind, Failure.message()};
  bool CallerLeft = Failure.Kind == LinkErrorKind::CallerGone;
  // This router has ended the connection itself then.
  bool EndedByStop = steadyNow() >= Context.AnswerBy.load();
  bool PastDeadline = Failure.Kind == LinkErrorKind::DeadlinePassed ||
                      Failure.Kind == LinkErrorKind::NotSent || EndedByStop;
  if (EndedByStop && !CallerLeft)
    LastFailure = {LinkErrorKind::DeadlinePassed, "this host is stopping"};
  if (Sent)
    ++PossibleRuns;
  observe::logEvent(
      Severity::Info, "routed", "attempt_failed",
      {{"target", Destination.Target},
       {"service", Call.Service},
       {"reason", Failure.message()},
       {"may_have_run", Sent},
       {"framing", framingName()},
       {"connection_end", endName()},
       {"progress", answerProgress()},
       {"unfinished_bytes", UnfinishedBytes},
       {"digest", Sent ? digestText() : std::string()},
       {"shared_parts", Sent ? partsText(SharedParts) : std::string()},
       {"attempt", Attempts}},
      Caller.Id);
  if (Sent && !CallerLeft && !PastDeadline)
    Context.Metrics.BrokenAnswers
        .with({std::string(enumName(answerProgress()))})
        .add();
  bool TargetEnded = (Failure.Kind == LinkErrorKind::Broken ||
                      Failure.Kind == LinkErrorKind::Incomplete) &&
                     !EndedByStop;
  if (Failure.Kind == LinkErrorKind::ConnectFailed)
    Context.Reach.noteUnreachable(Destination.Target);
  if (Sent && TargetEnded && !Framing && !Replaced)
    Context.Reach.noteBroken(Destination.Target);
  if (Sent && Replaced)
    noteSuspect(Destination, TargetFate::Replaced);
  else if (Sent && TargetEnded)
    noteSuspect(Destination, TargetFate::Ended);
  else if (Sent && (CallerLeft || PastDeadline) && !EndedByStop)
    noteSuspect(Destination, TargetFate::Unknown);
  if (CallerLeft) {
    endAttempt(Destination, CallEnd::Abandoned, NextStep::Done);
    Context.Metrics.CallersLeft.add();
    Exchange.abort();
    logEnd("caller_left", 0);
    return NextStep::Done;
  }
  CallEnd End = Sent ? CallEnd::Broken : CallEnd::Unreachable;
  return endAttempt(Destination, PastDeadline ? CallEnd::Abandoned : End,
                    Sent ? NextStep::RetryRun : NextStep::RetryUnsent);
}

LinkError RoutedRelay::targetReplaced() {
  return {LinkErrorKind::Broken, "another incarnation replaced the target"};
}

std::optional<LinkError>
RoutedRelay::findCut(const TargetExchange &Target) const {
  if (Target.framing() != FramingKind::Connection)
    return std::nullopt;
  if (AtTarget->wasEnded())
    return targetReplaced();
  if (Watched->wasEnded())
    return LinkError{LinkErrorKind::Incomplete,
                     std::string(enumName(ConnectionEnd::EndedHere))};
  return std::nullopt;
}

void RoutedRelay::noteSuspect(const PlacedCall &Destination, TargetFate Fate) {
  if (answerProgress() == AnswerProgress::Streaming)
    return;
  CrashSuspect Suspect{identified(), answerProgress(), steadyNow(), SentAt};
  switch (Fate) {
  case TargetFate::Ended:
    Context.Quarantine.noteBroken(Destination.Target, Destination.Incarnation,
                                  Suspect);
    break;
  case TargetFate::Replaced:
    Context.Quarantine.noteReplaced(Destination.Target, Destination.Incarnation,
                                    Suspect);
    break;
  case TargetFate::Unknown:
    Context.AtTargets.noteUnanswered(Destination, Suspect);
    break;
  }
}

AnswerProgress RoutedRelay::answerProgress() const {
  if (!Framing)
    return AnswerProgress::Waiting;
  bool Long = FirstEventAt && steadyNow() >= *FirstEventAt + BegunSpan;
  return Long ? AnswerProgress::Streaming : AnswerProgress::Begun;
}

const PartSet &RoutedRelay::identified() {
  if (!Digest) {
    Digest =
        digestOf(Exchange.head(), Workspace ? Workspace->Id.Value : Caller.Key,
                 Call.Parts, Body);
    PartsAndRequest = withRequestIds(SharedParts, {requestIdOf(Digest->Outline),
                                                   requestIdOf(Digest->Whole)});
  }
  return PartsAndRequest;
}

const PartSet &RoutedRelay::judgedParts() {
  // A request without a body is cheap to identify, and may be a popular one.
  bool Identify = Body.empty() || Context.Quarantine.judgesRequests();
  return Digest || Identify ? identified() : SharedParts;
}

std::string RoutedRelay::digestText() {
  identified();
  return partsText({requestIdOf(Digest->Whole)});
}

void RoutedRelay::noteEnd(const TargetExchange &Target) {
  EndOfConnection = Target.connectionEnd();
  if (Target.framing() == FramingKind::Connection && Watched->wasEnded())
    EndOfConnection = ConnectionEnd::EndedHere;
  if (EndOfConnection)
    Context.Metrics.ConnectionEnds
        .with({std::string(enumName(*EndOfConnection))})
        .add();
}

std::string_view RoutedRelay::endName() const {
  return EndOfConnection ? enumName(*EndOfConnection) : "";
}

std::string_view RoutedRelay::framingName() const {
  return Framing ? enumName(*Framing) : "none";
}

} // namespace ferry::traffic
