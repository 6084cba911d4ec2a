// Hosts that know only seeds must find all other hosts, also while a seed is
// down, and must forget hosts that were replaced.
#include "LibMembership/Membership.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace ferry;
using namespace ferry::membership;
using namespace std::chrono_literals;

namespace {

/// Hosts that know one seed. Messages arrive at once, or are lost if the
/// receiver is down.
class SeededHosts {
public:
  explicit SeededHosts(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index)
      start("10.0.0." + std::to_string(Index + 1), Index);
  }

  void start(const std::string &Name, size_t Index,
             uint64_t Incarnation = 100) {
    Membership::Options Opts;
    Opts.Self = {Name};
    Opts.DataCentre = {"dc-" + std::to_string(Index % 2)};
    Opts.Incarnation = {Incarnation};
    Opts.Seed = Index + 1;
    Opts.Source = HostSource::Discovered;
    Opts.Duty = Index == 0 ? HostDuty::Control : HostDuty::Router;
    if (Index > 0)
      Opts.CallerAddress = Name + ":80";
    Members.insert_or_assign(Name, Membership(Opts));
    if (Name != "10.0.0.1")
      deliver(Name, SeedAdded{{"10.0.0.1"}});
    deliver(Name, LocalStanding{Standing::Serving});
  }

  void deliver(const std::string &Host, const MembershipEvent &Event) {
    std::deque<std::pair<std::string, MembershipEvent>> Queue{{Host, Event}};
    while (!Queue.empty()) {
      auto [To, NextEvent] = Queue.front();
      Queue.pop_front();
      auto Member = Members.find(To);
      if (Member == Members.end() || Down == To)
        continue;
      for (auto &Effect : Member->second.step(NextEvent, Now))
        if (auto *Send = std::get_if<MembershipSend>(&Effect)) {
          LeaveMarksSent += Send->Message.Leaves.size();
          Queue.emplace_back(Send->To.Value,
                             MembershipReceived{{To}, Send->Message});
        }
    }
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += 50ms)
      for (auto &[Name, Member] : Members)
        deliver(Name, MembershipTick{});
  }

  /// \returns the serving hosts with an address for callers, as \p Name sees
  /// them.
  size_t entriesAt(const std::string &Name) {
    size_t Count = 0;
    for (const HostState &Host : Members.at(Name).hosts(Now))
      Count +=
          Host.Standing == Standing::Serving && !Host.CallerAddress.empty();
    return Count;
  }

  std::map<std::string, Membership> Members;
  std::string Down;
  size_t LeaveMarksSent = 0;
  Timestamp Now{100s};
};

} // namespace

BOOST_AUTO_TEST_CASE(hosts_with_one_seed_find_all_others) {
  SeededHosts Hosts(6);
  Hosts.run(3s);
  for (const auto &[Name, Member] : Hosts.Members)
    BOOST_TEST(Hosts.entriesAt(Name) == 5U, Name);
}

BOOST_AUTO_TEST_CASE(others_are_found_while_the_seed_is_down) {
  SeededHosts Hosts(4);
  Hosts.run(3s);
  Hosts.Down = "10.0.0.1";
  Hosts.run(5s);
  // A host that starts now reaches nobody, because it knows only the seed that
  // is down. With a second seed it finds the others.
  Hosts.start("10.0.0.9", 3);
  Hosts.deliver("10.0.0.9", SeedAdded{{"10.0.0.2"}});
  Hosts.run(3s);
  BOOST_TEST(Hosts.entriesAt("10.0.0.9") == 4U);
  BOOST_TEST(Hosts.entriesAt("10.0.0.3") == 4U);
}

