// Messages between routers about their work, and from control hosts to routers
// about engines and named weights.
#include "ferryd/ControlPlane.h"
#include <algorithm>

namespace ferry::daemon {

/// Shortest time between two digests. Prompts that are long enough for
/// placement to matter take longer than this to read.
static constexpr Duration DigestInterval = std::chrono::milliseconds(40);
/// Most digests that one router receives in a second; with more routers, each
/// sends its digest less often.
static constexpr int64_t MaxDigestsPerSecond = 200;
/// Named weights are sent again after this.
static constexpr Duration NamedWeightsResendInterval =
    std::chrono::milliseconds(500);
/// An unchanged digest is sent again after this, in case the last one was lost.
static constexpr Duration DigestResendInterval = std::chrono::milliseconds(400);

std::vector<HostId> ControlPlane::otherRouters() const {
  std::vector<HostId> Routers;
  for (const membership::HostState &Host : Members.hosts(steadyNow()))
    if (Host.Duty == membership::HostDuty::Router &&
        Host.Standing != membership::Standing::Silent &&
        Host.Id != Settings.Host)
      Routers.push_back(Host.Id);
  return Routers;
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

void ControlPlane::broadcastDigest() {
  Timestamp Now = steadyNow();
  std::vector<HostId> Peers = otherRouters();
  Duration MinInterval = std::chrono::microseconds(
      1'000'000 * static_cast<int64_t>(Peers.size()) / MaxDigestsPerSecond);
  DigestTimer = Loop.at(Now + std::max(DigestInterval, MinInterval),
                        [this] { broadcastDigest(); });
  if (!Callbacks.BuildDigest || Peers.empty())
    return;
  routing::WorkDigest Digest = Callbacks.BuildDigest();
  bool Changed = !Digest.Parts.empty() || Digest.Work != LastSentWork;
  bool ResendDue = !Digest.Work.empty() && Now >= ResendWorkAt;
  if (!Changed && !ResendDue)
    return;
  LastSentWork = Digest.Work;
  ResendWorkAt = Now + DigestResendInterval;
  wire::WorkDigest Message = toWire(Digest);
  for (const HostId &Peer : Peers)
    Link->send(Peer, wire::PayloadKind::WorkDigest, Message);
}

void ControlPlane::receiveDigest(const HostId &From,
                                 const wire::WorkDigest &Message) {
  if (!Callbacks.ApplyDigest)
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
  Callbacks.ApplyDigest(From, Digest);
}

void ControlPlane::broadcastEngineChange(const routing::EngineChange &Change) {
  wire::EngineChange Fields;
  Fields.Target = Change.Target.Value;
  Fields.Incarnation = static_cast<int64_t>(Change.Incarnation.Value);
  Fields.Weights = static_cast<int64_t>(Change.Weights.Value);
  Fields.Loading = Change.Loading;
  wire::EngineChanges Message;
  Message.Changes.push_back(std::move(Fields));
  for (const HostId &Router : otherRouters())
    Link->send(Router, wire::PayloadKind::EngineChanges, Message);
}

void ControlPlane::broadcastNamedWeights() {
  Timestamp Now = steadyNow();
  ResendNamedWeightsAt = Now + NamedWeightsResendInterval;
  if (!Node->log().isLeader() || NamedWeightsByModel.empty())
    return;
  wire::EngineChanges Message;
  // Sends the whole history: the deadline of an engine starts when the first
  // newer weights than its own were named, also for a router that has just
  // started.
  for (const auto &[Model, History] : NamedWeightsByModel)
    for (const routing::NamedWeights &Named : History) {
      wire::NamedWeights Fields;
      Fields.Model = Model.Value;
      Fields.Weights = static_cast<int64_t>(Named.Weights.Value);
      Fields.AgeMillis =
          static_cast<int32_t>((Now - Named.Since).count() / 1000);
      Message.Named.push_back(std::move(Fields));
    }
  if (Message.Named.empty())
    return;
  for (const HostId &Router : otherRouters())
    Link->send(Router, wire::PayloadKind::EngineChanges, Message);
}

void ControlPlane::receiveEngineChanges(const wire::EngineChanges &Message) {
  if (!Callbacks.EngineChanged)
    return;
  for (const wire::NamedWeights &Fields : Message.Named)
    Callbacks.WeightsNamed(
        {{Fields.Model},
         {static_cast<uint64_t>(Fields.Weights)},
         steadyNow() - std::chrono::milliseconds(Fields.AgeMillis)});
  for (const wire::EngineChange &Fields : Message.Changes)
    Callbacks.EngineChanged({{Fields.Target},
                             {static_cast<uint64_t>(Fields.Incarnation)},
                             {static_cast<uint64_t>(Fields.Weights)},
                             Fields.Loading});
}

} // namespace ferry::daemon
