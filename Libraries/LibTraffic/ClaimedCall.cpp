#include "LibTraffic/ClaimedCall.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"
#include "LibTraffic/AwaitReply.h"
#include <thread>

namespace ferry::traffic {

using observe::logEvent;
using observe::Severity;

using namespace ferry::registry;
using namespace ferry::routing;

/// How long the holder's host must be silent before its call is given up.
static constexpr std::chrono::seconds SilentHolderLimit{3};
/// When a caller may ask again for a call that is in work or undecided.
static constexpr std::chrono::seconds UndecidedRetry{1};

ClaimedCall::ClaimedCall(TrafficContext &Context, ClaimSettler &Settler,
                         HttpExchange &Exchange, const ServiceCall &Call)
    : Context(Context), Settler(Settler), Exchange(Exchange),
      Call(Call), Key{Call.Caller.Workspace, Call.Service,
                      Call.Caller.IdempotencyKey},
      Attempt{Context.Settings.Host, Context.Incarnation,
              Context.NextRequest++} {}

void ClaimedCall::run() {
  Context.Counters.add(TrafficCount::ClaimedCalls);
  if (!Settler.begin(Attempt)) {
    Exchange.sendError({AnswerError::QueueFull,
                        "too many calls wait for the ledger", NotRun::Unknown,
                        steadyNow() + UndecidedRetry});
    return;
  }
  auto Outcome = awaitClaim();
  bool Granted = Outcome && std::holds_alternative<ClaimGranted>(*Outcome);
  if (Granted) {
    runGranted();
    return;
  }
  if (Outcome) {
    Settler.forget(Attempt);
    answer(*Outcome);
    return;
  }
  // The claim may yet commit; nothing was or will be sent under it.
  Settler.settleLater(Key, Attempt, SettleReleased{});
  Exchange.sendError({AnswerError::NoQuorum,
                      "the ledger did not answer before the deadline",
                      NotRun::Unknown, steadyNow() + UndecidedRetry});
}

std::optional<ClaimOutcome> ClaimedCall::awaitClaim() {
  std::optional<ClaimOutcome> Last;
  while (steadyNow() < Call.Deadline) {
    auto Reply = askClaim();
    if (!Reply ||
        (!*Reply && Reply->error().Kind != RegistryErrorKind::NotProposed))
      return Last;
    if (*Reply) {
      Last = **Reply;
      auto *Held = std::get_if<ClaimHeld>(&*Last);
      if (!Held || Held->Holder == Attempt)
        return Held ? ClaimOutcome(ClaimGranted{}) : *Last;
      if (!waitForHolder(Held->Holder))
        return Last;
    }
    std::this_thread::sleep_until(
        std::min(Call.Deadline, steadyNow() + Context.Limits.ClaimPollPeriod));
  }
  return Last;
}

std::optional<ClaimedCall::ClaimReply> ClaimedCall::askClaim() {
  return awaitReply<ClaimReply>(Call.Deadline, [&](auto Done) {
    Context.Control.Claim(Key, Attempt, callDigest(Call), Call.Deadline, Done);
  });
}

bool ClaimedCall::waitForHolder(const ClaimAttempt &Holder) {
  bool Own =
      Holder.Host == Attempt.Host && Holder.Incarnation == Attempt.Incarnation;
  // An own attempt that is neither in work nor waiting for its commit was never
  // sent: its claim committed after this process had given it up.
  if (Own && !Settler.unsettled(Holder) && Settler.begin(Holder))
    Settler.settle(Key, Holder, SettleReleased{});
  if (!Own && holderGone(Holder)) {
    Timestamp Deadline =
        std::min(Call.Deadline, steadyNow() + Context.Limits.SettleLimit);
    awaitReply<ClaimReply>(Deadline, [&](auto Done) {
      Context.Control.MarkUnknown(Key, Holder, Deadline, Done);
    });
  }
  return !Exchange.callerGone();
}

bool ClaimedCall::holderGone(const ClaimAttempt &Holder) {
  if (Holder.Host == Attempt.Host)
    return Holder.Incarnation < Attempt.Incarnation;
  auto View = Context.Placements.view();
  for (const HostView &Host : View->Hosts) {
    if (Host.Id != Holder.Host)
      continue;
    if (Host.Incarnation > Holder.Incarnation)
      return true;
    if (Host.Standing != HostStanding::Silent) {
      SilentSince.reset();
      return false;
    }
    Timestamp Now = steadyNow();
    SilentSince = SilentSince.value_or(Now);
    return Now - *SilentSince >= SilentHolderLimit;
  }
  return false;
}

void ClaimedCall::answer(const ClaimOutcome &Outcome) {
  Timestamp RetryAt = steadyNow() + UndecidedRetry;
  match(
      Outcome, [](const ClaimGranted &) {},
      [&](const ClaimHeld &) {
        Exchange.sendError({AnswerError::InProgress,
                            "another try of this call is running",
                            NotRun::Unknown, RetryAt});
      },
      [&](const ClaimCompleted &Completed) {
        Exchange.setHeader("Idempotency-Replayed", "true");
        Exchange.send(static_cast<int>(Completed.Status), Completed.ContentType,
                      Completed.Body);
      },
      [&](const ClaimUnknown &) {
        sendUnknown("nobody can tell whether this call ran");
      },
      [&](const ClaimMismatch &) {
        Exchange.sendError({AnswerError::KeyMismatch,
                            "the idempotency key was used for another call"});
      },
      [&](const ClaimExpired &) {
        Exchange.sendError({AnswerError::KeyExpired,
                            "the idempotency key is older than the ledger",
                            NotRun::Unknown});
      },
      [&](const ClaimReleased &) {
        Exchange.sendError({AnswerError::InProgress,
                            "this try was given up before it ran", NotRun::True,
                            RetryAt});
      },
      [&](const ClaimStampAhead &) {
        Exchange.sendError(
            {AnswerError::BadHeader, "the idempotency key's time lies ahead"});
      },
      [&](const ClaimLedgerFull &) {
        Exchange.sendError({AnswerError::LedgerFull,
                            "the ledger takes no further key at present",
                            NotRun::True, RetryAt});
      });
}

void ClaimedCall::runGranted() {
  Timestamp Now = steadyNow();
  auto Admitted = admissionAt(Context, *Context.Placements.view(),
                              Call.Caller.Workspace, Now);
  if (Admitted.Mode != Admission::Open) {
    refuse(std::move(Admitted.Refusal));
    return;
  }
  sendOnce(Context.Placements.submit(
      SubmitCall{Call.Caller.Id, Call.Caller.Workspace, Call.Service,
                 Call.Caller.Priority, Call.Deadline},
      [this] { return Exchange.callerGone(); }));
}

void ClaimedCall::sendOnce(Placement Placed) {
  uint32_t Tries = 0;
  while (Placed) {
    RequestId TryId{Call.Caller.Id.Value + "." + std::to_string(++Tries)};
    std::optional<ErrorAnswer> Stop;
    // A call that was sent is finished also without its caller, as the ledger
    // keeps the answer for the resend.
    auto Answer = tryCallTarget(Context, Call, *Placed, TryId, -1, Stop);
    if (Stop) {
      Context.Placements.finished(Call.Caller.Id, TryOutcome::Cancelled);
      refuse(std::move(*Stop));
      return;
    }
    if (Answer || mayHaveRun(Answer.error())) {
      Context.Placements.finished(Call.Caller.Id, Answer ? TryOutcome::Succeeded
                                                         : TryOutcome::Failed);
      finishSent(Answer);
      return;
    }
    Context.Counters.add(TrafficCount::FailedTries);
    Placed = Context.Placements.retry(Call.Caller.Id, TryOutcome::NotSent,
                                      Call.Deadline,
                                      [this] { return Exchange.callerGone(); });
  }
  refuse(refusalAnswer(Placed.error()));
}

void ClaimedCall::finishSent(const LinkResult<ServiceAnswer> &Answer) {
  if (!Answer) {
    Settler.settle(Key, Attempt, SettleUnknown{});
    sendUnknown("the call was sent and its answer was lost: " +
                std::string(enumName(Answer.error().Kind)));
    return;
  }
  ClaimCompleted Completed{static_cast<uint32_t>(Answer->Status),
                           Answer->ContentType, Answer->Body};
  Settled Outcome = Settler.settle(Key, Attempt, std::move(Completed));
  // The answer is whole and true also if the ledger could not keep it in time;
  // a resend then waits for the record or hears "unknown", never runs.
  if (Outcome != Settled::Committed)
    Exchange.setHeader("X-Ferry-Recorded", "false");
  Context.Counters.add(TrafficCount::AnsweredWhole);
  Exchange.send(Answer->Status, Answer->ContentType, Answer->Body);
}

void ClaimedCall::refuse(ErrorAnswer Refusal) {
  Settled Outcome = Settler.settle(Key, Attempt, SettleReleased{});
  Refusal.NotRun =
      Outcome == Settled::Committed ? NotRun::True : NotRun::Unknown;
  Refusal.Entries = otherEntries(Context, Call.Caller.Workspace);
  Context.Counters.add(TrafficCount::Refused);
  logEvent(Severity::Info, "traffic", "refused", {{"type", Refusal.Type}},
           Call.Caller.Id);
  Exchange.sendError(Refusal);
}

void ClaimedCall::sendUnknown(const std::string &Message) {
  Context.Counters.add(TrafficCount::CallsUnknown);
  logEvent(Severity::Warning, "traffic", "call_unknown",
           {{"service", Call.Service}, {"reason", Message}}, Call.Caller.Id);
  Exchange.sendError({AnswerError::OutcomeUnknown, Message, NotRun::Unknown});
}

} // namespace ferry::traffic
