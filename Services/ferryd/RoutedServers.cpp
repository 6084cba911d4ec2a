#include "ferryd/RoutedServers.h"
#include "LibCore/Random.h"
#include "LibTraffic/AwaitReply.h"
#include "platform/CallHeaders.h"
#include "platform/OrderCalls.h"
#include "platform/RouteTableCodec.h"
#include <thread>

namespace ferry::daemon {

using traffic::TrafficError;

/// Callers may keep a directory answer three times as long as they are told;
/// with this, the time until no caller comes any more.
static constexpr uint32_t LifetimesUntilForgotten = 3;
/// Kept from the grace for the exit itself.
static constexpr Duration ExitTime = std::chrono::milliseconds(500);
static constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(20);
/// Longest wait for the control thread's dump.
static constexpr Duration DumpLimit = std::chrono::seconds(2);

static Result<DescriptionContent, TakeError>
readRoutes(const std::string &Text) {
  auto Routes = platform::tryDecodeRoutes(Text);
  if (!Routes)
    return makeTypedError(TakeErrorKind::Unreadable, Routes.error().message());
  return DescriptionContent{nullptr, *Routes};
}

RoutedParts platformParts(const HostId &Self) {
  return {readRoutes, platform::orderDialect(Self), platform::routeDialect()};
}

Result<std::unique_ptr<RoutedServers>, StartError>
RoutedServers::tryStart(const config::Settings &Settings,
                        ControlPlane &Control) {
  std::unique_ptr<RoutedServers> Servers(new RoutedServers(Settings));
  auto Started = Servers->tryServe(Control);
  if (!Started)
    return makeTypedError(StartErrorKind::CannotListen,
                          Started.error().message());
  return Servers;
}

Result<void, TrafficError> RoutedServers::tryServe(ControlPlane &Control) {
  if (!Settings.CallerAddress.empty()) {
    routing::RoutedPlacement::Options Options;
    Options.Seed = systemSeed();
    Options.WeightsDeadline =
        std::chrono::milliseconds(Settings.Routed.WeightsDeadlineMillis);
    Options.RecordLifetime = RoutedTargetTrust;
    Options.MaxRecordAge = freshTime(Settings.Routed);
    auto Started = traffic::RoutedFront::tryStart(
        Settings, platform::routeDialect(), Figures, Options);
    if (!Started)
      return makeError(Started.error());
    Front = std::move(*Started);
  }
  const config::RoutedSettings &Routed = Settings.Routed;
  auto Served = platform::Directory::tryStart(
      {Routed.DirectoryAddress, Routed.ReadinessAddress},
      {[this](const std::string &Place) { return entriesFor(Place); },
       [this] { return isReady(); }, Routed.DirectoryLifetimeMillis});
  if (!Served)
    return makeError(Served.error());
  Directory = std::move(*Served);
  if (!Routed.ControlAddress.empty()) {
    auto Started = platform::ControlApi::tryStart(
        Routed.ControlAddress, Control.port(), Routed.Fencing);
    if (!Started)
      return makeError(Started.error());
    Api = std::move(*Started);
  }
  auto Text = [this, &Control] {
    return Control.metricsText() + Figures.render();
  };
  auto Dump = [Port = Control.port()] {
    return traffic::awaitReply<std::string>(
        steadyNow() + DumpLimit, [&](auto Done) { Port.Dump(Done); });
  };
  auto Started =
      traffic::MetricsServer::tryStart(Settings.OperatorAddress, {Text, Dump});
  if (!Started)
    return makeError(Started.error());
  Shown = std::move(*Started);
  return {};
}

void RoutedServers::setView(const routing::RoutingViewPtr &Newer) {
  {
    std::lock_guard Lock(Mutex);
    View = Newer;
  }
  if (Front)
    Front->setView(Newer);
}

std::vector<std::string> RoutedServers::entriesFor(const std::string &) const {
  std::lock_guard Lock(Mutex);
  std::vector<std::string> Entries;
  if (!View)
    return Entries;
  for (const routing::HostView &Host : View->Hosts)
    if (Host.Standing == routing::HostStanding::Serving &&
        !Host.CallerAddress.empty())
      Entries.push_back(Host.CallerAddress);
  return Entries;
}

bool RoutedServers::isReady() const { return !Front || Front->isReady(); }

void RoutedServers::beginDrain() {
  Timestamp Now = steadyNow();
  DrainLimit =
      Now + std::chrono::milliseconds(Settings.Routed.GraceMillis) - ExitTime;
  DrainedFrom = Now;
  if (!Front)
    return;
  Duration Forgotten =
      LifetimesUntilForgotten *
      std::chrono::milliseconds(Settings.Routed.DirectoryLifetimeMillis);
  DrainedFrom = std::min(DrainLimit, Now + Forgotten);
  Front->beginDrain(DrainedFrom);
}

void RoutedServers::awaitDrained() {
  while (steadyNow() < DrainedFrom)
    std::this_thread::sleep_for(DrainCheckPeriod);
  while (Front && Front->activeRequests() > 0 && steadyNow() < DrainLimit)
    std::this_thread::sleep_for(DrainCheckPeriod);
}

void RoutedServers::stop(Timestamp Deadline) {
  if (Front)
    Front->stop(std::max(Deadline, std::min(DrainLimit, Deadline)));
  Directory->stop(Deadline);
  if (Api)
    Api->stop(Deadline);
  Shown->stop(Deadline);
}

} // namespace ferry::daemon
