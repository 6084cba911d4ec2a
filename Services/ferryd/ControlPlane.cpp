#include "ferryd/ControlPlane.h"
#include "LibControl/LoadLimit.h"
#include "LibCore/Random.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"
#include "ferryd/ViewBuilder.h"

namespace ferry::daemon {

using namespace membership;
using observe::Severity;

/// Changes within this time are published as one snapshot.
static constexpr Duration ViewDelay = std::chrono::milliseconds(10);
/// An engine that does not answer occupies a sending thread for up to a second.
static constexpr size_t RoutedSendingThreads = 32;

/// Ticks of the control thread that run later than this are logged.
static constexpr Duration LoggedTickDelay = std::chrono::milliseconds(500);
/// Leaves of one message that are logged; a host that starts learns them all.
static constexpr size_t MaxLoggedLeaves = 16;
/// Between attempts to reopen a log that stopped at a failure of its disk.
static constexpr Duration ReopenLogInterval = std::chrono::milliseconds(500);
/// Time for recording a leave that a router noticed. Nobody waits for it.
static constexpr std::chrono::seconds NoticedLeaveTimeout{5};
/// Between proposals to renew or take the order lease. The shorter it is, the
/// sooner another control host finds that a failed holder did not renew it.
static constexpr Duration RoutedLeaseRenewal = std::chrono::milliseconds(400);
/// With discovered hosts, heartbeats carry the whole state of membership up to
/// this many hosts.
static constexpr size_t DiscoveredFullExchangeHosts = 128;

static Membership::Options routedMembership(const config::Settings &Settings,
                                            Membership::Options Options) {
  Options.Source = HostSource::Discovered;
  Options.MaxFullExchangeHosts = DiscoveredFullExchangeHosts;
  Options.Duty = Settings.Role == config::HostRole::Control ? HostDuty::Control
                                                            : HostDuty::Router;
  Options.CallerAddress = Settings.CallerAddress;
  Options.Targets = TargetTiming::forInterval(
      std::chrono::milliseconds(Settings.Routed.AnnounceIntervalMillis),
      RoutedTrustDuration);
  return Options;
}

static Membership::Options membershipOptions(const config::Settings &Settings,
                                             ferry::Incarnation Incarnation) {
  auto Options = Membership::Options::forSize(Settings.Hosts.size());
  Options.Self = Settings.Host;
  Options.DataCentre = Settings.DataCentre;
  Options.Incarnation = Incarnation;
  Options.Seed = systemSeed();
  for (const config::PeerHost &Host : Settings.Hosts)
    Options.Peers.push_back({Host.Id, Host.DataCentre, HostDuty::Router, {}});
  if (Settings.Interface == config::Interface::Routed)
    return routedMembership(Settings, std::move(Options));
  return Options;
}

/// \returns the control hosts that the settings name.
static std::vector<HostId>
initialControlHosts(const config::Settings &Settings) {
  return Settings.Interface == config::Interface::Routed
             ? Settings.Discovery.Seeds
             : Settings.controlHosts();
}

static Confirmation::Options
confirmationOptions(const config::Settings &Settings,
                    DescriptionNumber Number) {
  Confirmation::Options Options;
  Options.ControlHosts = initialControlHosts(Settings);
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
                       Hooks Callbacks) {
  auto Opened = HostStore::tryOpen(Settings.DataFolder, unixNow());
  if (!Opened)
    return makeTypedError(StartErrorKind::Storage, Opened.error().message());
  std::unique_ptr<ControlPlane> Plane(new ControlPlane(
      Settings, Loop, std::move(Callbacks), std::move(*Opened)));
  auto Started = Plane->tryStartParts();
  if (!Started)
    return makeError(Started.error());
  return Plane;
}

ControlPlane::ControlPlane(const config::Settings &Settings, ControlLoop &Loop,
                           Hooks Callbacks, HostStore OpenedStore)
    : Settings(Settings), Loop(Loop), Callbacks(std::move(Callbacks)),
      Store(std::move(OpenedStore)),
      Holder(Store, this->Callbacks.Platform.ReadDescription),
      Members(membershipOptions(Settings, Store.incarnation())),
      Work({Settings.Host, Settings.DataCentre}),
      Confirmed(confirmationOptions(Settings, Holder.number())) {
  // Control hosts of this interface place no requests by the description.
  if (isRouted() && Settings.Role == config::HostRole::Control)
    Store.writeInBackground();
}

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
  Streams = std::make_unique<StreamExchange>(
      *Link, Loop,
      StreamExchange::Hooks{[this] { return liveRouterIds(); },
                            Callbacks.NoteStream, Callbacks.FindStream});
  startBeliefs();
  Slots = std::make_unique<SlotExchange>(*Link, Loop, Callbacks.Slots);
  startGateway();
  if (Settings.Role == config::HostRole::Control) {
    auto Opened = tryOpenRegistry();
    if (!Opened)
      return Opened;
    startOrders();
  }
  addDumpSections();
  addSeeds();
  stepMembership(DescriptionApplied{Holder.number()});
  tick();
  if (isRouted() && Settings.Role == config::HostRole::Router) {
    sendDigests();
    Beliefs->start();
  }
  return {};
}

