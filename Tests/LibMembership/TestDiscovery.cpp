// Hosts that find each other from seeds.
#include "LibMembership/Membership.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace ferry;
using namespace ferry::membership;
using namespace std::chrono_literals;

namespace {

/// Hosts that know one seed; messages arrive at once, or not at all.
class SeededHosts {
public:
  explicit SeededHosts(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index)
      start("10.0.0." + std::to_string(Index + 1), Index);
  }

  void start(const std::string &Name, size_t Index, uint64_t Life = 100) {
    Membership::Options Given;
    Given.Self = {Name};
    Given.DataCentre = {"dc-" + std::to_string(Index % 2)};
    Given.Incarnation = {Life};
    Given.Seed = Index + 1;
    Given.Source = HostSource::Discovered;
    Given.Duty = Index == 0 ? HostDuty::Control : HostDuty::Router;
    if (Index > 0)
      Given.CallerAddress = Name + ":80";
    Members.insert_or_assign(Name, Membership(Given));
    if (Name != "10.0.0.1")
      give(Name, SeedGiven{{"10.0.0.1"}});
    give(Name, LocalStanding{Standing::Serving});
  }

  void give(const std::string &Host, const MembershipEvent &Event) {
    std::deque<std::pair<std::string, MembershipEvent>> Queue{{Host, Event}};
    while (!Queue.empty()) {
      auto [To, Next] = Queue.front();
      Queue.pop_front();
      auto Member = Members.find(To);
      if (Member == Members.end() || Down == To)
        continue;
      for (auto &Effect : Member->second.step(Next, Now))
        if (auto *Send = std::get_if<MembershipSend>(&Effect))
          Queue.emplace_back(Send->To.Value,
                             MembershipReceived{{To}, Send->Message});
    }
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += 50ms)
      for (auto &[Name, Member] : Members)
        give(Name, MembershipTick{});
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
  // A host that starts now reaches nobody: the seed is all that it knows. Once
  // another host asks it, it learns the rest.
  Hosts.start("10.0.0.9", 3);
  Hosts.give("10.0.0.9", SeedGiven{{"10.0.0.2"}});
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
  // The seed is never forgotten: it may be all that is left.
  Hosts.Down = "10.0.0.1";
  Hosts.run(Membership::ForgetAfter + 5s);
  bool Known = false;
  for (const HostState &Host : Hosts.Members.at("10.0.0.2").hosts(Hosts.Now))
    Known |= Host.Id.Value == "10.0.0.1";
  BOOST_TEST(Known);
}

// A router keeps no disk and takes its life from the clock.
BOOST_AUTO_TEST_CASE(a_host_whose_clock_was_set_back_is_heard_at_once) {
  SeededHosts Hosts(4);
  Hosts.run(3s);
  Hosts.give("10.0.0.4", LocalStanding{Standing::Draining});
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
  size_t Before = Hosts.Members.at("10.0.0.2").hosts(Hosts.Now).size();
  Hosts.give("10.0.0.2", MembershipReceived{{"10.0.0.7"}, Message});
  // A host may introduce itself only.
  Message.Ask.Asker.Role = 0;
  Hosts.give("10.0.0.2", MembershipReceived{{"10.0.0.8"}, Message});
  BOOST_TEST(Hosts.Members.at("10.0.0.2").hosts(Hosts.Now).size() == Before);
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_without_its_life_is_gone) {
  SeededHosts Hosts(3);
  Hosts.run(2s);
  TargetRecord Record;
  Record.Id = {"i-1"};
  Record.Incarnation = {77};
  Record.Sequence = 1;
  Record.Address = "10.1.0.1:80";
  Record.Service = {"lm"};
  Record.Phase = TargetPhase::Ready;
  Hosts.give("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1500ms);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).size() == 1U);
  TargetRecord Left;
  Left.Id = {"i-1"};
  Left.Phase = TargetPhase::Leaving;
  Hosts.give("10.0.0.1", TargetAnnounced{Left});
  Hosts.run(100ms);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).empty());
  // A late announcement of that life brings it not back.
  Record.Sequence = 2;
  Hosts.give("10.0.0.1", TargetAnnounced{Record});
  Hosts.run(1500ms);
  BOOST_TEST(Hosts.Members.at("10.0.0.3").targets(Hosts.Now).empty());
}
