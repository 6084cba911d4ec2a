#include "ferryd/Daemon.h"
#include "LibCore/Random.h"
#include "LibObserve/Log.h"
#include "ferryd/RoutingMetrics.h"

namespace ferry::daemon {

using observe::Severity;

/// Active requests get this long to finish once the servers stop.
static constexpr Duration StopGrace = std::chrono::milliseconds(200);

Result<std::unique_ptr<Daemon>, StartError>
Daemon::tryStart(const config::Settings &Settings,
                 std::function<void()> DrainRequested) {
  std::unique_ptr<Daemon> Started(new Daemon(Settings));
  auto Control = Started->tryStartControl(std::move(DrainRequested));
  if (!Control)
    return makeError(Control.error());
  auto Traffic = Started->tryStartTraffic();
  if (!Traffic)
    return makeError(Traffic.error());
  Started->ControlThread =
      std::thread([Raw = Started.get()] { Raw->Loop.run(); });
  observe::logEvent(Severity::Info, "ferryd", "started",
                    {{"host", Settings.Host},
                     {"role", Settings.Role},
                     {"incarnation", Started->Control->incarnation()}});
  return Started;
}

/// Logs that a router has moved the deadlines of superseded weights by \p Gap.
static void logSuspension(Duration Gap) {
  if (Gap > Duration::zero())
    observe::logEvent(Severity::Info, "routed", "weights_deadline_suspended",
                      {{"gap_ms", Gap.count() / 1000}});
}

Daemon::Daemon(const config::Settings &Settings) : Settings(Settings) {}

Daemon::~Daemon() { stop(); }

Result<void, StartError>
Daemon::tryStartControl(std::function<void()> DrainRequested) {
  ControlPlane::Hooks Callbacks;
  Callbacks.ViewChanged = [this](routing::RoutingViewPtr View) {
    if (Routed)
      Routed->setView(View);
    if (Traffic)
      Traffic->setView(std::move(View));
  };
  Callbacks.DrainRequested = std::move(DrainRequested);
  // The control plane calls the hooks below only once the loop runs; the
  // servers exist by then.
  Callbacks.BuildDigest = [this] {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front ? Front->placements().buildDigest() : routing::WorkDigest();
  };
  Callbacks.ApplyDigest = [this](const HostId &From, const auto &Digest) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      Front->placements().applyDigest(From, Digest);
  };
  Callbacks.Running = [this](Timestamp ControlHostsAsOf) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      logSuspension(Front->placements().noteRunning(ControlHostsAsOf));
  };
  Callbacks.WeightsNamed = [this](const HostId &From, const auto &Named) {
    auto *Front = Routed ? Routed->front() : nullptr;
    if (!Front)
      return;
    routing::NamingsOutcome Outcome = Front->placements().weightsNamed(Named);
    logSuspension(Outcome.Suspended);
    for (const routing::NamedWeights &Each : Outcome.News)
      observe::logEvent(Severity::Info, "routed", "weights_known",
                        {{"model", Each.Model},
                         {"weights", Each.Weights},
                         {"age_ms", (steadyNow() - Each.Since).count() / 1000},
                         {"from", From}});
  };
  Callbacks.EngineChanged = [this](const routing::EngineChange &Change) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      Front->placements().engineChanged(Change);
  };
  Callbacks.NoteStream = [this](const routing::BegunStream &Stream) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      Front->streams().note(Stream);
  };
  Callbacks.FindStream =
      [this](routing::StreamKey Key) -> std::optional<BuildId> {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front ? Front->streams().find(Key) : std::nullopt;
  };
  Callbacks.Beliefs.TakeNews = [this] {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front ? Front->takeNews() : routing::Beliefs();
  };
  Callbacks.Beliefs.Everything = [this] {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front ? Front->beliefs() : routing::Beliefs();
  };
  Callbacks.Beliefs.Apply = [this](const routing::Beliefs &Told, bool PassOn) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      Front->applyBeliefs(Told, PassOn);
  };
  Callbacks.Beliefs.Reach = [this] {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front ? Front->reach() : routing::RouterReach();
  };
  Callbacks.Beliefs.NeedsHelpers = [this] {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front != nullptr && Front->needsHelpers();
  };
  Callbacks.Beliefs.NoteHelper = [this](const HostId &Router,
                                        const routing::RouterReach &Reach) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      Front->noteHelper(Router, Reach);
  };
  Callbacks.Slots.Lend = [this](const routing::SlotQuestion &Question) {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front != nullptr && Front->placements().tryLend(Question);
  };
  Callbacks.Slots.TakeBack = [this](const HostId &Borrower, uint64_t Number) {
    if (auto *Front = Routed ? Routed->front() : nullptr)
      Front->placements().takeBackLoan(Borrower, Number);
  };
  setCapHooks(Callbacks.Beliefs.Caps);
  if (Settings.Interface == config::Interface::Routed)
    Callbacks.Platform = platformBindings(Settings.Host);
  auto Started = ControlPlane::tryStart(Settings, Loop, std::move(Callbacks));
  if (!Started)
    return makeError(Started.error());
  Control = std::move(*Started);
  return {};
}

