// One part of a prompt crashes each target that begins an answer on it. It must
// be told from the parts of sound requests that ran at the same targets, and a
// wrong quarantine must end.
#include "LibRouting/PartQuarantine.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp Start{10'000s};
constexpr uint64_t Lead = 1;
constexpr uint64_t Crashing = 2;
constexpr uint64_t Sound = 3;
/// Longer than any delay of a decision.
constexpr auto Later = 2s;

PartSet sorted(PartSet Parts) {
  std::sort(Parts.begin(), Parts.end());
  return Parts;
}

/// A router with its quarantine, in virtual time.
class Router {
public:
  /// A target ends while the requests with \p Begun and \p Waiting are there.
  void crash(const std::vector<PartSet> &Begun,
             const std::vector<PartSet> &Waiting = {}) {
    TargetId Target{"i-" + std::to_string(++Targets)};
    for (const PartSet &Parts : Begun)
      Quarantine.noteBroken(Target, {1},
                            {sorted(Parts), AnswerProgress::Begun, Now}, Now);
    for (const PartSet &Parts : Waiting)
      Quarantine.noteBroken(Target, {1},
                            {sorted(Parts), AnswerProgress::Waiting, Now}, Now);
  }

  /// Crashes that are \p Pause apart.
  void crashes(int Count, const std::vector<PartSet> &Begun,
               Duration Pause = 300ms) {
    for (int Crash = 0; Crash < Count; ++Crash) {
      crash(Begun);
      Now += Pause;
    }
  }

  void serve(const PartSet &Parts) {
    Quarantine.noteServed(sorted(Parts), Now);
  }

  bool admits(const PartSet &Parts) {
    return Quarantine.check(sorted(Parts), Now) == PartAdmission::Admitted;
  }

  /// Sends what this router has learnt to \p Other.
  void tell(Router &Other) {
    Other.Quarantine.apply(Quarantine.takeNews(Now), /*PassOn=*/false, Now);
  }

  Timestamp Now = Start;
  PartQuarantine Quarantine;

private:
  int Targets = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(the_last_part_is_never_suspect) {
  BOOST_TEST((sharedParts({{7, 1}, {5, 1}, {9, 1}}) == PartSet{5, 7}));
  BOOST_TEST(sharedParts({{7, 1}}).empty());
  BOOST_TEST(sharedParts({}).empty());
  BOOST_TEST((sharedParts({{7, 1}, {7, 1}, {9, 1}}) == PartSet{7}));
}

BOOST_AUTO_TEST_CASE(
    a_part_in_three_crashes_is_refused_and_its_neighbours_not) {
  Router Subject;
  Subject.serve({Lead, Sound});
  Subject.crashes(2, {{Lead, Crashing}});
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Lead, Crashing}));
  Subject.crash({{Lead, Crashing}});
  Subject.Now += CrashEvidence::DecisionDelay;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  // Whatever else a request has.
  BOOST_TEST(!Subject.admits({Crashing, 77}));
  BOOST_TEST(!Subject.admits({Crashing}));
  BOOST_TEST(Subject.admits({Lead}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
  BOOST_TEST(Subject.admits({}));
}

BOOST_AUTO_TEST_CASE(the_crashing_part_may_be_the_first) {
  Router Subject;
  Subject.serve({Lead, Sound});
  Subject.crashes(1, {{Sound, Crashing}});
  Subject.crashes(1, {{5, Crashing}});
  Subject.crashes(1, {{6, Crashing}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Crashing, 8}));
  BOOST_TEST(Subject.admits({Sound}));
  BOOST_TEST(Subject.admits({5}));
}

