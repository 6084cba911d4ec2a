#include "ferryd/ControlPlane.h"
#include "LibCore/Random.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"
#include "ferryd/ViewBuilder.h"

namespace ferry::daemon {

using namespace membership;
using observe::Severity;

/// Changes of the view within this time go out as one snapshot.
static constexpr Duration ViewDelay = std::chrono::milliseconds(10);
/// Engines of which one may load weights at a time: the others carry the load,
/// and a load waits for the runs on its engine first, so that fewer load than
/// are set aside for it.
static constexpr uint32_t EnginesPerWeightsLoad = 4;
static constexpr uint32_t LeastWeightsLoads = 2;
/// Each load is watched by a thread of its own.
static constexpr size_t RoutedSendingThreads = 32;

/// Between tries to open a log that its disk has stopped.
static constexpr Duration ReviveInterval = std::chrono::milliseconds(500);
/// Between proposals about the order lease: a lease that is lost with its
/// holder is seen unchanged that much sooner.
static constexpr Duration RoutedLeaseRenewal = std::chrono::milliseconds(400);
/// Hosts up to which everything is exchanged, where hosts are discovered.
static constexpr size_t DiscoveredWholeTableHosts = 128;

static Membership::Options routedMembership(const config::Settings &Settings,
                                            Membership::Options Options) {
  Options.Source = HostSource::Discovered;
  Options.MaxFullExchangeHosts = DiscoveredWholeTableHosts;
  Options.Duty = Settings.Role == config::HostRole::Control ? HostDuty::Control
                                                            : HostDuty::Router;
  Options.CallerAddress = Settings.CallerAddress;
  Options.Targets = TargetTiming::forInterval(
      std::chrono::milliseconds(Settings.Routed.AnnounceIntervalMillis),
      RoutedTargetTrust);
  return Options;
}

static Membership::Options membershipOptions(const config::Settings &Settings,
                                             ferry::Incarnation Life) {
  auto Options = Membership::Options::forSize(Settings.Hosts.size());
  Options.Self = Settings.Host;
  Options.DataCentre = Settings.DataCentre;
  Options.Incarnation = Life;
  Options.Seed = systemSeed();
  for (const config::PeerHost &Host : Settings.Hosts)
    Options.Peers.push_back({Host.Id, Host.DataCentre, HostDuty::Router, {}});
  if (Settings.Interface == config::Interface::Routed)
    return routedMembership(Settings, std::move(Options));
  return Options;
}

/// \returns the control hosts that are known at the start.
static std::vector<HostId> firstControlHosts(const config::Settings &Settings) {
  return Settings.Interface == config::Interface::Routed
             ? Settings.Discovery.Seeds
             : Settings.controlHosts();
}

static Confirmation::Options
confirmationOptions(const config::Settings &Settings,
                    DescriptionNumber Number) {
  Confirmation::Options Options;
  Options.ControlHosts = firstControlHosts(Settings);
  Options.Number = Number;
  Options.Seed = systemSeed();
  // In a large deployment most confirmations come from peers.
  bool Large =
      Settings.Hosts.size() > Membership::Options().MaxFullExchangeHosts;
  Options.QueryPolicy = Large ? QueryPolicy::WhenStale : QueryPolicy::Always;
  return Options;
}

Result<std::unique_ptr<ControlPlane>, StartError>
ControlPlane::tryStart(const config::Settings &Settings, ControlLoop &Loop,
                       Hooks Calls) {
  auto Opened = HostStore::tryOpen(Settings.DataFolder, unixNow());
  if (!Opened)
    return makeTypedError(StartErrorKind::Storage, Opened.error().message());
  std::unique_ptr<ControlPlane> Plane(
      new ControlPlane(Settings, Loop, std::move(Calls), std::move(*Opened)));
  auto Started = Plane->tryStartParts();
  if (!Started)
    return makeError(Started.error());
  return Plane;
}

ControlPlane::ControlPlane(const config::Settings &Settings, ControlLoop &Loop,
                           Hooks Calls, HostStore Opened)
    : Settings(Settings), Loop(Loop), Calls(std::move(Calls)),
      Store(std::move(Opened)), Holder(Store, this->Calls.Routed.ReadRoutes),
      Members(membershipOptions(Settings, Store.incarnation())),
      Confirmed(confirmationOptions(Settings, Holder.number())) {}

ControlPlane::~ControlPlane() {
  Loop.cancel(TickTimer);
  Loop.cancel(DigestTimer);
}

Result<void, StartError> ControlPlane::tryStartParts() {
  auto Started = HostLink::tryStart(
      Settings, Store.incarnation(), Loop,
      [this](const HostId &From, wire::PayloadKind::type Kind,
             const std::string &Payload) { receive(From, Kind, Payload); });
  if (!Started)
    return makeError(Started.error());
  Link = std::move(*Started);
  startGateway();
  if (Settings.Role == config::HostRole::Control) {
    auto Opened = tryOpenRegistry();
    if (!Opened)
      return Opened;
    startOrders();
  }
  addDumpSections();
  giveSeeds();
  stepMembership(DescriptionApplied{Holder.number()});
  tick();
  if (isRouted() && Settings.Role == config::HostRole::Router)
    spreadDigest();
  return {};
}

void ControlPlane::startGateway() {
  registry::RegistryClient::Options Options;
  Options.ControlHosts = firstControlHosts(Settings);
  Options.Seed = systemSeed();
  Gateway = std::make_unique<RegistryGateway>(
      Options, Loop,
      [this](const HostId &To, const wire::RegistryRequest &Request) {
        Link->send(To, wire::PayloadKind::RegistryRequest, Request);
      });
}

Result<void, StartError> ControlPlane::tryOpenRegistry() {
  consensus::LogOptions Options;
  Options.Cluster = Settings.Cluster;
  Options.Self = Settings.Host;
  Options.Members = firstControlHosts(Settings);
  if (isRouted()) {
    Options.Source = consensus::MemberSource::Discovered;
    Options.MayForm = Settings.Discovery.MayFormLog;
    Options.WantedVoters = Settings.Discovery.wantedVoters();
  }
  Options.Folder = Settings.DataFolder / "log";
  Options.Seed = systemSeed();
  RegistryNode::Hooks NodeCalls;
  NodeCalls.SendConsensus = [this](const HostId &To, std::string Payload) {
    Link->sendBytes(To, wire::PayloadKind::Consensus, std::move(Payload));
  };
  NodeCalls.SendReply = [this](const HostId &To,
                               const wire::RegistryReply &Reply) {
    Link->send(To, wire::PayloadKind::RegistryReply, Reply);
  };
  NodeCalls.DescriptionChanged = [this] { takeFromRegistry(); };
  NodeCalls.WeightsNamed = [this] {
    if (!isRouted())
      return;
    noteNamedWeights();
    spreadNamedWeights();
    markViewChanged();
  };
  NodeCalls.StandingChanged = [this] {
    if (auto Leader = Node->log().leader())
      Gateway->hintLeader(*Leader);
  };
  auto Opened = RegistryNode::tryOpen(std::move(Options), Loop, NodeCalls);
  if (!Opened)
    return makeTypedError(StartErrorKind::Storage, Opened.error().message());
  Node = std::move(*Opened);
  return {};
}

OrderGiverOptions ControlPlane::orderOptions() {
  OrderGiverOptions Options;
  Options.Lease.Name = registry::DeploymentLease;
  Options.Lease.Host = Settings.Host;
  Options.Lease.Incarnation = Store.incarnation();
  if (!isRouted())
    return Options;
  Options.Lease.Length =
      std::chrono::milliseconds(Settings.Routed.OrderLeaseMillis);
  Options.Lease.RenewInterval = RoutedLeaseRenewal;
  Options.Dialect = Calls.Routed.Orders;
  Options.TellChange = [this](const routing::EngineChange &Change) {
    spreadEngineChange(Change);
  };
  Options.LeastTrust = RoutedTargetTrust - freshTime(Settings.Routed);
  Options.SendingThreads = RoutedSendingThreads;
  Options.Fencing = Settings.Routed.Fencing;
  return Options;
}

void ControlPlane::reviveLog() {
  Timestamp Now = steadyNow();
  bool Stopped = !Node || Node->log().failure();
  if (Settings.Role != config::HostRole::Control || !Stopped || Now < ReviveAt)
    return;
  ReviveAt = Now + ReviveInterval;
  // What was not synced was promised to nobody: the log begins again with what
  // its disk holds.
  if (Node) {
    observe::logEvent(Severity::Warning, "control", "log_stopped",
                      {{"reason", Node->log().failure()->message()}});
    Orders.reset();
    Node->close();
    Node.reset();
  }
  auto Opened = tryOpenRegistry();
  if (!Opened) {
    observe::logEvent(Severity::Error, "control", "log_not_opened",
                      {{"reason", Opened.error().message()}});
    return;
  }
  observe::logEvent(Severity::Info, "control", "log_opened_again", {});
  startOrders();
  if (Draining)
    Orders->beginDrain();
  std::vector<HostId> Known = ControlHosts;
  Node->hostsKnown(std::move(Known));
}

void ControlPlane::startOrders() {
  Orders = std::make_unique<OrderGiver>(orderOptions(), Loop, *Gateway,
                                        Node->state());
}

void ControlPlane::addDumpSection(std::string Name,
                                  observe::StateDump::Section Make) {
  Dump.add(std::move(Name), std::move(Make));
}

void ControlPlane::tick() {
  stepConfirmation(ConfirmationTick{});
  stepMembership(LocalConfirmed{Confirmed.number(), Confirmed.confirmedAsOf()});
  stepMembership(MembershipTick{});
  reviveLog();
  updateStanding();
  if (Confirmed.confirmedUntil() != ViewConfirmedUntil)
    markViewChanged();
  if (isRouted() && Node && steadyNow() >= TellNamedBy) {
    noteNamedWeights();
    spreadNamedWeights();
  }
  updateFigures();
  TickTimer =
      Loop.at(steadyNow() + Membership::TickInterval, [this] { tick(); });
}

void ControlPlane::beginDrain() {
  Draining = true;
  if (Orders)
    Orders->beginDrain();
  updateStanding();
  markViewChanged();
}

void ControlPlane::close() {
  Loop.cancel(TickTimer);
  Loop.cancel(DigestTimer);
  Orders.reset();
  if (Node)
    Node->close();
}

void ControlPlane::updateStanding() {
  Standing Now = chooseStanding();
  if (Now == OwnStanding)
    return;
  OwnStanding = Now;
  observe::logEvent(Severity::Info, "control", "standing_changed",
                    {{"standing", Now}});
  stepMembership(LocalStanding{Now});
  markViewChanged();
}

membership::Standing ControlPlane::chooseStanding() const {
  if (Draining)
    return Standing::Draining;
  Timestamp Now = steadyNow();
  // Routes are worth serving while they may be out of date: those that they
  // lead to refuse what is not theirs. Without any there is nothing to serve.
  if (isRouted())
    return Holder.routes() && !Members.targets(Now).empty()
               ? Standing::Serving
               : Standing::Unconfirmed;
  return Confirmed.isConfirmed(Now) ? Standing::Serving : Standing::Unconfirmed;
}

void ControlPlane::giveSeeds() {
  for (const HostId &Seed : Settings.Discovery.Seeds)
    if (Seed != Settings.Host)
      stepMembership(SeedAdded{Seed});
}

void ControlPlane::seedsChanged(std::vector<HostId> Seeds) {
  if (!isRouted())
    return;
  Settings.Discovery.Seeds = std::move(Seeds);
  giveSeeds();
}

void ControlPlane::updateControlHosts() {
  if (!isRouted())
    return;
  std::vector<HostId> Known;
  std::vector<HostId> Alive;
  for (const HostState &Host : Members.hosts(steadyNow())) {
    if (Host.Duty != HostDuty::Control)
      continue;
    Known.push_back(Host.Id);
    if (Host.Standing != Standing::Silent || Host.Id == Settings.Host)
      Alive.push_back(Host.Id);
  }
  std::vector<HostId> &Usable = Alive.empty() ? Known : Alive;
  if (Usable == ControlHosts)
    return;
  ControlHosts = Usable;
  observe::logEvent(Severity::Info, "control", "control_hosts_changed",
                    {{"alive", Alive.size()}, {"known", Known.size()}});
  Gateway->controlHostsKnown(ControlHosts);
  stepConfirmation(ControlHostsChanged{ControlHosts});
  if (Node)
    Node->hostsKnown(Known);
}

void ControlPlane::spreadDescription() {
  // The leader tells all hosts at once; the others' heartbeats mend losses.
  if (!isRouted() || !Node || !Node->log().isLeader())
    return;
  for (const HostState &Host : Members.hosts(steadyNow()))
    if (Host.Id != Settings.Host && Host.Standing != Standing::Silent)
      Link->send(Host.Id, wire::PayloadKind::DescriptionCopy, Holder.copy());
}

config::Description ControlPlane::wantedWeights() const {
  config::Description Wanted;
  uint32_t Engines = 0;
  for (const TargetRecord &Target : Members.targets(steadyNow()))
    Engines += Target.Kind == TargetKind::Engine;
  Wanted.Limits.MaxWeightsLoads =
      std::max(LeastWeightsLoads, Engines / EnginesPerWeightsLoad);
  if (!Node || !Holder.routes())
    return Wanted;
  for (const config::RoutedService &Known : Holder.routes()->services()) {
    if (!Known.Engine || Known.Engine->Models.empty())
      continue;
    config::Service Service;
    Service.Id = Known.Id;
    Service.Model = Known.Engine->Models.front();
    Service.Weights = Node->state().namedWeights(Service.Model);
    // Until weights are named, engines keep those that they started with.
    if (Service.Weights.Value > 0)
      Wanted.Services.push_back(std::move(Service));
  }
  return Wanted;
}

void ControlPlane::noteNamedWeights() {
  if (!Holder.routes())
    return;
  for (const config::RoutedService &Known : Holder.routes()->services()) {
    if (!Known.Engine)
      continue;
    for (const ModelId &Model : Known.Engine->Models) {
      WeightsVersion Weights = Node->state().namedWeights(Model);
      auto &Seen = NamedSeen[Model];
      bool Newer =
          Seen.empty() ? Weights.Value > 0 : Weights > Seen.back().Weights;
      if (Newer)
        Seen.push_back({Model, Weights, steadyNow()});
      if (Seen.size() > routing::MaxNamedWeights)
        Seen.erase(Seen.begin());
    }
  }
}

void ControlPlane::takeFromRegistry() {
  const registry::StoredDescription &Accepted = Node->state().description();
  wire::DescriptionCopy Copy;
  Copy.Number = static_cast<int64_t>(Accepted.Number.Value);
  Copy.Operation = Accepted.Operation;
  Copy.Text = Accepted.Text;
  takeDescription(Copy);
}

void ControlPlane::takeDescription(const wire::DescriptionCopy &Copy) {
  auto Taken = Holder.tryTake(Copy);
  if (!Taken) {
    if (Taken.error().Kind != TakeErrorKind::NotNewer)
      observe::logEvent(
          Severity::Error, "control", "description_not_taken",
          {{"number", Copy.Number}, {"reason", Taken.error().message()}});
    return;
  }
  observe::logEvent(Severity::Info, "control", "description_in_force",
                    {{"number", Copy.Number}, {"operation", Copy.Operation}});
  stepConfirmation(ConfirmationApplied{Holder.number()});
  stepMembership(DescriptionApplied{Holder.number()});
  markViewChanged();
  spreadDescription();
}

void ControlPlane::stepMembership(const MembershipEvent &Event) {
  for (const MembershipEffect &Effect : Members.step(Event, steadyNow()))
    match(
        Effect,
        [this](const MembershipSend &Sent) {
          Link->send(Sent.To, wire::PayloadKind::Membership, Sent.Message);
        },
        [this](const TargetsChanged &) { markViewChanged(); },
        [this](const HostsChanged &) {
          updateControlHosts();
          markViewChanged();
        },
        [this](const NewerDescriptionSeen &Seen) {
          stepConfirmation(ConfirmationNumberSeen{Seen.Number, Seen.From});
        },
        [this](const ConfirmationReceived &Heard) {
          stepConfirmation(
              ConfirmationRelayed{Heard.Number, Heard.AsOf, Heard.From});
        },
        [this](const membership::AnnouncementRefused &) {
          AnnouncementRefused = true;
        },
        [](const membership::IncarnationRaised &Raised) {
          observe::logEvent(Severity::Warning, "control", "life_raised",
                            {{"remembered", Raised.Remembered},
                             {"taken", Raised.Raised},
                             {"reason", "clock_set_back"}});
        });
}

void ControlPlane::stepConfirmation(const ConfirmationEvent &Event) {
  for (const ConfirmationEffect &Effect : Confirmed.step(Event, steadyNow()))
    match(
        Effect,
        [this](const ConfirmationSend &Ask) {
          wire::ConfirmationMessage Message;
          Message.__set_Query(Ask.Query);
          Link->send(Ask.To, wire::PayloadKind::Confirmation, Message);
        },
        [this](const FetchDescription &Fetch) {
          wire::DescriptionFetch Message;
          Message.HaveNumber = static_cast<int64_t>(Holder.number().Value);
          Link->send(Fetch.From, wire::PayloadKind::DescriptionFetch, Message);
        });
}

void ControlPlane::markViewChanged() {
  if (std::exchange(ViewPending, true))
    return;
  Loop.at(steadyNow() + ViewDelay, [this] { publishView(); });
}

void ControlPlane::publishView() {
  ViewPending = false;
  ViewConfirmedUntil = Confirmed.confirmedUntil();
  ViewInputs Inputs{Settings,
                    Holder,
                    ViewConfirmedUntil,
                    OwnStanding,
                    Members.targets(steadyNow()),
                    Members.hosts(steadyNow())};
  if (isRouted())
    Inputs.WantedWeights =
        std::make_shared<const config::Description>(wantedWeights());
  routing::RoutingViewPtr View = buildView(Inputs);
  if (Orders)
    Orders->viewChanged(View);
  Calls.ViewChanged(std::move(View));
}

} // namespace ferry::daemon
