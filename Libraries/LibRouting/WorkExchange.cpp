#include "LibRouting/WorkExchange.h"
#include <algorithm>

namespace ferry::routing {

/// Most digests that one router receives in a second from routers that send
/// theirs to all others.
static constexpr int64_t MaxDirectDigestsPerSecond = 200;

namespace {

/// The work of several routers at each target.
class WorkSum {
public:
  void add(const std::vector<TargetWork> &Work) {
    for (const TargetWork &Each : Work) {
      TargetWork &Total = ByTarget[Each.Target];
      Total.Target = Each.Target;
      Total.LongPrompts += Each.LongPrompts;
      Total.ShortPrompts += Each.ShortPrompts;
      Total.Running += Each.Running;
    }
  }

  /// Takes out work that was added before.
  void remove(const std::vector<TargetWork> &Work) {
    for (const TargetWork &Each : Work) {
      TargetWork &Total = ByTarget[Each.Target];
      Total.LongPrompts -= Each.LongPrompts;
      Total.ShortPrompts -= Each.ShortPrompts;
      Total.Running -= Each.Running;
    }
  }

  std::vector<TargetWork> list() const {
    std::vector<TargetWork> Work;
    for (const auto &[Target, Total] : ByTarget)
      if (Total.Running > 0)
        Work.push_back(Total);
    return Work;
  }

private:
  std::map<TargetId, TargetWork> ByTarget;
};

} // namespace

/// Appends parts to \p Digest while it has room.
static void addParts(WorkDigest &Digest, const std::vector<PartPlace> &Parts) {
  size_t Room = WorkExchange::MaxParts -
                std::min(WorkExchange::MaxParts, Digest.Parts.size());
  auto End =
      Parts.begin() + static_cast<std::ptrdiff_t>(std::min(Room, Parts.size()));
  Digest.Parts.insert(Digest.Parts.end(), Parts.begin(), End);
}

std::vector<std::vector<HostId>>
WorkExchange::groupsOf(std::vector<Router> Live) {
  std::sort(Live.begin(), Live.end(),
            [](const Router &Left, const Router &Right) {
              return std::tie(Left.DataCentre, Left.Id) <
                     std::tie(Right.DataCentre, Right.Id);
            });
  std::vector<std::vector<HostId>> Groups;
  for (auto First = Live.begin(); First != Live.end();) {
    auto End = std::find_if(First, Live.end(), [&](const Router &Each) {
      return Each.DataCentre != First->DataCentre;
    });
    auto Count = static_cast<size_t>(End - First);
    size_t GroupCount = (Count + MaxGroupRouters - 1) / MaxGroupRouters;
    size_t GroupSize = (Count + GroupCount - 1) / GroupCount;
    for (size_t Index = 0; First != End; ++First, ++Index) {
      if (Index % GroupSize == 0)
        Groups.emplace_back();
      Groups.back().push_back(First->Id);
    }
  }
  return Groups;
}

void WorkExchange::setRouters(std::vector<Router> Live) {
  std::erase_if(Live, [&](const Router &Each) { return Each.Id == Self.Id; });
  Others.clear();
  GroupPeers.clear();
  OtherRelays.clear();
  GroupRelay = {};
  for (const Router &Each : Live)
    Others.push_back(Each.Id);
  Live.push_back(Self);
  Grouped = Live.size() > MaxDirectRouters;
  if (!Grouped)
    return;
  for (const std::vector<HostId> &Group : groupsOf(std::move(Live))) {
    if (std::find(Group.begin(), Group.end(), Self.Id) == Group.end()) {
      OtherRelays.insert(Group.front());
      continue;
    }
    GroupRelay = Group.front();
    GroupPeers.insert(Group.begin(), Group.end());
    GroupPeers.erase(Self.Id);
  }
}

bool WorkExchange::receive(const HostId &From, const WorkDigest &Digest,
                           Timestamp Now) {
  switch (Digest.Scope) {
  case DigestScope::Router:
    if (isRelay() && GroupPeers.count(From) != 0)
      MemberWork[From] = {Digest, Now + DigestLifetime};
    return true;
  case DigestScope::Group:
    // A relay never adds up the sums of others, so that no work can return to
    // where it came from.
    if (isRelay())
      GroupWork[From] = {Digest, Now + DigestLifetime};
    return isRelay();
  case DigestScope::Fleet:
    return Grouped && !isRelay() && From == GroupRelay;
  }
  return false;
}

bool WorkExchange::isDue(const WorkDigest &Own, Timestamp Now) {
  bool Changed = !Own.Parts.empty() || Own.Work != LastSentWork;
  if (!Changed && (Own.Work.empty() || Now < ResendAt))
    return false;
  LastSentWork = Own.Work;
  ResendAt = Now + ResendInterval;
  return true;
}

std::vector<WorkExchange::Message> WorkExchange::send(const WorkDigest &Own,
                                                      Timestamp Now) {
  if (Grouped && isRelay())
    return sendAsRelay(Own, Now);
  std::vector<Message> Messages;
  if (!isDue(Own, Now))
    return Messages;
  if (Grouped)
    Messages.push_back({GroupRelay, Own});
  else
    for (const HostId &Other : Others)
      Messages.push_back({Other, Own});
  return Messages;
}

void WorkExchange::expire(ReceivedDigests &Digests, Timestamp Now) {
  std::erase_if(Digests, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
}

std::vector<WorkExchange::Message>
WorkExchange::sendAsRelay(const WorkDigest &Own, Timestamp Now) {
  expire(MemberWork, Now);
  expire(GroupWork, Now);
  WorkSum Sum;
  WorkDigest Group;
  Group.Scope = DigestScope::Group;
  Sum.add(Own.Work);
  addParts(Group, Own.Parts);
  for (auto &[Member, Latest] : MemberWork) {
    Sum.add(Latest.Digest.Work);
    // Work counts until it is replaced, but a part is passed on once.
    addParts(Group, std::exchange(Latest.Digest.Parts, {}));
  }
  Group.Work = Sum.list();
  std::vector<Message> Messages;
  for (const HostId &Relay : OtherRelays)
    Messages.push_back({Relay, Group});
  WorkDigest Fleet = Group;
  Fleet.Scope = DigestScope::Fleet;
  for (auto &[Relay, Latest] : GroupWork) {
    Sum.add(Latest.Digest.Work);
    addParts(Fleet, std::exchange(Latest.Digest.Parts, {}));
  }
  for (const HostId &Member : GroupPeers) {
    // A member counts its own work by itself.
    auto OfMember = MemberWork.find(Member);
    WorkSum Others = Sum;
    if (OfMember != MemberWork.end())
      Others.remove(OfMember->second.Digest.Work);
    Fleet.Work = Others.list();
    Messages.push_back({Member, Fleet});
  }
  return Messages;
}

Duration WorkExchange::interval(bool DividesTargets) const {
  if (Grouped)
    return DividesTargets ? ShortGroupInterval : GroupInterval;
  Duration Bounded = std::chrono::microseconds(
      1'000'000 * static_cast<int64_t>(Others.size()) /
      MaxDirectDigestsPerSecond);
  return std::max(DirectInterval, Bounded);
}

} // namespace ferry::routing
