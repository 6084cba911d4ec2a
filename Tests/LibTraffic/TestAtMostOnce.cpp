// A non-idempotent call must run at most once, even if its target, the ledger
// or the router fails or freezes between the claim and the answer.
#include "LibTraffic/TrafficBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;
using namespace ferry::registry;

namespace {

/// One service behind one host.
struct OneService {
  explicit OneService(TrafficLimits Limits = shortLimits())
      : Bed(Ledger, "host-1", 1, Limits) {
    Bed.add(Service);
  }
  static TrafficLimits shortLimits() {
    TrafficLimits Limits;
    Limits.SettleLimit = std::chrono::milliseconds(300);
    return Limits;
  }
  uint64_t writes(const std::string &Key) { return Service.counts()[Key]; }

  LedgerStub Ledger;
  FakeService Service{fakeOptions("app-1")};
  TrafficBed Bed;
};

/// One fault and the expected answers to the call and to a resend of it.
struct CallCase {
  const char *Name;
  /// The service's fault, "" for none.
  const char *Fault;
  std::optional<std::pair<LedgerCommand, LedgerFault>> Ledger;
  int FirstStatus;
  /// "not_run" of the first answer, "" if it is not an error.
  const char *NotRun;
  uint64_t Writes;
  int ResendStatus;
  /// Writes after the resend.
  uint64_t FinalWrites;
};

std::ostream &operator<<(std::ostream &Out, const CallCase &Case) {
  return Out << Case.Name;
}

using Command = LedgerCommand;
using Fault = LedgerFault;

const CallCase CallCases[] = {
    {"plain", "", {}, 201, "", 1, 201, 1},
    {"answer lost after the write",
     "close_before_answer=1*1",
     {},
     502,
     "unknown",
     1,
     502,
     1},
    {"answer cut", "close_mid_answer=1*1", {}, 502, "unknown", 1, 502, 1},
    {"answer of another call", "wrong_echo=1*1", {}, 502, "unknown", 1, 502, 1},
    {"target says busy", "refuse=1*1", {}, 503, "", 0, 503, 0},
    {"claim lost before the log",
     "",
     {{Command::Claim, Fault::LostBefore}},
     503,
     "unknown",
     0,
     201,
     1},
    {"claim committed, answer lost",
     "",
     {{Command::Claim, Fault::LostAfter}},
     503,
     "unknown",
     0,
     201,
     1},
    {"claim never proposed",
     "",
     {{Command::Claim, Fault::NotProposed}},
     201,
     "",
     1,
     201,
     1},
    {"completion lost before the log",
     "",
     {{Command::Complete, Fault::LostBefore}},
     201,
     "",
     1,
     201,
     1},
    {"completion committed, answer lost",
     "",
     {{Command::Complete, Fault::LostAfter}},
     201,
     "",
     1,
     201,
     1},
    {"completion without a reply",
     "",
     {{Command::Complete, Fault::Silent}},
     201,
     "",
     1,
     201,
     1}};

} // namespace

BOOST_DATA_TEST_CASE(a_call_runs_at_most_once_under_each_fault,
                     boost::unit_test::data::make(CallCases), Case) {
  OneService Fixture;
  if (*Case.Fault)
    Fixture.Service.faults().set(Case.Fault);
  if (Case.Ledger)
    Fixture.Ledger.fail(Case.Ledger->first, Case.Ledger->second);
  CallerReply First = Fixture.Bed.placeHold("k1");
  BOOST_TEST(First.Status == Case.FirstStatus);
  if (*Case.NotRun)
    BOOST_TEST(First.error("not_run") == Case.NotRun);
  BOOST_TEST(Fixture.writes("k1") == Case.Writes);
  CallerReply Resend = Fixture.Bed.placeHold("k1");
  BOOST_TEST(Resend.Status == Case.ResendStatus);
  BOOST_TEST(Fixture.writes("k1") == Case.FinalWrites);
  if (First.Status == 201) {
    BOOST_TEST(Resend.Body == First.Body);
    BOOST_TEST(Resend.Headers["Idempotency-Replayed"] == "true");
  }
  if (Resend.Status == 502)
    BOOST_TEST(Resend.error("not_run") == "unknown");
}

BOOST_AUTO_TEST_CASE(a_claimed_call_needs_a_key_for_one_request_only) {
  OneService Fixture;
  CallerReply NoKey = Fixture.Bed.placeHold("");
  BOOST_TEST(NoKey.Status == 400);
  BOOST_TEST(NoKey.error("type") == "key_required");
  BOOST_TEST(NoKey.error("not_run") == "true");
  BOOST_TEST(Fixture.Bed.placeHold("k1").Status == 201);
  CallerReply Other = Fixture.Bed.placeHold("k1", {}, "{\"title\":8}");
  BOOST_TEST(Other.Status == 422);
  BOOST_TEST(Other.error("type") == "key_mismatch");
  BOOST_TEST(Fixture.writes("k1") == 1U);
  BOOST_TEST(Fixture.writes("") == 0U);
}