BOOST_AUTO_TEST_CASE(a_host_that_was_replaced_is_forgotten) {
  SeededHosts Hosts(4);
  Hosts.run(3s);
  Hosts.Down = "10.0.0.4";
  Hosts.run(Membership::SilentAfter + 1s);
  BOOST_TEST(Hosts.entriesAt("10.0.0.2") == 2U);
  BOOST_TEST(Hosts.Members.at("10.0.0.2").hosts(Hosts.Now).size() == 4U);
  Hosts.run(Membership::ForgetAfter + 1s);
  BOOST_TEST(Hosts.Members.at("10.0.0.2").hosts(Hosts.Now).size() == 3U);
  // The seed is never forgotten, because it may be the only host left to query.
  Hosts.Down = "10.0.0.1";
  Hosts.run(Membership::ForgetAfter + 5s);
  bool SeedKnown = false;
  for (const HostState &Host : Hosts.Members.at("10.0.0.2").hosts(Hosts.Now))
    SeedKnown |= Host.Id.Value == "10.0.0.1";
  BOOST_TEST(SeedKnown);
}

// A router has no disk and takes its incarnation from the clock. After the
// clock was set back, peers would ignore its heartbeats as those of an earlier
// incarnation.
BOOST_AUTO_TEST_CASE(a_host_whose_clock_was_set_back_raises_its_incarnation) {
  SeededHosts Hosts(4);
  Hosts.run(3s);
  Hosts.deliver("10.0.0.4", LocalStanding{Standing::Draining});
  Hosts.run(1s);
  BOOST_REQUIRE(Hosts.entriesAt("10.0.0.2") == 2U);
  Hosts.start("10.0.0.4", 3, 40);
  Hosts.run(2s);
  for (const char *Name : {"10.0.0.1", "10.0.0.2", "10.0.0.3"})
    BOOST_TEST(Hosts.entriesAt(Name) == 3U, Name);
}

BOOST_AUTO_TEST_CASE(introductions_out_of_range_change_nothing) {
  SeededHosts Hosts(2);
  Hosts.run(1s);
  wire::MembershipMessage Message;
  wire::MembershipAsk Ask;
  wire::HostFields Forged;
  Forged.Id = "10.0.0.7";
  Forged.DataCentre = "dc-0";
  Forged.Role = 9;
  Ask.__set_Asker(Forged);
  Message.__set_Ask(Ask);
  size_t HostsBefore = Hosts.Members.at("10.0.0.2").hosts(Hosts.Now).size();
  Hosts.deliver("10.0.0.2", MembershipReceived{{"10.0.0.7"}, Message});
  // A host may only introduce itself, not another one.
  Message.Ask.Asker.Role = 0;
  Hosts.deliver("10.0.0.2", MembershipReceived{{"10.0.0.8"}, Message});
  BOOST_TEST(Hosts.Members.at("10.0.0.2").hosts(Hosts.Now).size() ==
             HostsBefore);
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_without_its_incarnation_is_removed) {
  SeededHosts Hosts(3);
  Hosts.run(2s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Sequence = 1;
  Record.Address = "10.1.0.1:80";
  Record.Service = {"lm"};
  Record.Phase = TargetPhase::Ready;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1500ms);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).size() == 1U);
  TargetRecord Left;
  Left.Id = {"i-1"};
  Left.Phase = TargetPhase::Leaving;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Left});
  Hosts.run(100ms);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).empty());
  // A late announcement of the ended incarnation does not bring it back.
  Record.Sequence = 2;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1500ms);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).empty());
}