void ControlPlane::startBeliefs() {
  BeliefExchange::OtherHosts Others{[this] { return liveRouterIds(); },
                                    [this] { return otherControlHosts(); }};
  if (isRouted() && Settings.Role == config::HostRole::Control) {
    Keeper = std::make_unique<QuarantineKeeper>(Settings.DataFolder);
    Others.Routers = [] { return std::vector<HostId>(); };
    Callbacks.Beliefs.KeepsQuarantines = true;
    Callbacks.Beliefs.Everything = [this] {
      return routing::Beliefs{Keeper->everything(), {}};
    };
    Callbacks.Beliefs.TakeNews = [this] {
      return routing::Beliefs{Keeper->takeNews(), {}};
    };
    Callbacks.Beliefs.Apply = [this](const routing::Beliefs &Told, bool) {
      Keeper->apply(Told.Crashes.Quarantined);
      if (Keeper->hasNews())
        Beliefs->newsReady();
    };
  }
  Beliefs = std::make_unique<BeliefExchange>(
      *Link, Loop, std::move(Others), Callbacks.Beliefs,
      [this](const routing::Beliefs &Known) { updateBeliefMetrics(Known); });
}

void ControlPlane::startGateway() {
  registry::RegistryClient::Options Options;
  Options.ControlHosts = initialControlHosts(Settings);
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
  Options.Members = initialControlHosts(Settings);
  if (isRouted()) {
    Options.Source = consensus::MemberSource::Discovered;
    Options.MayForm = Settings.Discovery.MayFormLog;
    Options.WantedVoters = Settings.Discovery.wantedVoters();
  }
  Options.Folder = Settings.DataFolder / "log";
  Options.Seed = systemSeed();
  RegistryNode::Hooks NodeHooks;
  NodeHooks.SendConsensus = [this](const HostId &To, std::string Payload) {
    Link->sendBytes(To, wire::PayloadKind::Consensus, std::move(Payload));
  };
  NodeHooks.SendReply = [this](const HostId &To,
                               const wire::RegistryReply &Reply) {
    Link->send(To, wire::PayloadKind::RegistryReply, Reply);
  };
  NodeHooks.DescriptionChanged = [this] { applyRegistryDescription(); };
  NodeHooks.WeightsNamed = [this] {
    if (!isRouted())
      return;
    recordNamedWeights();
    if (!Namings.all().empty())
      broadcastNamedWeights();
    markViewChanged();
  };
  NodeHooks.LeavesRecorded = [this] {
    stepMembership(LeavesRecorded{
        Node->state().leaves().after(Members.recordedLeaves().newestNumber())});
  };
  NodeHooks.Synced = [this](Duration Elapsed) {
    Metrics
        .histogram(
            "ferry_log_sync_seconds",
            "From the oldest write that a sync of the log covers to its end.")
        .observe(double(Elapsed.count()) / 1e6);
  };
  NodeHooks.Committed = [this](Duration Elapsed) {
    Metrics
        .histogram("ferry_log_commit_seconds",
                   "From a proposal to this leader until it is committed.")
        .observe(double(Elapsed.count()) / 1e6);
  };
  NodeHooks.StandingChanged = [this] {
    if (auto Leader = Node->log().leader())
      Gateway->hintLeader(*Leader);
  };
  auto Opened = RegistryNode::tryOpen(std::move(Options), Loop, NodeHooks);
  if (!Opened)
    return makeTypedError(StartErrorKind::Storage, Opened.error().message());
  Node = std::move(*Opened);
  return {};
}

