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

/// Silence of the holder's host after which its claim is marked unknown.
static constexpr std::chrono::seconds SilentHolderLimit{3};
/// Time after which a caller may resend a call that is running or undecided.
static constexpr std::chrono::seconds UndecidedRetryDelay{1};

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
                        steadyNow() + UndecidedRetryDelay});
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
  // The claim may still commit. It is released, as nothing was or will be sent
  // under it.
  Settler.settleLater(Key, Attempt, SettleReleased{});
  Exchange.sendError({AnswerError::NoQuorum,
                      "the ledger did not answer before the deadline",
                      NotRun::Unknown, steadyNow() + UndecidedRetryDelay});
}

std::optional<ClaimOutcome> ClaimedCall::awaitClaim() {
  std::optional<ClaimOutcome> LastOutcome;
  while (steadyNow() < Call.Deadline) {
    auto Reply = requestClaim();
    if (!Reply ||
        (!*Reply && Reply->error().Kind != RegistryErrorKind::NotProposed))
      return LastOutcome;
    if (*Reply) {
      LastOutcome = **Reply;
      auto *HeldClaim = std::get_if<ClaimHeld>(&*LastOutcome);
      if (!HeldClaim || HeldClaim->Holder == Attempt)
        return HeldClaim ? ClaimOutcome(ClaimGranted{}) : *LastOutcome;
      if (!resolveHeldClaim(HeldClaim->Holder))
        return LastOutcome;
    }
    std::this_thread::sleep_until(
        std::min(Call.Deadline, steadyNow() + Context.Limits.ClaimPollPeriod));
  }
  return LastOutcome;
}

std::optional<ClaimedCall::ClaimReply> ClaimedCall::requestClaim() {
  return awaitReply<ClaimReply>(Call.Deadline, [&](auto Done) {
    Context.Control.Claim(Key, Attempt, callDigest(Call), Call.Deadline, Done);
  });
}

bool ClaimedCall::resolveHeldClaim(const ClaimAttempt &Holder) {
  bool HeldByThisProcess =
      Holder.Host == Attempt.Host && Holder.Incarnation == Attempt.Incarnation;
  // An attempt of this process that is neither in progress nor pending was
  // never sent: its claim committed after the process had stopped waiting for
  // it.
  if (HeldByThisProcess && !Settler.isUnsettled(Holder) &&
      Settler.begin(Holder))
    Settler.settle(Key, Holder, SettleReleased{});
  if (!HeldByThisProcess && isHolderGone(Holder)) {
    Timestamp Deadline =
        std::min(Call.Deadline, steadyNow() + Context.Limits.SettleLimit);
    awaitReply<ClaimReply>(Deadline, [&](auto Done) {
      Context.Control.MarkUnknown(Key, Holder, Deadline, Done);
    });
  }
  return !Exchange.callerGone();
}

bool ClaimedCall::isHolderGone(const ClaimAttempt &Holder) {
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
  Timestamp RetryAt = steadyNow() + UndecidedRetryDelay;
  match(
      Outcome, [](const ClaimGranted &) {},
      [&](const ClaimHeld &) {
        Exchange.sendError({AnswerError::InProgress,
                            "another attempt of this call is running",
                            NotRun::Unknown, RetryAt});
      },
      [&](const ClaimCompleted &Completed) {
        Exchange.setHeader("Idempotency-Replayed", "true");
        Exchange.send(static_cast<int>(Completed.Status), Completed.ContentType,
                      Completed.Body);
      },
      [&](const ClaimUnknown &) {
        sendUnknownOutcome("it cannot be determined whether this call ran");
      },
      [&](const ClaimMismatch &) {
        Exchange.sendError({AnswerError::KeyMismatch,
                            "the idempotency key was used for another call"});
      },
      [&](const ClaimExpired &) {
        Exchange.sendError(
            {AnswerError::KeyExpired,
             "the idempotency key is older than what the ledger keeps",
             NotRun::Unknown});
      },
      [&](const ClaimReleased &) {
        Exchange.sendError({AnswerError::InProgress,
                            "this attempt was released before it ran",
                            NotRun::True, RetryAt});
      },
      [&](const ClaimStampAhead &) {
        Exchange.sendError({AnswerError::BadHeader,
                            "the idempotency key's time is in the future"});
      },
      [&](const ClaimLedgerFull &) {
        Exchange.sendError({AnswerError::LedgerFull,
                            "the ledger accepts no new keys at present",
                            NotRun::True, RetryAt});
      });
}