// Requests with a hot first part stand beside each crash, just begun too.
BOOST_AUTO_TEST_CASE(sound_parts_at_the_crashed_targets_stay_served) {
  Router Subject;
  for (uint64_t Crash = 0; Crash < 12; ++Crash) {
    Subject.crash({{Lead, Crashing}, {Lead, 100 + Crash}},
                  {{Lead, 200 + Crash}, {Lead, Sound}});
    Subject.Now += 200ms;
    Subject.serve({Lead, Sound});
    Subject.Now += 200ms;
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
  for (uint64_t Crash = 0; Crash < 12; ++Crash) {
    BOOST_TEST(Subject.admits({Lead, 100 + Crash}));
    BOOST_TEST(Subject.admits({Lead, 200 + Crash}));
  }
}

// All crashes so far had both parts, and nobody has served either: only
// requests with both are refused until a crash tells them apart.
BOOST_AUTO_TEST_CASE(parts_that_cannot_be_told_apart_are_refused_together) {
  Router Subject;
  Subject.crashes(3, {{Sound, Crashing}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Sound, Crashing}));
  BOOST_TEST(Subject.admits({Sound, 50}));
  BOOST_TEST(Subject.admits({Crashing, 51}));
  Subject.crash({{Crashing, 51}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Crashing, 52}));
  BOOST_TEST(Subject.admits({Sound, 52}));
  BOOST_TEST(Subject.Quarantine.quarantinedSets() == 1U);
}

// Both targets of a new service end before any answer is whole, and sound
// requests find them ended.
BOOST_AUTO_TEST_CASE(requests_that_waited_do_not_tell_parts_apart) {
  Router Subject;
  Subject.crashes(4, {{Lead, Crashing}});
  Subject.Now += CrashEvidence::DecisionDelay;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  Subject.crash({}, {{Lead, Sound}});
  Subject.Now += 300ms;
  Subject.crash({}, {{Lead, Sound}});
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Lead, Sound}));
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
}

BOOST_AUTO_TEST_CASE(two_parts_that_crash_targets_are_both_refused) {
  Router Subject;
  Subject.serve({Lead});
  for (int Crash = 0; Crash < 3; ++Crash) {
    Subject.crashes(1, {{Lead, Crashing}});
    Subject.crashes(1, {{Lead, 9}});
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(!Subject.admits({9}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
}

// A part of which answers were served before turns bad.
BOOST_AUTO_TEST_CASE(a_part_that_was_served_before_needs_five_crashes) {
  Router Subject;
  Subject.serve({Lead, Crashing});
  for (int Crash = 0; Crash < 5; ++Crash) {
    Subject.Now += Later;
    BOOST_TEST(Subject.admits({Lead, Crashing}));
    Subject.crash({{Lead, Crashing}});
    Subject.serve({Lead, Sound});
  }
  Subject.Now += CrashEvidence::DecisionDelayOfServed;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
}

// A rack loses power: a part that all requests share is in each crash.
BOOST_AUTO_TEST_CASE(targets_that_end_together_count_once) {
  Router Subject;
  for (int Target = 0; Target < 20; ++Target)
    Subject.crash({{Lead, Sound}}, {{Lead, 5}});
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Lead, Sound}));
  BOOST_TEST(Subject.admits({Lead, 5}));
}

// Targets end one after the other for reasons of their own; what they had begun
// is served elsewhere.
BOOST_AUTO_TEST_CASE(a_part_that_is_served_between_crashes_stays_served) {
  Router Subject;
  for (int Crash = 0; Crash < 30; ++Crash) {
    Subject.crash({{Lead, Sound}}, {{Lead, Sound}});
    Subject.Now += 500ms;
    Subject.serve({Lead, Sound});
    Subject.Now += 500ms;
    BOOST_TEST(Subject.admits({Lead, Sound}));
  }
}

BOOST_AUTO_TEST_CASE(without_a_begun_answer_five_crashes_are_needed) {
  Router Subject;
  for (int Crash = 0; Crash < 5; ++Crash) {
    Subject.Now += Later;
    BOOST_TEST(Subject.admits({Lead, Crashing}));
    Subject.crash({}, {{Lead, Crashing}, {Lead, 40 + uint64_t(Crash)}});
    Subject.serve({Lead});
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead, 44}));
}

