/// \file
/// The slots of brittle targets that this router lends to others.
#ifndef FERRY_LIBROUTING_SLOTLOANS_H
#define FERRY_LIBROUTING_SLOTLOANS_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace ferry::routing {

/// Another router asks for a slot for one request.
struct SlotQuestion {
  HostId Borrower;
  /// Chosen by the borrower; tells its loans apart.
  uint64_t Number = 0;
  TargetId Target;
  ferry::Incarnation Incarnation;
  /// When the request has ended at the latest.
  Timestamp ExpiresAt;
};

/// What a router has lent. Owns no clock; callers serialise all calls.
///
/// Answers the load of more routers than a brittle target has slots for: each
/// slot belongs to one router, and a request that arrives at a router without a
/// free one uses that of another router, which does not use it meanwhile. A
/// loan ends when the borrower gives it back or, if it has ended, with the
/// deadline of its request.
class SlotLoans {
public:
  /// Bounds what borrowers that have ended leave behind.
  static constexpr size_t MaxLoans = 4096;
  static constexpr Duration MaxLifetime = std::chrono::seconds(60);

  /// Lends a slot if one of the \p Free ones is not lent; a question that is
  /// repeated gets the same answer. \returns whether the borrower has it.
  bool tryLend(const SlotQuestion &Question, uint32_t Free, Timestamp Now);
  void giveBack(const HostId &Borrower, uint64_t Number);
  /// \returns how many slots of the target are lent.
  uint32_t lent(const TargetId &Target, Incarnation Current,
                Timestamp Now) const;

private:
  struct Loan {
    TargetId Target;
    ferry::Incarnation Incarnation;
    Timestamp ExpiresAt;
  };

  std::map<std::pair<HostId, uint64_t>, Loan> Loans;
};

} // namespace ferry::routing

#endif
