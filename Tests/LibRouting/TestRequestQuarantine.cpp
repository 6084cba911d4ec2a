// One request crashes each target that runs it, before its answer begins. It
// must be told from the requests that were at the same targets, whose callers
// and routers send them again too.
#include "LibRouting/PartQuarantine.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp Start{10'000s};
constexpr uint64_t Lead = 1;
constexpr uint64_t Crashing = requestIdOf(2);
constexpr uint64_t Popular = requestIdOf(3);
/// Longer than any delay of a decision, shorter than the pause to a trial.
constexpr auto Later = 2s;

class Router {
public:
  /// A target ends, at which requests were; those with an answer that had
  /// begun are sound.
  void crash(const std::vector<PartSet> &Waiting,
             const std::vector<PartSet> &Begun = {}) {
    TargetId Target{"i-" + std::to_string(++Targets)};
    for (const PartSet &Parts : Begun)
      Quarantine.noteBroken(Target, {1}, {Parts, AnswerProgress::Begun, Now},
                            Now);
    for (const PartSet &Parts : Waiting)
      Quarantine.noteBroken(Target, {1}, {Parts, AnswerProgress::Waiting, Now},
                            Now);
  }

  void crashes(int Count, const std::vector<PartSet> &Waiting,
               Duration Pause = 150ms) {
    for (int Crash = 0; Crash < Count; ++Crash) {
      crash(Waiting);
      Now += Pause;
    }
  }

  PartAdmission admission(const PartSet &Parts) {
    return Quarantine.check(Parts, Now);
  }
  bool admits(const PartSet &Parts) {
    return admission(Parts) == PartAdmission::Admitted;
  }

  Timestamp Now = Start;
  PartQuarantine Quarantine;

private:
  int Targets = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(ids_of_requests_and_parts_never_meet) {
  BOOST_TEST(isRequestId(requestIdOf(7)));
  BOOST_TEST((sharedParts({{requestIdOf(7), 1}, {9, 1}}) == PartSet{7}));
  BOOST_TEST(namesRequest(withRequestIds({1, 5}, {requestIdOf(7)})));
  BOOST_TEST(!namesRequest({1, 5}));
  BOOST_TEST(
      (withRequestIds({1}, {requestIdOf(7), requestIdOf(7)}).size() == 2U));
}

BOOST_AUTO_TEST_CASE(a_request_in_three_crashes_is_refused) {
  Router Subject;
  BOOST_TEST((Subject.Quarantine.requestsJudgedUntil() <= Subject.Now));
  Subject.crashes(2, {{Crashing}});
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Crashing}));
  BOOST_TEST(!Subject.Quarantine.mayRepeat({Crashing}, Subject.Now));
  Subject.crash({{Crashing}});
  Subject.Now += CrashEvidence::DecisionDelay;
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(Subject.admits({requestIdOf(50)}));
  BOOST_TEST((Subject.Quarantine.requestsJudgedUntil() > Subject.Now));
}

