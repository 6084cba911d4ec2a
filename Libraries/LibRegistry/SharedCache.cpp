#include "LibRegistry/SharedCache.h"
#include "LibRegistry/Convert.h"
#include "LibRegistry/KeyDigest.h"
#include <algorithm>

namespace ferry::registry {

WorkspaceDigest digestOf(const WorkspaceId &Workspace) {
  return shortDigestOf(Workspace.Value);
}

bool SharedCache::mustBeginAnew(const CacheSharing &Sharing) const {
  // Of a log that this is not recorded of, any workspace may have used it.
  if (!Users)
    return true;
  if (UsedByAnyone && !Sharing.Isolated.empty())
    return true;
  return std::any_of(
      Sharing.Isolated.begin(), Sharing.Isolated.end(),
      [&](WorkspaceDigest Isolated) { return Users->contains(Isolated); });
}

void SharedCache::apply(DescriptionNumber Number,
                        const std::optional<CacheSharing> &Sharing) {
  if (!Sharing) {
    Since = Number;
    Users.reset();
    return;
  }
  if (mustBeginAnew(*Sharing)) {
    Since = Number;
    Users.emplace();
    UsedByAnyone = false;
  }
  Users->insert(Sharing->Sharing.begin(), Sharing->Sharing.end());
  UsedByAnyone |= Sharing->OpenToAll;
  if (Users->size() <= Sharing->Sharing.size() + MaxFormerUsers)
    return;
  Since = Number;
  Users->clear();
  Users->insert(Sharing->Sharing.begin(), Sharing->Sharing.end());
  UsedByAnyone = Sharing->OpenToAll;
}

void SharedCache::save(wire::RegistrySnapshot &Snapshot) const {
  if (!Users)
    return;
  wire::SharedCacheFields Fields;
  Fields.Since = toWire(Since.Value);
  for (WorkspaceDigest User : *Users)
    Fields.Users.push_back(toWire(User));
  Fields.UsedByAnyone = UsedByAnyone;
  Snapshot.__set_SharedCache(Fields);
}

void SharedCache::load(const wire::RegistrySnapshot &Snapshot) {
  *this = {};
  if (!Snapshot.__isset.SharedCache)
    return;
  const wire::SharedCacheFields &Fields = Snapshot.SharedCache;
  Since = {fromWire(Fields.Since)};
  Users.emplace();
  for (int64_t User : Fields.Users)
    Users->insert(fromWire(User));
  UsedByAnyone = Fields.UsedByAnyone;
}

} // namespace ferry::registry