// Routers see in answers that a target leaves, long before its announcement
// says so or without one. All that use it see it at about the same time, so
// what each of them sends must not grow with the number of hosts.
BOOST_AUTO_TEST_CASE(a_leave_that_a_router_notices_reaches_all_hosts) {
  constexpr size_t HostCount = 30;
  SeededHosts Hosts(HostCount);
  Hosts.run(3s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Sequence = 1;
  Record.Address = "10.1.0.1:80";
  Record.Service = {"lm"};
  Record.Phase = TargetPhase::Ready;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(2s);
  for (const auto &[Name, Member] : Hosts.Members)
    BOOST_REQUIRE(Member.targets(Hosts.Now).size() == 1U);
  Hosts.LeaveMarksSent = 0;
  for (size_t Index = 2; Index <= HostCount / 2; ++Index)
    Hosts.deliver("10.0.0." + std::to_string(Index),
                  TargetLeaveNoticed{{"i-1"}, {77}});
  for (const auto &[Name, Member] : Hosts.Members)
    BOOST_TEST(Member.targets(Hosts.Now).empty(), Name);
  // The first router tells the control host, which tells the others.
  BOOST_TEST(Hosts.LeaveMarksSent < 2 * HostCount);
  // An announcement of the incarnation changes nothing, a restart does.
  Record.Sequence = 2;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(2s);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).empty());
  Record.Incarnation = {78};
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(2s);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_router_without_control_hosts_obeys_a_noticed_leave) {
  SeededHosts Hosts(3);
  Hosts.run(2s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Sequence = 1;
  Record.Address = "10.1.0.1:80";
  Record.Phase = TargetPhase::Ready;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(2s);
  Hosts.Down = "10.0.0.1";
  Hosts.deliver("10.0.0.2", TargetLeaveNoticed{{"i-1"}, {77}});
  BOOST_TEST(Hosts.Members.at("10.0.0.2").targets(Hosts.Now).empty());
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).size() == 1U);
}

// In a deployment that is too large for heartbeats of everything to everyone,
// targets still announce themselves to any control host, and the hosts of all
// data centres need what they announce.
BOOST_AUTO_TEST_CASE(a_target_is_known_in_all_data_centres_of_a_large_fleet) {
  constexpr size_t HostCount = 60;
  SeededHosts Hosts(HostCount);
  Hosts.run(5s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Address = "10.1.0.1:80";
  Record.Service = {"lm"};
  Record.Phase = TargetPhase::Ready;
  for (uint64_t Weights = 1; Weights <= 3; ++Weights) {
    Record.Weights = {Weights};
    for (int Announcement = 0; Announcement < 6; ++Announcement) {
      ++Record.Sequence;
      Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
      Hosts.run(500ms);
    }
    for (const auto &[Name, Member] : Hosts.Members) {
      auto Targets = Member.targets(Hosts.Now);
      BOOST_TEST_CONTEXT(Name << " weights " << Weights) {
        BOOST_TEST(Targets.size() == 1U);
        BOOST_TEST((!Targets.empty() && Targets[0].Weights.Value == Weights));
      }
    }
  }
}

// Finding review/7: hosts that restarted or missed the announcement of a leave
// took a late heartbeat for a new target.
BOOST_AUTO_TEST_CASE(a_recorded_leave_reaches_hosts_that_did_not_hear_of_it) {
  SeededHosts Hosts(4);
  Hosts.run(2s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Sequence = 1;
  Record.Address = "10.1.0.1:80";
  Record.Service = {"lm"};
  Record.Phase = TargetPhase::Ready;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1s);
  // A router that is cut off misses the leave, and so does one that restarts.
  Hosts.Down = "10.0.0.3";
  TargetRecord Left = Record;
  Left.Phase = TargetPhase::Leaving;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Left});
  Hosts.deliver("10.0.0.1", LeavesRecorded{{{{"i-1"}, {77}, 500}}});
  Hosts.Down.clear();
  Hosts.start("10.0.0.4", 3, 200);
  Hosts.run(1s);
  for (const auto &[Name, Member] : Hosts.Members) {
    BOOST_TEST(Member.recordedLeaves().hasLeft({"i-1"}, {77}), Name);
    BOOST_TEST(Member.targets(Hosts.Now).empty(), Name);
  }
  // The control host restarts, and its log has not been read yet.
  Hosts.start("10.0.0.1", 0, 200);
  Record.Sequence = 2;
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1s);
  for (const auto &[Name, Member] : Hosts.Members)
    BOOST_TEST(Member.targets(Hosts.Now).empty(), Name);
  Record.Incarnation = {78};
  Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1s);
  for (const auto &[Name, Member] : Hosts.Members)
    BOOST_TEST(Member.targets(Hosts.Now).size() == 1U, Name);
}

