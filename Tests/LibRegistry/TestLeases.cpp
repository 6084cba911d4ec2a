#include "LibCore/Random.h"
#include "LibRegistry/LeaseHolder.h"
#include "LibRegistry/Registry.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace ferry;
using namespace ferry::registry;
using namespace std::chrono_literals;

namespace {

/// A registry behind a log that applies each command at once.
struct Log {
  template <typename OutcomeType> OutcomeType apply(const Command &Value) {
    auto Outcome =
        tryOutcome<OutcomeType>(State.apply(++Index, encodeCommand(Value)));
    BOOST_REQUIRE(Outcome.has_value());
    return *Outcome;
  }

  Registry State;
  uint64_t Index = 0;
};

} // namespace

static AcquireOrderLease acquire(const char *Host, uint64_t Fencing,
                                 uint64_t Renewals) {
  return {"orders", {Host}, {1}, {Fencing}, Renewals};
}

static RenewOrderLease renew(const char *Host, uint64_t Fencing,
                             uint64_t Renewals) {
  return {"orders", {Host}, {1}, {Fencing}, Renewals};
}

static ReleaseOrderLease release(const char *Host, uint64_t Fencing) {
  return {"orders", {Host}, {1}, {Fencing}};
}

struct LeaseStep {
  Command Given;
  bool Granted;
  uint64_t Fencing;
};

struct LeaseCase {
  const char *Name;
  std::vector<LeaseStep> Steps;
};

static std::ostream &operator<<(std::ostream &Out, const LeaseCase &Case) {
  return Out << Case.Name;
}

static const LeaseCase LeaseCases[] = {
    {"two candidates for a free lease",
     {{acquire("a", 0, 0), true, 1}, {acquire("b", 0, 0), false, 1}}},
    {"an acquisition again",
     {{acquire("a", 0, 0), true, 1}, {acquire("a", 0, 0), true, 1}}},
    {"a takeover of a lease that was renewed since",
     {{acquire("a", 0, 0), true, 1},
      {renew("a", 1, 1), true, 1},
      {acquire("b", 1, 0), false, 1},
      {acquire("b", 1, 1), true, 2}}},
    {"a renewal after a takeover",
     {{acquire("a", 0, 0), true, 1},
      {acquire("b", 1, 0), true, 2},
      {renew("a", 1, 1), false, 2}}},
    {"an old renewal does not lower the count",
     {{acquire("a", 0, 0), true, 1},
      {renew("a", 1, 2), true, 1},
      {renew("a", 1, 1), true, 1},
      {acquire("b", 1, 1), false, 1}}},
    {"a late duplicate of an acquisition after the release",
     {{acquire("a", 0, 0), true, 1},
      {release("a", 1), true, 1},
      {acquire("a", 0, 0), false, 1},
      {acquire("b", 1, 0), true, 2}}},
    {"a late release of the lease before",
     {{acquire("a", 0, 0), true, 1},
      {acquire("b", 1, 0), true, 2},
      {release("a", 1), false, 2}}}};

BOOST_DATA_TEST_CASE(leases_have_one_holder,
                     boost::unit_test::data::make(LeaseCases), Case) {
  Log Commands;
  for (const LeaseStep &Step : Case.Steps) {
    auto Outcome = Commands.apply<LeaseOutcome>(Step.Given);
    auto *Granted = std::get_if<LeaseGranted>(&Outcome);
    BOOST_TEST((Granted != nullptr) == Step.Granted);
    const OrderLease &Lease =
        Granted ? Granted->Lease : std::get<LeaseRefused>(Outcome).Lease;
    BOOST_TEST(Lease.Fencing.Value == Step.Fencing);
  }
}

static LoadSlot slot(const char *Target, uint64_t Incarnation,
                     uint64_t Sequence, uint64_t Fencing = 1) {
  return {{Target}, {Incarnation}, {4}, {Fencing}, Sequence};
}

enum class LoadAnswer { Granted, Refused, Stale, Ended };

struct LoadStep {
  Command Given;
  LoadAnswer Answer;
};

struct LoadCase {
  const char *Name;
  std::vector<LoadStep> Steps;
};

