// Messages between routers about their work, and from control hosts to routers
// about engines and named weights.
#include "LibRouting/PromptSplit.h"
#include "ferryd/ControlPlane.h"
#include <algorithm>
#include <utility>

namespace ferry::daemon {

/// Named weights are sent again after this.
static constexpr Duration NamedWeightsResendInterval =
    std::chrono::milliseconds(500);
std::vector<routing::WorkExchange::Router> ControlPlane::liveRouters() const {
  std::vector<routing::WorkExchange::Router> Routers;
  for (const membership::HostState &Host : Members.hosts(steadyNow()))
    if (Host.Duty == membership::HostDuty::Router &&
        Host.Standing != membership::Standing::Silent &&
        Host.Id != Settings.Host)
      Routers.push_back({Host.Id, Host.DataCentre});
  return Routers;
}

std::vector<HostId> ControlPlane::liveRouterIds() const {
  std::vector<HostId> Ids;
  for (auto &Router : liveRouters())
    Ids.push_back(std::move(Router.Id));
  return Ids;
}

std::vector<HostId> ControlPlane::otherControlHosts() const {
  std::vector<HostId> Others = ControlHosts;
  std::erase(Others, Settings.Host);
  return Others;
}

void ControlPlane::sendToRouters(routing::RouterBroadcast &Broadcast,
                                 wire::EngineChanges Message) {
  std::vector<routing::RouterBroadcast::KnownRouter> Known;
  for (const membership::HostState &Host : Members.hosts(steadyNow()))
    if (Host.Duty == membership::HostDuty::Router && Host.Id != Settings.Host)
      Known.push_back({{Host.Id, Host.DataCentre},
                       Host.Standing == membership::Standing::Silent});
  for (const auto &Receiver : Broadcast.receivers(Known)) {
    Message.PassOn = !Receiver.PassOnTo.empty();
    Message.PassOnTo.clear();
    for (const HostId &Id : Receiver.PassOnTo)
      Message.PassOnTo.push_back(Id.Value);
    Message.__isset.PassOn = Message.PassOn;
    Message.__isset.PassOnTo = Message.PassOn;
    Link->send(Receiver.To, wire::PayloadKind::EngineChanges, Message);
  }
}

static wire::WorkDigest toWire(const routing::WorkDigest &Digest) {
  wire::WorkDigest Message;
  Message.Scope = static_cast<wire::DigestScope::type>(Digest.Scope);
  for (const routing::TargetWork &Each : Digest.Work) {
    wire::TargetWork Fields;
    Fields.Target = Each.Target.Value;
    Fields.LongPromptMillis =
        static_cast<int32_t>(Each.LongPrompts.count() / 1000);
    Fields.ShortPromptMillis =
        static_cast<int32_t>(Each.ShortPrompts.count() / 1000);
    Fields.Running = static_cast<int32_t>(Each.Running);
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

void ControlPlane::sendDigests() {
  Timestamp Now = steadyNow();
  if (Callbacks.BuildDigest) {
    Work.setRouters(liveRouters());
    for (const auto &[To, Digest] : Work.send(Callbacks.BuildDigest(), Now))
      Link->send(To, wire::PayloadKind::WorkDigest, toWire(Digest));
  }
  auto Routes = Holder.routes();
  bool DividesTargets = Routes && routing::PromptSplit::isCalledForAny(*Routes);
  DigestTimer =
      Loop.at(Now + Work.interval(DividesTargets), [this] { sendDigests(); });
}

void ControlPlane::receiveDigest(const HostId &From,
                                 const wire::WorkDigest &Message) {
  auto Scope = static_cast<uint8_t>(Message.Scope);
  if (!Callbacks.ApplyDigest || Message.Scope < 0 ||
      Message.Scope > wire::DigestScope::Fleet)
    return;
  routing::WorkDigest Digest;
  Digest.Scope = static_cast<routing::DigestScope>(Scope);
  for (const wire::TargetWork &Each : Message.Work)
    Digest.Work.push_back(
        {{Each.Target},
         std::chrono::milliseconds(std::max(Each.LongPromptMillis, 0)),
         std::chrono::milliseconds(std::max(Each.ShortPromptMillis, 0)),
         static_cast<uint32_t>(std::max(Each.Running, 0))});
  for (const wire::PartPlace &Part : Message.Parts)
    Digest.Parts.push_back(
        {{Part.Target},
         static_cast<uint64_t>(Part.Part),
         static_cast<uint32_t>(std::max(Part.Tokens, 0)),
         Part.Read ? routing::PartState::Read : routing::PartState::Awaited});
  if (Work.receive(From, Digest, steadyNow()))
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
  sendToRouters(ChangesBroadcast, std::move(Message));
}

void ControlPlane::broadcastNamedWeights() {
  Timestamp Now = steadyNow();
  ResendNamedWeightsAt = Now + NamedWeightsResendInterval;
  if (!Node->log().isLeader())
    return;
  wire::EngineChanges Message;
  // Sends the whole history: the deadline of an engine starts when the first
  // newer weights than its own were named, also for a router that has just
  // started.
  for (const routing::NamedWeights &Named : Namings.all()) {
    wire::NamedWeights Fields;
    Fields.Model = Named.Model.Value;
    Fields.Weights = static_cast<int64_t>(Named.Weights.Value);
    Fields.AgeMillis = control::ageMillis(Named, Now);
    Message.Named.push_back(std::move(Fields));
  }
  // Sent also while no weights are named: routers then know how old the first
  // ones are at most, whatever the clock of a later leader says.
  sendToRouters(NamingsBroadcast, std::move(Message));
}

void ControlPlane::passOn(wire::EngineChanges Message) {
  std::vector<HostId> Receivers;
  for (std::string &Id : Message.PassOnTo)
    if (Receivers.size() < routing::WorkExchange::MaxGroupRouters)
      Receivers.push_back({std::move(Id)});
  // A control host of an earlier build leaves the receivers to its relays.
  if (!Message.__isset.PassOnTo)
    Receivers.assign(Work.groupPeers().begin(), Work.groupPeers().end());
  Message.PassOn = false;
  Message.__isset.PassOn = false;
  Message.PassOnTo.clear();
  Message.__isset.PassOnTo = false;
  for (const HostId &To : Receivers)
    if (To != Settings.Host)
      Link->send(To, wire::PayloadKind::EngineChanges, Message);
}

void ControlPlane::receiveEngineChanges(const HostId &From,
                                        const wire::EngineChanges &Message) {
  if (Message.PassOn)
    passOn(Message);
  if (!Callbacks.EngineChanged)
    return;
  Timestamp Now = steadyNow();
  std::vector<routing::NamedWeights> Named;
  for (const wire::NamedWeights &Fields : Message.Named)
    Named.push_back({{Fields.Model},
                     {static_cast<uint64_t>(Fields.Weights)},
                     Now - std::chrono::milliseconds(Fields.AgeMillis)});
  if (Message.Changes.empty())
    Callbacks.WeightsNamed(From, Named);
  for (const wire::EngineChange &Fields : Message.Changes)
    Callbacks.EngineChanged({{Fields.Target},
                             {static_cast<uint64_t>(Fields.Incarnation)},
                             {static_cast<uint64_t>(Fields.Weights)},
                             Fields.Loading});
}

} // namespace ferry::daemon
