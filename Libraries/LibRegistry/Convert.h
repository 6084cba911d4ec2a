/// \file
/// Conversions between the registry's types and their Thrift structs.
#ifndef FERRY_LIBREGISTRY_CONVERT_H
#define FERRY_LIBREGISTRY_CONVERT_H

#include "LibCore/LeaveLedger.h"
#include "LibRegistry/Outcomes.h"
#include "LibRegistry/SharedCache.h"
#include "LibWire/Generated/Registry_types.h"

namespace ferry::registry {

// Thrift has no unsigned integers; values are sent as signed ones with the same
// bits.
inline int64_t toWire(uint64_t Value) { return static_cast<int64_t>(Value); }
inline uint64_t fromWire(int64_t Value) { return static_cast<uint64_t>(Value); }

wire::ClaimKeyFields toWire(const ClaimKey &Key);
wire::ClaimAttemptFields toWire(const ClaimAttempt &Attempt);
wire::AnswerFields toWire(const ClaimCompleted &Answer);
wire::LeaseFields toWire(const OrderLease &Lease);
wire::LoadSlotFields toWire(const LoadSlot &Slot);
wire::CacheSharingFields toWire(const CacheSharing &Sharing);
wire::LeaveFields toWire(const RecordedLeave &Leave);
wire::DescriptionFields toWire(const StoredDescription &Description);

ClaimKey fromWire(const wire::ClaimKeyFields &Fields);
ClaimAttempt fromWire(const wire::ClaimAttemptFields &Fields);
ClaimCompleted fromWire(const wire::AnswerFields &Fields);
OrderLease fromWire(const wire::LeaseFields &Fields);
LoadSlot fromWire(const wire::LoadSlotFields &Fields);
CacheSharing fromWire(const wire::CacheSharingFields &Fields);
RecordedLeave fromWire(const wire::LeaveFields &Fields);
StoredDescription fromWire(const wire::DescriptionFields &Fields);

} // namespace ferry::registry

#endif
