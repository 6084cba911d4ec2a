/// \file
/// Options of a replica.
#ifndef FERRY_LIBCONSENSUS_REPLICAOPTIONS_H
#define FERRY_LIBCONSENSUS_REPLICAOPTIONS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <vector>

namespace ferry::consensus {

/// Intervals of a replica; the same on all replicas of a log.
struct ReplicaTiming {
  /// Between two heartbeats of an idle leader.
  Duration HeartbeatInterval = std::chrono::milliseconds(60);
  /// A leader that has not been heard from for this long is presumed dead.
  /// Elections start after one to two times this.
  Duration ElectionTimeout = std::chrono::milliseconds(300);
  /// Between two probes or join requests of a replica that is no member.
  Duration ProbeInterval = std::chrono::milliseconds(200);
  /// Where members are discovered, a voter that has not been heard from for
  /// this long is replaced by a learner of another host. Longer than a restart
  /// takes.
  Duration ReplaceSilentAfter = std::chrono::seconds(3);
};

/// Bounds on memory, messages and log length.
struct ReplicaLimits {
  /// Entries after the last snapshot that cause the next one.
  uint64_t SnapshotEntries = 1000;
  /// Bytes in the log that cause the next snapshot.
  uint64_t SnapshotBytes = uint64_t{16} << 20;
  /// Entries up to a snapshot that are kept, for peers that lag slightly;
  /// fewer if they take more than maxTrailingBytes().
  uint64_t TrailingEntries = 200;
  uint64_t maxTrailingBytes() const { return SnapshotBytes / 2; }
  uint64_t MaxCommandBytes = uint64_t{1} << 20;
  uint64_t MaxAppendBytes = uint64_t{256} << 10;
  uint64_t SnapshotChunkBytes = uint64_t{256} << 10;
  /// Largest snapshot that is accepted from a leader.
  uint64_t MaxSnapshotBytes = uint64_t{512} << 20;
  /// Appends to a peer that may wait for their replies.
  uint64_t MaxInflightAppends = 8;
  uint64_t MaxUncommittedEntries = 20'000;
  uint64_t MaxUncommittedBytes = uint64_t{32} << 20;
};

/// How a replica learns the hosts of its log.
enum class MemberSource : uint8_t {
  /// All of them are listed, the same on each host.
  Listed,
  /// The listed hosts form the log; further ones come by HostsEvent and join.
  Discovered
};

/// The cluster of a replica, and how it behaves.
struct ReplicaOptions {
  ClusterId Cluster;
  GroupId Group{1};
  HostId Self;
  /// All listed control hosts, this one included.
  std::vector<HostId> Hosts;
  MemberSource Members = MemberSource::Listed;
  /// Whether a replica without state may form the log with the other Hosts.
  bool MayForm = true;
  /// Number of voters to keep, where members are discovered.
  size_t WantedVoters = 3;
  /// Seeds the election jitter and the nonces.
  uint64_t Seed = 0;
  ReplicaTiming Timing = {};
  ReplicaLimits Limits = {};
};

} // namespace ferry::consensus

#endif
