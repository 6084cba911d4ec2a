// Load patterns of fleets from 2 to 300 routers, each with a little work at
// many targets: what each router learns of the others, and what that costs.
#include "LibCore/Random.h"
#include "LibRouting/WorkExchange.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

/// Routers in virtual time. Messages arrive at once.
class Fleet {
public:
  explicit Fleet(size_t Count, size_t DataCentres = 6) {
    for (size_t Index = 0; Index < Count; ++Index)
      Live.push_back({{"r" + std::to_string(1000 + Index)},
                      {"dc" + std::to_string(Index % DataCentres)}});
    for (const WorkExchange::Router &Each : Live)
      Routers.emplace(Each.Id, State{WorkExchange(Each), {}, {}, {}, 0});
    publish();
  }

  void publish() {
    for (auto &[Id, Each] : Routers)
      Each.Exchange.setRouters(Live);
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += 10ms)
      for (auto &[Id, Each] : Routers) {
        if (Now < Each.SendAt || Down.count(Id) != 0)
          continue;
        Each.SendAt = Now + Each.Exchange.interval();
        for (auto &[To, Digest] : Each.Exchange.send(Each.Own, Now))
          deliver(Id, To, Digest);
        Each.Own.Parts.clear();
      }
  }

  void deliver(const HostId &From, const HostId &To, const WorkDigest &Digest) {
    ++stateOf(From).Messages;
    if (Down.count(To) != 0)
      return;
    ++stateOf(To).Messages;
    if (stateOf(To).Exchange.receive(From, Digest, Now))
      stateOf(To).Counted[From] = {Digest, Now + WorkExchange::DigestLifetime};
  }

  /// \returns the requests of all other routers that \p Id counts at a target.
  uint32_t countedAt(const HostId &Id, const TargetId &Target) {
    uint32_t Running = 0;
    for (const auto &[From, Entry] : stateOf(Id).Counted)
      if (Entry.second > Now)
        for (const TargetWork &Work : Entry.first.Work)
          Running += Work.Target == Target ? Work.Running : 0;
    return Running;
  }

  /// \returns whether \p Id has been told of the part \p Key.
  bool knowsPart(const HostId &Id, uint64_t Key) {
    for (const auto &[From, Entry] : stateOf(Id).Counted)
      for (const PartPlace &Part : Entry.first.Parts)
        if (Part.Key == Key)
          return true;
    return false;
  }

  struct State {
    WorkExchange Exchange;
    WorkDigest Own;
    std::map<HostId, std::pair<WorkDigest, Timestamp>> Counted;
    Timestamp SendAt;
    size_t Messages = 0;
  };
  State &stateOf(const HostId &Id) { return Routers.at(Id); }

  std::vector<WorkExchange::Router> Live;
  std::map<HostId, State> Routers;
  std::set<HostId> Down;
  Timestamp Now{100s};
};

} // namespace

static const TargetId Engine{"e1"};

static WorkDigest workOf(uint32_t Running) {
  WorkDigest Own;
  Own.Work = {{Engine, 20ms * Running, 5ms * Running, Running}};
  return Own;
}

BOOST_DATA_TEST_CASE(each_router_counts_the_work_of_all_others_once,
                     data::make({2, 9, 16, 17, 76, 300}), Count) {
  Fleet Hosts(static_cast<size_t>(Count));
  uint32_t Total = 0;
  uint32_t Next = 1;
  for (auto &[Id, Each] : Hosts.Routers) {
    Each.Own = workOf(Next % 7 + 1);
    Total += Next++ % 7 + 1;
  }
  Hosts.run(3s);
  for (auto &[Id, Each] : Hosts.Routers)
    BOOST_TEST(Hosts.countedAt(Id, Engine) == Total - Each.Own.Work[0].Running);
  // Work that has ended is forgotten everywhere.
  for (auto &[Id, Each] : Hosts.Routers)
    Each.Own = {};
  Hosts.run(3s);
  for (auto &[Id, Each] : Hosts.Routers)
    BOOST_TEST(Hosts.countedAt(Id, Engine) == 0U);
}

BOOST_DATA_TEST_CASE(a_part_becomes_known_to_all, data::make({9, 76, 300}),
                     Count) {
  Fleet Hosts(static_cast<size_t>(Count));
  for (auto &[Id, Each] : Hosts.Routers)
    Each.Own = workOf(1);
  Hosts.run(1s);
  WorkDigest &Own = Hosts.Routers.begin()->second.Own;
  Own.Parts.push_back({Engine, 42, 5000, PartState::Read});
  size_t Knowing = 0;
  std::set<HostId> Known;
  for (int Step = 0; Step < 50; ++Step) {
    Hosts.run(10ms);
    for (auto &[Id, Each] : Hosts.Routers)
      if (Hosts.knowsPart(Id, 42))
        Known.insert(Id);
  }
  Known.insert(Hosts.Routers.begin()->first);
  Knowing = Known.size();
  BOOST_TEST(Knowing == Hosts.Routers.size());
}

