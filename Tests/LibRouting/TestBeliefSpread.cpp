// Crashes are seen at routers all over a fleet, and every router must refuse
// the part that causes them in time, in fleets of any size.
#include "LibRouting/BeliefSpread.h"
#include "LibRouting/PartQuarantine.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace ferry;
using namespace ferry::routing;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr Timestamp Start{10'000s};
constexpr PartSet::value_type Lead = 1;
constexpr PartSet::value_type Crashing = 2;

/// Routers that exchange what they learn, in virtual time. Messages take 1 to
/// 10 ms, and some are lost.
class Fleet {
public:
  Fleet(size_t Count, uint64_t Seed) : Random(Seed) {
    for (size_t Index = 0; Index < Count; ++Index) {
      Hosts.push_back({"10.0.0." + std::to_string(Index)});
      Numbers[Hosts.back()] = Index;
      Routers.push_back(std::make_unique<Router>(Random()));
      at(Start + Duration(static_cast<int64_t>(
                     randomBelow(Random, BeliefSpread::TickInterval.count()))),
         [this, Index] { tick(Index); });
    }
    for (size_t Index = 0; Index < Count; ++Index)
      Routers[Index]->Quarantine.setRouters(Hosts[Index], Hosts);
  }

  void at(Timestamp When, std::function<void()> Work) {
    Scheduled.emplace(When, std::move(Work));
  }

  void runUntil(Timestamp End) {
    while (!Scheduled.empty() && Scheduled.begin()->first <= End) {
      auto Due = Scheduled.extract(Scheduled.begin());
      Now = Due.key();
      Due.mapped()();
    }
    Now = End;
  }

  size_t randomRouter() { return randomBelow(Random, Routers.size()); }

  /// A request with the crashing part comes to a router.
  /// \returns whether it is sent to a target, which it crashes.
  bool crashAt(size_t Index) {
    PartQuarantine &Quarantine = Routers[Index]->Quarantine;
    if (Quarantine.check({Lead, Crashing}, Now) != PartAdmission::Admitted)
      return false;
    Quarantine.noteBroken({"i-" + std::to_string(++Crashes)}, {1},
                          {{Lead, Crashing}, AnswerProgress::Begun}, Now);
    sendNewsSoon(Index);
    return true;
  }

  void serveAt(size_t Index, const PartSet &Parts) {
    Routers[Index]->Quarantine.noteServed(Parts, Now);
    sendNewsSoon(Index);
  }

  size_t refusing(const PartSet &Parts) {
    size_t Count = 0;
    for (auto &Each : Routers)
      Count += Each->Quarantine.check(Parts, Now) != PartAdmission::Admitted;
    return Count;
  }

  /// A router starts anew and knows nothing.
  void restart(size_t Index) {
    Routers[Index] = std::make_unique<Router>(Random());
    Routers[Index]->Quarantine.setRouters(Hosts[Index], Hosts);
  }

  Timestamp Now = Start;
  size_t Crashes = 0;
  size_t Messages = 0;

private:
  struct Router {
    explicit Router(uint64_t Seed) : Spread(Seed) {}
    PartQuarantine Quarantine;
    BeliefSpread Spread;
    bool NewsPending = false;
  };

  std::vector<HostId> others(size_t Index) const {
    std::vector<HostId> Others = Hosts;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Index));
    return Others;
  }

  void send(const HostId &To, const CrashNews &News, bool Answers = false) {
    ++Messages;
    if (randomBelow(Random, 50) == 0)
      return;
    auto Delay = std::chrono::microseconds(1000 + randomBelow(Random, 9000));
    at(Now + Delay, [this, Index = Numbers.at(To), News, Answers] {
      if (Answers)
        Routers[Index]->Spread.noteAnswer();
      Routers[Index]->Quarantine.apply(
          News, BeliefSpread::passesOn(Hosts.size() - 1), Now);
      sendNewsSoon(Index);
    });
  }

  void sendNewsSoon(size_t Index) {
    Router &Sender = *Routers[Index];
    if (!Sender.Quarantine.hasNews() || std::exchange(Sender.NewsPending, true))
      return;
    at(Now + BeliefSpread::NewsDelay, [this, Index] {
      Router &Sending = *Routers[Index];
      Sending.NewsPending = false;
      CrashNews News = Sending.Quarantine.takeNews(Now);
      if (!News.empty())
        for (const HostId &To :
             Sending.Spread.receiversOfNews(others(Index), Now))
          send(To, News);
    });
  }

  void tick(size_t Index) {
    at(Now + BeliefSpread::TickInterval, [this, Index] { tick(Index); });
    Router &Ticking = *Routers[Index];
    CrashNews All = Ticking.Quarantine.everything(Now);
    auto Due = Ticking.Spread.tick(others(Index), !All.empty(), Now);
    for (const HostId &To : Due.Summary)
      send(To, All);
    for (const HostId &Asked : Due.Question)
      at(Now + 2ms, [this, Index, Other = Numbers.at(Asked)] {
        send(Hosts[Index], Routers[Other]->Quarantine.everything(Now),
             /*Answers=*/true);
      });
  }

  RandomGenerator Random;
  std::vector<HostId> Hosts;
  std::map<HostId, size_t> Numbers;
  std::vector<std::unique_ptr<Router>> Routers;
  std::multimap<Timestamp, std::function<void()>> Scheduled;
};