// A reset discards the head of the answer that crashes the target, while sound
// answers there have begun.
BOOST_AUTO_TEST_CASE(a_part_whose_crashes_discard_the_head_is_refused) {
  Router Subject;
  Subject.serve({Lead, Sound});
  for (uint64_t Crash = 0; Crash < 5; ++Crash) {
    BOOST_TEST(Subject.admits({Lead, Crashing}));
    Subject.crash({{Lead, Sound}, {Lead, 100 + Crash}},
                  {{Lead, Crashing}, {Lead, 200 + Crash}});
    Subject.Now += 200ms;
    Subject.serve({Lead, Sound});
    Subject.Now += 200ms;
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(!Subject.admits({Crashing, 77}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
  for (uint64_t Crash = 0; Crash < 5; ++Crash) {
    BOOST_TEST(Subject.admits({Lead, 100 + Crash}));
    BOOST_TEST(Subject.admits({Lead, 200 + Crash}));
  }
}

// A new sound part had begun at three crashes in a row and was not served yet.
BOOST_AUTO_TEST_CASE(a_begun_part_beside_one_without_head_is_not_blamed) {
  Router Subject;
  Subject.serve({Lead});
  for (int Crash = 0; Crash < 3; ++Crash) {
    Subject.crash({{Lead, Sound}}, {{Lead, Crashing}});
    Subject.Now += 400ms;
    BOOST_TEST(Subject.admits({Lead, Sound}));
  }
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Lead, Sound}));
  for (uint64_t Crash = 0; Crash < 3; ++Crash) {
    Subject.crash({{Lead, 100 + Crash}}, {{Lead, Crashing}});
    Subject.Now += 400ms;
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
}

// Until the routers know that a target has ended, they send sound requests
// there, which are reset one after the other.
BOOST_AUTO_TEST_CASE(resets_by_a_target_that_has_ended_hide_no_crash) {
  static constexpr Duration Step = 100ms;
  static constexpr Duration Pause = 400ms;
  static constexpr Duration DownTime = 3s;
  static constexpr int Crashes = 5;
  Router Subject;
  Subject.serve({Lead, Sound});
  const Timestamp Fifth = Subject.Now + Pause * (Crashes - 1);
  uint64_t Sent = 0;
  while (Subject.Now < Fifth + CrashEvidence::DecisionDelayOfServed + Step) {
    for (int Crash = 0; Crash < Crashes; ++Crash) {
      Timestamp EndedAt = Start + Pause * Crash;
      PartSet Parts = Subject.Now == EndedAt ? PartSet{Lead, Crashing}
                                             : PartSet{Lead, Sound};
      if (EndedAt <= Subject.Now && Subject.Now < EndedAt + DownTime)
        Subject.Quarantine.noteBroken(
            {"i-" + std::to_string(Crash)}, {1},
            {withRequestIds(Parts, {requestIdOf(++Sent)}),
             AnswerProgress::Waiting, Subject.Now, Subject.Now - 5ms},
            Subject.Now);
    }
    Subject.serve({Lead, Sound});
    Subject.Now += Step;
  }
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
}

// Each target has broken off an answer before, without a head, and answered
// others since.
BOOST_AUTO_TEST_CASE(a_target_that_has_answered_since_a_break_may_end) {
  Router Subject;
  Subject.serve({Lead, Sound});
  for (int Crash = 0; Crash < 5; ++Crash) {
    TargetId Target{"i-" + std::to_string(Crash)};
    auto Break = [&](const PartSet &Parts) {
      Subject.Quarantine.noteBroken(
          Target, {1},
          {Parts, AnswerProgress::Waiting, Subject.Now, Subject.Now - 5ms},
          Subject.Now);
    };
    Break({Lead, Sound});
    Subject.Now += 200ms;
    Subject.Quarantine.noteAnswered(Target, {1}, Subject.Now - 50ms);
    Subject.Now += 200ms;
    Break({Lead, Crashing});
    Subject.serve({Lead, Sound});
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead, Sound}));
}

