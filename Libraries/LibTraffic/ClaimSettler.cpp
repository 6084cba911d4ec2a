#include "LibTraffic/ClaimSettler.h"
#include "LibCore/Visit.h"
#include "LibTraffic/AwaitReply.h"

namespace ferry::traffic {

using namespace ferry::registry;

/// Time between two rounds of the background.
static constexpr std::chrono::milliseconds RoundPeriod{200};

using Reply = RegistryResult<ClaimOutcome>;

ClaimSettler::ClaimSettler(const ControlPort &Control, Duration SettleLimit)
    : Control(Control), SettleLimit(SettleLimit),
      Background([this] { settleUntilStopped(); }) {}

ClaimSettler::~ClaimSettler() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_all();
  Background.join();
}

bool ClaimSettler::begin(const ClaimAttempt &Attempt) {
  std::lock_guard Lock(Mutex);
  if (Attempts.size() >= MaxPending)
    return false;
  Attempts.emplace(Attempt, std::nullopt);
  return true;
}

void ClaimSettler::forget(const ClaimAttempt &Attempt) {
  std::lock_guard Lock(Mutex);
  Attempts.erase(Attempt);
  Changed.notify_all();
}

bool ClaimSettler::unsettled(const ClaimAttempt &Attempt) const {
  std::lock_guard Lock(Mutex);
  return Attempts.contains(Attempt);
}

Settled ClaimSettler::settle(const ClaimKey &Key, const ClaimAttempt &Attempt,
                             Settlement End) {
  Settled Outcome = trySettle(Key, Attempt, End);
  if (Outcome == Settled::Pending)
    settleLater(Key, Attempt, std::move(End));
  else
    forget(Attempt);
  return Outcome;
}

void ClaimSettler::settleLater(const ClaimKey &Key, const ClaimAttempt &Attempt,
                               Settlement End) {
  std::lock_guard Lock(Mutex);
  Attempts[Attempt] = Pending{Key, std::move(End)};
  Changed.notify_all();
}

void ClaimSettler::drain(Timestamp Deadline) {
  std::unique_lock Lock(Mutex);
  Changed.wait_until(Lock, Deadline, [this] { return Attempts.empty(); });
}

/// Whether \p Outcome is what \p End asked for.
static bool asWanted(const Settlement &End, const ClaimOutcome &Outcome) {
  return match(
      End,
      [&](const SettleReleased &) {
        return std::holds_alternative<ClaimGranted>(Outcome);
      },
      [&](const ClaimCompleted &) {
        return std::holds_alternative<ClaimCompleted>(Outcome);
      },
      [&](const SettleUnknown &) {
        return std::holds_alternative<ClaimUnknown>(Outcome);
      });
}

Settled ClaimSettler::trySettle(const ClaimKey &Key,
                                const ClaimAttempt &Attempt, Settlement &End) {
  Timestamp Deadline = steadyNow() + SettleLimit;
  auto Answer = awaitReply<Reply>(Deadline, [&](auto Done) {
    match(
        End,
        [&](const SettleReleased &) {
          Control.Release(Key, Attempt, Deadline, Done);
        },
        [&](const ClaimCompleted &Completed) {
          Control.Complete(Key, Attempt, Completed, Deadline, Done);
        },
        [&](const SettleUnknown &) {
          Control.MarkUnknown(Key, Attempt, Deadline, Done);
        });
  });
  if (!Answer)
    return Settled::Pending;
  if (*Answer)
    return asWanted(End, **Answer) ? Settled::Committed : Settled::Overruled;
  bool TooLarge = Answer->error().Kind == RegistryErrorKind::Invalid &&
                  std::holds_alternative<ClaimCompleted>(End);
  // An answer that the ledger cannot keep must still end the claim.
  if (TooLarge)
    End = SettleUnknown{};
  return Settled::Pending;
}

void ClaimSettler::settleUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (!Changed.wait_for(Lock, RoundPeriod, [this] { return Stopping; })) {
    std::vector<ClaimAttempt> Round;
    for (const auto &[Attempt, Waiting] : Attempts)
      if (Waiting)
        Round.push_back(Attempt);
    for (const ClaimAttempt &Attempt : Round) {
      if (Stopping)
        return;
      Pending Waiting = *Attempts[Attempt];
      Lock.unlock();
      Settled Outcome = trySettle(Waiting.Key, Attempt, Waiting.End);
      Lock.lock();
      if (Outcome == Settled::Pending)
        Attempts[Attempt] = std::move(Waiting);
      else
        Attempts.erase(Attempt);
    }
    Changed.notify_all();
  }
}

} // namespace ferry::traffic
