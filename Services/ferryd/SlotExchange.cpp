#include "ferryd/SlotExchange.h"
#include "LibCore/Random.h"
#include <algorithm>

namespace ferry::daemon {

using wire::PayloadKind;

SlotExchange::SlotExchange(HostLink &Link, ControlLoop &Loop, Hooks Callbacks)
    : Link(Link), Loop(Loop), Callbacks(std::move(Callbacks)),
      NextNumber(systemSeed() >> 1) {}

void SlotExchange::ask(const routing::SlotLoan &Loan, Timestamp ExpiresAt,
                       Timestamp Deadline, Callback Done) {
  uint64_t Number = NextNumber++;
  Waiting.emplace(Number, Question{Loan.Lender, std::move(Done)});
  wire::SlotQuestion Fields;
  Fields.Number = static_cast<int64_t>(Number);
  Fields.Target = Loan.Target.Value;
  Fields.Incarnation = static_cast<int64_t>(Loan.Incarnation.Value);
  int64_t Longest = routing::SlotLoans::MaxLifetime.count() / 1000;
  Fields.LifetimeMillis = static_cast<int32_t>(
      std::min(millisUntil(ExpiresAt, steadyNow()), Longest));
  wire::BeliefMessage Message;
  Message.__set_SlotAsked(Fields);
  Link.send(Loan.Lender, PayloadKind::Beliefs, Message);
  Loop.at(Deadline, [this, Lender = Loan.Lender, Number] {
    // The reply may have been lost.
    if (Waiting.count(Number) != 0)
      giveBack(Lender, Number);
    finish(Number, std::nullopt);
  });
}

void SlotExchange::giveBack(const HostId &Lender, uint64_t Number) {
  wire::BeliefMessage Message;
  Message.__set_SlotReturned(static_cast<int64_t>(Number));
  Link.send(Lender, PayloadKind::Beliefs, Message);
}

bool SlotExchange::receive(const HostId &From,
                           const wire::BeliefMessage &Message) {
  if (Message.__isset.SlotAsked)
    answer(From, Message.SlotAsked);
  else if (Message.__isset.SlotAnswered)
    handleReply(From, Message.SlotAnswered);
  else if (Message.__isset.SlotReturned)
    Callbacks.TakeBack(From, static_cast<uint64_t>(Message.SlotReturned));
  else
    return false;
  return true;
}

void SlotExchange::answer(const HostId &Borrower,
                          const wire::SlotQuestion &Fields) {
  wire::SlotReply Reply;
  Reply.Number = Fields.Number;
  Reply.Lent = Callbacks.Lend({Borrower,
                               static_cast<uint64_t>(Fields.Number),
                               {Fields.Target},
                               {static_cast<uint64_t>(Fields.Incarnation)},
                               steadyNow() + std::chrono::milliseconds(std::max(
                                                 Fields.LifetimeMillis, 0))});
  wire::BeliefMessage Message;
  Message.__set_SlotAnswered(Reply);
  Link.send(Borrower, PayloadKind::Beliefs, Message);
}

void SlotExchange::handleReply(const HostId &Lender,
                               const wire::SlotReply &Reply) {
  auto Number = static_cast<uint64_t>(Reply.Number);
  auto Found = Waiting.find(Number);
  if (Found != Waiting.end() && Found->second.Lender == Lender)
    return finish(Number, Reply.Lent ? std::optional(Number) : std::nullopt);
  if (Found == Waiting.end() && Reply.Lent)
    giveBack(Lender, Number);
}

void SlotExchange::finish(uint64_t Number, std::optional<uint64_t> Lent) {
  auto Found = Waiting.extract(Number);
  if (!Found.empty())
    Found.mapped().Done(Lent);
}

} // namespace ferry::daemon