// More answers have begun at the target than a report of its end holds.
BOOST_AUTO_TEST_CASE(a_busy_target_hides_no_request_without_head) {
  for (bool First : {true, false}) {
    Router Subject;
    Subject.serve({Lead, Sound});
    for (uint64_t Crash = 0; Crash < 6; ++Crash) {
      std::vector<PartSet> Begun;
      for (uint64_t Id = 0; Id < 3 * CrashEvidence::MaxSuspects; ++Id)
        Begun.push_back({Lead, Sound, requestIdOf(1000 * Crash + Id)});
      PartSet Bad{Lead, Crashing, requestIdOf(9'000 + Crash)};
      TargetId Target{"i-busy" + std::to_string(Crash)};
      auto Note = [&](const PartSet &Parts, AnswerProgress Progress) {
        Subject.Quarantine.noteBroken(
            Target, {1}, {sorted(Parts), Progress, Subject.Now}, Subject.Now);
      };
      if (First)
        Note(Bad, AnswerProgress::Waiting);
      for (const PartSet &Parts : Begun)
        Note(Parts, AnswerProgress::Begun);
      if (!First)
        Note(Bad, AnswerProgress::Waiting);
      Subject.Now += 200ms;
      Subject.serve({Lead, Sound});
      Subject.Now += 200ms;
    }
    Subject.Now += Later;
    BOOST_TEST(!Subject.admits({Lead, Crashing}));
    BOOST_TEST(Subject.admits({Lead, Sound}));
  }
}

// The second crash under a part is no accident any more.
BOOST_AUTO_TEST_CASE(a_request_is_not_repeated_after_the_second_crash) {
  Router Subject;
  Subject.serve({Lead, Sound});
  Subject.crash({{Lead, Crashing}});
  BOOST_TEST(Subject.Quarantine.mayRepeat({Lead, Crashing}, Subject.Now));
  Subject.crash({{Lead, Crashing}});
  BOOST_TEST(!Subject.Quarantine.mayRepeat({Lead, Crashing}, Subject.Now));
  BOOST_TEST(Subject.Quarantine.mayRepeat({Lead, Sound}, Subject.Now));
}

// Targets break off answers now and then for an hour before a part ends them.
BOOST_AUTO_TEST_CASE(answers_broken_off_before_do_not_hide_a_crash) {
  Router Subject;
  Subject.serve({Lead});
  for (uint64_t Answer = 0; Answer < 200; ++Answer) {
    for (const char *Target : {"a", "b", "c"})
      Subject.Quarantine.noteBroken(
          {Target}, {1},
          {{Lead, 1000 + Answer}, AnswerProgress::Begun, Subject.Now},
          Subject.Now);
    Subject.Now += 10s;
    Subject.serve({Lead, 1000 + Answer});
  }
  for (const char *Target : {"a", "b", "c"}) {
    Subject.Quarantine.noteBroken(
        {Target}, {1}, {{Lead, Crashing}, AnswerProgress::Begun, Subject.Now},
        Subject.Now);
    Subject.Now += 300ms;
  }
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead}));
  BOOST_TEST(Subject.admits({Lead, 1199}));
  for (const CrashReport &Report :
       Subject.Quarantine.everything(Subject.Now).Crashes)
    BOOST_TEST(Report.Marks.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_rare_part_is_found_over_half_an_hour) {
  Router Subject;
  Subject.serve({Lead});
  Subject.crashes(3, {{Lead, Crashing}}, 15min);
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
}

// An answer that was under way when the parts were quarantined is served.
BOOST_AUTO_TEST_CASE(a_wrong_quarantine_ends_with_a_whole_answer) {
  Router Subject;
  Router Other;
  Subject.crashes(3, {{Sound}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Sound}));
  Other.Now = Subject.Now;
  Subject.tell(Other);
  BOOST_TEST(!Other.admits({Sound}));
  Other.serve({Sound});
  BOOST_TEST(Other.admits({Sound}));
  Other.tell(Subject);
  BOOST_TEST(Subject.admits({Sound}));
  // The old crashes are no evidence any more; new ones are.
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({Sound}));
  Subject.crashes(5, {{Sound}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Sound}));
}

BOOST_AUTO_TEST_CASE(one_router_of_the_fleet_sends_the_trials) {
  std::vector<HostId> Hosts = {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}, {"f"}, {"g"}};
  std::vector<Router> Fleet(Hosts.size());
  for (size_t Index = 0; Index < Hosts.size(); ++Index)
    Fleet[Index].Quarantine.setRouters(Hosts[Index], Hosts);
  Fleet[0].crashes(3, {{Crashing}});
  Fleet[0].Now += Later;
  BOOST_TEST(!Fleet[0].admits({Crashing}));
  CrashNews News = Fleet[0].Quarantine.takeNews(Fleet[0].Now);
  for (size_t Index = 1; Index < Fleet.size(); ++Index) {
    Fleet[Index].Now = Fleet[0].Now;
    Fleet[Index].Quarantine.apply(News, /*PassOn=*/false, Fleet[0].Now);
  }
  // Requests with the part come to all routers for a day.
  int Trials = 0;
  for (auto Passed = 0s; Passed < 24h; Passed += 10s)
    for (Router &Each : Fleet) {
      Each.Now += 10s;
      if (Each.Quarantine.check({Crashing}, Each.Now) != PartAdmission::Trial)
        continue;
      ++Trials;
      Each.Quarantine.beginTrial({Crashing}, Each.Now);
      Each.crash({{Crashing}});
      for (Router &Other : Fleet)
        if (&Other != &Each)
          Other.Quarantine.apply(Each.Quarantine.everything(Each.Now),
                                 /*PassOn=*/false, Other.Now);
    }
  BOOST_TEST(Trials == int(PartQuarantine::MaxTrials));
}