OrderDispatcherOptions ControlPlane::orderOptions() {
  OrderDispatcherOptions Options;
  Options.Lease.Name = registry::DeploymentLease;
  Options.Lease.Host = Settings.Host;
  Options.Lease.Incarnation = Store.incarnation();
  if (!isRouted())
    return Options;
  Options.Lease.Length =
      std::chrono::milliseconds(Settings.Routed.OrderLeaseMillis);
  Options.Lease.RenewInterval = RoutedLeaseRenewal;
  Options.Dialect = Callbacks.Platform.Orders;
  Options.EngineChanged = [this](const routing::EngineChange &Change) {
    broadcastEngineChange(Change);
  };
  Options.MinUsableTime =
      RoutedTrustDuration - maxAnnouncementAge(Settings.Routed);
  Options.WeightsDeadline =
      std::chrono::milliseconds(Settings.Routed.WeightsDeadlineMillis);
  Options.SendingThreads = RoutedSendingThreads;
  Options.Fencing = Settings.Routed.Fencing;
  return Options;
}

void ControlPlane::reopenLog() {
  Timestamp Now = steadyNow();
  bool Stopped = !Node || Node->log().failure();
  if (Settings.Role != config::HostRole::Control || !Stopped ||
      Now < ReopenLogAt)
    return;
  ReopenLogAt = Now + ReopenLogInterval;
  // Entries that were not synced have not been acknowledged, so the log can
  // restart from its disk.
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
  std::vector<HostId> Hosts = ControlHosts;
  Node->setDiscoveredHosts(std::move(Hosts));
}

void ControlPlane::startOrders() {
  Orders = std::make_unique<OrderDispatcher>(orderOptions(), Loop, *Gateway,
                                             Node->state());
  Orders->namingsChanged(Namings.all());
}

void ControlPlane::addDumpSection(std::string Name,
                                  observe::StateDump::Section Make) {
  Dump.add(std::move(Name), std::move(Make));
}

void ControlPlane::tick() {
  noteTickDelay();
  stepConfirmation(ConfirmationTick{});
  Callbacks.Running(Confirmed.answeredAsOf());
  stepMembership(LocalConfirmed{Confirmed.number(), Confirmed.confirmedAsOf()});
  stepMembership(MembershipTick{});
  stepTransfer(Transfer.tick(Holder.number(), steadyNow()));
  reopenLog();
  updateStanding();
  if (Confirmed.confirmedUntil() != ViewConfirmedUntil)
    markViewChanged();
  if (isRouted() && Node && steadyNow() >= ResendNamedWeightsAt) {
    recordNamedWeights();
    broadcastNamedWeights();
  }
  updateMetrics();
  TickDueAt = steadyNow() + Membership::TickInterval;
  TickTimer = Loop.at(TickDueAt, [this] { tick(); });
}

void ControlPlane::noteTickDelay() {
  if (TickDueAt == Timestamp())
    return;
  Duration Delay = steadyNow() - TickDueAt;
  Metrics
      .histogram("ferry_control_delay_seconds",
                 "How late the ticks of the control thread ran.")
      .observe(double(Delay.count()) / 1e6);
  if (Delay >= LoggedTickDelay)
    observe::logEvent(Severity::Warning, "control", "control_late",
                      {{"late_ms", Delay.count() / 1000}});
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
  Beliefs->stop();
  Orders.reset();
  if (Node)
    Node->close();
}

void ControlPlane::updateStanding() {
  Standing NewStanding = chooseStanding();
  if (NewStanding == OwnStanding)
    return;
  OwnStanding = NewStanding;
  observe::logEvent(Severity::Info, "control", "standing_changed",
                    {{"standing", NewStanding}});
  stepMembership(LocalStanding{NewStanding});
  markViewChanged();
}

