// Targets that end without an end of their connections are known to have ended
// once another incarnation is announced. The requests that they had not
// answered are evidence then, also if their callers have left.
#include "LibRouting/PartQuarantine.h"
#include "LibRouting/UnansweredCalls.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp Start{10'000s};
constexpr uint64_t Lead = 1;
constexpr uint64_t Crashing = 2;
constexpr uint64_t Sound = 3;

TargetRecord record(const std::string &Id, uint64_t Started,
                    const std::string &Address) {
  TargetRecord Announced;
  Announced.Id = {Id};
  Announced.Incarnation = {Started};
  Announced.Address = Address;
  return Announced;
}

UnansweredCall call(const std::string &Id, Timestamp SeenAt) {
  return {
      {Id}, {5}, "10.0.0.1:80", {{Lead}, AnswerProgress::Waiting, SeenAt, {}}};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_later_start_under_the_id_or_at_the_address_replaces) {
  std::vector<TargetRecord> Announced = {record("a", 5, "10.0.0.1:80"),
                                         record("b", 9, "10.0.0.2:80"),
                                         record("c", 4, "10.0.0.3:80")};
  ReplacedTargets Subject(Announced);
  BOOST_TEST(!Subject.contains({"a"}, {5}, "10.0.0.1:80"));
  BOOST_TEST(Subject.contains({"a"}, {4}, "10.0.0.7:80"));
  BOOST_TEST(Subject.contains({"old"}, {8}, "10.0.0.2:80"));
  // The announcement of one that had ended before came late.
  BOOST_TEST(!Subject.contains({"new"}, {6}, "10.0.0.3:80"));
  // One that is not announced may be cut off from the control hosts.
  BOOST_TEST(!Subject.contains({"d"}, {1}, "10.0.0.4:80"));
}

BOOST_AUTO_TEST_CASE(unanswered_requests_are_told_once_and_for_ten_seconds) {
  std::vector<TargetRecord> Before = {record("a", 5, "10.0.0.1:80")};
  std::vector<TargetRecord> After = {record("n", 6, "10.0.0.1:80")};
  UnansweredCalls Subject;
  Subject.add(call("a", Start));
  BOOST_TEST(Subject.takeEnded(ReplacedTargets(Before), Start + 1s).empty());
  BOOST_TEST(Subject.takeEnded(ReplacedTargets(After), Start + 2s).size() ==
             1U);
  BOOST_TEST(Subject.empty());
  Subject.add(call("a", Start));
  BOOST_TEST(Subject.takeEnded(ReplacedTargets(After), Start + 11s).empty());
  BOOST_TEST(Subject.empty());
}

BOOST_AUTO_TEST_CASE(the_newest_unanswered_requests_are_kept) {
  std::vector<TargetRecord> After = {record("n", 6, "10.0.0.1:80")};
  UnansweredCalls Subject;
  for (size_t Number = 0; Number <= UnansweredCalls::MaxCalls; ++Number)
    Subject.add(call("a" + std::to_string(Number), Start));
  auto Ended = Subject.takeEnded(ReplacedTargets(After), Start + 1s);
  BOOST_TEST(Ended.size() == UnansweredCalls::MaxCalls);
  BOOST_TEST(Ended.front().Target.Value == "a1");
}

// Sound requests wait at the engines too, and are served elsewhere then. Some
// connections are reset as the engine ends, others never end.
BOOST_AUTO_TEST_CASE(crashes_that_show_late_lead_to_a_quarantine) {
  for (bool SomeReset : {false, true}) {
    PartQuarantine Subject;
    Timestamp Now = Start;
    for (int Crash = 0; Crash < 5; ++Crash) {
      TargetId Target{"i-" + std::to_string(Crash)};
      Timestamp SentAt = Now - 30ms;
      if (SomeReset)
        Subject.noteBroken(Target, {1},
                           {{Lead, Sound}, AnswerProgress::Begun, Now, SentAt},
                           Now);
      Now += 1500ms;
      BOOST_TEST(
          (Subject.check({Lead, Crashing}, Now) == PartAdmission::Admitted));
      for (uint64_t Part : {Sound, Crashing})
        Subject.noteReplaced(
            Target, {1}, {{Lead, Part}, AnswerProgress::Waiting, Now, SentAt},
            Now);
      Now += 100ms;
      Subject.noteServed({Lead, Sound}, Now);
    }
    Now += CrashEvidence::DecisionDelayOfServed;
    BOOST_TEST(
        (Subject.check({Lead, Crashing}, Now) == PartAdmission::Refused));
    BOOST_TEST((Subject.check({Lead, Sound}, Now) == PartAdmission::Admitted));
  }
}

// All targets of a service end silently and are back one after the other. Sound
// requests were served between, and none is since.
BOOST_AUTO_TEST_CASE(what_was_served_meanwhile_is_not_blamed) {
  static constexpr uint64_t Request = requestIdOf(7);
  PartQuarantine Subject;
  Timestamp Now = Start;
  for (Timestamp End = Now + 2s; Now < End; Now += 100ms)
    Subject.noteServed({Lead, Sound, Request}, Now);
  for (int Crash = 0; Crash < 8; ++Crash) {
    Subject.noteReplaced(
        {"i-" + std::to_string(Crash)}, {1},
        {{Lead, Sound, Request}, AnswerProgress::Begun, Now, Start + 1s}, Now);
    Now += 300ms;
    BOOST_TEST((Subject.check({Lead, Sound, Request}, Now) ==
                PartAdmission::Admitted));
  }
  Now += CrashEvidence::DecisionDelayOfServed;
  BOOST_TEST(
      (Subject.check({Lead, Sound, Request}, Now) == PartAdmission::Admitted));
}