BOOST_AUTO_TEST_CASE(noncanonical_paths_do_not_bypass_the_claim) {
  OneService Fixture;
  const std::string Address = Fixture.Bed.Front->callerAddress();
  const Headers Fields = {{"X-Workspace", "w1"}};
  const char *Refused[] = {
      "/v1/services/app/x/../holds/7", "/v1/services/app//holds/7",
      "/v1/services/app/./holds/7", "/v1/services/app%2Fholds/7",
      "/v1/services/app/x/%2e%2e/holds/7"};
  for (const char *Path : Refused) {
    CallerReply Answer = ask(Address, "POST", Path, Fields, "{}");
    BOOST_TEST(Answer.error("type") == "bad_path", Path);
  }
  // An encoded letter does not change the path, so the call needs a claim.
  CallerReply Encoded =
      ask(Address, "POST", "/v1/services/app/%68olds/7", Fields, "{}");
  BOOST_TEST(Encoded.error("type") == "key_required");
  BOOST_TEST(Fixture.Service.calls() == 0U);
}

BOOST_AUTO_TEST_CASE(not_run_is_answered_only_after_a_committed_release) {
  LedgerStub Ledger;
  TrafficBed Bed(Ledger, "host-1", 1, OneService::shortLimits());
  CallerReply NoTarget = Bed.placeHold("k1");
  BOOST_TEST(NoTarget.Status == 503);
  BOOST_TEST(NoTarget.error("not_run") == "true");
  BOOST_TEST(!NoTarget.Headers["Retry-After"].empty());
  BOOST_TEST(Ledger.count(LedgerCommand::Release) == 1U);
  Ledger.fail(LedgerCommand::Release, LedgerFault::LostBefore);
  BOOST_TEST(Bed.placeHold("k2").error("not_run") == "unknown");
  // The release is retried in the background. Then the key can run.
  FakeService Service(fakeOptions("app-1"));
  Bed.add(Service);
  BOOST_TEST(Bed.placeHold("k2").Status == 201);
  BOOST_TEST(Bed.placeHold("k1").Status == 201);
  BOOST_TEST(Service.counts()["k1"] == 1U);
  BOOST_TEST(Service.counts()["k2"] == 1U);
}

BOOST_AUTO_TEST_CASE(an_unreachable_target_never_makes_a_call_uncertain) {
  OneService Fixture;
  FakeService StoppedService(fakeOptions("app-2"));
  Fixture.Bed.add(StoppedService);
  StoppedService.stop();
  for (int I = 0; I < 12; ++I) {
    std::string Key = "k" + std::to_string(I);
    CallerReply Answer = Fixture.Bed.placeHold(Key);
    bool Ran = Answer.Status == 201;
    bool NotRun = Answer.error("not_run") == "true";
    BOOST_TEST((Ran || NotRun));
    BOOST_TEST(Fixture.writes(Key) == (Ran ? 1U : 0U));
  }
}

BOOST_AUTO_TEST_CASE(
    a_resend_through_another_host_waits_for_the_first_attempt) {
  LedgerStub Ledger;
  TrafficBed First(Ledger);
  TrafficBed Second(Ledger, "host-2");
  FakeService Service(fakeOptions("app-1"));
  First.add(Service);
  Second.View.Targets = First.View.Targets;
  Second.publishView();
  Service.faults().set("late_answer_ms=300*1");
  CallerReply FirstAnswer;
  std::thread Caller([&] { FirstAnswer = First.placeHold("k1"); });
  BOOST_TEST(waitFor([&] { return Service.counts()["k1"] == 1; }));
  // The deadline of this resend passes while the first attempt runs.
  CallerReply EarlyResend = Second.placeHold("k1", {{"X-Deadline-Ms", "40"}});
  BOOST_TEST(EarlyResend.Status == 409);
  BOOST_TEST(EarlyResend.error("not_run") == "unknown");
  BOOST_TEST(!EarlyResend.Headers["Retry-After"].empty());
  CallerReply Resend = Second.placeHold("k1");
  Caller.join();
  BOOST_TEST(Resend.Status == 201);
  BOOST_TEST(Resend.Body == FirstAnswer.Body);
  BOOST_TEST(Service.counts()["k1"] == 1U);
}

