// Brittle targets crash when they have to reject more than a few requests in a
// second. With more routers than slots, and callers anywhere, the slots must be
// used by all routers and never twice.
#include "LibRouting/RoutedDeployment.h"
#include "LibRouting/SlotLoans.h"
#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

static const Timestamp Start{1000s};
static const TargetId Target{"t0"};

static SlotQuestion question(const char *Borrower, uint64_t Number,
                             Duration Lifetime = 1s) {
  return {{Borrower}, Number, Target, {1}, Start + Lifetime};
}

BOOST_AUTO_TEST_CASE(a_slot_is_lent_once_until_it_comes_back) {
  SlotLoans Loans;
  BOOST_TEST(Loans.tryLend(question("a", 1), 1, Start));
  // The same question again has the same answer.
  BOOST_TEST(Loans.tryLend(question("a", 1), 1, Start));
  BOOST_TEST(!Loans.tryLend(question("a", 2), 1, Start));
  BOOST_TEST(!Loans.tryLend(question("b", 1), 1, Start));
  BOOST_TEST(Loans.lent(Target, {1}, Start) == 1U);
  BOOST_TEST(Loans.lent(Target, {2}, Start) == 0U);
  Loans.giveBack({"b"}, 1);
  BOOST_TEST(Loans.lent(Target, {1}, Start) == 1U);
  Loans.giveBack({"a"}, 1);
  BOOST_TEST(Loans.lent(Target, {1}, Start) == 0U);
  BOOST_TEST(Loans.tryLend(question("b", 1), 1, Start));
  // The borrower has ended.
  BOOST_TEST(!Loans.tryLend(question("c", 1), 1, Start + 999ms));
  BOOST_TEST(Loans.tryLend(question("c", 1), 1, Start + 1s));
}

BOOST_AUTO_TEST_CASE(loans_are_bounded) {
  SlotLoans Loans;
  size_t Lent = 0;
  for (uint64_t Number = 0; Number < 2 * SlotLoans::MaxLoans; ++Number)
    Lent += Loans.tryLend(question("a", Number, 1000h),
                          std::numeric_limits<uint32_t>::max(), Start);
  BOOST_TEST(Lent == SlotLoans::MaxLoans);
  BOOST_TEST(Loans.lent(Target, {1}, Start + SlotLoans::MaxLifetime) == 0U);
}

namespace {

/// Routers in virtual time in front of brittle targets without queues.
/// Messages take 2 to 8 ms; they are lost only with their connection, here one
/// in 500. A borrower gives back what it is not told of.
class BrittleFleet {
public:
  static constexpr size_t AllowedRejections = 3;
  static constexpr Duration ServiceTime = 60ms;

  BrittleFleet(size_t Routers, size_t Targets, uint32_t Slots)
      : Deployment(Targets), Slots(Slots), ServedAt(Routers) {
    for (TargetRecord &Record : Deployment.View.Targets)
      Record.Load.MaxConcurrent = Slots;
    Deployment.addHosts(Routers);
    for (size_t Index = 0; Index < Routers; ++Index) {
      Deployment.View.Self = Deployment.View.Hosts[Index].Id;
      Fleet.push_back(Deployment.router(Index + 1));
    }
    for (TargetRecord &Record : Deployment.View.Targets)
      for (RoutedPlacement &Router : Fleet)
        Router.limits().noteAnswer(Record.Id, Record.Incarnation, std::nullopt,
                                   Now, Now, 3.0);
  }

  /// Replaces a target by one that no router has had an answer of.
  void replaceTarget(size_t Index) {
    TargetRecord &Record = Deployment.View.Targets[Index];
    Record.Id = {Record.Id.Value + "+"};
    ++Record.Incarnation.Value;
    announceTargets();
  }

  /// Sends \p PerSecond requests for \p Length, each at a random router of the
  /// first \p Used.
  void run(double PerSecond, Duration Length, size_t Used) {
    Timestamp End = Now + Length;
    for (Duration Since = 0s; Since < Length; Since += 1s)
      after(Since, [this] { announceTargets(); });
    auto Gap = Duration(static_cast<int64_t>(1e6 / PerSecond));
    for (Timestamp At = Now; At < End; At += Gap)
      after(At - Now, [this, Used] { arrive(randomBelow(Random, Used)); });
    while (!Events.empty() && Events.top().At < End) {
      Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Run();
    }
    Now = End;
  }

  size_t falls() const { return Falls; }
  size_t served() const {
    size_t Sum = 0;
    for (size_t Each : ServedAt)
      Sum += Each;
    return Sum;
  }
  size_t leastServed(size_t Used) const {
    return *std::min_element(
        ServedAt.begin(), ServedAt.begin() + static_cast<std::ptrdiff_t>(Used));
  }

private:
  struct Event {
    Timestamp At;
    uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::pair(At, Order) > std::pair(Other.At, Other.Order);
    }
  };
  struct TargetState {
    uint32_t Running = 0;
    std::deque<Timestamp> Rejections;
  };

  void announceTargets() {
    for (TargetRecord &Record : Deployment.View.Targets)
      Record.UsableUntil = Now + RecordLifetime;
    for (size_t Router = 0; Router < Fleet.size(); ++Router) {
      Deployment.View.Self = Deployment.View.Hosts[Router].Id;
      Fleet[Router].applyView(std::make_shared<RoutingView>(Deployment.View),
                              Now);
    }
  }

