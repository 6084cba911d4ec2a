#include "LibTraffic/TrafficFront.h"
#include <thread>

namespace ferry::traffic {

/// Time between two checks whether the drain is complete.
static constexpr std::chrono::milliseconds DrainCheckPeriod{20};

TrafficFront::TrafficFront(TrafficOptions &&Options, TokenStore Tokens)
    : Placements(routing::Scheduler::create(Options.Scheduler)),
      Context{std::move(Options.Settings),
              Options.Incarnation,
              std::move(Options.Control),
              Options.Limits,
              std::move(Tokens),
              Placements,
              {},
              {1},
              {NeverExpires},
              {0}} {}

Result<std::unique_ptr<TrafficFront>, TrafficError>
TrafficFront::tryStart(TrafficOptions Options) {
  auto Tokens = TokenStore::tryLoad(Options.Settings.TokenFile);
  if (!Tokens)
    return makeError(Tokens.error());
  auto MetricsText = Options.MetricsText;
  std::unique_ptr<TrafficFront> Front(
      new TrafficFront(std::move(Options), std::move(*Tokens)));
  auto Callers = CallerServer::tryStart(Front->Context);
  if (!Callers)
    return makeError(Callers.error());
  Front->Callers = std::move(*Callers);
  auto Targets = TargetServer::tryStart(Front->Context);
  if (!Targets)
    return makeError(Targets.error());
  Front->Targets = std::move(*Targets);
  auto Operators = OperatorServer::tryStart(
      Front->Context,
      {MetricsText, [Raw = Front.get()] { return Raw->dumpJson(); }});
  if (!Operators)
    return makeError(Operators.error());
  Front->Operators = std::move(*Operators);
  return Front;
}

TrafficFront::~TrafficFront() { stop(steadyNow()); }

void TrafficFront::setView(routing::RoutingViewPtr View) {
  bool Draining = View->OwnStanding == routing::HostStanding::Draining;
  Placements.setView(std::move(View));
  if (Draining)
    beginDrain();
}

void TrafficFront::beginDrain() {
  Timestamp Never = NeverExpires;
  Context.RefuseFrom.compare_exchange_strong(
      Never, steadyNow() + std::chrono::milliseconds(
                               Context.Settings.EntryLifetimeMillis));
}

bool TrafficFront::drained() const {
  return Context.RefuseFrom.load() <= steadyNow() &&
         Context.ActiveRequests == 0;
}

void TrafficFront::awaitDrained() {
  Timestamp Limit =
      Context.RefuseFrom.load() +
      std::chrono::milliseconds(Context.Settings.DrainLimitMillis);
  while (!drained() && steadyNow() < Limit)
    std::this_thread::sleep_for(DrainCheckPeriod);
}

void TrafficFront::stop(Timestamp Deadline) {
  if (Callers)
    Callers->stop(Deadline);
  if (Targets)
    Targets->stop(Deadline);
  if (Operators)
    Operators->stop(Deadline);
}

std::string TrafficFront::dumpJson() const {
  auto Count = [](auto Value) { return std::to_string(Value); };
  std::string Text = "{\"in_hand\":" + Count(Context.ActiveRequests.load());
  Text += ",\"waiting\":" + Count(Placements.waiting());
  Text += ",\"draining\":";
  Text += Context.RefuseFrom.load() == NeverExpires ? "false" : "true";
  for (const auto &Row : EnumNames<TrafficCount>::Table)
    Text += "," + jsonString(Row.Name) + ":" +
            Count(Context.Counters.value(Row.Value));
  return Text + "}";
}

} // namespace ferry::traffic
