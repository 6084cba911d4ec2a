/// \file
/// Identifiers as distinct types, so that the compiler rejects a mix-up.
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
/// Version of a target's software. What two builds write does not fit together.
using BuildId = StringId<struct BuildTag>;

/// Number of one run of a process of a host or target; greater after a restart.
using Incarnation = NumberId<struct IncarnationTag>;
/// Number of an accepted description; the first accepted one has 1.
using DescriptionNumber = NumberId<struct DescriptionTag>;
/// Version of a model's weights.
using WeightsVersion = NumberId<struct WeightsTag>;
/// Number of a lease's holder, greater for each new holder: targets refuse
/// orders with a lower one.
using FencingNumber = NumberId<struct FencingTag>;
/// Random identity of a replica of the log; an empty disk gets a new one.
using ReplicaId = NumberId<struct ReplicaTag>;
/// The replicated log that a message or record belongs to.
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
