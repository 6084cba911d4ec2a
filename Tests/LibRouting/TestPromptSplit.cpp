// The division of targets between long and short prompts, where the
// description calls for it.
#include "LibRouting/PromptSplit.h"
#include "LibRouting/RoutedDeployment.h"
#include <cmath>
#include <map>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;

static bool isCalledFor(const std::vector<uint32_t> &DesiredMillis) {
  TestDeployment Deployment(1);
  for (uint32_t Millis : DesiredMillis)
    Deployment.addRoute(Millis);
  return PromptSplit::isCalledFor(*Deployment.View.Routes, Lm);
}

// Deployments whose long prompts have no time to wait for each other must be
// served as without the division.
BOOST_AUTO_TEST_CASE(only_patient_long_prompts_call_for_the_division) {
  BOOST_TEST(isCalledFor({1500, 500}));
  BOOST_TEST(isCalledFor({600, 1000}));
  BOOST_TEST(!isCalledFor({800, 500}));
  BOOST_TEST(!isCalledFor({800, 1000}));
  BOOST_TEST(!isCalledFor({2000}));
  BOOST_TEST(!isCalledFor({0, 2000}));
  BOOST_TEST(!isCalledFor({}));
}

BOOST_AUTO_TEST_CASE(the_boundary_follows_the_work) {
  PromptSplit Split;
  Timestamp Now{1000s};
  for (int Count = 0; Count < 100; ++Count)
    Split.noteSent(/*IsLong=*/true, 0.3, Now += 50ms);
  BOOST_TEST(Split.longShare() == PromptSplit::MaxLongShare);
  for (int Count = 0; Count < 1000; ++Count)
    Split.noteSent(/*IsLong=*/false, 0.05, Now += 20ms);
  BOOST_TEST(Split.longShare() == PromptSplit::MinLongShare);
  // A clock that is read out of order must not blow up the counts.
  Split.noteSent(/*IsLong=*/true, 0.3, Now - 1s);
  BOOST_TEST(std::isfinite(Split.longShare()));
}

namespace {

/// Shares of prompts that met another one at their target: short prompts an
/// unread long one, long prompts an unread long one.
struct Meetings {
  double OfShort = 0;
  double OfLong = 0;
};

} // namespace

/// Lets 40 routers that do not hear of each other send one long and nine short
/// prompts a second each to 60 targets; a long prompt is read in 0.35 s.
static Meetings meetingsOf(uint32_t LongMillis, uint32_t ShortMillis) {
  static constexpr size_t RouterCount = 40;
  static constexpr size_t TargetCount = 60;
  static constexpr Duration ReadTime = 350ms;
  TestDeployment Deployment(TargetCount);
  Deployment.addHosts(RouterCount);
  Deployment.addRoute(LongMillis);
  Deployment.addRoute(ShortMillis);
  std::vector<RoutedPlacement> Routers;
  for (uint64_t Seed = 1; Seed <= RouterCount; ++Seed)
    Routers.push_back(Deployment.router(Seed));
  std::map<TargetId, Timestamp> UnreadUntil;
  size_t Long = 0;
  size_t Short = 0;
  Meetings Met;
  RandomGenerator Random(3);
  for (int Count = 0; Count < 4000; ++Count) {
    Deployment.Now += 2500us;
    RoutedPlacement &Router = Routers[randomBelow(Random, RouterCount)];
    bool IsLong = randomBelow(Random, 10) == 0;
    RoutedCall Call = IsLong ? Deployment.call(randomBelow(Random, 500) + 1)
                             : Deployment.call(10'000 + Count, 0, 300);
    PlacedCall Placed = expectPlaced(Router.place(Call, Deployment.Now));
    serve(Router, Placed, Deployment.Now);
    Timestamp &Unread = UnreadUntil[Placed.Target];
    bool Meets = Unread > Deployment.Now;
    (IsLong ? Long : Short) += 1;
    (IsLong ? Met.OfLong : Met.OfShort) += Meets;
    if (IsLong)
      Unread = std::max(Unread, Deployment.Now) + ReadTime;
  }
  Met.OfLong /= double(Long);
  Met.OfShort /= double(Short);
  return Met;
}

// Load pattern: a few long prompts among many short ones, in a fleet whose
// routers hear of each other's prompts later than it takes to read one. Without
// the division a quarter of the short prompts waited behind long ones.
BOOST_AUTO_TEST_CASE(short_prompts_do_not_wait_behind_long_ones) {
  Meetings Divided = meetingsOf(1500, 500);
  Meetings Mixed = meetingsOf(800, 500);
  BOOST_TEST_MESSAGE("short prompts behind long ones: "
                     << Divided.OfShort << " divided, " << Mixed.OfShort
                     << " mixed; long ones: " << Divided.OfLong << ", "
                     << Mixed.OfLong);
  BOOST_TEST(Divided.OfShort <= 0.05);
  BOOST_TEST(Mixed.OfShort >= 0.15);
}

// Load pattern: 57 routers learn at the same moment that one of 12 targets is
// free. If all chose the least loaded one, it would get every request of the
// next 75 ms.
BOOST_AUTO_TEST_CASE(routers_that_see_one_free_target_do_not_all_choose_it) {
  TestDeployment Deployment(12);
  Deployment.addHosts(57);
  Deployment.addRoute(1500);
  Deployment.addRoute(500);
  WorkDigest Fleet;
  Fleet.Scope = DigestScope::Fleet;
  for (size_t Index = 1; Index < 12; ++Index)
    Fleet.Work.push_back({{"e" + std::to_string(Index)}, 200ms, 100ms, 12});
  std::map<std::string, size_t> Sent;
  for (uint64_t Seed = 1; Seed <= 57; ++Seed) {
    RoutedPlacement Router = Deployment.router(Seed);
    Router.applyDigest({"relay"}, Fleet, Deployment.Now);
    ++Sent[expectPlaced(
               Router.place(Deployment.call(Seed, 50, 10'000), Deployment.Now))
               .Target.Value];
  }
  for (const auto &[Target, Count] : Sent)
    BOOST_TEST(Count <= 29U, Target << " " << Count);
}
