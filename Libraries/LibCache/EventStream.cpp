#include "LibCache/EventStream.h"

namespace ferry::cache {

/// Number of the first event of an incarnation.
static constexpr uint64_t FirstEventNumber = 1;

static uint64_t endNumber(const CacheEventBatch &Batch) {
  return Batch.FirstNumber + Batch.Events.size();
}

void EventStream::appendFrom(const CacheEventBatch &Batch,
                             std::vector<CacheEvent> &Out) {
  uint64_t Skip = NextNumber && *NextNumber > Batch.FirstNumber
                      ? *NextNumber - Batch.FirstNumber
                      : 0;
  if (Skip < Batch.Events.size())
    Out.insert(Out.end(), Batch.Events.begin() + static_cast<ptrdiff_t>(Skip),
               Batch.Events.end());
  NextNumber = std::max(NextNumber.value_or(0), endNumber(Batch));
}

void EventStream::appendPending(std::vector<CacheEvent> &Out) {
  while (!PendingBatches.empty() &&
         PendingBatches.begin()->first <= *NextNumber) {
    appendFrom(PendingBatches.begin()->second, Out);
    PendingBatches.erase(PendingBatches.begin());
  }
}

EventStream::Step EventStream::addChanges(const CacheEventBatch &Batch) {
  if (!NextNumber) {
    // Events before the first batch are unknown, but this is not a gap: no sure
    // entry depends on them.
    ListingWanted = Batch.FirstNumber > FirstEventNumber;
    NextNumber = Batch.FirstNumber;
  }
  Step Result;
  if (endNumber(Batch) <= *NextNumber) {
    Result.Outcome = BatchOutcome::Duplicate;
    return Result;
  }
  if (Batch.FirstNumber <= *NextNumber) {
    appendFrom(Batch, Result.Events);
    appendPending(Result.Events);
    return Result;
  }
  PendingBatches.emplace(Batch.FirstNumber, Batch);
  if (PendingBatches.size() <= MaxPendingBatches) {
    Result.Outcome = BatchOutcome::Held;
    return Result;
  }
  Result.Outcome = BatchOutcome::GapDeclared;
  ListingWanted = true;
  NextNumber = PendingBatches.begin()->first;
  appendPending(Result.Events);
  return Result;
}

EventStream::Step EventStream::addListing(const CacheEventBatch &Batch) {
  Step Result;
  if (NextNumber && Batch.FirstNumber < *NextNumber) {
    Result.Outcome = BatchOutcome::StaleListing;
    return Result;
  }
  Result.Outcome = BatchOutcome::Resynced;
  NextNumber = Batch.FirstNumber;
  ListingWanted = false;
  appendPending(Result.Events);
  return Result;
}

} // namespace ferry::cache