BOOST_AUTO_TEST_CASE(a_claim_whose_holder_restarted_becomes_unknown) {
  OneService Fixture;
  ClaimAttempt Holder{{"host-2"}, {1}, 77};
  ClaimKey Key{{"w1"}, {"app"}, "k1"};
  // The holder claimed this same call and then stopped.
  ServiceCall Call;
  Call.Method = "POST";
  Call.Path = "/holds/7";
  Call.Body = "{\"title\":7}";
  Fixture.Ledger.apply(Claim{Key, Holder, callDigest(Call), unixNow()});
  BOOST_TEST(Fixture.Bed.placeHold("k1", {{"X-Deadline-Ms", "100"}}).Status ==
             409);
  Fixture.Bed.View.Hosts[1].Incarnation = {2};
  Fixture.Bed.publishView();
  CallerReply Answer = Fixture.Bed.placeHold("k1");
  BOOST_TEST(Answer.error("type") == "outcome_unknown");
  BOOST_TEST(Answer.error("not_run") == "unknown");
  BOOST_TEST(Fixture.writes("k1") == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_frozen_past_the_deadline_sends_nothing) {
  // The router freezes while it waits for its claim, and the reply arrives
  // after the deadline.
  LedgerStub Ledger;
  ControlPort Port = Ledger.port();
  auto Claim = Port.Claim;
  Port.Claim = [Claim](auto Key, auto Attempt, auto Digest, Timestamp Deadline,
                       auto Done) {
    std::this_thread::sleep_until(Deadline + std::chrono::milliseconds(1));
    Claim(Key, Attempt, Digest, Deadline, Done);
  };
  TrafficBed Bed(Ledger, "host-1", 1, OneService::shortLimits(), 200, Port);
  FakeService Service(fakeOptions("app-1"));
  Bed.add(Service);
  CallerReply Late = Bed.placeHold("k1", {{"X-Deadline-Ms", "50"}});
  BOOST_TEST(Late.error("type") == "deadline_passed");
  BOOST_TEST(Late.error("not_run") == "true");
  BOOST_TEST(Ledger.count(LedgerCommand::Release) == 1U);

  // The description is no longer confirmed when the router continues.
  Bed.View.ConfirmedUntil = steadyNow();
  Bed.publishView();
  CallerReply Answer = Bed.placeHold("k2", {{"X-Deadline-Ms", "50"}});
  BOOST_TEST(Answer.error("type") == "unconfirmed");
  BOOST_TEST(Answer.error("not_run") == "true");
  BOOST_TEST(Service.calls() == 0U);
}

BOOST_AUTO_TEST_CASE(the_check_before_a_send_stops_a_late_or_unconfirmed_one) {
  // The router freezes between the placement and the send.
  FakeService Service(fakeOptions("app-1"));
  Service.start();
  Dispatcher Placements(routing::Scheduler::create({}));
  LedgerStub Ledger;
  TrafficContext Context{{}, {1}, Ledger.port(),  {}, {}, Placements,
                         {}, {1}, {NeverExpires}, {0}};
  auto View = std::make_shared<routing::RoutingView>();
  View->Description = testDescription();
  ServiceCall Call;
  Call.Method = "POST";
  Call.Path = "/holds/7";
  routing::Dispatch Dispatch;
  Dispatch.Address = Service.address();
  const std::pair<Timestamp, Timestamp> DeadlineAndConfirmation[] = {
      {steadyNow(), NeverExpires}, {NeverExpires, steadyNow()}};
  for (auto [Deadline, ConfirmedUntil] : DeadlineAndConfirmation) {
    Call.Deadline = std::min(Deadline, steadyNow() + MaxWait);
    View->ConfirmedUntil = ConfirmedUntil;
    Placements.setView(std::make_shared<routing::RoutingView>(*View));
    std::optional<ErrorAnswer> SendRefusal;
    auto Answer =
        tryCallTarget(Context, Call, Dispatch, {"t"}, -1, SendRefusal);
    BOOST_REQUIRE(!Answer.has_value());
    BOOST_TEST((Answer.error().Kind == LinkErrorKind::NotSent));
    BOOST_TEST(!mayHaveRun(Answer.error()));
    BOOST_TEST(SendRefusal.has_value());
  }
  BOOST_TEST(Service.calls() == 0U);
}

BOOST_AUTO_TEST_CASE(concurrent_resends_through_two_hosts_write_each_key_once) {
  LedgerStub Ledger;
  TrafficBed First(Ledger);
  TrafficBed Second(Ledger, "host-2");
  FakeService Service(fakeOptions("app-1"));
  First.add(Service);
  Second.View.Targets = First.View.Targets;
  Second.publishView();
  std::atomic<int> SuccessCount = 0;
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < 8; ++Caller)
    Callers.emplace_back([&, Caller] {
      for (int I = 0; I < 10; ++I) {
        TrafficBed &Host = (I + Caller) % 2 ? First : Second;
        SuccessCount +=
            Host.placeHold("key-" + std::to_string(I)).Status == 201;
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  BOOST_TEST(SuccessCount == 80);
  for (const auto &[Key, Count] : Service.counts())
    BOOST_TEST(Count == 1U, Key);
  BOOST_TEST(Service.counts().size() == 10U);
}
