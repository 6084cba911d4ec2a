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

/// The voters of a log.
struct Configuration {
  std::vector<Member> Voters;

  bool operator==(const Configuration &) const = default;
  /// \returns whether \p Replica votes.
  bool contains(ReplicaId Replica) const;
  /// \returns the voter that runs on \p Host, or nothing.
  std::optional<Member> onHost(const HostId &Host) const;
  /// \returns how many voters are a majority.
  size_t quorum() const { return Voters.size() / 2 + 1; }
};

/// What an entry of the log holds.
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

/// What a replica may do.
enum class Standing : uint8_t {
  /// Has nothing on disk and has promised nothing.
  Blank,
  /// Receives the log and neither votes nor counts.
  Learner,
  /// Is a member of its latest configuration.
  Voter,
  /// Found its disk damaged and waits to be taken in anew.
  Refusing
};

/// What a replica is, as its disk says.
struct Identity {
  ReplicaId Replica;
  /// Blank and Refusing as named; Learner for all that promised something.
  Standing Kept = Standing::Blank;
  /// The configuration that formed the cluster, if this replica helped.
  std::optional<Configuration> Formation;
  bool operator==(const Identity &) const = default;
};

/// Term and vote, durable before any answer that depends on them.
struct Vote {
  uint64_t Term = 0;
  /// Whom this replica voted for in the term; 0 for nobody.
  ReplicaId VotedFor;
  bool operator==(const Vote &) const = default;
};

/// The state up to an index, in place of the entries up to it.
struct Snapshot {
  uint64_t Index = 0;
  uint64_t Term = 0;
  /// The configuration in force at Index.
  Configuration Members;
  /// The application's state.
  std::string State;
  bool operator==(const Snapshot &) const = default;
};

/// One write that becomes durable as a whole. With a snapshot it is a
/// checkpoint: it holds all that is needed, and earlier writes may go.
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

  /// Adds \p Batch, as a replay of the log does.
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