BOOST_AUTO_TEST_CASE(many_recorded_leaves_reach_a_restarted_host) {
  SeededHosts Hosts(3);
  Hosts.run(2s);
  std::vector<RecordedLeave> Leaves;
  for (uint64_t Number = 1; Number <= LeaveLedger::MaxLeaves; ++Number)
    Leaves.push_back({{"i-" + std::to_string(Number)}, {7}, Number});
  Hosts.deliver("10.0.0.1", LeavesRecorded{Leaves});
  Hosts.start("10.0.0.3", 2, 200);
  Hosts.run(1s);
  const LeaveLedger &Copy = Hosts.Members.at("10.0.0.3").recordedLeaves();
  BOOST_TEST(Copy.size() == LeaveLedger::MaxLeaves);
  BOOST_TEST(Copy.hasLeft({"i-1"}, {7}));
}

// A target whose incarnation no host knows cannot be recorded as left.
BOOST_AUTO_TEST_CASE(a_leave_of_an_unknown_target_has_no_incarnation) {
  SeededHosts Hosts(2);
  Hosts.run(1s);
  Membership &Control = Hosts.Members.at("10.0.0.1");
  TargetRecord Left;
  Left.Id = {"i-1"};
  Left.Phase = TargetPhase::Leaving;
  BOOST_TEST(!Control.leavingIncarnation(Left, Hosts.Now));
  Hosts.deliver("10.0.0.1", LeavesRecorded{{{{"i-1"}, {77}, 500}}});
  BOOST_TEST((Control.leavingIncarnation(Left, Hosts.Now) == Incarnation{77}));
}

// Finding review/8: a partition held the call of a target up by which it left,
// and the call ended the target's next start for good.
BOOST_AUTO_TEST_CASE(a_late_leave_does_not_end_the_next_start) {
  SeededHosts Hosts(3);
  Hosts.run(2s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Sequence = 1;
  Record.Address = "10.1.0.1:80";
  Record.Service = {"lm"};
  Record.Phase = TargetPhase::Ready;
  TargetRecord Left;
  Left.Id = {"i-1"};
  Left.Phase = TargetPhase::Leaving;
  auto Announce = [&](uint64_t Incarnation) {
    Record.Incarnation = {Incarnation};
    ++Record.Sequence;
    Hosts.deliver("10.0.0.1", TargetAnnounced{Record});
    Hosts.run(1s);
  };
  auto IsUsed = [&] {
    return Hosts.Members.at("10.0.0.3").targets(Hosts.Now).size() == 1U;
  };
  Announce(77);
  Hosts.deliver("10.0.0.1", TargetAnnounced{Left});
  Hosts.deliver("10.0.0.1", LeavesRecorded{{{{"i-1"}, {77}, 500}}});
  Hosts.run(1s);
  BOOST_TEST(!IsUsed());
  // Also at a control host that restarted meanwhile.
  for (uint64_t Life : {200, 300}) {
    Hosts.start("10.0.0.1", 0, Life);
    Hosts.run(1s);
    Announce(78);
    BOOST_TEST(IsUsed());
    Hosts.deliver("10.0.0.1", TargetAnnounced{Left});
    Hosts.run(100ms);
    BOOST_TEST(IsUsed());
    Announce(78);
    BOOST_TEST(IsUsed());
  }
  // A leave of its own.
  for (Timestamp End = Hosts.Now + Membership::LeaveDelay; Hosts.Now < End;)
    Announce(78);
  Hosts.deliver("10.0.0.1", TargetAnnounced{Left});
  Hosts.run(100ms);
  BOOST_TEST(!IsUsed());
}
