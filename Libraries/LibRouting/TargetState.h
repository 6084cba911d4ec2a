/// \file
/// What this router knows and has learned of one life of one target.
#ifndef FERRY_LIBROUTING_TARGETSTATE_H
#define FERRY_LIBROUTING_TARGETSTATE_H

#include "LibCache/BlockTable.h"
#include "LibConfig/Description.h"
#include "LibCore/TargetRecord.h"
#include "LibRouting/RequestState.h"
#include "LibRouting/SchedulerEvents.h"

namespace ferry::routing {

/// Whether announced load is corrected by this router's own tries.
enum class LoadCorrection : uint8_t { Reported, OwnTries };

/// Whether a target's prefill rate is learned from first bytes.
enum class RateLearning : uint8_t { Fixed, Learned };

/// One life of one target. A restart gets a new state.
class TargetState {
public:
  static TargetState create(const TargetRecord &Record,
                            const config::Service &Service, Timestamp Now);

  /// Takes a newer announcement of the same life.
  void announce(const TargetRecord &Record, const config::Service &Service,
                Timestamp Now);

  /// \returns whether new work of \p Service may be sent at \p Now.
  bool isUsable(const config::Service &Service, Timestamp Now) const;
  /// \returns whether it may start one more request at \p Now.
  bool hasRoom(Timestamp Now) const;

  /// Notes that \p Try was sent.
  void startTry(const TryState &Try);
  /// Notes the first byte of \p Try; \p ComputedTokens were not cached.
  void noteFirstByte(const TryState &Try, uint64_t ComputedTokens,
                     RateLearning Learning, Timestamp Now);
  /// Notes the end of \p Try.
  void endTry(const TryState &Try, TryOutcome Outcome, Timestamp Now);

  const TargetRecord &record() const { return Record; }
  uint64_t idHash() const { return IdHash; }
  /// \returns the requests thought to be at the target.
  double occupancy(LoadCorrection Correction) const;
  /// \returns the prompt tokens thought to wait there for their prefill.
  double queuedPrefill(LoadCorrection Correction, Timestamp Now) const;
  /// \returns the time until a request sent now would begin its prefill, in
  /// seconds.
  double waitSeconds(LoadCorrection Correction, Timestamp Now) const;
  /// \returns learned prompt tokens per second.
  double prefillRate() const { return PrefillRate; }
  /// \returns how far first bytes come from their estimates, in seconds.
  double deviationSeconds() const { return DeviationSeconds; }
  /// \returns the part of the last tries that failed, from 0 to 1.
  double failureRate() const { return FailureRate; }
  /// \returns requests that may run side by side now.
  double limit() const { return Limit; }
  /// \returns the learned seconds from sending to the end of an answer.
  double serviceSeconds() const { return ServiceSeconds; }
  uint32_t ownRunning() const { return OwnRunning; }
  Timestamp coolUntil() const { return CoolUntil; }

  /// Counts a waiting request that prefers this target, with the prompt tokens
  /// it lacks here.
  void hold(double Tokens);
  /// Undoes hold().
  void unhold(double Tokens);

  /// Its number in the cache index.
  cache::HolderNumber Holder = cache::NoHolder;

private:
  void noteFailure(Timestamp Now);
  void setMaximum(const config::Service &Service);

  TargetRecord Record;
  uint64_t IdHash = 0;
  uint32_t OwnRunning = 0;
  double OwnPrefillTokens = 0;
  /// When the announced load was taken over, and what this router has sent and
  /// ended since.
  Timestamp AnnouncedAt;
  double TokensSentSince = 0;
  double SentSince = 0;
  double EndedSince = 0;
  double HeldTokens = 0;
  double HeldRequests = 0;
  double PrefillRate = 0;
  double DeviationSeconds = 0;
  double ServiceSeconds = 0;
  double Limit = 1;
  double MaxLimit = 1;
  double FailureRate = 0;
  uint32_t ConsecutiveFailures = 0;
  Timestamp CoolUntil;
};

/// \returns the seconds from \p Start to \p End.
inline double secondsBetween(Timestamp Start, Timestamp End) {
  return std::chrono::duration<double>(End - Start).count();
}

/// \returns \p Seconds as a span, rounded down to microseconds.
inline Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace ferry::routing

#endif
