/// \file
/// Messages between routers about slots of brittle targets that they lend.
#ifndef FERRY_FERRYD_SLOTEXCHANGE_H
#define FERRY_FERRYD_SLOTEXCHANGE_H

#include "LibCore/ControlLoop.h"
#include "LibRouting/RoutedCall.h"
#include "LibRouting/SlotLoans.h"
#include "LibWire/Generated/Routing_types.h"
#include "ferryd/HostLink.h"
#include <functional>
#include <map>

namespace ferry::daemon {

/// Sends a question, a reply and the end of a loan, one message each, between
/// the borrower and the lender only. Used on the control thread.
class SlotExchange {
public:
  struct Hooks {
    /// \returns whether the borrower has the slot.
    std::function<bool(const routing::SlotQuestion &)> Lend =
        [](const routing::SlotQuestion &) { return false; };
    /// Ends the loan of that number to a borrower.
    std::function<void(const HostId &, uint64_t)> TakeBack = [](const HostId &,
                                                                uint64_t) {};
  };
  /// Gets the number of the loan; nothing if the slot is not lent.
  using Callback = std::function<void(std::optional<uint64_t>)>;

  SlotExchange(HostLink &Link, ControlLoop &Loop, Hooks Callbacks);

  /// Asks for a slot.
  /// \param ExpiresAt when the request has ended at the latest.
  /// \param Done called once, at \p Deadline at the latest. A slot that is lent
  /// later is given back.
  void ask(const routing::SlotLoan &Loan, Timestamp ExpiresAt,
           Timestamp Deadline, Callback Done);
  void giveBack(const HostId &Lender, uint64_t Number);

  /// \returns whether the message was about a loan.
  bool receive(const HostId &From, const wire::BeliefMessage &Message);

private:
  struct Question {
    HostId Lender;
    Callback Done;
  };

  void answer(const HostId &Borrower, const wire::SlotQuestion &Fields);
  void handleReply(const HostId &Lender, const wire::SlotReply &Reply);
  void finish(uint64_t Number, std::optional<uint64_t> Lent);

  HostLink &Link;
  ControlLoop &Loop;
  Hooks Callbacks;
  /// Random at first, so that a restarted router repeats no number.
  uint64_t NextNumber;
  std::map<uint64_t, Question> Waiting;
};

} // namespace ferry::daemon

#endif