BOOST_AUTO_TEST_CASE(a_trial_that_is_served_ends_the_quarantine) {
  Router Subject;
  Subject.crashes(3, {{Sound}});
  Subject.Now += PartQuarantine::FirstTrialPause + Later;
  BOOST_TEST((Subject.Quarantine.check({Sound}, Subject.Now) ==
              PartAdmission::Refused));
  Subject.Now += PartQuarantine::FirstTrialPause;
  BOOST_REQUIRE(
      (Subject.Quarantine.check({Sound}, Subject.Now) == PartAdmission::Trial));
  Subject.Quarantine.beginTrial({Sound}, Subject.Now);
  BOOST_TEST(!Subject.admits({Sound}));
  Subject.serve({Sound});
  BOOST_TEST(Subject.admits({Sound}));
}

BOOST_AUTO_TEST_CASE(a_quarantine_ends_once_nobody_asks) {
  Router Subject;
  Subject.crashes(3, {{Crashing}});
  Subject.Now += Later;
  BOOST_TEST(!Subject.admits({Crashing}));
  Subject.Now += PartQuarantine::IdleLimit + 1h;
  BOOST_TEST(Subject.Quarantine.everything(Subject.Now).empty());
  BOOST_TEST(Subject.admits({Crashing}));
}

// New parts in any number, with crashes of their own and without, do not push
// out the one that matters.
BOOST_AUTO_TEST_CASE(a_flood_of_parts_pushes_no_quarantine_out) {
  Router Subject;
  Subject.serve({Lead});
  Subject.crashes(3, {{Lead, Crashing}});
  Subject.Now += Later;
  for (uint64_t Part = 1000; Part < 30'000; ++Part) {
    Subject.Now += 10ms;
    if (Part % 10 == 0)
      BOOST_REQUIRE(!Subject.admits({Lead, Crashing}));
    Subject.serve({Lead, Part});
    if (Part % 100 == 0)
      Subject.crash({{Lead, Part}}, {{Lead, Part + 1}});
  }
  BOOST_TEST(!Subject.admits({Lead, Crashing}));
  BOOST_TEST(Subject.admits({Lead}));
  CrashNews All = Subject.Quarantine.everything(Subject.Now);
  BOOST_TEST(All.Crashes.size() <= CrashEvidence::MaxCrashes);
  BOOST_TEST(All.Quarantined.size() <= PartQuarantine::MaxSets);
}

// What a peer sends is bounded and cannot break a router.
BOOST_AUTO_TEST_CASE(senseless_news_change_nothing) {
  Router Subject;
  CrashNews News;
  News.Crashes.push_back({{7},
                          Subject.Now + 24h,
                          {{{}, AnswerProgress::Begun, Subject.Now}},
                          {{9, {true, true}}}});
  News.Crashes.push_back(
      {{8},
       Subject.Now,
       {{PartSet(100, 5), AnswerProgress::Begun, Subject.Now}},
       {}});
  News.Quarantined.push_back({{}, 1, false, 0, Subject.Now, Subject.Now});
  News.Quarantined.push_back(
      {PartSet(100, 5), 1, false, 0, Subject.Now, Subject.Now});
  Subject.Quarantine.apply(News, /*PassOn=*/true, Subject.Now);
  Subject.Now += Later;
  BOOST_TEST(Subject.admits({5, 9}));
  BOOST_TEST(Subject.Quarantine.quarantinedSets() == 0U);
}
