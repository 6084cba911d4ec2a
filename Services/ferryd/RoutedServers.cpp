#include "ferryd/RoutedServers.h"
#include "LibCore/Random.h"
#include "LibTraffic/AwaitReply.h"
#include "ferryd/RoutingMetrics.h"
#include "platform/CallHeaders.h"
#include "platform/OrderCalls.h"
#include "platform/RouteTableCodec.h"
#include <thread>
#include <vector>

namespace ferry::daemon {

using traffic::TrafficError;

/// Callers may keep an answer of the directory for three times the lifetime it
/// names; after that no caller uses this host's address.
static constexpr uint32_t DirectoryLifetimesToDrain = 3;
/// The part of the grace that is reserved for the last answers and the exit, at
/// most: targets may work until the last sixth of the grace.
static constexpr Duration MaxShutdownReserve = std::chrono::milliseconds(700);
static constexpr int64_t GracePerReserve = 6;
/// Time for requests to answer once their waits for targets have ended.
static constexpr Duration LastAnswersLimit = std::chrono::milliseconds(100);
static constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(20);
/// Longest wait for the control thread's dump.
static constexpr Duration DumpTimeout = std::chrono::seconds(2);

static Result<DescriptionContent, ApplyError>
readRouteTable(const std::string &Text) {
  auto Routes = platform::tryDecodeRoutes(Text);
  if (!Routes)
    return makeTypedError(ApplyErrorKind::Unreadable, Routes.error().message());
  return DescriptionContent{nullptr, *Routes};
}

PlatformBindings platformBindings(const HostId &Self) {
  return {readRouteTable, platform::orderDialect(Self),
          platform::routeDialect()};
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
    Options.RecordLifetime = RoutedTrustDuration;
    Options.MaxRecordAge = maxAnnouncementAge(Settings.Routed);
    auto Started = traffic::RoutedFront::tryStart(
        Settings, platform::routeDialect(), Metrics, Options,
        {Control.port().NoticeLeave, Control.port().TellStream,
         Control.port().AskStream, Control.port().TellBeliefs,
         Control.port().SendCapQuestions, Control.port().AskSlot,
         Control.port().GiveBackSlot});
    if (!Started)
      return makeError(Started.error());
    Front = std::move(*Started);
  }
  const config::RoutedSettings &Routed = Settings.Routed;
  auto Served = platform::Directory::tryStart(
      {Routed.DirectoryAddress, Routed.ReadinessAddress},
      {[this](const std::string &DataCentre) { return entriesFor(DataCentre); },
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
  auto MetricsText = [this, &Control] {
    if (Front)
      setCapMetrics(Metrics, Front->caps());
    return Control.metricsText() + Metrics.render();
  };
  auto Dump = [Port = Control.port()] {
    return traffic::awaitReply<std::string>(
        steadyNow() + DumpTimeout, [&](auto Done) { Port.Dump(Done); });
  };
  auto Started = traffic::MetricsServer::tryStart(Settings.OperatorAddress,
                                                  {MetricsText, Dump});
  if (!Started)
    return makeError(Started.error());
  MetricsEndpoint = std::move(*Started);
  return {};
}

void RoutedServers::setView(const routing::RoutingViewPtr &NewView) {
  {
    std::lock_guard Lock(Mutex);
    View = NewView;
  }
  if (Front)
    Front->setView(NewView);
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
  Duration Grace = std::chrono::milliseconds(Settings.Routed.GraceMillis);
  DrainLimit =
      Now + Grace - std::min(MaxShutdownReserve, Grace / GracePerReserve);
  RefuseFrom = Now;
  if (!Front)
    return;
  Duration DirectoryExpiry =
      DirectoryLifetimesToDrain *
      std::chrono::milliseconds(Settings.Routed.DirectoryLifetimeMillis);
  RefuseFrom = std::min(DrainLimit, Now + DirectoryExpiry);
  Front->beginDrain(RefuseFrom, DrainLimit);
}

void RoutedServers::awaitDrained() {
  while (steadyNow() < RefuseFrom)
    std::this_thread::sleep_for(DrainCheckPeriod);
  if (!Front)
    return;
  while (Front->activeRequests() > 0 && steadyNow() < DrainLimit)
    std::this_thread::sleep_for(DrainCheckPeriod);
  if (Front->activeRequests() == 0)
    return;
  Front->endTargetCalls();
  while (Front->activeRequests() > 0 &&
         steadyNow() < DrainLimit + LastAnswersLimit)
    std::this_thread::sleep_for(DrainCheckPeriod);
}

void RoutedServers::stop(Timestamp Deadline) {
  // Each listener notices its stop after some time only. One after the other,
  // they would take longer than the grace leaves.
  std::vector<std::thread> Stops;
  if (Front)
    Stops.emplace_back([&] { Front->stop(Deadline); });
  Stops.emplace_back([&] { Directory->stop(Deadline); });
  if (Api)
    Stops.emplace_back([&] { Api->stop(Deadline); });
  Stops.emplace_back([&] { MetricsEndpoint->stop(Deadline); });
  for (std::thread &Stop : Stops)
    Stop.join();
}

} // namespace ferry::daemon