static std::ostream &operator<<(std::ostream &Out, const LoadCase &Case) {
  return Out << Case.Name;
}

static LoadStep begin(const LoadSlot &Slot, LoadAnswer Answer) {
  return {BeginWeightsLoad{Slot, 2}, Answer};
}

static LoadStep end(const LoadSlot &Slot) {
  return {EndWeightsLoad{Slot}, LoadAnswer::Ended};
}

static const LoadCase LoadCases[] = {
    {"the limit",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted),
      begin(slot("t3", 1, 3), LoadAnswer::Refused), end(slot("t1", 1, 1)),
      begin(slot("t3", 1, 4), LoadAnswer::Granted)}},
    {"a resend takes no second slot",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted)}},
    {"a late duplicate of a load that ended",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted), end(slot("t1", 1, 1)),
      begin(slot("t1", 1, 1), LoadAnswer::Stale)}},
    {"a late duplicate of a load that was refused",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted),
      begin(slot("t3", 1, 3), LoadAnswer::Refused), end(slot("t1", 1, 1)),
      begin(slot("t3", 1, 3), LoadAnswer::Stale)}},
    {"a late end of an earlier load of the same target",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted), end(slot("t1", 1, 1)),
      begin(slot("t1", 1, 2), LoadAnswer::Granted),
      begin(slot("t2", 1, 3), LoadAnswer::Granted), end(slot("t1", 1, 1)),
      begin(slot("t3", 1, 4), LoadAnswer::Refused)}},
    {"a dead incarnation frees its slot",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted), end(slot("t1", 2, 0)),
      begin(slot("t3", 1, 3), LoadAnswer::Granted)}},
    {"an older incarnation of a loading target",
     {begin(slot("t1", 2, 1), LoadAnswer::Granted),
      begin(slot("t1", 1, 2), LoadAnswer::Stale)}},
    {"a giver without the lease",
     {begin(slot("t1", 1, 1, 9), LoadAnswer::Stale)}}};

BOOST_DATA_TEST_CASE(loads_stay_within_the_limit,
                     boost::unit_test::data::make(LoadCases), Case) {
  Log Commands;
  Commands.apply<LeaseOutcome>(acquire("a", 0, 0));
  for (const LoadStep &Step : Case.Steps) {
    auto Outcome = Commands.apply<LoadOutcome>(Step.Given);
    BOOST_TEST(Outcome.index() == static_cast<size_t>(Step.Answer));
    BOOST_TEST(Commands.State.loads().size() <= 2u);
  }
  // Leases and loads survive a snapshot.
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(Commands.State.snapshot()).has_value());
  BOOST_TEST((Restored.loads() == Commands.State.loads()));
  BOOST_TEST((Restored.lease("orders") == Commands.State.lease("orders")));
}

namespace {

/// Two candidates with clocks of their own rate, a log that loses and delays,
/// and hosts that freeze.
class LeaseWorld {
public:
  explicit LeaseWorld(uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"a", "b", "c"}) {
      Candidate Added{LeaseHolder({"orders", {Name}, {1}}), 1.0, {}, 0};
      // Within the stated bound: from 0.9 to 1.1 of true time.
      Added.Rate =
          0.9 + 0.2 * static_cast<double>(randomBelow(Random, 11)) / 10;
      Candidates.push_back(std::move(Added));
    }
    for (size_t Index = 0; Index < Candidates.size(); ++Index)
      give(Index, LeaseWished{});
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += 50ms) {
      deliver();
      for (size_t Index = 0; Index < Candidates.size(); ++Index)
        tickOne(Index);
      check();
    }
  }

  size_t Holders = 0;
  size_t Clashes = 0;
  size_t Changes = 0;

