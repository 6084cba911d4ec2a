/// \file
/// What a control host keeps on its disk of the routers' quarantines.
#ifndef FERRY_FERRYD_QUARANTINEKEEPER_H
#define FERRY_FERRYD_QUARANTINEKEEPER_H

#include "LibRouting/PartQuarantine.h"
#include "LibWire/Generated/Routing_types.h"
#include "ferryd/RecordWriter.h"

namespace ferry::daemon {

/// Keeps the quarantined sets over a restart of all routers, which have no
/// disks. Decides nothing. Used on the control thread; another thread writes,
/// so that a slow disk delays nothing else.
class QuarantineKeeper {
public:
  /// Sets in force are written again after this time, as requests that want
  /// them keep them in force and are no news.
  static constexpr Duration RewriteInterval = std::chrono::minutes(5);

  /// Begins with the sets in the file in \p Folder, or with none if it is
  /// missing, damaged or cannot be read.
  explicit QuarantineKeeper(const std::filesystem::path &Folder);

  /// Applies what a host tells, and writes what is new of it.
  void apply(const std::vector<routing::QuarantinedParts> &Told);
  bool hasNews() const { return Quarantine.hasNews(); }
  /// \returns what has changed since the last call.
  routing::CrashNews takeNews();
  routing::CrashNews everything();

private:
  void load(const std::filesystem::path &Path);
  void save();

  routing::PartQuarantine Quarantine;
  Timestamp RewriteAt;
  RecordWriter Writer;
};

} // namespace ferry::daemon

#endif
