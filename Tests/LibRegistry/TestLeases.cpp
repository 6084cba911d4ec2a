/// \file
/// Checks that a lease never has two holders and that loads of weights stay
/// within the limit. Two holders come about when commands are lost, delayed or
/// duplicated, hosts freeze, and their clocks run at different rates.
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

/// A registry with a log that applies each command at once.
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
  Command Input;
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
    {"a resend of an acquisition",
     {{acquire("a", 0, 0), true, 1}, {acquire("a", 0, 0), true, 1}}},
    {"a takeover of a lease that was renewed meanwhile",
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
    {"a late release by an earlier holder",
     {{acquire("a", 0, 0), true, 1},
      {acquire("b", 1, 0), true, 2},
      {release("a", 1), false, 2}}}};

BOOST_DATA_TEST_CASE(leases_have_one_holder,
                     boost::unit_test::data::make(LeaseCases), Case) {
  Log Commands;
  for (const LeaseStep &Step : Case.Steps) {
    auto Outcome = Commands.apply<LeaseOutcome>(Step.Input);
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
  Command Input;
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
    {"a load above the limit",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted),
      begin(slot("t3", 1, 3), LoadAnswer::Refused), end(slot("t1", 1, 1)),
      begin(slot("t3", 1, 4), LoadAnswer::Granted)}},
    {"a resend takes no second slot",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted)}},
    {"a late duplicate of BeginWeightsLoad for an ended load",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted), end(slot("t1", 1, 1)),
      begin(slot("t1", 1, 1), LoadAnswer::Stale)}},
    {"a late duplicate of a refused BeginWeightsLoad",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted),
      begin(slot("t3", 1, 3), LoadAnswer::Refused), end(slot("t1", 1, 1)),
      begin(slot("t3", 1, 3), LoadAnswer::Stale)}},
    {"a late EndWeightsLoad of an earlier load of the same target",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted), end(slot("t1", 1, 1)),
      begin(slot("t1", 1, 2), LoadAnswer::Granted),
      begin(slot("t2", 1, 3), LoadAnswer::Granted), end(slot("t1", 1, 1)),
      begin(slot("t3", 1, 4), LoadAnswer::Refused)}},
    {"a new incarnation frees the slot of an earlier one",
     {begin(slot("t1", 1, 1), LoadAnswer::Granted),
      begin(slot("t2", 1, 2), LoadAnswer::Granted), end(slot("t1", 2, 0)),
      begin(slot("t3", 1, 3), LoadAnswer::Granted)}},
    {"a load for an earlier incarnation of a loading target",
     {begin(slot("t1", 2, 1), LoadAnswer::Granted),
      begin(slot("t1", 1, 2), LoadAnswer::Stale)}},
    {"a load under a lease that is not held",
     {begin(slot("t1", 1, 1, 9), LoadAnswer::Stale)}}};

BOOST_DATA_TEST_CASE(loads_stay_within_the_limit,
                     boost::unit_test::data::make(LoadCases), Case) {
  Log Commands;
  Commands.apply<LeaseOutcome>(acquire("a", 0, 0));
  for (const LoadStep &Step : Case.Steps) {
    auto Outcome = Commands.apply<LoadOutcome>(Step.Input);
    BOOST_TEST(Outcome.index() == static_cast<size_t>(Step.Answer));
    BOOST_TEST(Commands.State.loads().size() <= 2u);
  }
  // Leases and loads survive a snapshot.
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(Commands.State.snapshot()).has_value());
  BOOST_TEST((Restored.loads() == Commands.State.loads()));
  BOOST_TEST((Restored.lease("orders") == Commands.State.lease("orders")));
}

// A slot whose age was counted from each takeover never reached its end.
BOOST_AUTO_TEST_CASE(a_slot_ages_by_the_renewals_of_later_terms) {
  Log Commands;
  Commands.apply<LeaseOutcome>(acquire("a", 0, 0));
  Commands.apply<LoadOutcome>(begin(slot("t1", 1, 1), {}).Input);
  auto LaterRenewals = [](const Registry &State) {
    return State.loads().front().LaterRenewals;
  };
  Commands.apply<LeaseOutcome>(renew("a", 1, 7));
  BOOST_TEST(LaterRenewals(Commands.State) == 0u);
  Commands.apply<LeaseOutcome>(acquire("b", 1, 7));
  Commands.apply<LeaseOutcome>(renew("b", 2, 1));
  BOOST_TEST(LaterRenewals(Commands.State) == 0u);
  Commands.apply<LeaseOutcome>(renew("b", 2, 4));
  Commands.apply<LeaseOutcome>(renew("b", 2, 3));
  BOOST_TEST(LaterRenewals(Commands.State) == 3u);
  Commands.apply<LeaseOutcome>(acquire("a", 2, 4));
  Registry Restored;
  BOOST_REQUIRE(Restored.tryRestore(Commands.State.snapshot()).has_value());
  Commands.State = std::move(Restored);
  Commands.apply<LeaseOutcome>(renew("a", 3, 3));
  BOOST_TEST(LaterRenewals(Commands.State) == 5u);
}

