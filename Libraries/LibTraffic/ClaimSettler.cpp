#include "LibTraffic/ClaimSettler.h"
#include "LibCore/Visit.h"
#include "LibObserve/Guard.h"
#include "LibTraffic/AwaitReply.h"

namespace ferry::traffic {

using namespace ferry::registry;

/// Time between two passes of the background thread.
static constexpr std::chrono::milliseconds RetryPeriod{200};

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

bool ClaimSettler::isUnsettled(const ClaimAttempt &Attempt) const {
  std::lock_guard Lock(Mutex);
  return Attempts.contains(Attempt);
}

SettleResult ClaimSettler::settle(const ClaimKey &Key,
                                  const ClaimAttempt &Attempt, Settlement End) {
  SettleResult Outcome = trySettle(Key, Attempt, End);
  if (Outcome == SettleResult::Pending)
    settleLater(Key, Attempt, std::move(End));
  else
    forget(Attempt);
  return Outcome;
}

void ClaimSettler::settleLater(const ClaimKey &Key, const ClaimAttempt &Attempt,
                               Settlement End) {
  std::lock_guard Lock(Mutex);
  Attempts[Attempt] = PendingSettlement{Key, std::move(End)};
  Changed.notify_all();
}

void ClaimSettler::drain(Timestamp Deadline) {
  std::unique_lock Lock(Mutex);
  Changed.wait_until(Lock, Deadline, [this] { return Attempts.empty(); });
}

/// Whether \p Outcome confirms that the ledger committed \p End.
static bool isConfirmation(const Settlement &End, const ClaimOutcome &Outcome) {
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

SettleResult ClaimSettler::trySettle(const ClaimKey &Key,
                                     const ClaimAttempt &Attempt,
                                     Settlement &End) {
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
    return SettleResult::Pending;
  if (*Answer)
    return isConfirmation(End, **Answer) ? SettleResult::Committed
                                         : SettleResult::Overruled;
  bool TooLarge = Answer->error().Kind == RegistryErrorKind::Invalid &&
                  std::holds_alternative<ClaimCompleted>(End);
  // The claim must end even if the ledger cannot store the answer.
  if (TooLarge)
    End = SettleUnknown{};
  return SettleResult::Pending;
}

void ClaimSettler::settleUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (!Changed.wait_for(Lock, RetryPeriod, [this] { return Stopping; })) {
    std::vector<ClaimAttempt> PendingAttempts;
    for (const auto &[Attempt, Unsettled] : Attempts)
      if (Unsettled)
        PendingAttempts.push_back(Attempt);
    for (const ClaimAttempt &Attempt : PendingAttempts) {
      if (Stopping)
        return;
      PendingSettlement Unsettled = *Attempts[Attempt];
      Lock.unlock();
      // An attempt that fails unexpectedly is tried again like a lost one.
      SettleResult Outcome = SettleResult::Pending;
      observe::runGuarded("settler", [&] {
        Outcome = trySettle(Unsettled.Key, Attempt, Unsettled.End);
      });
      Lock.lock();
      if (Outcome == SettleResult::Pending)
        Attempts[Attempt] = std::move(Unsettled);
      else
        Attempts.erase(Attempt);
    }
    Changed.notify_all();
  }
}

} // namespace ferry::traffic
