#include "LibTraffic/RoutedContext.h"

namespace ferry::traffic {

using namespace ferry::routing;

void SharedPlacement::setView(RoutingViewPtr Newer) {
  std::lock_guard Lock(Mutex);
  View = Newer;
  Decisions.applyView(std::move(Newer), steadyNow());
}

RoutingViewPtr SharedPlacement::view() const {
  std::lock_guard Lock(Mutex);
  return View;
}

std::variant<PlacedCall, RefusedCall>
SharedPlacement::place(const RoutedCall &Call) {
  std::lock_guard Lock(Mutex);
  return Decisions.place(Call, steadyNow());
}

void SharedPlacement::firstByte(uint64_t Ticket) {
  std::lock_guard Lock(Mutex);
  Decisions.noteFirstByte(Ticket, steadyNow());
}

void SharedPlacement::ended(uint64_t Ticket, CallEnd End) {
  std::lock_guard Lock(Mutex);
  Decisions.endCall(Ticket, End, steadyNow());
}

RetryShare &SharedPlacement::shareOf(const ServiceId &Service) {
  return Shares.try_emplace(Service, Bound).first->second;
}

void SharedPlacement::countRequest(const ServiceId &Service) {
  std::lock_guard Lock(Mutex);
  shareOf(Service).countRequest(Decisions.servingRouters(), steadyNow());
}

bool SharedPlacement::takeRetry(const ServiceId &Service) {
  std::lock_guard Lock(Mutex);
  return shareOf(Service).spend(Decisions.servingRouters(), steadyNow());
}

void SharedPlacement::takeDigest(const HostId &From, const WorkDigest &Digest) {
  std::lock_guard Lock(Mutex);
  Decisions.applyDigest(From, Digest, steadyNow());
}

WorkDigest SharedPlacement::makeDigest() {
  std::lock_guard Lock(Mutex);
  return Decisions.makeDigest();
}

void SharedPlacement::weightsNamed(const NamedWeights &Named) {
  std::lock_guard Lock(Mutex);
  Decisions.applyNamedWeights(Named, steadyNow());
}

void SharedPlacement::engineChanged(const EngineChange &Change) {
  std::lock_guard Lock(Mutex);
  Decisions.applyEngineChange(Change, steadyNow());
}

RoutedPlacement::Status SharedPlacement::status() const {
  std::lock_guard Lock(Mutex);
  return Decisions.status(steadyNow());
}

RoutedFigures::RoutedFigures(observe::Metrics &Figures)
    : Answers(Figures.counters({"ferry_routed_answers_total",
                                "Answers to callers by route and status",
                                {"route", "status"}})),
      TargetCalls(Figures.counters({"ferry_target_calls_total",
                                    "Calls to targets by how they ended",
                                    {"end"}})),
      TurnedAway(Figures.counters({"ferry_turned_away_total",
                                   "Requests sent to no target, by reason",
                                   {"reason"}})),
      FirstByteSeconds(
          Figures.histograms({"ferry_first_byte_seconds",
                              "From a request's head to its answer's first "
                              "byte, by route",
                              {"route"}})),
      Retries(Figures.counter("ferry_retries_total",
                              "Calls sent to a second target")),
      StreamsCut(Figures.counter("ferry_streams_cut_total",
                                 "Streams ended before their last event")),
      CallersLeft(Figures.counter("ferry_callers_left_total",
                                  "Callers gone before their answer")) {}

} // namespace ferry::traffic