void Daemon::setCapHooks(CapHooks &Hooks) {
  auto Caps = [this]() -> traffic::SharedCaps * {
    auto *Front = Routed ? Routed->front() : nullptr;
    return Front ? &Front->caps() : nullptr;
  };
  CapHooks Defaults;
  Hooks.TakeQuestions = [Caps, Default = Defaults.TakeQuestions] {
    return Caps() ? Caps()->takeQuestions() : Default();
  };
  Hooks.NextDue = [Caps] { return Caps() ? Caps()->nextDue() : NeverExpires; };
  Hooks.Answer = [Caps, Default = Defaults.Answer](const auto &Question) {
    return Caps() ? Caps()->answer(Question) : Default(Question);
  };
  Hooks.Apply = [Caps](const HostId &From, const auto &Reply) {
    if (Caps())
      Caps()->apply(From, Reply);
  };
}

Result<void, StartError> Daemon::tryStartTraffic() {
  auto Started = Settings.Interface == config::Interface::Routed
                     ? tryStartRouted()
                     : tryStartNative();
  if (Started)
    Control->publishView();
  return Started;
}

Result<void, StartError> Daemon::tryStartRouted() {
  auto Started = RoutedServers::tryStart(Settings, *Control);
  if (!Started)
    return makeError(Started.error());
  Routed = std::move(*Started);
  if (auto *Front = Routed->front())
    Control->addDumpSection("caps",
                            [Front] { return capsSection(Front->caps()); });
  return {};
}

Result<void, StartError> Daemon::tryStartNative() {
  traffic::TrafficOptions Options;
  Options.Settings = Settings;
  Options.Incarnation = Control->incarnation();
  Options.Control = Control->port();
  Options.Scheduler.Self = Settings.Host;
  Options.Scheduler.Seed = systemSeed();
  Options.MetricsText = [this] { return metricsText(); };
  auto Started = traffic::TrafficFront::tryStart(std::move(Options));
  if (!Started)
    return makeTypedError(StartErrorKind::CannotListen,
                          Started.error().message());
  Traffic = std::move(*Started);
  Control->addDumpSection("routing", [this] {
    return routingSection(Traffic->placements().status());
  });
  return {};
}

std::string Daemon::metricsText() {
  // Called only while the operators' server runs, so Traffic is not nullptr.
  setRoutingMetrics(RoutingMetrics, Traffic->placements().status());
  return Control->metricsText() + RoutingMetrics.render();
}

void Daemon::drainAndStop() {
  observe::logEvent(Severity::Info, "ferryd", "draining", {});
  Loop.post([this] { Control->beginDrain(); });
  if (Routed) {
    Routed->beginDrain();
    Routed->awaitDrained();
  }
  if (Traffic) {
    Traffic->beginDrain();
    Traffic->awaitDrained();
  }
  stop();
}

void Daemon::reload(const config::Settings &NewSettings) {
  observe::logEvent(Severity::Info, "ferryd", "reloaded",
                    {{"seeds", NewSettings.Discovery.Seeds.size()}});
  Loop.post([this, Seeds = NewSettings.Discovery.Seeds] {
    Control->setSeeds(Seeds);
  });
}

void Daemon::stop() {
  if (Routed)
    Routed->stop(steadyNow() + StopGrace);
  if (Traffic)
    Traffic->stop(steadyNow() + StopGrace);
  stopControl();
}

void Daemon::stopControl() {
  if (!ControlThread.joinable())
    return;
  Loop.post([this] {
    Control->close();
    Loop.stop();
  });
  ControlThread.join();
  observe::logEvent(Severity::Info, "ferryd", "stopped", {});
}

} // namespace ferry::daemon
