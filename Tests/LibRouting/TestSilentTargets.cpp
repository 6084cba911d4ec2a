/// \file
/// Guards against targets and routers that are only silent for 1 to 3 s and are
/// then excluded for good, or whose silence overloads the others or makes the
/// router refuse requests.
#include "LibRouting/RoutedDeployment.h"
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <deque>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr size_t TargetCount = 8;
constexpr size_t SilentIndex = 3;

/// How a silent target treats connections.
enum class Silence : uint8_t {
  /// Its kernel accepts them, and the answers come after the silence.
  Stopped,
  /// They fail.
  Unreachable
};

std::ostream &operator<<(std::ostream &Out, Silence Kind) {
  return Out << (Kind == Silence::Stopped ? "stopped" : "unreachable");
}

/// One router and targets that answer each request 40 ms after it has arrived
/// and end it 100 ms later. One target is silent for a while: it announces
/// nothing and answers nothing.
class SilentWorld {
public:
  SilentWorld(Silence Kind, Duration Length)
      : Kind(Kind), SilentUntil(SilentFrom + Length) {}

  /// Sends a request each 5 ms until \p End.
  void runUntil(Timestamp End) {
    for (; Deployment.Now < End; Deployment.Now += 5ms) {
      if (Deployment.Now >= AnnounceAt)
        announce();
      answer();
      send();
    }
  }

  /// Lets all requests end.
  void finish() {
    Timestamp End = Deployment.Now + 5s;
    for (; Deployment.Now < End; Deployment.Now += 5ms)
      answer();
  }

  bool isSilent() const {
    return Deployment.Now >= SilentFrom && Deployment.Now < SilentUntil;
  }

  /// \returns the requests that each target got since the last call.
  std::vector<size_t> takeCounts() {
    return std::exchange(Counts, std::vector<size_t>(TargetCount));
  }

  TestDeployment Deployment{TargetCount};
  RoutedPlacement Router = Deployment.router();
  Timestamp Start = Deployment.Now;
  Timestamp SilentFrom = Start + 3s;
  Silence Kind;
  Timestamp SilentUntil;
  size_t Refused = 0;
  size_t Ended = 0;
  size_t MostAtOneTarget = 0;

private:
  struct Sent {
    PlacedCall Placed;
    size_t Index = 0;
    Timestamp ArrivesAt;
    bool HasFirstByte = false;
  };

  void announce() {
    AnnounceAt = Deployment.Now + 1200ms;
    for (size_t Index = 0; Index < TargetCount; ++Index)
      if (Index != SilentIndex || !isSilent())
        Deployment.View.Targets[Index].UsableUntil =
            Deployment.Now + RecordLifetime;
    Router.applyView(std::make_shared<const RoutingView>(Deployment.View),
                     Deployment.Now);
  }

  void answer() {
    for (Sent &Each : Running) {
      if (Each.Index == SilentIndex && isSilent())
        continue;
      // A request that waits in the kernel's buffer begins after the silence.
      Timestamp BeginsAt = Each.ArrivesAt;
      if (Each.Index == SilentIndex && Each.ArrivesAt >= SilentFrom)
        BeginsAt = std::max(BeginsAt, SilentUntil);
      if (!Each.HasFirstByte && Deployment.Now >= BeginsAt + 40ms) {
        Each.HasFirstByte = true;
        Router.noteFirstByte(Each.Placed.PlacementId, Deployment.Now);
      }
      if (Deployment.Now < BeginsAt + 140ms)
        continue;
      Router.endCall(Each.Placed.PlacementId, CallEnd::Served, Deployment.Now);
      Each.Placed.PlacementId = 0;
      ++Ended;
    }
    std::erase_if(
        Running, [](const Sent &Each) { return Each.Placed.PlacementId == 0; });
  }

  void send() {
    RoutedCall Call = Deployment.call(NextPart++, 92, 291);
    Call.OutputTokens = 9;
    Call.FirstByteDueAt = Deployment.Now + 500ms;
    while (true) {
      auto Outcome = Router.place(Call, Deployment.Now);
      if (std::holds_alternative<RefusedCall>(Outcome)) {
        ++Refused;
        return;
      }
      auto &Placed = std::get<PlacedCall>(Outcome);
      size_t Index = std::stoul(Placed.Target.Value.substr(1));
      ++Counts[Index];
      if (Index == SilentIndex && isSilent() && Kind == Silence::Unreachable) {
        Router.endCall(Placed.PlacementId, CallEnd::Unreachable,
                       Deployment.Now);
        Call.Tried.push_back(Placed.Target);
        continue;
      }
      Running.push_back({Placed, Index, Deployment.Now});
      size_t AtTarget = std::count_if(
          Running.begin(), Running.end(),
          [Index](const Sent &Each) { return Each.Index == Index; });
      if (Index != SilentIndex)
        MostAtOneTarget = std::max(MostAtOneTarget, AtTarget);
      return;
    }
  }

