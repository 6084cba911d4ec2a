// What routers tell each other about work, and the giver of orders about
// engines.
#include "ferryd/ControlPlane.h"
#include <algorithm>

namespace ferry::daemon {

/// Shortest time between two digests: prompts that are worth placing with care
/// are read for longer.
static constexpr Duration DigestInterval = std::chrono::milliseconds(40);
/// Digests that one router takes in a second at the most; with more routers,
/// each tells the others less often.
static constexpr int64_t MaxDigestsPerSecond = 200;
/// Named weights are told again after this.
static constexpr Duration NamedRepeat = std::chrono::milliseconds(500);
/// A digest without news is told again after this, in case one was lost.
static constexpr Duration DigestRepeat = std::chrono::milliseconds(400);

std::vector<HostId> ControlPlane::routers() const {
  std::vector<HostId> Found;
  for (const membership::HostState &Host : Members.hosts(steadyNow()))
    if (Host.Duty == membership::HostDuty::Router &&
        Host.Standing != membership::Standing::Silent &&
        Host.Id != Settings.Host)
      Found.push_back(Host.Id);
  return Found;
}

static wire::WorkDigest toWire(const routing::WorkDigest &Digest) {
  wire::WorkDigest Message;
  for (const routing::TargetWork &Work : Digest.Work) {
    wire::TargetWork Fields;
    Fields.Target = Work.Target.Value;
    Fields.LongPromptMillis =
        static_cast<int32_t>(Work.LongPrompts.count() / 1000);
    Fields.ShortPromptMillis =
        static_cast<int32_t>(Work.ShortPrompts.count() / 1000);
    Fields.Running = static_cast<int32_t>(Work.Running);
    Message.Work.push_back(std::move(Fields));
  }
  for (const routing::PartPlace &Part : Digest.Parts) {
    wire::PartPlace Fields;
    Fields.Target = Part.Target.Value;
    Fields.Part = static_cast<int64_t>(Part.Key);
    Fields.Tokens = static_cast<int32_t>(Part.Tokens);
    Fields.Read = Part.State == routing::PartState::Read;
    Message.Parts.push_back(std::move(Fields));
  }
  return Message;
}

void ControlPlane::spreadDigest() {
  Timestamp Now = steadyNow();
  std::vector<HostId> Peers = routers();
  Duration Spread = std::chrono::microseconds(
      1'000'000 * static_cast<int64_t>(Peers.size()) / MaxDigestsPerSecond);
  DigestTimer = Loop.at(Now + std::max(DigestInterval, Spread),
                        [this] { spreadDigest(); });
  if (!Calls.MakeDigest || Peers.empty())
    return;
  routing::WorkDigest Digest = Calls.MakeDigest();
  bool News = !Digest.Parts.empty() || Digest.Work != ToldWork;
  bool Due = !Digest.Work.empty() && Now >= TellWorkBy;
  if (!News && !Due)
    return;
  ToldWork = Digest.Work;
  TellWorkBy = Now + DigestRepeat;
  wire::WorkDigest Message = toWire(Digest);
  for (const HostId &Peer : Peers)
    Link->send(Peer, wire::PayloadKind::WorkDigest, Message);
}

void ControlPlane::receiveDigest(const HostId &From,
                                 const wire::WorkDigest &Message) {
  if (!Calls.TakeDigest)
    return;
  routing::WorkDigest Digest;
  for (const wire::TargetWork &Work : Message.Work)
    Digest.Work.push_back(
        {{Work.Target},
         std::chrono::milliseconds(std::max(Work.LongPromptMillis, 0)),
         std::chrono::milliseconds(std::max(Work.ShortPromptMillis, 0)),
         static_cast<uint32_t>(std::max(Work.Running, 0))});
  for (const wire::PartPlace &Part : Message.Parts)
    Digest.Parts.push_back(
        {{Part.Target},
         static_cast<uint64_t>(Part.Part),
         static_cast<uint32_t>(std::max(Part.Tokens, 0)),
         Part.Read ? routing::PartState::Read : routing::PartState::Awaited});
  Calls.TakeDigest(From, Digest);
}

void ControlPlane::spreadEngineChange(const routing::EngineChange &Change) {
  wire::EngineChange Fields;
  Fields.Target = Change.Target.Value;
  Fields.Incarnation = static_cast<int64_t>(Change.Incarnation.Value);
  Fields.Weights = static_cast<int64_t>(Change.Weights.Value);
  Fields.Loading = Change.Loading;
  wire::EngineChanges Message;
  Message.Changes.push_back(std::move(Fields));
  for (const HostId &Router : routers())
    Link->send(Router, wire::PayloadKind::EngineChanges, Message);
}

void ControlPlane::spreadNamedWeights() {
  Timestamp Now = steadyNow();
  TellNamedBy = Now + NamedRepeat;
  if (!Node->log().isLeader() || NamedSeen.empty())
    return;
  wire::EngineChanges Message;
  // All of them: what overtook an engine's weights first starts its deadline,
  // also for a router that has just started.
  for (const auto &[Model, Seen] : NamedSeen)
    for (const routing::NamedWeights &Named : Seen) {
      wire::NamedWeights Fields;
      Fields.Model = Model.Value;
      Fields.Weights = static_cast<int64_t>(Named.Weights.Value);
      Fields.AgeMillis =
          static_cast<int32_t>((Now - Named.Since).count() / 1000);
      Message.Named.push_back(std::move(Fields));
    }
  if (Message.Named.empty())
    return;
  for (const HostId &Router : routers())
    Link->send(Router, wire::PayloadKind::EngineChanges, Message);
}

void ControlPlane::receiveEngineChanges(const wire::EngineChanges &Message) {
  if (!Calls.EngineChanged)
    return;
  for (const wire::NamedWeights &Fields : Message.Named)
    Calls.WeightsNamed(
        {{Fields.Model},
         {static_cast<uint64_t>(Fields.Weights)},
         steadyNow() - std::chrono::milliseconds(Fields.AgeMillis)});
  for (const wire::EngineChange &Fields : Message.Changes)
    Calls.EngineChanged({{Fields.Target},
                         {static_cast<uint64_t>(Fields.Incarnation)},
                         {static_cast<uint64_t>(Fields.Weights)},
                         Fields.Loading});
}

} // namespace ferry::daemon
