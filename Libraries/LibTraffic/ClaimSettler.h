/// \file
/// Sees to it that each claim of this process ends in the ledger.
#ifndef FERRY_LIBTRAFFIC_CLAIMSETTLER_H
#define FERRY_LIBTRAFFIC_CLAIMSETTLER_H

#include "LibTraffic/ControlPort.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>

namespace ferry::traffic {

/// The call was never sent.
struct SettleReleased {};
/// The call may have run.
struct SettleUnknown {};
/// How a claim ends.
using Settlement =
    std::variant<SettleReleased, registry::ClaimCompleted, SettleUnknown>;

/// Whether a settlement is in the ledger.
enum class Settled : uint8_t {
  /// Committed as asked.
  Committed,
  /// The ledger holds another end already.
  Overruled,
  /// No quorum yet; this object goes on asking.
  Pending
};

/// Commits the ends of claims, and goes on in the background where no quorum
/// answers in time. All functions are safe from any thread.
class ClaimSettler {
public:
  /// Unsettled claims beyond which new calls are refused.
  static constexpr size_t MaxPending = 4096;

  ClaimSettler(const ControlPort &Control, Duration SettleLimit);
  ~ClaimSettler();
  ClaimSettler(const ClaimSettler &) = delete;
  ClaimSettler &operator=(const ClaimSettler &) = delete;

  /// Notes an attempt before its claim is asked for.
  /// \returns false if too many are unsettled: then nothing may be claimed.
  bool begin(const registry::ClaimAttempt &Attempt);
  /// Forgets an attempt whose claim was not granted and never will be.
  void forget(const registry::ClaimAttempt &Attempt);
  /// Whether the attempt is in work or its end is not in the ledger yet.
  bool unsettled(const registry::ClaimAttempt &Attempt) const;

  /// Commits the end of a claim, waiting at most the settle limit.
  Settled settle(const registry::ClaimKey &Key,
                 const registry::ClaimAttempt &Attempt, Settlement End);
  /// Leaves the commit to the background.
  void settleLater(const registry::ClaimKey &Key,
                   const registry::ClaimAttempt &Attempt, Settlement End);

  /// Waits until nothing is unsettled or \p Deadline has passed.
  void drain(Timestamp Deadline);

private:
  struct Pending {
    registry::ClaimKey Key;
    Settlement End;
  };

  /// Asks once. Turns \p End into SettleUnknown if the ledger cannot keep the
  /// answer in it.
  Settled trySettle(const registry::ClaimKey &Key,
                    const registry::ClaimAttempt &Attempt, Settlement &End);
  void settleUntilStopped();

  ControlPort Control;
  Duration SettleLimit;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  /// Attempts in work; those with an end wait for their commit.
  std::map<registry::ClaimAttempt, std::optional<Pending>> Attempts;
  bool Stopping = false;
  std::thread Background;
};

} // namespace ferry::traffic

#endif
