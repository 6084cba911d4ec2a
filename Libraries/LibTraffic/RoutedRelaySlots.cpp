// Slots of brittle targets that other routers lend for a request.
#include "LibObserve/Log.h"
#include "LibTraffic/AwaitReply.h"
#include "LibTraffic/RoutedRelay.h"
#include <utility>

namespace ferry::traffic {

using namespace ferry::routing;
using observe::Severity;

/// Number of routers that are asked, and the longest time for all their
/// replies: a request that finds no slot then is rejected at once.
static constexpr int MaxLendersAsked = 4;
static constexpr Duration BorrowLimit = std::chrono::milliseconds(150);
/// Time for the end of that wait to reach the request's thread.
static constexpr Duration BorrowMargin = std::chrono::milliseconds(50);

bool RoutedRelay::borrowSlot() {
  Timestamp Deadline = std::min(Call.Deadline, steadyNow() + BorrowLimit);
  for (int Asked = 0; Asked < MaxLendersAsked && steadyNow() < Deadline;
       ++Asked) {
    auto Loan = Context.Placements.chooseLoan(Call);
    if (!Loan)
      return false;
    auto Reply = awaitReply<std::optional<uint64_t>>(
        Deadline + BorrowMargin, [&](auto Done) {
          Context.Hooks.AskSlot(*Loan, Call.Deadline, Deadline, Done);
        });
    bool IsLent = Reply && *Reply;
    Context.Metrics.SlotQuestions.with({IsLent ? "lent" : "refused"}).add();
    if (!IsLent)
      continue;
    Call.Loan = Loan;
    LoanNumber = **Reply;
    observe::logEvent(Severity::Info, "routed", "slot_borrowed",
                      {{"target", Loan->Target},
                       {"router", Loan->Lender},
                       {"asked", Asked + 1}},
                      Caller.Id);
    return true;
  }
  return false;
}

void RoutedRelay::giveBackSlot() {
  if (auto Loan = std::exchange(Call.Loan, std::nullopt))
    Context.Hooks.GiveBackSlot(Loan->Lender, LoanNumber);
}

} // namespace ferry::traffic
