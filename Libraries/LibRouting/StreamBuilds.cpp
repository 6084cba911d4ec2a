#include "LibRouting/StreamBuilds.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>

namespace ferry::routing {

StreamKey streamKey(const WorkspaceId &Workspace, const RequestId &Request) {
  // The length keeps apart pairs that are equal when joined.
  return {hashIdentifier(std::to_string(Workspace.Value.size()) + ":" +
                         Workspace.Value + Request.Value)};
}

std::optional<BuildId> buildToContinue(const std::optional<BuildId> &Known,
                                       const std::optional<BuildId> &Announced,
                                       bool NamesRequest) {
  if (Known)
    return Known;
  // A caller that names no request cannot be told apart from one whose stream
  // the only build began. One that names it is known where its build is.
  bool MayAssumeOnlyBuild = Announced && (Announced->empty() || !NamesRequest);
  return MayAssumeOnlyBuild ? Announced : std::nullopt;
}

void StreamBuilds::note(const BegunStream &Stream, Timestamp Now) {
  auto [Found, IsNew] = Streams.try_emplace(Stream.Key);
  if (!IsNew)
    KeysByNumber.erase(Found->second.Number);
  Found->second = {Stream.Build, std::min(Stream.ExpiresAt, Now + MaxLifetime),
                   NextNumber};
  KeysByNumber.emplace(NextNumber++, Stream.Key);
  while (!KeysByNumber.empty()) {
    auto Oldest = KeysByNumber.begin();
    auto OldestStream = Streams.find(Oldest->second);
    bool Keep =
        Streams.size() <= MaxStreams && OldestStream->second.ExpiresAt > Now;
    if (Keep)
      return;
    Streams.erase(OldestStream);
    KeysByNumber.erase(Oldest);
  }
}

std::optional<BuildId> StreamBuilds::find(StreamKey Key, Timestamp Now) const {
  auto Found = Streams.find(Key);
  if (Found == Streams.end() || Found->second.ExpiresAt <= Now)
    return std::nullopt;
  return Found->second.Build;
}

std::vector<HostId> StreamLookups::holders(StreamKey Key,
                                           std::vector<HostId> Routers,
                                           size_t Count) {
  std::vector<std::pair<uint64_t, HostId>> Ranked;
  for (HostId &Router : Routers)
    Ranked.emplace_back(
        rendezvousWeight(hashIdentifier(Router.Value), Key.Value),
        std::move(Router));
  size_t Kept = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Kept),
                    Ranked.end(), std::greater<>());
  std::vector<HostId> Holders;
  for (size_t Index = 0; Index < Kept; ++Index)
    Holders.push_back(std::move(Ranked[Index].second));
  return Holders;
}

StreamLookups::Question StreamLookups::ask(StreamKey Key,
                                           std::vector<HostId> Routers,
                                           Timestamp Deadline) {
  Question Asked{NextNumber++, holders(Key, std::move(Routers), HostsAsked)};
  if (!Asked.Hosts.empty())
    Questions[Asked.Number] = {Asked.Hosts, Deadline};
  return Asked;
}

std::optional<StreamLookups::Finished>
StreamLookups::answer(uint64_t Number, const HostId &From,
                      const std::optional<BuildId> &Build) {
  auto Found = Questions.find(Number);
  if (Found == Questions.end() ||
      std::erase(Found->second.Unanswered, From) == 0)
    return std::nullopt;
  if (!Build && !Found->second.Unanswered.empty())
    return std::nullopt;
  Questions.erase(Found);
  return Finished{Number, Build};
}

std::vector<StreamLookups::Finished> StreamLookups::expire(Timestamp Now) {
  std::vector<Finished> Ended;
  for (const auto &[Number, Question] : Questions)
    if (Question.Deadline <= Now)
      Ended.push_back({Number, std::nullopt});
  for (const Finished &Each : Ended)
    Questions.erase(Each.Number);
  return Ended;
}

} // namespace ferry::routing