const std::vector<size_t> Sizes = {7, 80, 400};

/// The users' bound on the spread after the fifth crash.
constexpr auto ContactTime = 3s;

} // namespace

BOOST_DATA_TEST_CASE(every_router_refuses_a_crashing_part_in_time,
                     data::make(Sizes), Size) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    Fleet Subject(Size, Seed);
    // Few routers have served the first part lately.
    Subject.serveAt(0, {Lead, 10});
    std::optional<Timestamp> FifthAt;
    size_t Late = 0;
    while (Subject.Now < Start + 20s) {
      Subject.runUntil(Subject.Now + 120ms);
      if (!Subject.crashAt(Subject.randomRouter()))
        continue;
      if (Subject.Crashes == 5)
        FifthAt = Subject.Now;
      Late += FifthAt && Subject.Now > *FifthAt + ContactTime;
    }
    BOOST_TEST(Late == 0U);
    BOOST_TEST(Subject.refusing({Lead, Crashing}) == Size);
    BOOST_TEST(Subject.refusing({Lead, 11}) == 0U);
    BOOST_TEST_MESSAGE(Size << " routers, seed " << Seed << ": "
                            << Subject.Crashes << " crashes, "
                            << Subject.Messages / Size << " messages a router");
  }
}

BOOST_DATA_TEST_CASE(a_router_that_restarts_learns_what_the_others_know,
                     data::make(Sizes), Size) {
  Fleet Subject(Size, 3);
  Subject.serveAt(0, {Lead, 10});
  while (Subject.Now < Start + 4s) {
    Subject.runUntil(Subject.Now + 200ms);
    Subject.crashAt(Subject.randomRouter());
  }
  Subject.runUntil(Start + 8s);
  BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == Size);
  // News are no longer fresh.
  Subject.runUntil(Start + 20s);
  Subject.restart(1);
  Subject.runUntil(Subject.Now + 1500ms);
  BOOST_TEST(Subject.refusing({Lead, Crashing}) == Size);
}

BOOST_DATA_TEST_CASE(a_wrong_verdict_ends_at_every_router, data::make(Sizes),
                     Size) {
  Fleet Subject(Size, 4);
  while (Subject.Now < Start + 4s) {
    Subject.runUntil(Subject.Now + 200ms);
    Subject.crashAt(Subject.randomRouter());
  }
  Subject.runUntil(Start + 8s);
  BOOST_REQUIRE(Subject.refusing({Lead, Crashing}) == Size);
  Subject.serveAt(Subject.randomRouter(), {Lead, Crashing});
  Subject.runUntil(Subject.Now + ContactTime);
  BOOST_TEST(Subject.refusing({Lead, Crashing}) == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_without_beliefs_sends_nothing_once_answered) {
  BeliefSpread Spread(1);
  std::vector<HostId> Others = {{"a"}, {"b"}};
  BOOST_TEST(Spread.tick(Others, false, Start).Question.size() == 2U);
  Spread.noteAnswer();
  auto Due = Spread.tick(Others, false, Start + 1s);
  BOOST_TEST(Due.Question.empty());
  BOOST_TEST(Due.Summary.empty());
  BOOST_TEST(Spread.tick({}, true, Start + 2s).Summary.empty());
}
