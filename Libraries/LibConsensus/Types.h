/// \file
/// The values that replicas of a log exchange and store.
#ifndef FERRY_LIBCONSENSUS_TYPES_H
#define FERRY_LIBCONSENSUS_TYPES_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ferry::consensus {

/// A replica and the host that runs it.
struct Member {
  ReplicaId Replica;
  HostId Host;
  bool operator==(const Member &) const = default;
};

/// The membership of a log.
struct Configuration {
  std::vector<Member> Voters;

  bool operator==(const Configuration &) const = default;
  /// \returns whether \p Replica is a voter.
  bool contains(ReplicaId Replica) const;
  /// \returns the voter that runs on \p Host, or nothing.
  std::optional<Member> onHost(const HostId &Host) const;
  /// \returns how many voters are a majority.
  size_t quorum() const { return Voters.size() / 2 + 1; }
};

/// The kind of a log entry.
enum class EntryKind : uint8_t { Noop, Command, Configuration };

/// One entry of the log.
struct Entry {
  uint64_t Index = 0;
  uint64_t Term = 0;
  EntryKind Kind = EntryKind::Noop;
  /// The command, or an encoded Configuration.
  std::string Payload;
  bool operator==(const Entry &) const = default;
};

/// The membership status of a replica.
enum class Standing : uint8_t {
  /// Has an empty disk and has promised nothing; may help to form a cluster.
  Blank,
  /// Receives the log, but neither votes nor counts towards a quorum.
  Learner,
  /// Is a member of its latest configuration.
  Voter,
  /// Has lost what it promised, to a damaged disk or by a dismissal: it does
  /// not vote, and only joins a cluster, as a new replica.
  Refusing
};

/// The stored identity of a replica.
struct Identity {
  ReplicaId Replica;
  /// Blank, Refusing, or Learner for a replica that has promised or stored
  /// something. Never Voter: whether it is a voter follows from its log.
  Standing StoredStanding = Standing::Blank;
  /// The initial configuration of the cluster, if this replica helped to form
  /// it.
  std::optional<Configuration> Formation;
  bool operator==(const Identity &) const = default;
};

/// The current term and the vote in it. They are synced before any reply that
/// depends on them is sent.
struct Vote {
  uint64_t Term = 0;
  /// The replica that was voted for in the term; 0 for none.
  ReplicaId VotedFor;
  bool operator==(const Vote &) const = default;
};

/// The state at an index, which replaces the entries up to it.
struct Snapshot {
  uint64_t Index = 0;
  uint64_t Term = 0;
  /// The configuration in force at Index.
  Configuration Members;
  /// The application's state.
  std::string State;
  bool operator==(const Snapshot &) const = default;
};

/// One atomic write. A batch with a snapshot is a checkpoint: it is complete by
/// itself, and earlier writes may be deleted.
struct WriteBatch {
  std::optional<Identity> NewIdentity;
  std::optional<Vote> NewVote;
  std::shared_ptr<const Snapshot> NewSnapshot;
  /// Entries from this index on are dropped before the new ones are added.
  std::optional<uint64_t> TruncateFrom;
  std::vector<Entry> Entries;

  bool empty() const {
    return !NewIdentity && !NewVote && !NewSnapshot && !TruncateFrom &&
           Entries.empty();
  }
};

/// All that a replica has on disk.
struct DurableState {
  Identity Self;
  Vote LastVote;
  std::shared_ptr<const Snapshot> LastSnapshot;
  std::vector<Entry> Entries;

  /// Applies \p Batch, as replaying the log does.
  void apply(const WriteBatch &Batch);
};

} // namespace ferry::consensus

namespace ferry {

template <> struct EnumNames<consensus::Standing> {
  using Kind = consensus::Standing;
  static constexpr EnumName<Kind> Table[] = {{Kind::Blank, "blank"},
                                             {Kind::Learner, "learner"},
                                             {Kind::Voter, "voter"},
                                             {Kind::Refusing, "refusing"}};
};

} // namespace ferry

#endif
