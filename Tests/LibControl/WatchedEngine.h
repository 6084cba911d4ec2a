/// \file
/// An engine in virtual time whose state can be read and whose orders carry a
/// precondition.
#ifndef FERRY_TESTS_WATCHEDENGINE_H
#define FERRY_TESTS_WATCHEDENGINE_H

#include "LibControl/ReconcilerEvents.h"
#include <algorithm>
#include <optional>
#include <vector>

namespace ferry::control {

/// One copy of an order to load weights, on its way to an engine.
struct OrderCopy {
  uint64_t Weights = 0;
  FencingNumber Fencing;
  /// The engine refuses the copy if it has accepted another number of orders.
  uint64_t OrdersBefore = 0;
  Timestamp SentAt;
  RunningRequests Running = RunningRequests::Finish;
};

/// An engine's answer to an order.
enum class EngineAnswer : uint8_t { Accepted, Holds, Conflict, Fenced };

/// What an engine reports of itself.
struct EngineReport {
  uint64_t Weights = 1;
  bool Busy = false;
  uint64_t AcceptedOrders = 0;
  uint64_t Running = 0;
  bool operator==(const EngineReport &) const = default;
};

/// Why an engine does not answer. A frozen one goes on afterwards, and a load
/// ends on one that is cut off; an engine that is down starts anew.
enum class Silence : uint8_t { CutOff, Frozen, Down };

class WatchedEngine {
public:
  static constexpr Duration ReportLag = std::chrono::milliseconds(200);

  /// A span of time in which the engine does not answer.
  struct SilentSpan {
    Silence Kind = Silence::CutOff;
    Timestamp From;
    Timestamp Until;
  };

  /// Loads take \p Length from now on.
  void setLoadTime(Duration Length) { LoadTime = Length; }

  /// Requests run on the engine at all times, and end within \p Length once it
  /// gets no new ones. A load waits for them.
  void setRunTime(Duration Length) { RunTime = Length; }

  void checkNoFencing() { ChecksFencing = false; }

  /// \returns whether the engine loads weights and waits for no requests.
  bool isLoading(Timestamp Now) const {
    return Current.Busy && Now >= LoadsFrom;
  }

  /// Prolongs the current load.
  void prolongLoad(Duration Length) { LoadedAt += Length; }

  /// The engine gets no new requests until \p Until.
  void drain(Timestamp Until) { DrainedUntil = Until; }

  /// \returns the number of loads that did not wait for running requests.
  uint32_t overtaken() const { return Overtaken; }

  void fallSilent(Silence Kind, Timestamp Now, Timestamp Until) {
    Spans.push_back({Kind, Now, Until});
    if (Kind != Silence::Down)
      return;
    ++CurrentIncarnation.Value;
    Current.Busy = false;
    RunsEndAt = Now;
    Current.AcceptedOrders = 0;
    GreatestFencing = {};
    StartedAt = Until;
    History = {{Until, Current}};
  }

  /// Advances the engine by \p Step.
  void advance(Timestamp Now, Duration Step) {
    if (silence(Now) == Silence::Frozen) {
      LoadsFrom += Step;
      LoadedAt += Step;
      RunsEndAt += Step;
      return;
    }
    if (Current.Busy && Now >= LoadedAt) {
      Current.Busy = false;
      Current.Weights = Load.Weights;
    }
    if (!Current.Busy && Now >= DrainedUntil)
      RunsEndAt = Now + RunTime;
    Current.Running = RunsEndAt > Now;
    if (History.empty() || History.back().Report != Current)
      History.push_back({Now, Current});
  }

  /// Handles a copy of an order that has reached the engine.
  EngineAnswer receive(const OrderCopy &Copy, Timestamp Now) {
    if (ChecksFencing && Copy.Fencing < GreatestFencing)
      return EngineAnswer::Fenced;
    GreatestFencing = Copy.Fencing;
    if (Current.Busy || Copy.OrdersBefore != Current.AcceptedOrders)
      return EngineAnswer::Conflict;
    if (Copy.Weights == Current.Weights)
      return EngineAnswer::Holds;
    Current.Busy = true;
    ++Current.AcceptedOrders;
    Load = Copy;
    LoadsFrom = Now;
    if (RunsEndAt > Now && Copy.Running == RunningRequests::GoOn)
      ++Overtaken;
    else
      LoadsFrom = std::max(RunsEndAt, Now);
    LoadedAt = LoadsFrom + LoadTime;
    return EngineAnswer::Accepted;
  }

  /// \returns why the engine does not answer; nothing if it does.
  std::optional<Silence> silence(Timestamp Now) const {
    return Spans.empty() || Now >= Spans.back().Until
               ? std::nullopt
               : std::optional(Spans.back().Kind);
  }
  Timestamp silentUntil() const {
    return Spans.empty() ? Timestamp() : Spans.back().Until;
  }
  bool isGone() const { return silentUntil() == NeverExpires; }

  const EngineReport &state() const { return Current; }
  /// \returns when the order of the latest load was sent.
  Timestamp loadSentAt() const { return Load.SentAt; }
  Timestamp startedAt() const { return StartedAt; }
  ferry::Incarnation incarnation() const { return CurrentIncarnation; }

  /// \returns the state that the engine reports at \p Now.
  EngineReport report(Timestamp Now) const {
    auto Later = std::find_if(
        History.begin(), History.end(),
        [&](const PastReport &Item) { return Item.At > Now - ReportLag; });
    if (Later != History.begin())
      --Later;
    return Later == History.end() ? Current : Later->Report;
  }

  /// \returns whether the engine is loading, and could not be reached for
  /// longer than \p Limit in one span since the load's order was sent.
  bool loadsAfterSilence(Timestamp Now, Duration Limit) const {
    return std::any_of(Spans.begin(), Spans.end(), [&](const SilentSpan &Span) {
      return std::min(Now, Span.Until) - std::max(Load.SentAt, Span.From) >
             Limit;
    });
  }

private:
  struct PastReport {
    Timestamp At;
    EngineReport Report;
  };

  Duration LoadTime = std::chrono::milliseconds(1100);
  Duration RunTime = Duration::zero();
  Timestamp RunsEndAt;
  Timestamp DrainedUntil;
  uint32_t Overtaken = 0;
  ferry::Incarnation CurrentIncarnation{1};
  Timestamp StartedAt;
  EngineReport Current;
  std::vector<PastReport> History;
  bool ChecksFencing = true;
  FencingNumber GreatestFencing;
  /// The order of the load that is under way.
  OrderCopy Load;
  Timestamp LoadsFrom;
  Timestamp LoadedAt;
  std::vector<SilentSpan> Spans;
};

} // namespace ferry::control

namespace ferry {

template <> struct EnumNames<control::EngineAnswer> {
  using Answer = control::EngineAnswer;
  static constexpr EnumName<Answer> Table[] = {{Answer::Accepted, "accepted"},
                                               {Answer::Holds, "holds"},
                                               {Answer::Conflict, "conflict"},
                                               {Answer::Fenced, "fenced"}};
};

template <> struct EnumNames<control::Silence> {
  using Silence = control::Silence;
  static constexpr EnumName<Silence> Table[] = {{Silence::CutOff, "cut_off"},
                                                {Silence::Frozen, "frozen"},
                                                {Silence::Down, "down"}};
};

} // namespace ferry

#endif
