#include "LibTraffic/RoutedFront.h"
#include "LibObserve/Log.h"
#include "LibTraffic/RoutedRelay.h"

namespace ferry::traffic {

using namespace ferry::routing;

/// Memory for request bodies, as a number of bodies of the largest size.
static constexpr uint64_t BodiesInMemory = 4;
static constexpr uint64_t MaxBodyBytes = 4ULL << 20;

RoutedFront::RoutedFront(const config::Settings &Settings, RouteDialect Dialect,
                         observe::Metrics &Metrics,
                         routing::RoutedPlacement::Options Options,
                         RoutedHooks Hooks)
    : Context{Settings,
              std::move(Dialect),
              {Options,
               {Settings.Routed.RetryRatio, Settings.Routed.RetrySlack,
                std::chrono::milliseconds(Settings.Routed.RetryWindowMillis)}},
              RoutedMetrics(Metrics),
              std::move(Hooks)} {
  Context.Quarantine.setNewsHook(Context.Hooks.BeliefsChanged);
  Context.Reach.setAskHook(Context.Hooks.BeliefsChanged);
  Context.Caps.setQuestionHook(Context.Hooks.CapQuestionsReady);
}

void RoutedFront::setView(const routing::RoutingViewPtr &View) {
  Context.Quarantine.setRouters(View->Self, View->servingRouters());
  Context.Reach.setView(View);
  // Before the placements, whose view the requests read their caps from.
  Context.Caps.setView(View);
  Context.Placements.setView(View);
  Context.AtTargets.applyTargets(
      View->Targets, [this](const UnansweredCall &Call) {
        observe::logEvent(observe::Severity::Info, "routed",
                          "unanswered_target_ended",
                          {{"target", Call.Target},
                           {"incarnation", Call.Incarnation},
                           {"parts", partsText(Call.Suspect.Parts)}});
        Context.Quarantine.noteReplaced(Call.Target, Call.Incarnation,
                                        Call.Suspect);
      });
}

Result<std::unique_ptr<RoutedFront>, TrafficError>
RoutedFront::tryStart(const config::Settings &Settings, RouteDialect Dialect,
                      observe::Metrics &Metrics,
                      routing::RoutedPlacement::Options Options,
                      RoutedHooks Hooks) {
  std::unique_ptr<RoutedFront> Front(new RoutedFront(
      Settings, std::move(Dialect), Metrics, Options, std::move(Hooks)));
  HttpListener::Options ListenerOptions;
  ListenerOptions.Address = Settings.CallerAddress;
  ListenerOptions.MaxConnections = Settings.Limits.MaxCallerConnections;
  ListenerOptions.MaxHeaderBytes = Settings.Limits.MaxHeaderBytes;
  ListenerOptions.HeadBudgetBytes = Settings.Limits.MaxHeadMemoryBytes;
  ListenerOptions.BodyBudgetBytes = MaxBodyBytes * BodiesInMemory;
  auto CurrentLimits = [Raw = Front.get()] {
    auto View = Raw->Context.Placements.view();
    return View && View->Routes ? View->Routes->limits()
                                : config::CallerLimits();
  };
  ListenerOptions.IdleLimit = [CurrentLimits] {
    return Duration(
        std::chrono::milliseconds(CurrentLimits().IdleTimeoutMillis));
  };
  ListenerOptions.CurrentHeaderReadLimit = [CurrentLimits] {
    return Duration(
        std::chrono::milliseconds(CurrentLimits().HeaderTimeoutMillis));
  };
  auto Listener = HttpListener::tryStart(
      ListenerOptions, [Raw = Front.get()](HttpExchange &Exchange) {
        RoutedRelay(Raw->Context, Exchange).run();
      });
  if (!Listener)
    return makeError(Listener.error());
  Front->Listener = std::move(*Listener);
  return Front;
}

routing::Beliefs RoutedFront::takeNews() {
  return {Context.Quarantine.takeNews(), Context.Placements.takeLimitNews()};
}

routing::Beliefs RoutedFront::beliefs() {
  return {Context.Quarantine.everything(), Context.Placements.allLimits()};
}

routing::RouterReach RoutedFront::reach() const {
  return Context.Reach.ownReach(/*Serves=*/isReady());
}

void RoutedFront::applyBeliefs(const routing::Beliefs &Told, bool PassOn) {
  Context.Quarantine.apply(Told.Crashes, PassOn);
  if (Context.Placements.applyLimits(Told.Limits, PassOn))
    Context.Hooks.BeliefsChanged();
}

RoutedFront::~RoutedFront() { stop(steadyNow()); }

bool RoutedFront::isReady() const {
  auto View = Context.Placements.view();
  return View && View->Routes && !View->Targets.empty() && !Context.Draining;
}

void RoutedFront::stop(Timestamp Deadline) {
  if (Listener)
    Listener->stop(Deadline);
  Context.Reach.stop();
}

} // namespace ferry::traffic