// Streams of others had begun at each target that ended.
BOOST_AUTO_TEST_CASE(answers_that_had_begun_do_not_clear_the_request) {
  Router Subject;
  for (uint64_t Crash = 0; Crash < 3; ++Crash) {
    Subject.crash({{Lead, Crashing}}, {{Lead, requestIdOf(100 + Crash)}});
    Subject.Now += 150ms;
    Subject.Quarantine.noteServed({Lead, requestIdOf(100 + Crash)},
                                  Subject.Now);
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  for (uint64_t Crash = 0; Crash < 3; ++Crash)
    BOOST_TEST(Subject.admits({Lead, requestIdOf(100 + Crash)}));
  BOOST_TEST(Subject.admits({Lead, requestIdOf(7)}));
}

// Those that were sent again met a further crash, but not all of them.
BOOST_AUTO_TEST_CASE(a_request_in_fewer_crashes_than_its_neighbour_is_sound) {
  Router Subject;
  uint64_t Beside = requestIdOf(60);
  Subject.crashes(1, {{Crashing}});
  Subject.crashes(3, {{Beside}, {Crashing}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(Subject.admits({Beside}));
}

// All targets of a small service ended before one could serve the neighbour.
BOOST_AUTO_TEST_CASE(a_sound_neighbour_is_served_soon_after_the_crashes) {
  Router Subject;
  uint64_t Beside = requestIdOf(60);
  Subject.crashes(4, {{Beside}, {Crashing}});
  Subject.Now += CrashEvidence::DecisionDelay;
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(!Subject.admits({Beside}));
  int Crashes = 0;
  for (auto Passed = 0s; Passed < 60s; Passed += 1s) {
    Subject.Now += 1s;
    if (Subject.admission({Crashing}) == PartAdmission::Trial) {
      Subject.Quarantine.beginTrial({Crashing}, Subject.Now);
      Subject.crash({{Crashing}});
      ++Crashes;
    }
    if (Subject.admission({Beside}) == PartAdmission::Trial) {
      Subject.Quarantine.beginTrial({Beside}, Subject.Now);
      Subject.Quarantine.noteServed({Beside}, Subject.Now);
      BOOST_TEST((Subject.Now <= Start + 10s));
    }
  }
  BOOST_TEST(Crashes == 1);
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(Subject.admits({Beside}));
}

// Callers send it word for word all the time, and targets end for other
// reasons.
BOOST_AUTO_TEST_CASE(a_popular_request_stays_served) {
  Router Subject;
  for (int Crash = 0; Crash < 30; ++Crash) {
    Subject.Quarantine.noteServed({Popular}, Subject.Now);
    Subject.Now += 300ms;
    Subject.crash({{Popular}});
    Subject.Now += 300ms;
    Subject.crash({{Popular}});
    Subject.Now += Later;
    BOOST_TEST(Subject.admits({Popular}));
  }
}

BOOST_AUTO_TEST_CASE(a_popular_request_beside_the_crashing_one_stays_served) {
  Router Subject;
  Subject.Quarantine.noteServed({Popular}, Subject.Now);
  Subject.crashes(4, {{Popular}, {Crashing}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(Subject.admits({Popular}));
}

// A rack loses power.
BOOST_AUTO_TEST_CASE(a_request_at_targets_that_end_together_stays_served) {
  Router Subject;
  Subject.crashes(12, {{Popular}}, 1ms);
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Popular}));
}

// Distinct requests without number wait at each target that ends, some of which
// end for other reasons.
BOOST_AUTO_TEST_CASE(a_flood_of_requests_does_not_hide_the_crashing_one) {
  Router Subject;
  uint64_t Next = 1000;
  for (int Crash = 0; Crash < 3; ++Crash) {
    std::vector<PartSet> Waiting;
    for (int Request = 0; Request < 12; ++Request)
      Waiting.push_back({requestIdOf(++Next)});
    Waiting.push_back({Crashing});
    for (int Request = 0; Request < 12; ++Request)
      Waiting.push_back({requestIdOf(++Next)});
    Subject.crashes(1, Waiting);
    Subject.crash({{requestIdOf(++Next)}});
    for (int Served = 0; Served < 10'000; ++Served)
      Subject.Quarantine.noteServed({requestIdOf(++Next)}, Subject.Now);
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(Subject.Quarantine.quarantinedSets() == 1U);
}

// A part that is rarely served keeps its mark while requests are.
BOOST_AUTO_TEST_CASE(served_requests_push_out_no_part) {
  Router Subject;
  Subject.Quarantine.noteServed({Lead}, Subject.Now);
  for (uint64_t Served = 0; Served < 10'000; ++Served)
    Subject.Quarantine.noteServed({requestIdOf(Served)}, Subject.Now);
  for (int Crash = 0; Crash < 3; ++Crash) {
    Subject.crash({}, {{Lead}});
    Subject.Now += 300ms;
  }
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Lead}));
}

// Its callers send the same path and body with another prompt each time.
BOOST_AUTO_TEST_CASE(a_request_with_changing_prompts_is_refused) {
  Router Subject;
  constexpr uint64_t Outline = requestIdOf(4);
  for (uint64_t Crash = 0; Crash < 3; ++Crash)
    Subject.crashes(1,
                    {withRequestIds({}, {Outline, requestIdOf(10 + Crash)})});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits(withRequestIds({}, {Outline, requestIdOf(20)})));
}

// Sound ones have the same path and body.
BOOST_AUTO_TEST_CASE(requests_with_another_prompt_stay_served) {
  Router Subject;
  constexpr uint64_t Outline = requestIdOf(4);
  for (uint64_t Crash = 0; Crash < 3; ++Crash) {
    Subject.crashes(1, {withRequestIds({Lead}, {Outline, Crashing})});
    Subject.Quarantine.noteServed(
        withRequestIds({Lead}, {Outline, requestIdOf(10 + Crash)}),
        Subject.Now);
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits(withRequestIds({Lead}, {Outline, Crashing})));
  BOOST_TEST(
      Subject.admits(withRequestIds({Lead}, {Outline, requestIdOf(20)})));
}

// The first three crashes come from one request with the part, then others.
BOOST_AUTO_TEST_CASE(a_crashing_part_is_found_behind_a_repeated_request) {
  Router Subject;
  Subject.Quarantine.noteServed({Lead}, Subject.Now);
  PartSet Repeated = withRequestIds({Lead, 5}, {Crashing});
  PartSet Other = withRequestIds({Lead, 5}, {requestIdOf(9)});
  for (int Crash = 0; Crash < 3; ++Crash) {
    Subject.crash({}, {Repeated});
    Subject.Now += 300ms;
  }
  Subject.Now += CrashEvidence::DecisionDelay;
  BOOST_TEST(!Subject.admits(Repeated));
  BOOST_TEST(Subject.admits(Other));
  Subject.crash({}, {Other});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits(withRequestIds({Lead, 5}, {requestIdOf(8)})));
  BOOST_TEST(Subject.admits(withRequestIds({Lead}, {requestIdOf(8)})));
}
