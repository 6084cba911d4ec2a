/// \file
/// Estimates how fast the engines of a service read prompts.
#ifndef FERRY_LIBROUTING_PROMPTRATE_H
#define FERRY_LIBROUTING_PROMPTRATE_H

#include "LibRouting/RoutedCall.h"
#include <algorithm>

namespace ferry::routing {

/// Learns from first bytes of requests that were sent to an idle engine: a
/// short prompt gives the time that every first token takes, a long one the
/// time per token read.
class PromptRate {
public:
  /// \returns the seconds that an engine takes to read \p Tokens of a prompt.
  double readSeconds(double Tokens) const { return Tokens * SecondsPerToken; }

  /// \returns the seconds to the first byte of an empty prompt.
  double baseSeconds() const { return BaseSeconds; }

  /// \returns the average seconds to read a long prompt.
  double longSeconds() const { return LongSeconds; }

  /// Learns from the first byte of a request whose engine had nothing else to
  /// read.
  /// \param Tokens the number of tokens that the engine had to read.
  /// \param Seconds the time from sending the request to the first byte.
  void observe(double Tokens, double Seconds) {
    if (Tokens < MaxBaseSampleTokens) {
      BaseSeconds +=
          SampleWeight * (std::min(Seconds, MaxBaseSeconds) - BaseSeconds);
    } else if (Tokens >= LongPromptTokens) {
      double Sample = std::clamp((Seconds - BaseSeconds) / Tokens,
                                 SecondsPerToken / MaxRateFactor,
                                 SecondsPerToken * MaxRateFactor);
      SecondsPerToken += SampleWeight * (Sample - SecondsPerToken);
      LongSeconds += SampleWeight * (readSeconds(Tokens) - LongSeconds);
    }
  }

private:
  /// Reading a prompt shorter than this takes hardly any time beyond the base.
  static constexpr double MaxBaseSampleTokens = 1000;
  /// Share of the newest sample in an average of about ten samples.
  static constexpr double SampleWeight = 0.1;
  /// Bound on the change that one sample can make: an engine that was wrongly
  /// believed to be idle shows more than its reading time.
  static constexpr double MaxRateFactor = 2;
  static constexpr double MaxBaseSeconds = 0.5;

  double BaseSeconds = 0.05;
  double SecondsPerToken = 1.0 / 50'000;
  double LongSeconds = 0.3;
};

} // namespace ferry::routing

#endif
