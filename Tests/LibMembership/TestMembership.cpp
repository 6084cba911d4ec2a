#include "LibCore/Random.h"
#include "LibMembership/Membership.h"
#include "LibWire/Codec.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace ferry;
using namespace ferry::membership;
using namespace std::chrono_literals;

namespace {

/// Two or more hosts on a network without loss; messages arrive at once.
class Hosts {
public:
  explicit Hosts(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index)
      start(Index, 1);
  }

  void start(size_t Index, uint64_t Incarnation) {
    Membership::Options Given;
    Given.Self = {"r" + std::to_string(Index)};
    Given.DataCentre = {"centro-a"};
    Given.Incarnation = {Incarnation};
    Given.Seed = Index + 10 * Incarnation;
    for (size_t Other = 0; Other < 3; ++Other)
      Given.Peers.push_back({{"r" + std::to_string(Other)}, {"centro-a"}});
    Members.insert_or_assign("r" + std::to_string(Index), Membership(Given));
  }

  Membership &operator[](size_t Index) {
    return Members.at("r" + std::to_string(Index));
  }

  void give(const std::string &Host, const MembershipEvent &Event) {
    std::deque<std::pair<std::string, MembershipEvent>> Queue{{Host, Event}};
    while (!Queue.empty()) {
      auto [To, Next] = Queue.front();
      Queue.pop_front();
      auto Member = Members.find(To);
      if (Member == Members.end() || Cut.contains(To))
        continue;
      for (auto &Effect : Member->second.step(Next, Now)) {
        if (auto *Send = std::get_if<MembershipSend>(&Effect))
          Sent.push_back(Send->Message);
        if (auto *Send = std::get_if<MembershipSend>(&Effect))
          Queue.emplace_back(Send->To.Value,
                             MembershipReceived{{To}, Send->Message});
        if (auto *Refused = std::get_if<AnnouncementRefused>(&Effect))
          Refusals.push_back(*Refused);
        if (auto *Newer = std::get_if<NewerDescriptionSeen>(&Effect))
          Newest = std::max(Newest, Newer->Number);
      }
    }
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += 50ms)
      for (auto &[Name, Member] : Members)
        give(Name, MembershipTick{});
  }

  std::map<std::string, Membership> Members;
  std::set<std::string> Cut;
  std::vector<wire::MembershipMessage> Sent;
  std::vector<AnnouncementRefused> Refusals;
  DescriptionNumber Newest;
  Timestamp Now{50s};
};

} // namespace

static TargetRecord engine(uint64_t Incarnation, uint64_t Sequence) {
  TargetRecord Record;
  Record.Id = {"asistente-lm-1"};
  Record.Incarnation = {Incarnation};
  Record.Sequence = Sequence;
  Record.Address = "127.0.0.50:9000";
  Record.Phase = TargetPhase::Ready;
  return Record;
}

static TargetRecord leaving(uint64_t Incarnation, uint64_t Sequence) {
  TargetRecord Record = engine(Incarnation, Sequence);
  Record.Phase = TargetPhase::Leaving;
  return Record;
}

BOOST_AUTO_TEST_CASE(an_announced_target_reaches_all_hosts_at_once) {
  Hosts World(3);
  World.give("r0", TargetAnnounced{engine(1, 1)});
  World.run(700ms);
  for (size_t Host : {0, 1, 2}) {
    auto Targets = World[Host].targets(World.Now);
    BOOST_REQUIRE(Targets.size() == 1u);
    BOOST_TEST(Targets.front().Address == "127.0.0.50:9000");
    BOOST_TEST((Targets.front().UsableUntil <= Timestamp(53s)));
  }
}