membership::Standing ControlPlane::chooseStanding() const {
  if (Draining)
    return Standing::Draining;
  Timestamp Now = steadyNow();
  // Routes are served even if they may be out of date: a target refuses
  // requests that are not for it. Without routes or targets there is nothing to
  // serve.
  if (isRouted())
    return Holder.routes() && !Members.targets(Now).empty()
               ? Standing::Serving
               : Standing::Unconfirmed;
  return Confirmed.isConfirmed(Now) ? Standing::Serving : Standing::Unconfirmed;
}

void ControlPlane::addSeeds() {
  for (const HostId &Seed : Settings.Discovery.Seeds)
    if (Seed != Settings.Host)
      stepMembership(SeedAdded{Seed});
}

void ControlPlane::setSeeds(std::vector<HostId> Seeds) {
  if (!isRouted())
    return;
  Settings.Discovery.Seeds = std::move(Seeds);
  addSeeds();
}

void ControlPlane::updateControlHosts() {
  if (!isRouted())
    return;
  std::vector<HostId> AllHosts;
  std::vector<HostId> AliveHosts;
  for (const HostState &Host : Members.hosts(steadyNow())) {
    if (Host.Duty != HostDuty::Control)
      continue;
    AllHosts.push_back(Host.Id);
    if (Host.Standing != Standing::Silent || Host.Id == Settings.Host)
      AliveHosts.push_back(Host.Id);
  }
  // One that is called silent by mistake may be needed for a quorum.
  if (std::exchange(KnownControlHosts, AllHosts) != AllHosts)
    stepConfirmation(ControlHostsChanged{AllHosts});
  std::vector<HostId> &Usable = AliveHosts.empty() ? AllHosts : AliveHosts;
  if (Usable == ControlHosts)
    return;
  ControlHosts = Usable;
  observe::logEvent(Severity::Info, "control", "control_hosts_changed",
                    {{"alive", AliveHosts.size()}, {"known", AllHosts.size()}});
  Gateway->setControlHosts(ControlHosts);
  if (Node)
    Node->setDiscoveredHosts(AllHosts);
}

void ControlPlane::announceDescription() {
  // The leader tells all hosts the number at once, in the form of an answer to
  // a query, and they fetch the description. A host that misses it learns of
  // the number from heartbeats.
  if (!isRouted() || !Node || !Node->log().isLeader())
    return;
  wire::ConfirmationMessage Message;
  Message.__set_Answer(
      answerQuery(wire::ConfirmationQuery(), Holder.number(), /*Voter=*/false));
  for (const HostState &Host : Members.hosts(steadyNow()))
    if (Host.Id != Settings.Host && Host.Standing != Standing::Silent)
      Link->send(Host.Id, wire::PayloadKind::Confirmation, Message);
}

void ControlPlane::fetchFrom(const HostId &From) {
  if (!NewerHeardAt)
    NewerHeardAt = steadyNow();
  stepTransfer(Transfer.noteNewer(From, Holder.number(), steadyNow()));
}

void ControlPlane::stepTransfer(DescriptionTransfer::Step Step) {
  if (Step.Send) {
    FetchesOfNewer += Step.Send->Fetch.Offset == 0 ? 1 : 0;
    Link->send(Step.Send->To, wire::PayloadKind::DescriptionFetch,
               Step.Send->Fetch);
  }
  if (Step.Whole)
    applyDescription(*Step.Whole);
}

config::Description ControlPlane::wantedWeights() const {
  config::Description Description;
  uint32_t Engines = 0;
  for (const TargetRecord &Target : Members.targets(steadyNow()))
    Engines += Target.Kind == TargetKind::Engine;
  Description.Limits.MaxWeightsLoads = control::weightsLoadLimit(Engines);
  if (!Node || !Holder.routes())
    return Description;
  for (const config::RoutedService &RoutedService :
       Holder.routes()->services()) {
    if (!RoutedService.Engine || RoutedService.Engine->Models.empty())
      continue;
    config::Service Service;
    Service.Id = RoutedService.Id;
    Service.Model = RoutedService.Engine->Models.front();
    Service.Weights = Node->state().namedWeights(Service.Model);
    // Until weights are named, engines keep the weights they started with.
    if (Service.Weights.Value > 0)
      Description.Services.push_back(std::move(Service));
  }
  return Description;
}