namespace {

/// Three candidates that freeze at times and whose clocks run at different
/// rates, with a log that loses and delays commands.
class LeaseWorld {
public:
  explicit LeaseWorld(uint64_t Seed) : Random(Seed) {
    for (const char *Name : {"a", "b", "c"}) {
      Candidate Added{LeaseHolder({"orders", {Name}, {1}}), 1.0, {}, 0};
      // From 0.9 to 1.1 of true time, within the bound that LeaseHolder
      // assumes.
      Added.Rate =
          0.9 + 0.2 * static_cast<double>(randomBelow(Random, 11)) / 10;
      Candidates.push_back(std::move(Added));
    }
    for (size_t Index = 0; Index < Candidates.size(); ++Index)
      stepCandidate(Index, LeaseIntentChanged{});
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += 50ms) {
      deliver();
      for (size_t Index = 0; Index < Candidates.size(); ++Index)
        tickOne(Index);
      check();
    }
  }

  size_t HeldSteps = 0;
  size_t DoubleHolders = 0;
  size_t Acquisitions = 0;

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
    bool AnswerLost;
    std::optional<LeaseOutcome> Answer;
    bool Answered;
  };

  Timestamp clockOf(const Candidate &Participant) const {
    double Own =
        static_cast<double>(Now.time_since_epoch().count()) * Participant.Rate;
    return Timestamp(Duration(static_cast<int64_t>(Own)));
  }

  void tickOne(size_t Index) {
    Candidate &Participant = Candidates[Index];
    if (randomBelow(Random, 400) == 0)
      Participant.FrozenUntil =
          Now + std::chrono::seconds(randomBelow(Random, 20));
    if (Participant.FrozenUntil <= Now)
      stepCandidate(Index, LeaseTick{});
    if (randomBelow(Random, 800) == 0 && Participant.FrozenUntil <= Now) {
      stepCandidate(Index, LeaseIntentChanged{LeaseIntent::Release});
      stepCandidate(Index, LeaseIntentChanged{LeaseIntent::Hold});
    }
  }

  void stepCandidate(size_t Index, const LeaseEvent &Event) {
    Candidate &Participant = Candidates[Index];
    for (auto &Effect : Participant.Machine.step(Event, clockOf(Participant))) {
      if (auto *Request = std::get_if<LeasePropose>(&Effect))
        propose(Index, *Request);
      if (auto *Gained = std::get_if<LeaseGained>(&Effect)) {
        Acquisitions += Gained->Fencing.Value != Participant.Fencing;
        Participant.Fencing = Gained->Fencing.Value;
      }
    }
  }

  void propose(size_t From, const LeasePropose &Request) {
    // The log applies commands up to four times and up to eight seconds late.
    size_t Copies = 1 + (randomBelow(Random, 4) == 0) * 3;
    for (size_t Copy = 0; Copy < Copies; ++Copy) {
      Duration Slow = std::chrono::milliseconds(
          randomBelow(Random, randomBelow(Random, 8) == 0 ? 8000 : 100));
      // The client stops waiting after a second; the command may be applied
      // later.
      bool AnswerLost = Slow >= 500ms || randomBelow(Random, 5) == 0;
      Timestamp AnswerAt = Now + std::min<Duration>(Slow * 2, 1s);
      InFlight.push_back(
          {Now + Slow, AnswerAt, From, Request, AnswerLost, {}, false});
    }
  }

  void deliver() {
    std::stable_sort(InFlight.begin(), InFlight.end(),
                     [](const Pending &Left, const Pending &Right) {
                       return Left.ApplyAt < Right.ApplyAt;
                     });
    for (Pending &Proposal : InFlight)
      if (!Proposal.Answer && Proposal.ApplyAt <= Now)
        Proposal.Answer =
            Commands.apply<LeaseOutcome>(Proposal.Request.Request);
    for (size_t Index = 0; Index < InFlight.size(); ++Index)
      answer(Index);
    std::erase_if(InFlight, [](const Pending &Proposal) {
      return Proposal.Answer && Proposal.Answered;
    });
  }

  void answer(size_t Index) {
    Pending &Proposal = InFlight[Index];
    bool Frozen = Candidates[Proposal.From].FrozenUntil > Now;
    bool Waits = !Proposal.AnswerLost && !Proposal.Answer;
    if (Proposal.Answered || Frozen || Waits || Proposal.AnswerAt > Now)
      return;
    Proposal.Answered = true;
    LeaseProposalEnded Ended{Proposal.Request.Token,
                             makeTypedError(RegistryErrorKind::Timeout)};
    if (!Proposal.AnswerLost)
      Ended.Outcome = *Proposal.Answer;
    // The candidate may propose again, which reallocates the vector that holds
    // Proposal.
    stepCandidate(Proposal.From, Ended);
  }

  void check() {
    size_t Held = 0;
    for (const Candidate &Participant : Candidates)
      Held += Participant.Machine.isHeld(clockOf(Participant));
    HeldSteps += Held;
    DoubleHolders += Held > 1;
  }

  RandomGenerator Random;
  Timestamp Now{1000s};
  Log Commands;
  std::vector<Candidate> Candidates;
  std::vector<Pending> InFlight;
};

} // namespace

BOOST_AUTO_TEST_CASE(two_hosts_never_hold_the_lease_at_once) {
  size_t HeldSteps = 0;
  size_t Acquisitions = 0;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    LeaseWorld World(Seed);
    World.run(4min);
    BOOST_TEST_INFO("seed " << Seed);
    BOOST_TEST(World.DoubleHolders == 0u);
    HeldSteps += World.HeldSteps;
    Acquisitions += World.Acquisitions;
  }
  // Makes sure that leases are held and change hands.
  BOOST_TEST(HeldSteps > 60u * 1000u);
  BOOST_TEST(Acquisitions > 60u * 5u);
}