private:
  struct Candidate {
    LeaseHolder Machine;
    double Rate;
    Timestamp FrozenUntil;
    uint64_t Fencing;
  };
  struct Pending {
    Timestamp ApplyAt;
    Timestamp AnswerAt;
    size_t From;
    LeasePropose Request;
    bool Lost;
    std::optional<LeaseOutcome> Answer;
    bool Answered;
  };

  Timestamp clockOf(const Candidate &Of) const {
    double Own = static_cast<double>(Now.time_since_epoch().count()) * Of.Rate;
    return Timestamp(Duration(static_cast<int64_t>(Own)));
  }

  void tickOne(size_t Index) {
    Candidate &Of = Candidates[Index];
    if (randomBelow(Random, 400) == 0)
      Of.FrozenUntil = Now + std::chrono::seconds(randomBelow(Random, 20));
    if (Of.FrozenUntil <= Now)
      give(Index, LeaseTick{});
    if (randomBelow(Random, 800) == 0 && Of.FrozenUntil <= Now) {
      give(Index, LeaseWished{LeaseWish::GiveUp});
      give(Index, LeaseWished{LeaseWish::Hold});
    }
  }

  void give(size_t Index, const LeaseEvent &Event) {
    Candidate &Of = Candidates[Index];
    for (auto &Effect : Of.Machine.step(Event, clockOf(Of))) {
      if (auto *Request = std::get_if<LeasePropose>(&Effect))
        propose(Index, *Request);
      if (auto *Gained = std::get_if<LeaseGained>(&Effect)) {
        Changes += Gained->Fencing.Value != Of.Fencing;
        Of.Fencing = Gained->Fencing.Value;
      }
    }
  }

  void propose(size_t From, const LeasePropose &Request) {
    // Applied up to four times and up to eight seconds late.
    size_t Copies = 1 + (randomBelow(Random, 4) == 0) * 3;
    for (size_t Copy = 0; Copy < Copies; ++Copy) {
      Duration Slow = std::chrono::milliseconds(
          randomBelow(Random, randomBelow(Random, 8) == 0 ? 8000 : 100));
      // The client gives up after a second; the command may come later.
      bool Lost = Slow >= 500ms || randomBelow(Random, 5) == 0;
      Timestamp AnswerAt = Now + std::min<Duration>(Slow * 2, 1s);
      Under.push_back({Now + Slow, AnswerAt, From, Request, Lost, {}, false});
    }
  }

  void deliver() {
    std::stable_sort(Under.begin(), Under.end(),
                     [](const Pending &Left, const Pending &Right) {
                       return Left.ApplyAt < Right.ApplyAt;
                     });
    for (Pending &Entry : Under)
      if (!Entry.Answer && Entry.ApplyAt <= Now)
        Entry.Answer = Commands.apply<LeaseOutcome>(Entry.Request.Request);
    for (size_t Index = 0; Index < Under.size(); ++Index)
      answer(Index);
    std::erase_if(Under, [](const Pending &Entry) {
      return Entry.Answer && Entry.Answered;
    });
  }

  void answer(size_t Index) {
    Pending &Entry = Under[Index];
    bool Frozen = Candidates[Entry.From].FrozenUntil > Now;
    bool Waits = !Entry.Lost && !Entry.Answer;
    if (Entry.Answered || Frozen || Waits || Entry.AnswerAt > Now)
      return;
    Entry.Answered = true;
    LeaseAnswered Answer{Entry.Request.Token,
                         makeTypedError(RegistryErrorKind::Timeout)};
    if (!Entry.Lost)
      Answer.Answer = *Entry.Answer;
    // May propose again, and so move the entries.
    give(Entry.From, Answer);
  }

  void check() {
    size_t Held = 0;
    for (const Candidate &Of : Candidates)
      Held += Of.Machine.isHeld(clockOf(Of));
    Holders += Held;
    Clashes += Held > 1;
  }

  RandomGenerator Random;
  Timestamp Now{1000s};
  Log Commands;
  std::vector<Candidate> Candidates;
  std::vector<Pending> Under;
};

} // namespace

BOOST_AUTO_TEST_CASE(two_hosts_never_hold_the_lease_at_once) {
  size_t Holders = 0;
  size_t Changes = 0;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    LeaseWorld World(Seed);
    World.run(4min);
    BOOST_TEST_INFO("seed " << Seed);
    BOOST_TEST(World.Clashes == 0u);
    Holders += World.Holders;
    Changes += World.Changes;
  }
  // The schedules do hold leases and hand them on.
  BOOST_TEST(Holders > 60u * 1000u);
  BOOST_TEST(Changes > 60u * 5u);
}
