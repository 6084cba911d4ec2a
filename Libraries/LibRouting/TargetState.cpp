#include "LibRouting/TargetState.h"
#include "LibRouting/Rendezvous.h"
#include <algorithm>
#include <cmath>

namespace ferry::routing {

/// Prefill rate assumed for a target that has not answered yet.
static constexpr double InitialPrefillTokensPerSecond = 20'000;
/// Weight of the newest sample in the moving averages.
static constexpr double SampleWeight = 0.1;
/// Credit of one router at a target: the prefill, in seconds, that it may have
/// outstanding there. Each first byte returns its part of the credit. Modelled
/// on Flink's credit-based flow control between tasks, where a sender sends
/// only as much as the receiver has granted.
static constexpr double CreditSeconds = 0.25;
/// Prefills of fewer tokens than this say little about the prefill rate.
static constexpr double MinRateSampleTokens = 1000;
/// Factors on the limit of concurrent requests after a rejected or failed try.
static constexpr double RejectedFactor = 0.7;
static constexpr double FailedFactor = 0.8;
/// Pause after a rejected try. It doubles with each failed try in a row, up to
/// MaxCooling.
static constexpr Duration FirstCooling = std::chrono::milliseconds(100);
static constexpr Duration MaxCooling = std::chrono::seconds(5);

static void average(double &Mean, double Sample) {
  Mean += SampleWeight * (Sample - Mean);
}

TargetState TargetState::create(const TargetRecord &Record,
                                const config::Service &Service, Timestamp Now) {
  TargetState State;
  State.Record = Record;
  State.IdHash = hashIdentifier(Record.Id.Value);
  State.PrefillRate = InitialPrefillTokensPerSecond;
  State.AnnouncedAt = Now;
  State.setMaximum(Service);
  State.Limit = State.MaxLimit;
  return State;
}

void TargetState::setMaximum(const config::Service &Service) {
  uint32_t Maximum = Record.Load.MaxConcurrent;
  if (Maximum == 0)
    Maximum = Service.MaxConcurrent;
  MaxLimit = std::max<uint32_t>(Maximum, 1);
  Limit = std::min(Limit, MaxLimit);
}

void TargetState::applyAnnouncement(const TargetRecord &Newer,
                                    const config::Service &Service,
                                    Timestamp Now) {
  bool IsNew = Newer.Sequence > Record.Sequence;
  Record = Newer;
  setMaximum(Service);
  if (!IsNew)
    return;
  AnnouncedAt = Now;
  TokensSentSince = 0;
  SentSince = 0;
  EndedSince = 0;
}

bool TargetState::isUsable(const config::Service &Service,
                           Timestamp Now) const {
  if (Record.Phase != TargetPhase::Ready || Now >= Record.UsableUntil)
    return false;
  if (Record.Service != Service.Id || Record.Kind != Service.Kind)
    return false;
  if (Record.Kind != TargetKind::Engine)
    return true;
  return Record.Weights == Service.Weights && Record.Model == Service.Model &&
         Record.Adapter == Service.Adapter;
}

double TargetState::occupancy(LoadCorrection Correction) const {
  if (Correction == LoadCorrection::Reported)
    return Record.Load.RunningRequests + Record.Load.QueuedRequests;
  double Announced = Record.Load.RunningRequests + Record.Load.QueuedRequests;
  return std::max<double>(OwnRunning, Announced + SentSince - EndedSince);
}

double TargetState::queuedPrefill(LoadCorrection Correction,
                                  Timestamp Now) const {
  double Announced = static_cast<double>(Record.Load.QueuedPrefillTokens);
  if (Correction == LoadCorrection::Reported)
    return Announced;
  // Since the announcement the target has worked off its queue at its rate.
  double Drained = PrefillRate * secondsBetween(AnnouncedAt, Now);
  return std::max(OwnPrefillTokens, Announced + TokensSentSince - Drained);
}

bool TargetState::hasRoom(Timestamp Now) const {
  if (Now < CoolUntil)
    return false;
  if (occupancy(LoadCorrection::OwnTries) + 1 > std::max(1.0, Limit))
    return false;
  return OwnPrefillTokens < CreditSeconds * PrefillRate;
}

double TargetState::waitSeconds(LoadCorrection Correction,
                                Timestamp Now) const {
  double Wait = (queuedPrefill(Correction, Now) + WaitingTokens) / PrefillRate;
  double Excess = occupancy(Correction) + WaitingRequests + 1 - Limit;
  if (Excess > 0)
    Wait += ServiceSeconds * Excess / Limit;
  return Wait;
}

void TargetState::addWaiting(double Tokens) {
  WaitingTokens += Tokens;
  ++WaitingRequests;
}

void TargetState::removeWaiting(double Tokens) {
  WaitingTokens = std::max(0.0, WaitingTokens - Tokens);
  WaitingRequests = std::max(0.0, WaitingRequests - 1);
}

void TargetState::startTry(const TryState &Try) {
  ++OwnRunning;
  ++SentSince;
  TokensSentSince += static_cast<double>(Try.MissingTokens);
  OwnPrefillTokens += static_cast<double>(Try.MissingTokens);
}

void TargetState::noteFirstByte(const TryState &Try, uint64_t ComputedTokens,
                                RateLearning Learning, Timestamp Now) {
  OwnPrefillTokens =
      std::max(0.0, OwnPrefillTokens - static_cast<double>(Try.MissingTokens));
  average(DeviationSeconds,
          std::abs(secondsBetween(Try.ExpectedFirstByteAt, Now)));
  if (Learning == RateLearning::Fixed)
    return;
  double Tokens = Try.WorkAhead - static_cast<double>(Try.MissingTokens) +
                  static_cast<double>(ComputedTokens);
  double Elapsed = secondsBetween(Try.SentAt, Now);
  if (Tokens < MinRateSampleTokens || Elapsed <= 0)
    return;
  // Averages the time per token, because an average of rates would overweight
  // unusually fast samples.
  double SecondsPerToken = 1 / PrefillRate;
  average(SecondsPerToken, Elapsed / Tokens);
  PrefillRate = 1 / SecondsPerToken;
}

void TargetState::noteFailure(Timestamp Now) {
  ++ConsecutiveFailures;
  Duration Cooling = FirstCooling * (1 << std::min(ConsecutiveFailures, 6U));
  CoolUntil = Now + std::min(Cooling, MaxCooling);
}

void TargetState::endTry(const TryState &Try, TryOutcome Outcome,
                         Timestamp Now) {
  OwnRunning -= OwnRunning > 0 ? 1 : 0;
  ++EndedSince;
  if (!Try.FirstByteAt)
    OwnPrefillTokens = std::max(
        0.0, OwnPrefillTokens - static_cast<double>(Try.MissingTokens));
  switch (Outcome) {
  case TryOutcome::Succeeded:
    average(ServiceSeconds, secondsBetween(Try.SentAt, Now));
    average(FailureRate, 0);
    ConsecutiveFailures = 0;
    Limit = std::min(MaxLimit, Limit + 1 / std::max(1.0, Limit));
    break;
  case TryOutcome::Rejected:
    Limit = std::max(1.0, Limit * RejectedFactor);
    CoolUntil = std::max(CoolUntil, Now + FirstCooling);
    break;
  case TryOutcome::NotSent:
  case TryOutcome::Failed:
    average(FailureRate, 1);
    Limit = std::max(1.0, Limit * FailedFactor);
    noteFailure(Now);
    break;
  case TryOutcome::Cancelled:
    break;
  }
}

} // namespace ferry::routing