void ControlPlane::recordNamedWeights() {
  for (const ModelId &Model : Node->state().namedModels())
    Namings.update(Model, Node->state().namedVersions(Model), unixNow(),
                   steadyNow());
  if (Orders)
    Orders->namingsChanged(Namings.all());
}

void ControlPlane::applyRegistryDescription() {
  const registry::StoredDescription &Accepted = Node->state().description();
  wire::DescriptionCopy Copy;
  Copy.Number = static_cast<int64_t>(Accepted.Number.Value);
  Copy.Operation = Accepted.Operation;
  Copy.Text = Accepted.Text;
  Copy.__set_SharedCacheSince(
      static_cast<int64_t>(Accepted.SharedCacheSince.Value));
  applyDescription(Copy);
}

void ControlPlane::applyDescription(const wire::DescriptionCopy &Copy) {
  auto Applied = Holder.tryApply(Copy);
  if (!Applied) {
    if (Applied.error().Kind != ApplyErrorKind::NotNewer)
      observe::logEvent(
          Severity::Error, "control", "description_not_taken",
          {{"number", Copy.Number}, {"reason", Applied.error().message()}});
    return;
  }
  std::optional<int64_t> HeardMillis;
  if (NewerHeardAt)
    HeardMillis = (steadyNow() - *NewerHeardAt).count() / 1000;
  observe::logEvent(Severity::Info, "control", "description_in_force",
                    {{"number", Copy.Number},
                     {"operation", Copy.Operation},
                     {"bytes", Copy.Text.size()},
                     {"shared_cache_since", Copy.SharedCacheSince},
                     {"heard_ms", HeardMillis},
                     {"fetches", FetchesOfNewer}});
  NewerHeardAt.reset();
  FetchesOfNewer = 0;
  WholeCopySentAt.clear();
  stepConfirmation(ConfirmationApplied{Holder.number()});
  stepMembership(DescriptionApplied{Holder.number()});
  markViewChanged();
  announceDescription();
}

void ControlPlane::stepMembership(const MembershipEvent &Event) {
  uint64_t PreviousLeave = Members.recordedLeaves().newestNumber();
  runMembershipStep(Event);
  if (Members.recordedLeaves().newestNumber() > PreviousLeave)
    logLearnedLeaves(PreviousLeave, Event);
}

void ControlPlane::logLearnedLeaves(uint64_t After,
                                    const MembershipEvent &Event) const {
  const auto *Message = std::get_if<MembershipReceived>(&Event);
  for (const RecordedLeave &Leave :
       Members.recordedLeaves().after(After, MaxLoggedLeaves))
    observe::logEvent(
        Severity::Info, "control", "leave_learned",
        {{"target", Leave.Target},
         {"incarnation", Leave.Incarnation},
         {"number", Leave.Number},
         {"from", Message != nullptr ? Message->From.Value : "log"}});
}

void ControlPlane::runMembershipStep(const MembershipEvent &Event) {
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
        [this](const ConfirmationReceived &Received) {
          stepConfirmation(ConfirmationRelayed{Received.Number, Received.AsOf,
                                               Received.From});
        },
        [this](const membership::AnnouncementRefused &Refused) {
          AnnouncementRefused = true;
          observe::logEvent(
              Severity::Info, "control", "announcement_refused",
              {{"target", Refused.Target}, {"known", Refused.Greatest}});
        },
        [this](const NoticedLeaveReceived &Leave) {
          recordLeave(Leave.Target, Leave.Incarnation,
                      steadyNow() + NoticedLeaveTimeout, [](bool) {});
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
        [this](const ConfirmationSend &Sent) {
          wire::ConfirmationMessage Message;
          Message.__set_Query(Sent.Query);
          Link->send(Sent.To, wire::PayloadKind::Confirmation, Message);
        },
        [this](const FetchDescription &Fetch) { fetchFrom(Fetch.From); });
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
  Callbacks.ViewChanged(std::move(View));
}

} // namespace ferry::daemon
