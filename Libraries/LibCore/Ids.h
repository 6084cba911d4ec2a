/// \file
/// Identifiers as distinct types, so that one cannot stand for another.
#ifndef FERRY_LIBCORE_IDS_H
#define FERRY_LIBCORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace ferry {

/// A textual identifier of the kind named by \p TagType.
template <typename TagType> struct StringId {
  std::string Value;

  bool empty() const { return Value.empty(); }
  auto operator<=>(const StringId &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, const StringId &Id) {
    return Out << Id.Value;
  }
};

/// A numeric identifier of the kind named by \p TagType; 0 means none.
template <typename TagType> struct NumberId {
  uint64_t Value = 0;

  auto operator<=>(const NumberId &) const = default;
  friend std::ostream &operator<<(std::ostream &Out, const NumberId &Id) {
    return Out << Id.Value;
  }
};

using ClusterId = StringId<struct ClusterTag>;
using HostId = StringId<struct HostTag>;
using TargetId = StringId<struct TargetTag>;
using WorkspaceId = StringId<struct WorkspaceTag>;
using ServiceId = StringId<struct ServiceTag>;
using DataCentreId = StringId<struct DataCentreTag>;
using ModelId = StringId<struct ModelTag>;
using AdapterId = StringId<struct AdapterTag>;
using RequestId = StringId<struct RequestTag>;

/// Which life of a host or target: a restart takes a greater one.
using Incarnation = NumberId<struct IncarnationTag>;
/// Number of an accepted description; the first accepted one has 1.
using DescriptionNumber = NumberId<struct DescriptionTag>;
/// Version of a model's weights.
using WeightsVersion = NumberId<struct WeightsTag>;
/// Rising number that fences out earlier holders of a lease.
using FencingNumber = NumberId<struct FencingTag>;
/// Identity of a replica of the log; drawn anew for an empty disk.
using ReplicaId = NumberId<struct ReplicaTag>;
/// Which replicated log a message or record belongs to.
using GroupId = NumberId<struct GroupTag>;

} // namespace ferry

template <typename TagType> struct std::hash<ferry::StringId<TagType>> {
  size_t operator()(const ferry::StringId<TagType> &Id) const {
    return std::hash<std::string>()(Id.Value);
  }
};
template <typename TagType> struct std::hash<ferry::NumberId<TagType>> {
  size_t operator()(const ferry::NumberId<TagType> &Id) const {
    return std::hash<uint64_t>()(Id.Value);
  }
};

#endif
