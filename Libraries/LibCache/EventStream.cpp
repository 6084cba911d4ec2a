#include "LibCache/EventStream.h"

namespace ferry::cache {

/// Number of a life's first event.
static constexpr uint64_t FirstEverNumber = 1;

static uint64_t endNumber(const CacheEventBatch &Batch) {
  return Batch.FirstNumber + Batch.Events.size();
}

void EventStream::appendFrom(const CacheEventBatch &Batch,
                             std::vector<CacheEvent> &Out) {
  uint64_t Skip =
      Next && *Next > Batch.FirstNumber ? *Next - Batch.FirstNumber : 0;
  if (Skip < Batch.Events.size())
    Out.insert(Out.end(), Batch.Events.begin() + static_cast<ptrdiff_t>(Skip),
               Batch.Events.end());
  Next = std::max(Next.value_or(0), endNumber(Batch));
}

void EventStream::appendHeld(std::vector<CacheEvent> &Out) {
  while (!Held.empty() && Held.begin()->first <= *Next) {
    appendFrom(Held.begin()->second, Out);
    Held.erase(Held.begin());
  }
}

EventStream::Step EventStream::takeChanges(const CacheEventBatch &Batch) {
  if (!Next) {
    // What came before the first batch is not known, but nothing is wrong yet.
    ListingWanted = Batch.FirstNumber > FirstEverNumber;
    Next = Batch.FirstNumber;
  }
  Step Result;
  if (endNumber(Batch) <= *Next) {
    Result.Outcome = BatchOutcome::Duplicate;
    return Result;
  }
  if (Batch.FirstNumber <= *Next) {
    appendFrom(Batch, Result.Events);
    appendHeld(Result.Events);
    return Result;
  }
  Held.emplace(Batch.FirstNumber, Batch);
  if (Held.size() <= MaxHeldBatches) {
    Result.Outcome = BatchOutcome::Held;
    return Result;
  }
  Result.Outcome = BatchOutcome::GapDeclared;
  ListingWanted = true;
  Next = Held.begin()->first;
  appendHeld(Result.Events);
  return Result;
}

EventStream::Step EventStream::takeListing(const CacheEventBatch &Batch) {
  Step Result;
  if (Next && Batch.FirstNumber < *Next) {
    Result.Outcome = BatchOutcome::StaleListing;
    return Result;
  }
  Result.Outcome = BatchOutcome::Resynced;
  Next = Batch.FirstNumber;
  ListingWanted = false;
  appendHeld(Result.Events);
  return Result;
}

} // namespace ferry::cache