void ClaimedCall::runGranted() {
  Timestamp Now = steadyNow();
  auto Decision = admissionAt(Context, *Context.Placements.view(),
                              Call.Caller.Workspace, Now);
  if (Decision.Mode != Admission::Open) {
    refuse(std::move(Decision.Refusal));
    return;
  }
  sendOnce(Context.Placements.submit(
      SubmitCall{Call.Caller.Id, Call.Caller.Workspace, Call.Service,
                 Call.Caller.Priority, Call.Deadline},
      [this] { return Exchange.callerGone(); }));
}

void ClaimedCall::sendOnce(Placement Destination) {
  uint32_t Tries = 0;
  while (Destination) {
    RequestId TryId{Call.Caller.Id.Value + "." + std::to_string(++Tries)};
    std::optional<ErrorAnswer> SendRefusal;
    // A sent call is finished even if its caller disconnects: the ledger keeps
    // the answer for a resend.
    auto Answer =
        tryCallTarget(Context, Call, *Destination, TryId, -1, SendRefusal);
    if (SendRefusal) {
      Context.Placements.finished(Call.Caller.Id, TryOutcome::Cancelled);
      refuse(std::move(*SendRefusal));
      return;
    }
    if (Answer || mayHaveRun(Answer.error())) {
      Context.Placements.finished(Call.Caller.Id, Answer ? TryOutcome::Succeeded
                                                         : TryOutcome::Failed);
      finishCall(Answer);
      return;
    }
    Context.Counters.add(TrafficCount::FailedTries);
    Destination = Context.Placements.retry(
        Call.Caller.Id, TryOutcome::NotSent, Call.Deadline,
        [this] { return Exchange.callerGone(); });
  }
  refuse(refusalAnswer(Destination.error()));
}

void ClaimedCall::finishCall(const LinkResult<ServiceAnswer> &Answer) {
  if (!Answer) {
    Settler.settle(Key, Attempt, SettleUnknown{});
    sendUnknownOutcome("the call was sent and its answer was lost: " +
                       std::string(enumName(Answer.error().Kind)));
    return;
  }
  ClaimCompleted Completed{static_cast<uint32_t>(Answer->Status),
                           Answer->ContentType, Answer->Body.text()};
  SettleResult Outcome = Settler.settle(Key, Attempt, std::move(Completed));
  // The answer is valid even if the ledger did not commit it in time. A resend
  // then waits for the commit or gets "unknown", and never runs the call again.
  if (Outcome != SettleResult::Committed)
    Exchange.setHeader("X-Ferry-Recorded", "false");
  Context.Counters.add(TrafficCount::AnsweredWhole);
  Exchange.send(Answer->Status, Answer->ContentType, Answer->Body);
}

void ClaimedCall::refuse(ErrorAnswer Refusal) {
  SettleResult Outcome = Settler.settle(Key, Attempt, SettleReleased{});
  Refusal.NotRun =
      Outcome == SettleResult::Committed ? NotRun::True : NotRun::Unknown;
  Refusal.Entries = otherEntries(Context, Call.Caller.Workspace);
  Context.Counters.add(TrafficCount::Refused);
  logEvent(Severity::Info, "traffic", "refused", {{"type", Refusal.Type}},
           Call.Caller.Id);
  Exchange.sendError(Refusal);
}

void ClaimedCall::sendUnknownOutcome(const std::string &Message) {
  Context.Counters.add(TrafficCount::CallsUnknown);
  logEvent(Severity::Warning, "traffic", "call_unknown",
           {{"service", Call.Service}, {"reason", Message}}, Call.Caller.Id);
  Exchange.sendError({AnswerError::OutcomeUnknown, Message, NotRun::Unknown});
}

} // namespace ferry::traffic
