/// \file
/// Settings of a replica.
#ifndef FERRY_LIBCONSENSUS_REPLICAOPTIONS_H
#define FERRY_LIBCONSENSUS_REPLICAOPTIONS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <vector>

namespace ferry::consensus {

/// Intervals of a replica; the same on all replicas of a log.
struct ReplicaTiming {
  /// Between heartbeats of an idle leader.
  Duration HeartbeatInterval = std::chrono::milliseconds(60);
  /// Silence after which a leader is presumed dead; elections start after one
  /// to two times this.
  Duration ElectionTimeout = std::chrono::milliseconds(300);
  /// Between the questions of a replica that wants to be taken in.
  Duration ProbeInterval = std::chrono::milliseconds(200);
};

/// Bounds on memory, messages and log length.
struct ReplicaLimits {
  /// Commands behind the last snapshot that cause the next one.
  uint64_t SnapshotEntries = 1000;
  /// Bytes behind the last snapshot that cause the next one.
  uint64_t SnapshotBytes = uint64_t{16} << 20;
  /// Entries kept behind a snapshot for peers that lag a little.
  uint64_t TrailingEntries = 200;
  uint64_t MaxCommandBytes = uint64_t{1} << 20;
  uint64_t MaxAppendBytes = uint64_t{256} << 10;
  uint64_t SnapshotChunkBytes = uint64_t{256} << 10;
  /// Largest snapshot taken from a leader.
  uint64_t MaxSnapshotBytes = uint64_t{512} << 20;
  /// Appends sent to a peer ahead of their replies.
  uint64_t MaxInflightAppends = 8;
  uint64_t MaxUncommittedEntries = 20'000;
  uint64_t MaxUncommittedBytes = uint64_t{32} << 20;
};

/// What a replica is part of, and how it behaves.
struct ReplicaOptions {
  ClusterId Cluster;
  GroupId Group{1};
  HostId Self;
  /// All listed control hosts, this one included.
  std::vector<HostId> Hosts;
  uint64_t Seed = 0;
  ReplicaTiming Timing = {};
  ReplicaLimits Limits = {};
};

} // namespace ferry::consensus

#endif
