// The build that began a stream must be found at any router after the one that
// relayed it has ended, and never be another.
#include "LibCore/Random.h"
#include "LibRouting/StreamBuilds.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

namespace {

constexpr Timestamp Start{1000s};

std::vector<HostId> hosts(size_t Count) {
  std::vector<HostId> Hosts;
  for (size_t Index = 0; Index < Count; ++Index)
    Hosts.push_back({"10.0.0." + std::to_string(Index)});
  return Hosts;
}

std::vector<HostId> without(std::vector<HostId> Hosts, const HostId &Left) {
  std::erase(Hosts, Left);
  return Hosts;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_key_tells_workspaces_and_requests_apart) {
  std::set<StreamKey> Keys = {
      streamKey({"t1"}, {"r1"}), streamKey({"t1"}, {"r2"}),
      streamKey({"t2"}, {"r1"}), streamKey({"t1r"}, {"1"}),
      streamKey({}, {"t1r1"})};
  BOOST_TEST(Keys.size() == 5U);
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_build_goes_on_only_without_a_choice) {
  const std::optional<BuildId> None;
  const BuildId V1{"v1"};
  const BuildId V2{"v2"};
  const BuildId Unannounced;
  for (bool NamesRequest : {false, true}) {
    BOOST_TEST((buildToContinue(V1, V2, NamesRequest) == V1));
    BOOST_TEST((buildToContinue(V1, None, NamesRequest) == V1));
    BOOST_TEST((buildToContinue(None, None, NamesRequest) == None));
    BOOST_TEST((buildToContinue(None, Unannounced, NamesRequest) ==
                std::optional(Unannounced)));
  }
  BOOST_TEST((buildToContinue(None, V1, /*NamesRequest=*/false) == V1));
  BOOST_TEST((buildToContinue(None, V1, /*NamesRequest=*/true) == None));
}

BOOST_AUTO_TEST_CASE(a_stream_is_known_until_it_expires) {
  StreamBuilds Builds;
  Builds.note({{7}, {"v1"}, Start + 5s}, Start);
  BOOST_TEST((Builds.find({7}, Start + 4s) == BuildId{"v1"}));
  BOOST_TEST(!Builds.find({7}, Start + 5s));
  BOOST_TEST(!Builds.find({8}, Start));
  // A stream that is taken up lives on.
  Builds.note({{7}, {"v1"}, Start + 9s}, Start + 4s);
  BOOST_TEST(Builds.find({7}, Start + 8s).has_value());
  // No sender can make an entry last for ever.
  Builds.note({{9}, {"v1"}, Start + 24h}, Start);
  BOOST_TEST(!Builds.find({9}, Start + StreamBuilds::MaxLifetime));
}

// The load of a large fleet: streams begin without a pause, few are taken up.
BOOST_AUTO_TEST_CASE(the_number_of_remembered_streams_is_bounded) {
  StreamBuilds Builds;
  for (uint64_t Key = 1; Key <= 2 * StreamBuilds::MaxStreams; ++Key)
    Builds.note({{Key}, {"v1"}, Start + 1min}, Start);
  BOOST_TEST(Builds.size() == StreamBuilds::MaxStreams);
  BOOST_TEST(!Builds.find({1}, Start));
  BOOST_TEST(Builds.find({2 * StreamBuilds::MaxStreams}, Start).has_value());
  // Expired entries make room by themselves.
  Builds.note({{1}, {"v1"}, Start + 3min}, Start + 2min);
  BOOST_TEST(Builds.size() == 1U);
}

// Three of nine routers end at once, the one that relays the stream among them;
// the router that is asked does not know yet that they have ended.
BOOST_AUTO_TEST_CASE(a_stream_is_found_after_its_router_has_ended) {
  RandomGenerator Random(27);
  std::vector<HostId> All = hosts(9);
  size_t Streams = 2000;
  size_t Found = 0;
  for (size_t Count = 0; Count < Streams; ++Count) {
    StreamKey Key{Random()};
    std::vector<HostId> Shuffled = All;
    for (size_t Index = Shuffled.size() - 1; Index > 0; --Index)
      std::swap(Shuffled[Index], Shuffled[randomBelow(Random, Index + 1)]);
    std::set<HostId> Ended(Shuffled.begin(), Shuffled.begin() + 3);
    std::vector<HostId> Holders = StreamLookups::holders(
        Key, without(All, Shuffled[0]), StreamLookups::HoldersPerStream);
    BOOST_REQUIRE(Holders.size() == StreamLookups::HoldersPerStream);
    const HostId &Asker = Shuffled[8];
    StreamLookups Lookups;
    auto Question = Lookups.ask(Key, without(All, Asker), Start + 150ms);
    bool Known =
        std::find(Holders.begin(), Holders.end(), Asker) != Holders.end();
    for (const HostId &Asked : Question.Hosts) {
      if (Ended.contains(Asked))
        continue;
      bool Holds =
          std::find(Holders.begin(), Holders.end(), Asked) != Holders.end();
      auto End =
          Lookups.answer(Question.Number, Asked,
                         Holds ? std::optional(BuildId{"v1"}) : std::nullopt);
      Known = Known || (End && End->Build);
    }
    Found += Known ? 1 : 0;
  }
  // Both holders end with the router in 2/8 * 1/7 of the cases, 3.6%.
  BOOST_TEST(Found > Streams * 95 / 100);
}

BOOST_AUTO_TEST_CASE(a_question_ends_once) {
  StreamLookups Lookups;
  auto Question = Lookups.ask({7}, hosts(3), Start + 150ms);
  BOOST_REQUIRE(Question.Hosts.size() == 3U);
  BOOST_TEST(!Lookups.answer(Question.Number, {"10.0.0.9"}, BuildId{"v2"}));
  BOOST_TEST(!Lookups.answer(Question.Number, Question.Hosts[0], std::nullopt));
  BOOST_TEST(!Lookups.answer(Question.Number, Question.Hosts[0], std::nullopt));
  auto End = Lookups.answer(Question.Number, Question.Hosts[1], BuildId{"v1"});
  BOOST_REQUIRE(End);
  BOOST_TEST((End->Build == BuildId{"v1"}));
  BOOST_TEST(!Lookups.answer(Question.Number, Question.Hosts[2], std::nullopt));
  BOOST_TEST(Lookups.expire(Start + 1min).empty());
  // Routers that have ended answer nothing.
  auto Silent = Lookups.ask({8}, hosts(3), Start + 150ms);
  BOOST_TEST(Lookups.expire(Start + 149ms).empty());
  auto Expired = Lookups.expire(Start + 150ms);
  BOOST_REQUIRE(Expired.size() == 1U);
  BOOST_TEST(Expired[0].Number == Silent.Number);
  BOOST_TEST(!Expired[0].Build);
  BOOST_TEST(Lookups.ask({9}, {}, Start).Hosts.empty());
}