// What a router sends and receives must not grow with the fleet, and what its
// relay does only slowly.
BOOST_AUTO_TEST_CASE(messages_do_not_grow_with_the_fleet) {
  auto MessagesPerSecond = [](size_t Count) {
    Fleet Hosts(Count);
    for (auto &[Id, Each] : Hosts.Routers)
      Each.Own = workOf(2);
    Hosts.run(1s);
    size_t Most = 0;
    size_t Sum = 0;
    for (auto &[Id, Each] : Hosts.Routers)
      Each.Messages = 0;
    for (int Second = 0; Second < 5; ++Second) {
      // All routers have changed work in each interval.
      for (int Step = 0; Step < 20; ++Step) {
        for (auto &[Id, Each] : Hosts.Routers)
          Each.Own = workOf(static_cast<uint32_t>(2 + (Step + Second) % 3));
        Hosts.run(50ms);
      }
    }
    for (auto &[Id, Each] : Hosts.Routers) {
      Most = std::max(Most, Each.Messages / 5);
      Sum += Each.Messages / 5;
    }
    return std::pair{Most, Sum / Count};
  };
  auto [MostOf30, MeanOf30] = MessagesPerSecond(30);
  auto [MostOf300, MeanOf300] = MessagesPerSecond(300);
  BOOST_TEST(MeanOf300 <= 60U);
  BOOST_TEST(MostOf300 <= 600U);
  BOOST_TEST(double(MeanOf300) <= 2 * double(MeanOf30));
  BOOST_TEST(double(MostOf300) <= 10 * double(MostOf30));
}

BOOST_AUTO_TEST_CASE(a_group_goes_on_with_another_relay) {
  Fleet Hosts(76);
  for (auto &[Id, Each] : Hosts.Routers)
    Each.Own = workOf(1);
  Hosts.run(2s);
  HostId Relay = Hosts.Live.front().Id;
  Hosts.Down.insert(Relay);
  Hosts.run(2s);
  // Other groups are still counted by all others.
  HostId Elsewhere = Hosts.Live[1].Id;
  BOOST_TEST(Hosts.countedAt(Elsewhere, Engine) >= 50U);
  // Membership calls the relay silent.
  Hosts.Live.erase(Hosts.Live.begin());
  Hosts.publish();
  Hosts.run(3s);
  for (const WorkExchange::Router &Each : Hosts.Live)
    BOOST_TEST(Hosts.countedAt(Each.Id, Engine) == 74U);
}

// Hosts see each other start and end at different times. Whatever they believe
// of the groups, work is never counted more and more.
BOOST_AUTO_TEST_CASE(views_that_differ_count_no_work_for_ever) {
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    RandomGenerator Random(Seed);
    Fleet Hosts(40, 2);
    for (auto &[Id, Each] : Hosts.Routers)
      Each.Own = workOf(1);
    for (int Round = 0; Round < 20; ++Round) {
      for (auto &[Id, Each] : Hosts.Routers) {
        std::vector<WorkExchange::Router> Seen;
        for (const WorkExchange::Router &Other : Hosts.Live)
          if (randomBelow(Random, 10) != 0)
            Seen.push_back(Other);
        Each.Exchange.setRouters(Seen);
      }
      Hosts.run(300ms);
      for (auto &[Id, Each] : Hosts.Routers)
        BOOST_TEST(Hosts.countedAt(Id, Engine) <= 6 * 40U, "seed " << Seed);
    }
    Hosts.publish();
    Hosts.run(3s);
    for (auto &[Id, Each] : Hosts.Routers)
      BOOST_TEST(Hosts.countedAt(Id, Engine) == 39U, "seed " << Seed);
  }
}

BOOST_DATA_TEST_CASE(each_router_is_in_one_group,
                     data::make({1, 2, 17, 76, 300, 1000}), Count) {
  Fleet Hosts(static_cast<size_t>(Count));
  std::set<HostId> Grouped;
  for (const auto &Group : WorkExchange::groupsOf(Hosts.Live)) {
    BOOST_TEST(!Group.empty());
    BOOST_TEST(Group.size() <= WorkExchange::MaxGroupRouters);
    for (const HostId &Router : Group)
      BOOST_TEST(Grouped.insert(Router).second);
  }
  BOOST_TEST(Grouped.size() == Hosts.Live.size());
  // A message to any router of a group reaches the others of it.
  if (static_cast<size_t>(Count) > WorkExchange::MaxDirectRouters)
    for (const auto &Group : WorkExchange::groupsOf(Hosts.Live))
      for (const HostId &Router : Group)
        BOOST_TEST(Hosts.stateOf(Router).Exchange.groupPeers().size() ==
                   Group.size() - 1);
}
