/// \file
/// What this router knows and has learned of one incarnation of a target.
#ifndef FERRY_LIBROUTING_TARGETSTATE_H
#define FERRY_LIBROUTING_TARGETSTATE_H

#include "LibCache/BlockTable.h"
#include "LibConfig/Description.h"
#include "LibCore/TargetRecord.h"
#include "LibRouting/RequestState.h"
#include "LibRouting/SchedulerEvents.h"

namespace ferry::routing {

/// Whether the announced load is used as reported, or corrected by the tries
/// that this router has sent since.
enum class LoadCorrection : uint8_t { Reported, OwnTries };

/// Whether a target's prefill rate is fixed or learned from first bytes.
enum class RateLearning : uint8_t { Fixed, Learned };

/// State of one incarnation of a target. A restarted target gets a new state.
class TargetState {
public:
  static TargetState create(const TargetRecord &Record,
                            const config::Service &Service, Timestamp Now);

  /// Applies a newer announcement of the same incarnation.
  void applyAnnouncement(const TargetRecord &Record,
                         const config::Service &Service, Timestamp Now);

  /// \returns whether new work of \p Service may be sent at \p Now.
  bool isUsable(const config::Service &Service, Timestamp Now) const;
  /// \returns whether the target may be sent one more request at \p Now.
  bool hasRoom(Timestamp Now) const;

  /// Adds \p Try, which has just been sent, to the target's load.
  void startTry(const TryState &Try);
  /// Learns from the first byte of \p Try. \p ComputedTokens are the prompt
  /// tokens that the target had not cached.
  void noteFirstByte(const TryState &Try, uint64_t ComputedTokens,
                     RateLearning Learning, Timestamp Now);
  /// Removes \p Try from the target's load and learns from its outcome.
  void endTry(const TryState &Try, TryOutcome Outcome, Timestamp Now);

  const TargetRecord &record() const { return Record; }
  uint64_t idHash() const { return IdHash; }
  /// \returns the estimated number of requests at the target.
  double occupancy(LoadCorrection Correction) const;
  /// \returns the estimated prompt tokens that wait for prefill at the target.
  double queuedPrefill(LoadCorrection Correction, Timestamp Now) const;
  /// \returns the estimated seconds until the prefill of a request sent now
  /// would begin.
  double waitSeconds(LoadCorrection Correction, Timestamp Now) const;
  /// \returns the learned prefill rate in prompt tokens per second.
  double prefillRate() const { return PrefillRate; }
  /// \returns the mean deviation of first bytes from their estimates, in
  /// seconds.
  double deviationSeconds() const { return DeviationSeconds; }
  /// \returns the moving average of failed tries, from 0 to 1.
  double failureRate() const { return FailureRate; }
  /// \returns the number of requests that may run concurrently now.
  double limit() const { return Limit; }
  /// \returns the learned seconds from sending a request to the end of its
  /// answer.
  double serviceSeconds() const { return ServiceSeconds; }
  uint32_t ownRunning() const { return OwnRunning; }
  Timestamp coolUntil() const { return CoolUntil; }

  /// Counts a request that waits for this target, and its \p Tokens that are
  /// not cached here.
  void addWaiting(double Tokens);
  /// Reverts addWaiting().
  void removeWaiting(double Tokens);

  /// Number of this target in the cache index.
  cache::HolderNumber Holder = cache::NoHolder;

private:
  void noteFailure(Timestamp Now);
  void setMaximum(const config::Service &Service);

  TargetRecord Record;
  uint64_t IdHash = 0;
  uint32_t OwnRunning = 0;
  double OwnPrefillTokens = 0;
  /// When the announced load was applied; and what this router has sent since
  /// then, in prompt tokens and in tries, and the tries that have ended.
  Timestamp AnnouncedAt;
  double TokensSentSince = 0;
  double SentSince = 0;
  double EndedSince = 0;
  double WaitingTokens = 0;
  double WaitingRequests = 0;
  double PrefillRate = 0;
  double DeviationSeconds = 0;
  double ServiceSeconds = 0;
  double Limit = 1;
  double MaxLimit = 1;
  double FailureRate = 0;
  uint32_t ConsecutiveFailures = 0;
  /// No request is sent before this, because tries were rejected or failed.
  Timestamp CoolUntil;
};

/// \returns the seconds from \p Start to \p End.
inline double secondsBetween(Timestamp Start, Timestamp End) {
  return std::chrono::duration<double>(End - Start).count();
}

/// \returns \p Seconds as a duration, rounded down to microseconds.
inline Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace ferry::routing

#endif
