/// \file
/// The faults that a fake target is told to show.
#ifndef FERRY_FAKES_FAKEFAULTS_H
#define FERRY_FAKES_FAKEFAULTS_H

#include "LibCore/EnumNames.h"
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace ferry::fakes {

/// A fault of a fake target. Its value is a count, a token number, or
/// milliseconds where the name says so.
enum class Fault : uint8_t {
  CrashAfterTokens,
  StallAfterTokens,
  SwapAnswers,
  AnswerCancelled,
  WrongEcho,
  CloseBeforeAnswer,
  CloseMidAnswer,
  SlowMillis,
  Refuse,
  LoseEvents,
  LateAnswerMillis,
  EarlyDone,
  SkipToken,
  RepeatToken,
  Garbage
};

/// The active faults, each for a number of requests or until it is cleared.
/// Safe from any thread.
class FaultTable {
public:
  /// Parses "name=value" or "name=value*count"; value 0 clears the fault.
  /// \returns whether the text was valid.
  bool set(const std::string &Text);
  void set(Fault Name, int64_t Value, int64_t Count);

  /// Decrements the remaining count of a fault.
  /// \returns its value; nothing if it is not active.
  std::optional<int64_t> consume(Fault Name);

  /// \returns the number of faults that are active.
  size_t active();

private:
  struct Entry {
    int64_t Value;
    int64_t Remaining;
  };
  std::mutex Mutex;
  std::map<Fault, Entry> Active;
};

} // namespace ferry::fakes

namespace ferry {

template <> struct EnumNames<fakes::Fault> {
  using Fault = fakes::Fault;
  static constexpr EnumName<Fault> Table[] = {
      {Fault::CrashAfterTokens, "crash_after_tokens"},
      {Fault::StallAfterTokens, "stall_after_tokens"},
      {Fault::SwapAnswers, "swap_answers"},
      {Fault::AnswerCancelled, "answer_cancelled"},
      {Fault::WrongEcho, "wrong_echo"},
      {Fault::CloseBeforeAnswer, "close_before_answer"},
      {Fault::CloseMidAnswer, "close_mid_answer"},
      {Fault::SlowMillis, "slow_ms"},
      {Fault::Refuse, "refuse"},
      {Fault::LoseEvents, "lose_events"},
      {Fault::LateAnswerMillis, "late_answer_ms"},
      {Fault::EarlyDone, "early_done"},
      {Fault::SkipToken, "skip_token"},
      {Fault::RepeatToken, "repeat_token"},
      {Fault::Garbage, "garbage"}};
};

} // namespace ferry

#endif
