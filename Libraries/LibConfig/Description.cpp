#include "LibConfig/Description.h"
#include <algorithm>

namespace ferry::config {

template <typename ItemType, typename IdType>
static const ItemType *findById(const std::vector<ItemType> &Items,
                                const IdType &Id) {
  auto It = std::find_if(Items.begin(), Items.end(),
                         [&](const ItemType &Item) { return Item.Id == Id; });
  return It == Items.end() ? nullptr : &*It;
}

const Service *Description::findService(const ServiceId &Id) const {
  return findById(Services, Id);
}

const Workspace *Description::findWorkspace(const WorkspaceId &Id) const {
  return findById(Workspaces, Id);
}

const Service *Description::findModelService(const ModelId &Model) const {
  auto Serves = [&](const Service &Item) {
    return Item.Kind == TargetKind::Engine && Item.Model == Model;
  };
  auto It = std::find_if(Services.begin(), Services.end(), Serves);
  return It == Services.end() ? nullptr : &*It;
}

} // namespace ferry::config