  void after(Duration Delay, std::function<void()> Run) {
    Events.push({Now + Delay, NextOrder++, std::move(Run)});
  }
  void message(std::function<void()> Run) {
    if (randomBelow(Random, 500) != 0)
      after(2ms + Duration(static_cast<int64_t>(randomBelow(Random, 6000))),
            std::move(Run));
  }

  void arrive(size_t Router) {
    RoutedCall Call;
    Call.Service = Lm;
    Call.Deadline = Now + 2s;
    place(Router, Call, 0, 0);
  }

  void place(size_t Router, const RoutedCall &Call, uint64_t Loan, int Asked) {
    auto Outcome = Fleet[Router].place(Call, Now);
    if (const auto *Placed = std::get_if<PlacedCall>(&Outcome))
      return send(Router, Call, *Placed, Loan);
    if (Loan != 0)
      return giveBack(Router, *Call.Loan, Loan);
    bool MayBorrow =
        std::get<RefusedCall>(Outcome).Reason == CallRefusalReason::SlotsTaken;
    if (MayBorrow && Asked < 4)
      borrow(Router, Call, Asked);
  }

  void borrow(size_t Router, RoutedCall Call, int Asked) {
    auto Chosen = Fleet[Router].chooseLoan(Call, Now);
    if (!Chosen)
      return;
    uint64_t Number = ++NextLoan;
    auto Answered = std::make_shared<bool>(false);
    message([=, this] {
      bool Lent = Fleet[indexOf(Chosen->Lender)].tryLend(
          {hostOf(Router), Number, Chosen->Target, Chosen->Incarnation,
           Call.Deadline},
          Now);
      message([=, this] {
        *Answered = true;
        RoutedCall Next = Call;
        if (Lent)
          Next.Loan = Chosen;
        place(Router, Next, Lent ? Number : 0, Asked + 1);
      });
    });
    after(150ms, [=, this] {
      if (!*Answered)
        giveBack(Router, *Chosen, Number);
    });
  }

  void giveBack(size_t Router, const SlotLoan &Loan, uint64_t Number) {
    message([=, this] {
      Fleet[indexOf(Loan.Lender)].takeBackLoan(hostOf(Router), Number);
    });
  }

  void send(size_t Router, const RoutedCall &Call, const PlacedCall &Placed,
            uint64_t Loan) {
    BOOST_TEST(Fleet[Router].maySend(Placed, Now));
    TargetState &Reached = States[Placed.Target];
    bool IsFull = Reached.Running >= Slots;
    if (IsFull)
      reject(Reached);
    else
      ++Reached.Running;
    after(IsFull ? 1ms : ServiceTime, [=, this] {
      if (!IsFull) {
        --States[Placed.Target].Running;
        ++ServedAt[Router];
      }
      Fleet[Router].noteLimit(Placed, std::nullopt, 3.0, Now);
      Fleet[Router].endCall(Placed.PlacementId,
                            IsFull ? CallEnd::NotRun : CallEnd::Served, Now);
      if (Loan != 0)
        giveBack(Router, *Call.Loan, Loan);
    });
  }

  void reject(TargetState &Full) {
    Full.Rejections.push_back(Now);
    while (Full.Rejections.front() + 1s <= Now)
      Full.Rejections.pop_front();
    if (Full.Rejections.size() <= AllowedRejections)
      return;
    ++Falls;
    Full.Rejections.clear();
  }

  HostId hostOf(size_t Router) const {
    return Deployment.View.Hosts[Router].Id;
  }
  size_t indexOf(const HostId &Host) const {
    return std::stoul(Host.Value.substr(1));
  }

  TestDeployment Deployment;
  uint32_t Slots;
  Timestamp Now = Deployment.Now;
  RandomGenerator Random{7};
  std::vector<RoutedPlacement> Fleet;
  std::map<TargetId, TargetState> States;
  std::vector<size_t> ServedAt;
  std::priority_queue<Event> Events;
  uint64_t NextOrder = 0;
  uint64_t NextLoan = 0;
  size_t Falls = 0;
};

} // namespace

// 36 slots are half as many as the routers: most of these have none.
BOOST_AUTO_TEST_CASE(many_routers_share_few_slots_of_brittle_targets) {
  for (size_t Used : {71U, 5U}) {
    BrittleFleet Fleet(71, 6, 6);
    // 1.3 times the 600 requests a second that the targets can serve.
    Fleet.run(780, 10s, Used);
    BOOST_TEST_MESSAGE(Used << " routers: " << Fleet.falls() << " falls, "
                            << Fleet.served() << " served, "
                            << Fleet.leastServed(Used) << " at the last one");
    BOOST_TEST(Fleet.falls() == 0U);
    BOOST_TEST(Fleet.served() >= 3000U);
    BOOST_TEST(Fleet.leastServed(Used) >= 3000 / Used / 4);
  }
}

// Nothing is known of the new ones but that the others are brittle.
BOOST_AUTO_TEST_CASE(targets_that_replace_brittle_ones_count_as_brittle) {
  BrittleFleet Fleet(71, 12, 12);
  for (size_t Replaced = 0; Replaced < 12; ++Replaced) {
    Fleet.run(2000, 500ms, 71);
    Fleet.replaceTarget(Replaced);
  }
  Fleet.run(2000, 1s, 71);
  BOOST_TEST_MESSAGE(Fleet.falls()
                     << " falls, " << Fleet.served() << " served");
  BOOST_TEST(Fleet.falls() == 0U);
  BOOST_TEST(Fleet.served() >= 7U * 2000 * 3 / 4);
}
