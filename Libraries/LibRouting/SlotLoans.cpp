#include "LibRouting/SlotLoans.h"
#include <algorithm>

namespace ferry::routing {

bool SlotLoans::tryLend(const SlotQuestion &Question, uint32_t Free,
                        Timestamp Now) {
  std::erase_if(Loans, [Now](const auto &Entry) {
    return Entry.second.ExpiresAt <= Now;
  });
  std::pair Key{Question.Borrower, Question.Number};
  if (Loans.count(Key) != 0)
    return true;
  if (Loans.size() >= MaxLoans ||
      lent(Question.Target, Question.Incarnation, Now) >= Free)
    return false;
  Loans[Key] = {Question.Target, Question.Incarnation,
                std::min(Question.ExpiresAt, Now + MaxLifetime)};
  return true;
}

void SlotLoans::giveBack(const HostId &Borrower, uint64_t Number) {
  Loans.erase({Borrower, Number});
}

uint32_t SlotLoans::lent(const TargetId &Target, Incarnation Current,
                         Timestamp Now) const {
  return static_cast<uint32_t>(
      std::count_if(Loans.begin(), Loans.end(), [&](const auto &Entry) {
        const Loan &Each = Entry.second;
        return Each.Target == Target && Each.Incarnation == Current &&
               Now < Each.ExpiresAt;
      }));
}

} // namespace ferry::routing
