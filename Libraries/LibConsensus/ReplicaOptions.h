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
  /// Silence after which a voter is replaced by a learner of another host,
  /// where members are discovered: longer than a restart takes.
  Duration ReplaceSilentAfter = std::chrono::seconds(3);
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

/// Where the hosts of a log are known from.
enum class MemberSource : uint8_t {
  /// All of them are listed, the same on each.
  Listed,
  /// The hosts listed form the log; others are told by HostsEvent and join.
  Discovered
};

/// What a replica is part of, and how it behaves.
struct ReplicaOptions {
  ClusterId Cluster;
  GroupId Group{1};
  HostId Self;
  /// All listed control hosts, this one included.
  std::vector<HostId> Hosts;
  MemberSource Members = MemberSource::Listed;
  /// Whether a replica without state may form the log with the other Hosts.
  bool MayForm = true;
  /// Voters to aim at where members are discovered.
  size_t WantedVoters = 3;
  uint64_t Seed = 0;
  ReplicaTiming Timing = {};
  ReplicaLimits Limits = {};
};

} // namespace ferry::consensus

#endif
