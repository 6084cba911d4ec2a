/// \file
/// A deployment of engines in virtual time, for tests of RoutedPlacement.
#ifndef FERRY_LIBROUTING_ROUTEDDEPLOYMENT_H
#define FERRY_LIBROUTING_ROUTEDDEPLOYMENT_H

#include "LibRouting/RoutedPlacement.h"
#include <boost/test/unit_test.hpp>

namespace ferry::routing {

inline const ServiceId Lm{"lm"};
inline const ModelId Model{"m0"};
inline constexpr Duration RecordLifetime = std::chrono::seconds(30);

/// A deployment of engines in virtual time, which any number of routers share.
class TestDeployment {
public:
  /// Adds a route to the engines with prompts that are desired to begin within
  /// \p DesiredLatencyMillis.
  void addRoute(uint32_t DesiredLatencyMillis) {
    config::RouteTable::Parts Parts;
    Parts.Number = {View.Routes->number().Value + 1};
    Parts.Services = View.Routes->services();
    Parts.Routes = View.Routes->routes();
    config::Route Route;
    Route.Name = "r" + std::to_string(Parts.Routes.size());
    Route.Host = "a.example";
    Route.PathPrefix = "/" + Route.Name + "/";
    Route.SharesPrompts = true;
    Route.TimeoutMillis = 10'000;
    Route.DesiredLatencyMillis = DesiredLatencyMillis;
    Route.Shares = {{Lm, 1}};
    Parts.Routes.push_back(Route);
    View.Routes = config::RouteTable::create(std::move(Parts));
  }

  explicit TestDeployment(size_t Count, bool WithStore = false) {
    config::RouteTable::Parts Parts;
    Parts.Number = {1};
    config::RoutedService Service;
    Service.Id = Lm;
    Service.Engine =
        config::EngineCapacity{64, 180'000, 18'432, 370'000, {Model}};
    Parts.Services.push_back(Service);
    if (WithStore) {
      config::RoutedService Store;
      Store.Id = {"store"};
      Store.Store =
          config::CacheStoreDetails{"10.9.0.1:80", {"dc"}, 2'900'000, 31'000};
      Parts.Services.push_back(Store);
    }
    View.Routes = config::RouteTable::create(std::move(Parts));
    for (size_t Index = 0; Index < Count; ++Index) {
      TargetRecord Record;
      Record.Id = {"e" + std::to_string(Index)};
      Record.Incarnation = {1};
      Record.Address = "10.0.0." + std::to_string(Index) + ":80";
      Record.DataCentre = {"dc"};
      Record.Service = Lm;
      Record.Model = Model;
      Record.Weights = {1};
      Record.Phase = TargetPhase::Ready;
      Record.Sequence = 1;
      Record.UsableUntil = Now + RecordLifetime;
      View.Targets.push_back(Record);
    }
  }

  RoutedPlacement router(uint64_t Seed = 1) {
    RoutedPlacement::Options Options;
    Options.Seed = Seed;
    Options.RecordLifetime = RecordLifetime;
    RoutedPlacement Router(Options);
    Router.applyView(std::make_shared<const RoutingView>(View), Now);
    return Router;
  }

  /// Adds routers to the view.
  void addHosts(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index) {
      HostView Host;
      Host.Id = {"r" + std::to_string(Index)};
      Host.Standing = HostStanding::Serving;
      Host.CallerAddress = "10.1.0.1:80";
      View.Hosts.push_back(Host);
    }
  }

  /// All engines announce themselves now.
  void announceTo(RoutedPlacement &Router) {
    for (TargetRecord &Record : View.Targets)
      Record.UsableUntil = Now + RecordLifetime;
    Router.applyView(std::make_shared<const RoutingView>(View), Now);
  }

  RoutedCall call(uint64_t Part, uint32_t Shared = 13'300,
                  uint32_t Own = 3'700) const {
    RoutedCall Call;
    Call.Service = Lm;
    Call.Parts = {{Part, Shared}, {Part * 1000 + NextOwnPart++, Own}};
    Call.PromptTokens = Shared + Own;
    Call.OutputTokens = 30;
    Call.Deadline = Now + std::chrono::seconds(12);
    return Call;
  }

  RoutingView View;
  Timestamp Now{std::chrono::seconds(1000)};
  mutable uint64_t NextOwnPart = 1;
};

inline PlacedCall expectPlaced(std::variant<PlacedCall, RefusedCall> Outcome) {
  BOOST_REQUIRE(std::holds_alternative<PlacedCall>(Outcome));
  return std::get<PlacedCall>(Outcome);
}

/// Serves a request that was sent at \p Now in exactly the estimated time.
inline void serve(RoutedPlacement &Router, const PlacedCall &Placed,
                  Timestamp Now) {
  Router.noteFirstByte(Placed.PlacementId, Now + Placed.Estimate);
  Router.endCall(Placed.PlacementId, CallEnd::Served, Now + Placed.Estimate);
}

} // namespace ferry::routing

#endif