  std::vector<Sent> Running;
  std::vector<size_t> Counts = std::vector<size_t>(TargetCount);
  Timestamp AnnounceAt = Deployment.Now;
  uint64_t NextPart = 1;
};

} // namespace

// A target that is silent for a while keeps its running requests, gets its
// share again soon after, and its load spreads evenly over the others
// meanwhile.
BOOST_DATA_TEST_CASE(a_target_that_was_silent_is_used_again,
                     data::make({1000, 2000, 3000}) *
                         data::make({Silence::Stopped, Silence::Unreachable}),
                     Millis, Kind) {
  SilentWorld World(Kind, std::chrono::milliseconds(Millis));
  World.runUntil(World.SilentFrom);
  World.takeCounts();
  size_t MostBefore = World.MostAtOneTarget;
  World.runUntil(World.SilentUntil);
  auto During = World.takeCounts();
  size_t Total = 0;
  for (size_t Count : During)
    Total += Count;
  BOOST_TEST_MESSAGE("sent to the silent target: " << During[SilentIndex]
                                                   << " of " << Total);
  for (size_t Index = 0; Index < TargetCount; ++Index)
    if (Index != SilentIndex)
      BOOST_TEST(During[Index] < 2 * Total / (TargetCount - 1));
  BOOST_TEST(During[SilentIndex] < Total / TargetCount);
  // Its failures have cost for some seconds more.
  World.runUntil(World.SilentUntil + 12s);
  World.takeCounts();
  World.runUntil(World.SilentUntil + 14s);
  auto After = World.takeCounts();
  BOOST_TEST(After[SilentIndex] >= 400 / TargetCount / 2);
  BOOST_TEST(World.MostAtOneTarget <= 2 * MostBefore + 2);
  BOOST_TEST(World.Refused == 0U);
  World.finish();
  BOOST_TEST(World.Router.status(World.Deployment.Now).Running == 0U);
}

// The work that a silent router has reported no longer counts after a second.
// The routers that go on must not pile their requests up where it has running
// ones, and must count it again when its digests come back.
BOOST_DATA_TEST_CASE(a_router_that_was_silent_is_counted_again,
                     data::make({1000, 2000, 3000}), Millis) {
  TestDeployment Deployment(TargetCount);
  Deployment.addHosts(2);
  RoutedPlacement Router = Deployment.router();
  WorkDigest Digest;
  for (size_t Index = 0; Index < TargetCount / 2; ++Index)
    Digest.Work.push_back({{"e" + std::to_string(Index)}, 2s, 200ms, 20});
  std::vector<PlacedCall> Running;
  auto SendCalls = [&](size_t Count) {
    std::vector<size_t> Counts(TargetCount);
    for (size_t Sent = 0; Sent < Count; ++Sent, Deployment.Now += 5ms) {
      RoutedCall Call = Deployment.call(Deployment.NextOwnPart + 5000, 92, 291);
      PlacedCall Placed = expectPlaced(Router.place(Call, Deployment.Now));
      ++Counts[std::stoul(Placed.Target.Value.substr(1))];
      serve(Router, Placed, Deployment.Now);
    }
    return Counts;
  };
  auto ToLoaded = [](const std::vector<size_t> &Counts) {
    size_t Sum = 0;
    for (size_t Index = 0; Index < TargetCount / 2; ++Index)
      Sum += Counts[Index];
    return Sum;
  };
  Router.applyDigest({"r1"}, Digest, Deployment.Now);
  BOOST_TEST(ToLoaded(SendCalls(100)) == 0U);
  Timestamp SilentUntil = Deployment.Now + std::chrono::milliseconds(Millis);
  while (Deployment.Now < SilentUntil) {
    Router.applyDigest({"r0"}, {}, Deployment.Now);
    for (size_t Count : SendCalls(100))
      BOOST_TEST(Count <= 100 / TargetCount * 3);
  }
  Deployment.announceTo(Router);
  Router.applyDigest({"r1"}, Digest, Deployment.Now);
  BOOST_TEST(ToLoaded(SendCalls(100)) == 0U);
}
