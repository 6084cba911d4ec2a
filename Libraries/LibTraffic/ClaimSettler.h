/// \file
/// Commits the end of each claim of this process to the ledger.
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
/// How a claim ends: released, completed or unknown.
using Settlement =
    std::variant<SettleReleased, registry::ClaimCompleted, SettleUnknown>;

/// Whether the ledger has committed a settlement.
enum class SettleResult : uint8_t {
  /// The ledger committed the requested end.
  Committed,
  /// The ledger already has another end for the claim.
  Overruled,
  /// No quorum has answered yet. The settler retries in the background.
  Pending
};

/// Commits the ends of claims, and retries in the background if no quorum
/// answers in time. All functions are thread-safe.
class ClaimSettler {
public:
  /// Number of unsettled claims at which new calls are refused.
  static constexpr size_t MaxPending = 4096;

  ClaimSettler(const ControlPort &Control, Duration SettleLimit);
  ~ClaimSettler();
  ClaimSettler(const ClaimSettler &) = delete;
  ClaimSettler &operator=(const ClaimSettler &) = delete;

  /// Registers an attempt before its claim is requested.
  /// \returns false if too many are unsettled; nothing may be claimed then.
  bool begin(const registry::ClaimAttempt &Attempt);
  /// Forgets an attempt whose claim was not granted and cannot be any more.
  void forget(const registry::ClaimAttempt &Attempt);
  /// Whether the attempt is in progress or its end is not committed yet.
  bool isUnsettled(const registry::ClaimAttempt &Attempt) const;

  /// Commits the end of a claim; blocks for at most the settle limit.
  SettleResult settle(const registry::ClaimKey &Key,
                      const registry::ClaimAttempt &Attempt, Settlement End);
  /// Leaves the commit to the background thread.
  void settleLater(const registry::ClaimKey &Key,
                   const registry::ClaimAttempt &Attempt, Settlement End);

  /// Waits until nothing is unsettled or \p Deadline has passed.
  void drain(Timestamp Deadline);

private:
  struct PendingSettlement {
    registry::ClaimKey Key;
    Settlement End;
  };

  /// Tries once to commit \p End. Turns \p End into SettleUnknown if its answer
  /// is too large for the ledger.
  SettleResult trySettle(const registry::ClaimKey &Key,
                         const registry::ClaimAttempt &Attempt,
                         Settlement &End);
  void settleUntilStopped();

  ControlPort Control;
  Duration SettleLimit;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  /// All unsettled attempts. An attempt without a settlement is in progress;
  /// one with a settlement waits for its commit.
  std::map<registry::ClaimAttempt, std::optional<PendingSettlement>> Attempts;
  bool Stopping = false;
  std::thread Background;
};

} // namespace ferry::traffic

#endif