BOOST_AUTO_TEST_CASE(a_silent_target_is_used_by_nobody_after_its_trust) {
  Hosts World(3);
  uint64_t Sequence = 0;
  for (int Round = 0; Round < 8; ++Round) {
    World.give("r0", TargetAnnounced{engine(1, ++Sequence)});
    World.run(500ms);
    for (size_t Host : {0, 1, 2})
      BOOST_TEST(World[Host].targets(World.Now).size() == 1u);
  }
  Timestamp LastAnnounced = World.Now - 500ms;
  while (World.Now < LastAnnounced + 10s) {
    for (size_t Host : {0, 1, 2})
      for (const TargetRecord &Record : World[Host].targets(World.Now))
        BOOST_TEST((Record.UsableUntil <= LastAnnounced + 3s));
    World.run(50ms);
  }
  BOOST_TEST(World[1].targets(World.Now).empty());
  // It was only cut off: its announcements count again.
  World.give("r1", TargetAnnounced{engine(1, ++Sequence)});
  World.run(700ms);
  BOOST_TEST(World[2].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_leaving_target_is_gone_at_once_and_for_good) {
  Hosts World(3);
  World.give("r0", TargetAnnounced{engine(1, 1)});
  World.run(700ms);
  World.give("r1", TargetAnnounced{leaving(1, 2)});
  for (size_t Host : {0, 1, 2})
    BOOST_TEST(World[Host].targets(World.Now).empty());
  World.give("r2", TargetAnnounced{engine(1, 3)});
  BOOST_TEST(World.Refusals.size() == 1u);
  World.run(2s);
  BOOST_TEST(World[0].targets(World.Now).empty());
  World.give("r2", TargetAnnounced{engine(2, 1)});
  World.run(700ms);
  BOOST_TEST(World[0].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_dead_incarnation_never_returns) {
  Hosts World(3);
  World.give("r0", TargetAnnounced{engine(5, 9)});
  World.run(700ms);
  World.give("r1", TargetAnnounced{engine(6, 1)});
  World.run(700ms);
  World.give("r2", TargetAnnounced{engine(5, 10)});
  BOOST_REQUIRE(World.Refusals.size() == 1u);
  BOOST_TEST(World.Refusals.front().Greatest.Value == 6u);
  for (size_t Host : {0, 1, 2})
    BOOST_TEST(World[Host].targets(World.Now).front().Incarnation.Value == 6u);
  // Long after the record went, its life is still remembered.
  World.run(1min);
  World.give("r2", TargetAnnounced{engine(5, 11)});
  BOOST_TEST(World.Refusals.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_restarted_host_knows_all_targets_within_a_second) {
  Hosts World(3);
  uint64_t Sequence = 0;
  for (int Round = 0; Round < 4; ++Round) {
    World.give("r0", TargetAnnounced{engine(1, ++Sequence)});
    World.run(500ms);
  }
  World.start(2, 2);
  World.give("r0", TargetAnnounced{engine(1, ++Sequence)});
  World.run(500ms);
  World.give("r0", TargetAnnounced{engine(1, ++Sequence)});
  World.run(400ms);
  BOOST_TEST(World[2].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(announcements_from_the_buffers_of_a_frozen_host_wait) {
  Hosts World(1);
  World.give("r0", TargetAnnounced{engine(1, 1)});
  World.run(200ms);
  World.Now += 1h;
  World.give("r0", TargetAnnounced{engine(1, 2)});
  BOOST_TEST(World[0].targets(World.Now).empty());
  World.run(600ms);
  World.give("r0", TargetAnnounced{engine(1, 3)});
  BOOST_TEST(World[0].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(standing_and_number_reach_all_hosts) {
  Hosts World(3);
  World.give("r0", LocalStanding{Standing::Serving});
  World.give("r0", DescriptionApplied{{4}});
  World.run(700ms);
  auto Seen = World[1].hosts(World.Now);
  BOOST_TEST((Seen.front().Id == HostId{"r1"}));
  auto First = std::find_if(Seen.begin(), Seen.end(), [](const HostState &H) {
    return H.Id.Value == "r0";
  });
  BOOST_TEST((First->Standing == Standing::Serving));
  BOOST_TEST(World.Newest.Value == 4u);
  BOOST_TEST(World[1].hostsInForce({4}) == 1u);
  World.Cut.insert("r0");
  World.run(4s);
  Seen = World[1].hosts(World.Now);
  First = std::find_if(Seen.begin(), Seen.end(),
                       [](const HostState &H) { return H.Id.Value == "r0"; });
  BOOST_TEST((First->Standing == Standing::Silent));
}

BOOST_AUTO_TEST_CASE(damaged_messages_never_crash_a_host) {
  Hosts World(3);
  World.give("r0", TargetAnnounced{engine(1, 1)});
  World.run(2s);
  World.give("r0", TargetAnnounced{leaving(1, 2)});
  World.run(1s);
  std::vector<std::string> Seeds;
  for (const wire::MembershipMessage &Message : World.Sent)
    Seeds.push_back(wire::encode(Message));
  RandomGenerator Random(20261203);
  size_t Taken = 0;
  for (int Round = 0; Round < 30'000; ++Round) {
    std::string Bytes = Seeds[randomBelow(Random, Seeds.size())];
    for (uint64_t Flip = 0; Flip <= randomBelow(Random, 3); ++Flip)
      Bytes[randomBelow(Random, Bytes.size())] = static_cast<char>(Random());
    auto Decoded = wire::tryDecode<wire::MembershipMessage>(Bytes);
    if (!Decoded)
      continue;
    ++Taken;
    World.Now += 100ms;
    HostId From{"r0"};
    for (auto &Effect : World[1].step(MembershipTick{}, World.Now)) {
      // The damaged reply answers the newest question.
      auto *Send = std::get_if<MembershipSend>(&Effect);
      if (Send == nullptr || !Send->Message.__isset.Ask)
        continue;
      Decoded->Reply.AskNumber = Send->Message.Ask.AskNumber;
      From = Send->To;
    }
    World[1].step(MembershipReceived{From, *Decoded}, World.Now);
    static_cast<void>(World[1].targets(World.Now));
    static_cast<void>(World[1].hosts(World.Now));
  }
  BOOST_TEST(Taken > 1000u);
}
