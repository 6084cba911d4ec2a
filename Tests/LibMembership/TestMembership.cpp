// Targets must be known to all hosts soon, and must not be used after they fell
// silent, left or were restarted. Each case runs one such sequence on a network
// without loss; the last one feeds damaged messages to a host.
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
    Membership::Options Opts;
    Opts.Self = {"r" + std::to_string(Index)};
    Opts.DataCentre = {"centro-a"};
    Opts.Incarnation = {Incarnation};
    Opts.Seed = Index + 10 * Incarnation;
    for (size_t Other = 0; Other < 3; ++Other)
      Opts.Peers.push_back({{"r" + std::to_string(Other)}, {"centro-a"}});
    Members.insert_or_assign("r" + std::to_string(Index), Membership(Opts));
  }

  Membership &operator[](size_t Index) {
    return Members.at("r" + std::to_string(Index));
  }

  void deliver(const std::string &Host, const MembershipEvent &Event) {
    std::deque<std::pair<std::string, MembershipEvent>> Queue{{Host, Event}};
    while (!Queue.empty()) {
      auto [To, NextEvent] = Queue.front();
      Queue.pop_front();
      auto Member = Members.find(To);
      if (Member == Members.end() || Isolated.contains(To))
        continue;
      for (auto &Effect : Member->second.step(NextEvent, Now)) {
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
        deliver(Name, MembershipTick{});
  }

  std::map<std::string, Membership> Members;
  std::set<std::string> Isolated;
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

BOOST_AUTO_TEST_CASE(an_announced_target_reaches_all_hosts_within_700_ms) {
  Hosts World(3);
  World.deliver("r0", TargetAnnounced{engine(1, 1)});
  World.run(700ms);
  for (size_t Host : {0, 1, 2}) {
    auto Targets = World[Host].targets(World.Now);
    BOOST_REQUIRE(Targets.size() == 1u);
    BOOST_TEST(Targets.front().Address == "127.0.0.50:9000");
    BOOST_TEST((Targets.front().UsableUntil <= Timestamp(53s)));
  }
}

BOOST_AUTO_TEST_CASE(a_silent_target_is_not_used_after_its_trust_ends) {
  Hosts World(3);
  uint64_t Sequence = 0;
  for (int Round = 0; Round < 8; ++Round) {
    World.deliver("r0", TargetAnnounced{engine(1, ++Sequence)});
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
  // The target was only unreachable: its announcements count again.
  World.deliver("r1", TargetAnnounced{engine(1, ++Sequence)});
  World.run(700ms);
  BOOST_TEST(World[2].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(
    a_target_that_leaves_is_removed_at_once_and_never_returns) {
  Hosts World(3);
  World.deliver("r0", TargetAnnounced{engine(1, 1)});
  World.run(700ms);
  World.deliver("r1", TargetAnnounced{leaving(1, 2)});
  for (size_t Host : {0, 1, 2})
    BOOST_TEST(World[Host].targets(World.Now).empty());
  World.deliver("r2", TargetAnnounced{engine(1, 3)});
  BOOST_TEST(World.Refusals.size() == 1u);
  World.run(2s);
  BOOST_TEST(World[0].targets(World.Now).empty());
  World.deliver("r2", TargetAnnounced{engine(2, 1)});
  World.run(700ms);
  BOOST_TEST(World[0].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(an_ended_incarnation_never_returns) {
  Hosts World(3);
  World.deliver("r0", TargetAnnounced{engine(5, 9)});
  World.run(700ms);
  World.deliver("r1", TargetAnnounced{engine(6, 1)});
  World.run(700ms);
  World.deliver("r2", TargetAnnounced{engine(5, 10)});
  BOOST_REQUIRE(World.Refusals.size() == 1u);
  BOOST_TEST(World.Refusals.front().Greatest.Value == 6u);
  for (size_t Host : {0, 1, 2})
    BOOST_TEST(World[Host].targets(World.Now).front().Incarnation.Value == 6u);
  // The incarnation is remembered long after its record was removed.
  World.run(1min);
  World.deliver("r2", TargetAnnounced{engine(5, 11)});
  BOOST_TEST(World.Refusals.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_restarted_host_knows_all_targets_within_a_second) {
  Hosts World(3);
  uint64_t Sequence = 0;
  for (int Round = 0; Round < 4; ++Round) {
    World.deliver("r0", TargetAnnounced{engine(1, ++Sequence)});
    World.run(500ms);
  }
  World.start(2, 2);
  World.deliver("r0", TargetAnnounced{engine(1, ++Sequence)});
  World.run(500ms);
  World.deliver("r0", TargetAnnounced{engine(1, ++Sequence)});
  World.run(400ms);
  BOOST_TEST(World[2].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(buffered_announcements_of_a_frozen_host_extend_no_trust) {
  Hosts World(1);
  World.deliver("r0", TargetAnnounced{engine(1, 1)});
  World.run(200ms);
  World.Now += 1h;
  World.deliver("r0", TargetAnnounced{engine(1, 2)});
  BOOST_TEST(World[0].targets(World.Now).empty());
  World.run(600ms);
  World.deliver("r0", TargetAnnounced{engine(1, 3)});
  BOOST_TEST(World[0].targets(World.Now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(standing_and_number_reach_all_hosts) {
  Hosts World(3);
  World.deliver("r0", LocalStanding{Standing::Serving});
  World.deliver("r0", DescriptionApplied{{4}});
  World.run(700ms);
  auto States = World[1].hosts(World.Now);
  BOOST_TEST((States.front().Id == HostId{"r1"}));
  auto State =
      std::find_if(States.begin(), States.end(),
                   [](const HostState &H) { return H.Id.Value == "r0"; });
  BOOST_TEST((State->Standing == Standing::Serving));
  BOOST_TEST(World.Newest.Value == 4u);
  BOOST_TEST(World[1].hostsInForce({4}) == 1u);
  World.Isolated.insert("r0");
  World.run(4s);
  States = World[1].hosts(World.Now);
  State = std::find_if(States.begin(), States.end(),
                       [](const HostState &H) { return H.Id.Value == "r0"; });
  BOOST_TEST((State->Standing == Standing::Silent));
}

// Load pattern: a router stands still for 1 to 3 s, as in a pause of its
// machine. The others must keep the targets that it announces, and count it as
// serving again with its first heartbeat.
BOOST_AUTO_TEST_CASE(a_host_that_was_silent_for_a_while_is_not_replaced) {
  for (Duration Length : {1000ms, 2000ms, 3000ms}) {
    Hosts World(3);
    World.deliver("r0", LocalStanding{Standing::Serving});
    World.deliver("r0", TargetAnnounced{engine(1, 1)});
    World.run(700ms);
    World.deliver("r0", TargetAnnounced{engine(1, 2)});
    World.run(100ms);
    auto StandingOfFirst = [&] {
      auto States = World[1].hosts(World.Now);
      auto State =
          std::find_if(States.begin(), States.end(), [](const HostState &Each) {
            return Each.Id.Value == "r0";
          });
      BOOST_REQUIRE((State != States.end()));
      return State->Standing;
    };
    BOOST_TEST((StandingOfFirst() == Standing::Serving));
    World.Isolated.insert("r0");
    World.run(Length - 500ms);
    BOOST_TEST((StandingOfFirst() == Standing::Serving));
    // Its targets announce themselves to another host meanwhile.
    World.deliver("r1", TargetAnnounced{engine(1, 3)});
    World.run(500ms);
    World.Isolated.erase("r0");
    World.run(700ms);
    BOOST_TEST((StandingOfFirst() == Standing::Serving));
    for (size_t Host : {0, 1, 2})
      BOOST_TEST(World[Host].targets(World.Now).size() == 1u);
  }
}

BOOST_AUTO_TEST_CASE(damaged_messages_do_not_crash_a_host) {
  Hosts World(3);
  World.deliver("r0", TargetAnnounced{engine(1, 1)});
  World.run(2s);
  World.deliver("r0", TargetAnnounced{leaving(1, 2)});
  World.run(1s);
  std::vector<std::string> Seeds;
  for (const wire::MembershipMessage &Message : World.Sent)
    Seeds.push_back(wire::encode(Message));
  RandomGenerator Random(20261203);
  size_t DecodedCount = 0;
  for (int Round = 0; Round < 30'000; ++Round) {
    std::string Bytes = Seeds[randomBelow(Random, Seeds.size())];
    for (uint64_t Flip = 0; Flip <= randomBelow(Random, 3); ++Flip)
      Bytes[randomBelow(Random, Bytes.size())] = static_cast<char>(Random());
    auto Decoded = wire::tryDecode<wire::MembershipMessage>(Bytes);
    if (!Decoded)
      continue;
    ++DecodedCount;
    World.Now += 100ms;
    HostId From{"r0"};
    for (auto &Effect : World[1].step(MembershipTick{}, World.Now)) {
      // The damaged reply must answer a pending query to be read.
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
  BOOST_TEST(DecodedCount > 1000u);
}
