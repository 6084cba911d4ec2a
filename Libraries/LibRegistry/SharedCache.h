/// \file
/// Since which description all workspaces that share a cache may use it.
#ifndef FERRY_LIBREGISTRY_SHAREDCACHE_H
#define FERRY_LIBREGISTRY_SHAREDCACHE_H

#include "LibCore/Ids.h"
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace ferry::wire {
class RegistrySnapshot;
} // namespace ferry::wire

namespace ferry::registry {

/// Digest of a workspace's id. Two workspaces with one digest only begin a
/// shared cache anew too often.
using WorkspaceDigest = uint64_t;

/// \returns the digest of \p Workspace.
WorkspaceDigest digestOf(const WorkspaceId &Workspace);

/// Which workspaces of a description share a cache, and which are isolated.
struct CacheSharing {
  std::vector<WorkspaceDigest> Sharing;
  std::vector<WorkspaceDigest> Isolated;
  /// The description lists no workspaces, so that anyone shares the cache.
  bool OpenToAll = false;
  bool operator==(const CacheSharing &) const = default;
};

/// Decides when the shared cache must begin anew, which is when a workspace
/// that may have used it becomes isolated: what its requests cached must not be
/// used by others any more. Part of the replicated state machine.
class SharedCache {
public:
  /// Workspaces that used the cache and are not listed any more, but may come
  /// back isolated. With more of them the cache begins anew.
  static constexpr size_t MaxFormerUsers = 4096;

  /// Takes over the description \p Number, which was accepted.
  /// \param Sharing nothing if the proposer didn't say.
  void apply(DescriptionNumber Number,
             const std::optional<CacheSharing> &Sharing);

  /// \returns the number of the description with which the shared cache began;
  /// 0 if no description was accepted since this is recorded.
  DescriptionNumber since() const { return Since; }

  void save(wire::RegistrySnapshot &Snapshot) const;
  void load(const wire::RegistrySnapshot &Snapshot);

private:
  bool mustBeginAnew(const CacheSharing &Sharing) const;

  DescriptionNumber Since;
  /// The workspaces that may have used the cache since it began; nothing if
  /// that isn't known.
  std::optional<std::set<WorkspaceDigest>> Users;
  /// Whether anyone may have used it.
  bool UsedByAnyone = false;
};

} // namespace ferry::registry

#endif
