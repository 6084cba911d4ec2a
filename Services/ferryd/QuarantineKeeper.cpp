#include "ferryd/QuarantineKeeper.h"
#include "LibObserve/Log.h"
#include "ferryd/BeliefMessages.h"
#include "ferryd/RecordFile.h"
#include <algorithm>

namespace ferry::daemon {

using observe::Severity;
using routing::PartQuarantine;
using routing::QuarantinedParts;

QuarantineKeeper::QuarantineKeeper(const std::filesystem::path &Folder)
    : Writer(Folder / "quarantines", [](const FileError &Reason) {
        observe::logEvent(Severity::Warning, "control", "quarantines_not_kept",
                          {{"reason", Reason.message()}});
      }) {
  load(Folder / "quarantines");
}

void QuarantineKeeper::load(const std::filesystem::path &Path) {
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
  Writer.write(sealRecord(wire::encode(Kept)));
}

} // namespace ferry::daemon
