#include "ferryd/QuarantineKeeper.h"
#include "LibObserve/Log.h"
#include "ferryd/BeliefMessages.h"
#include "ferryd/RecordFile.h"
#include <algorithm>
#include <utility>

namespace ferry::daemon {

using observe::Severity;
using routing::PartQuarantine;
using routing::QuarantinedParts;

/// Time after which a write that failed is repeated.
static constexpr std::chrono::seconds RetryPause{1};

QuarantineKeeper::QuarantineKeeper(const std::filesystem::path &Folder)
    : Path(Folder / "quarantines") {
  load();
  Writer = std::thread([this] { writeUntilStopped(); });
}

QuarantineKeeper::~QuarantineKeeper() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  Changed.notify_one();
  Writer.join();
}

void QuarantineKeeper::load() {
  auto Kept = tryReadRecord<wire::KeptQuarantines>(Path);
  if (!Kept)
    return observe::logEvent(Severity::Warning, "control",
                             "quarantines_not_read",
                             {{"reason", Kept.error().message()}});
  if (!Kept->has_value())
    return;
  // The clock may have been set back since.
  Duration Elapsed = std::chrono::milliseconds(
      std::clamp<int64_t>(unixNow().Value - (*Kept)->WrittenAt, 0,
                          PartQuarantine::IdleLimit.count() / 1000));
  Timestamp Now = steadyNow();
  routing::CrashNews Read;
  for (const wire::QuarantinedParts &Fields : (*Kept)->Quarantined)
    Read.Quarantined.push_back(fromWire(Fields, Now - Elapsed));
  Quarantine.apply(Read, /*PassOn=*/false, Now);
  observe::logEvent(Severity::Info, "control", "quarantines_read",
                    {{"sets", Read.Quarantined.size()},
                     {"in_force", Quarantine.quarantinedSets()},
                     {"age_ms", Elapsed.count() / 1000}});
}

void QuarantineKeeper::apply(const std::vector<QuarantinedParts> &Told) {
  if (Told.empty())
    return;
  Timestamp Now = steadyNow();
  Quarantine.apply({{}, Told}, /*PassOn=*/true, Now);
  for (const routing::QuarantineChange &Change : Quarantine.takeChanges())
    observe::logEvent(Severity::Info, "control", "quarantine_kept",
                      {{"change", Change.What},
                       {"parts", routing::partsText(Change.Parts)},
                       {"trials", Change.Trials}});
  if (Quarantine.hasNews() || Now >= RewriteAt)
    save();
}

routing::CrashNews QuarantineKeeper::takeNews() {
  return Quarantine.takeNews(steadyNow());
}

routing::CrashNews QuarantineKeeper::everything() {
  return Quarantine.everything(steadyNow());
}

void QuarantineKeeper::save() {
  Timestamp Now = steadyNow();
  RewriteAt = Now + RewriteInterval;
  wire::KeptQuarantines Kept;
  Kept.WrittenAt = unixNow().Value;
  for (const QuarantinedParts &Set : Quarantine.everything(Now).Quarantined)
    Kept.Quarantined.push_back(toWire(Set, Now));
  {
    std::lock_guard Lock(Mutex);
    Pending = std::move(Kept);
  }
  Changed.notify_one();
}

void QuarantineKeeper::writeUntilStopped() {
  bool Failing = false;
  std::unique_lock Lock(Mutex);
  while (true) {
    Changed.wait(Lock, [this] { return Stopping || Pending; });
    if (!Pending)
      return;
    wire::KeptQuarantines Next = *std::exchange(Pending, std::nullopt);
    Lock.unlock();
    auto Written = tryReplaceRecord(Path, Next);
    Lock.lock();
    if (Written) {
      Failing = false;
      continue;
    }
    if (!std::exchange(Failing, true))
      observe::logEvent(Severity::Warning, "control", "quarantines_not_kept",
                        {{"reason", Written.error().message()}});
    if (Stopping)
      return;
    if (!Pending)
      Pending = std::move(Next);
    Changed.wait_for(Lock, RetryPause, [this] { return Stopping; });
  }
}

} // namespace ferry::daemon
