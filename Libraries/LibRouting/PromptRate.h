/// \file
/// How fast the engines of a service read prompts, as their answers show it.
#ifndef FERRY_LIBROUTING_PROMPTRATE_H
#define FERRY_LIBROUTING_PROMPTRATE_H

#include "LibRouting/PromptCall.h"
#include <algorithm>

namespace ferry::routing {

/// Learns from requests that met an idle engine: a short prompt shows the time
/// that every first token takes, a long one the time for each token read.
class PromptRate {
public:
  /// \returns the time that an engine is busy with \p Tokens of a prompt.
  double readSeconds(double Tokens) const { return Tokens * SecondsPerToken; }

  /// \returns the time to the first byte that an empty prompt would take.
  double baseSeconds() const { return BaseSeconds; }

  /// \returns the usual time to read a long prompt.
  double longSeconds() const { return LongSeconds; }

  /// Takes the first byte of a request whose engine had nothing else to read.
  /// \param Tokens that it had to read.
  /// \param Seconds from its sending to the first byte.
  void observe(double Tokens, double Seconds) {
    if (Tokens < TinyTokens) {
      BaseSeconds += Weight * (std::min(Seconds, MaxBaseSeconds) - BaseSeconds);
    } else if (Tokens >= LongPromptTokens) {
      double Newest =
          std::clamp((Seconds - BaseSeconds) / Tokens,
                     SecondsPerToken / MaxStep, SecondsPerToken * MaxStep);
      SecondsPerToken += Weight * (Newest - SecondsPerToken);
      LongSeconds += Weight * (readSeconds(Tokens) - LongSeconds);
    }
  }

private:
  /// Prompts below this hardly add to the base.
  static constexpr double TinyTokens = 1000;
  /// Of the newest observation: some ten make up the average.
  static constexpr double Weight = 0.1;
  /// An engine that was held not to be idle shows more than its rate.
  static constexpr double MaxStep = 2;
  static constexpr double MaxBaseSeconds = 0.5;

  double BaseSeconds = 0.05;
  double SecondsPerToken = 1.0 / 50'000;
  double LongSeconds = 0.3;
};

} // namespace ferry::routing

#endif
