#include "LibTraffic/RoutedContext.h"
#include "LibObserve/Log.h"

namespace ferry::traffic {

using namespace ferry::routing;

void SharedPlacement::setView(RoutingViewPtr NewView) {
  std::lock_guard Lock(Mutex);
  View = NewView;
  Placement.applyView(std::move(NewView), steadyNow());
}

RoutingViewPtr SharedPlacement::view() const {
  std::lock_guard Lock(Mutex);
  return View;
}

std::variant<PlacedCall, RefusedCall>
SharedPlacement::place(const RoutedCall &Call) {
  std::lock_guard Lock(Mutex);
  return Placement.place(Call, steadyNow());
}

void SharedPlacement::firstByte(uint64_t PlacementId) {
  std::lock_guard Lock(Mutex);
  Placement.noteFirstByte(PlacementId, steadyNow());
}

void SharedPlacement::ended(uint64_t PlacementId, CallEnd End) {
  std::lock_guard Lock(Mutex);
  Placement.endCall(PlacementId, End, steadyNow());
}

bool SharedPlacement::noteLeaving(const PlacedCall &Placed) {
  std::lock_guard Lock(Mutex);
  return Placement.noteLeaving(Placed.Target, Placed.Incarnation);
}

bool SharedPlacement::notePause(const PlacedCall &Placed, Timestamp Until) {
  std::lock_guard Lock(Mutex);
  return Placement.notePause(Placed.Target, Placed.Incarnation, Until,
                             steadyNow());
}

bool SharedPlacement::maySend(const PlacedCall &Placed) {
  std::lock_guard Lock(Mutex);
  return Placement.maySend(Placed, steadyNow());
}

std::optional<SlotLoan> SharedPlacement::chooseLoan(const RoutedCall &Call) {
  std::lock_guard Lock(Mutex);
  return Placement.chooseLoan(Call, steadyNow());
}

bool SharedPlacement::tryLend(const SlotQuestion &Question) {
  std::lock_guard Lock(Mutex);
  return Placement.tryLend(Question, steadyNow());
}

void SharedPlacement::takeBackLoan(const HostId &Borrower, uint64_t Number) {
  std::lock_guard Lock(Mutex);
  Placement.takeBackLoan(Borrower, Number);
}

template <typename StepType> bool SharedPlacement::updateLimits(StepType Step) {
  std::vector<LimitChange> Changes;
  bool HasNews = false;
  {
    std::lock_guard Lock(Mutex);
    Step();
    Changes = Placement.limits().takeChanges();
    HasNews = Placement.limits().hasNews();
  }
  for (const LimitChange &Change : Changes)
    observe::logEvent(
        observe::Severity::Info, "routed", "target_limit",
        {{"change", Change.What},
         {"target", Change.Limit.Target},
         {"incarnation", Change.Limit.Incarnation},
         {"per_second", Change.Limit.PerSecond},
         {"rejections_per_second", Change.Limit.RejectionsPerSecond}});
  return HasNews;
}

bool SharedPlacement::noteLimit(const PlacedCall &Placed,
                                const AnswerDetails &Details) {
  return updateLimits([&] {
    Placement.noteLimit(Placed, Details.Limit, Details.RejectionsPerSecond,
                        steadyNow());
  });
}

bool SharedPlacement::applyLimits(const std::vector<TargetLimit> &Told,
                                  bool PassOn) {
  return updateLimits([&] {
    for (const TargetLimit &Limit : Told)
      Placement.limits().apply(Limit, PassOn, steadyNow());
  });
}

std::vector<TargetLimit> SharedPlacement::takeLimitNews() {
  std::lock_guard Lock(Mutex);
  return Placement.limits().takeNews();
}

std::vector<TargetLimit> SharedPlacement::allLimits() {
  std::lock_guard Lock(Mutex);
  return Placement.limits().everything(steadyNow());
}

std::optional<BuildId>
SharedPlacement::onlyBuild(const ServiceId &Service) const {
  std::lock_guard Lock(Mutex);
  return Placement.onlyBuild(Service);
}

RetryShare &SharedPlacement::shareOf(const ServiceId &Service) {
  return Shares.try_emplace(Service, Bound).first->second;
}

void SharedPlacement::countRequest(const ServiceId &Service) {
  std::lock_guard Lock(Mutex);
  shareOf(Service).countRequest(Placement.servingRouters(), steadyNow());
}

bool SharedPlacement::spendRetry(const ServiceId &Service) {
  std::lock_guard Lock(Mutex);
  return shareOf(Service).spend(Placement.servingRouters(), steadyNow());
}

void SharedPlacement::applyDigest(const HostId &From,
                                  const WorkDigest &Digest) {
  std::lock_guard Lock(Mutex);
  Placement.applyDigest(From, Digest, steadyNow());
}

WorkDigest SharedPlacement::buildDigest() {
  std::lock_guard Lock(Mutex);
  return Placement.makeDigest();
}

NamingsOutcome
SharedPlacement::weightsNamed(const std::vector<NamedWeights> &Named) {
  std::lock_guard Lock(Mutex);
  return Placement.applyNamings(Named, steadyNow());
}

Duration SharedPlacement::noteRunning(Timestamp ControlHostsAsOf) {
  std::lock_guard Lock(Mutex);
  return Placement.noteRunning(steadyNow(), ControlHostsAsOf);
}

void SharedPlacement::engineChanged(const EngineChange &Change) {
  std::lock_guard Lock(Mutex);
  Placement.applyEngineChange(Change, steadyNow());
}

RoutedPlacement::Status SharedPlacement::status() const {
  std::lock_guard Lock(Mutex);
  return Placement.status(steadyNow());
}

void SharedStreamBuilds::note(const BegunStream &Stream) {
  std::lock_guard Lock(Mutex);
  Builds.note(Stream, steadyNow());
}

std::optional<BuildId> SharedStreamBuilds::find(StreamKey Key) const {
  std::lock_guard Lock(Mutex);
  return Builds.find(Key, steadyNow());
}

RoutedMetrics::RoutedMetrics(observe::Metrics &Metrics)
    : Answers(Metrics.counters({"ferry_routed_answers_total",
                                "Answers to callers by route and status",
                                {"route", "status"}})),
      TargetCalls(Metrics.counters({"ferry_target_calls_total",
                                    "Calls to targets by how they ended",
                                    {"end"}})),
      Unplaced(Metrics.counters({"ferry_turned_away_total",
                                 "Requests sent to no target, by reason",
                                 {"reason"}})),
      FirstByteSeconds(
          Metrics.histograms({"ferry_first_byte_seconds",
                              "Time from a request's head to its answer's "
                              "first byte, by route",
                              {"route"}})),
      Retries(Metrics.counter("ferry_retries_total",
                              "Calls sent to a second target")),
      StreamsCut(Metrics.counter("ferry_streams_cut_total",
                                 "Streams ended before their last event")),
      EndsInsideEvent(
          Metrics.counters({"ferry_streams_ended_inside_event_total",
                            "Streams that targets ended inside an event, by "
                            "framing",
                            {"framing"}})),
      BrokenAnswers(
          Metrics.counters({"ferry_broken_answers_total",
                            "Answers that targets broke off, by how far they "
                            "had come",
                            {"progress"}})),
      ConnectionEnds(
          Metrics.counters({"ferry_connection_ends_total",
                            "Ends of connections that ended an answer, by what "
                            "is known of them",
                            {"end"}})),
      CallersLeft(Metrics.counter("ferry_callers_left_total",
                                  "Callers that left before their answer")),
      TargetsLeaving(
          Metrics.counter("ferry_targets_leaving_total",
                          "Targets whose answers said that they leave")),
      TargetPauses(Metrics.counter("ferry_target_pauses_total",
                                   "Pauses that targets asked for")),
      PassedOn(Metrics.counters({"ferry_passed_on_total",
                                 "Requests passed on to other routers while no "
                                 "target was reached, by how that ended",
                                 {"end"}})),
      PassedIn(Metrics.counter("ferry_passed_in_total",
                               "Requests that other routers passed on")),
      SlotQuestions(
          Metrics.counters({"ferry_slot_questions_total",
                            "Questions to other routers for a slot of a "
                            "brittle target, by the answer",
                            {"answer"}})) {}

} // namespace ferry::traffic
