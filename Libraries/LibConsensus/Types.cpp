#include "LibConsensus/Types.h"
#include <algorithm>

namespace ferry::consensus {

bool Configuration::contains(ReplicaId Replica) const {
  return std::any_of(Voters.begin(), Voters.end(), [&](const Member &Voter) {
    return Voter.Replica == Replica;
  });
}

std::optional<Member> Configuration::onHost(const HostId &Host) const {
  for (const Member &Voter : Voters)
    if (Voter.Host == Host)
      return Voter;
  return std::nullopt;
}

void DurableState::apply(const WriteBatch &Batch) {
  if (Batch.NewIdentity)
    Self = *Batch.NewIdentity;
  if (Batch.NewVote)
    LastVote = *Batch.NewVote;
  if (Batch.NewSnapshot) {
    LastSnapshot = Batch.NewSnapshot;
    Entries.clear();
  }
  if (Batch.TruncateFrom)
    while (!Entries.empty() && Entries.back().Index >= *Batch.TruncateFrom)
      Entries.pop_back();
  Entries.insert(Entries.end(), Batch.Entries.begin(), Batch.Entries.end());
}

} // namespace ferry::consensus
