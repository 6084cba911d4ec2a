// Routers that each admit by what they know must together stay within the cap
// of a workspace, and must not reject what a token bucket in one place would
// admit. Each failure of a router, a message or a view may break one of the
// two: units that are granted twice, or units that nobody may use any more.
#include "LibAdmission/CapFleet.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::admission;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr Timestamp Start = CapFleet::Start;
/// The bounds of docs/design/22-demanding-load.md.
constexpr double LeastAdmitted = 0.97;
constexpr double MostBytesPerSecond = 4096;

struct Size {
  size_t Routers;
  size_t Workspaces;
  Duration Span;
  uint64_t Seeds;
};
std::ostream &operator<<(std::ostream &Out, const Size &Of) {
  return Out << Of.Routers << " routers, " << Of.Workspaces << " workspaces";
}
const std::vector<Size> Sizes = {
    {7, 16, 24s, 5}, {71, 73, 24s, 3}, {400, 730, 12s, 1}};

void report(const std::string &Name, const Size &Of, uint64_t Seed,
            const CapFleet &Fleet) {
  BOOST_TEST_MESSAGE(
      Name << ": " << Of << ", seed " << Seed << ": " << Fleet.Requests
           << " requests, worst window " << Fleet.worstWindow()
           << " of allowed, below caps " << Fleet.admittedBelowCaps()
           << " of owed, worst workspace " << Fleet.worstAdmitted()
           << ", hot workspace "
           << Fleet.Workspaces[0].AdmittedUnits / Fleet.Workspaces[0].Owed
           << ", " << Fleet.meanBytesPerSecond() << " bytes/s a router, "
           << Fleet.greatestBytesPerSecond() << " at most, "
           << Fleet.fallbacks() << " fallbacks, waited up to "
           << Fleet.LongestWait.count() / 1000 << " ms");
}

void check(const CapFleet &Fleet) {

  BOOST_TEST(Fleet.worstWindow() <= 1.0);
  BOOST_TEST(Fleet.admittedBelowCaps() >= LeastAdmitted);
  BOOST_TEST(Fleet.LongestWait <= CapHolder::LongestWait);
}

/// A large workspace requests 7.5 times its usual load for 6 s, from callers at
/// two routers that move each 2 s. Another one is at 0.9 of its cap, and
/// another sends bursts at its cap.
void addLoad(CapFleet &Fleet) {
  Fleet.Workspaces[1].Load *= 4.5;
  Fleet.at(Start + 3s, [&Fleet] { Fleet.Workspaces[0].Load *= 7.5; });
  Fleet.at(Start + 9s, [&Fleet] { Fleet.Workspaces[0].Load /= 7.5; });
  for (auto Time = 1s; Time < 24s; Time += 2s)
    Fleet.at(Start + Time, [&Fleet] { Fleet.moveCallers(0); });
  for (auto Time = 2s; Time < 24s; Time += 4s)
    Fleet.at(Start + Time,
             [&Fleet] { Fleet.burst(2, Fleet.Workspaces[2].Cap.Burst * 0.9); });
}

using Trouble = void (*)(CapFleet &);

void play(const std::string &Name, const Size &Of, Trouble AddTrouble) {
  for (uint64_t Seed = 1; Seed <= Of.Seeds; ++Seed) {
    CapFleet Fleet(Of.Routers, Of.Workspaces, Seed);
    addLoad(Fleet);
    AddTrouble(Fleet);
    Fleet.runUntil(Start + Of.Span);
    report(Name, Of, Seed, Fleet);
    check(Fleet);
  }
}

} // namespace

BOOST_DATA_TEST_CASE(skewed_load_is_admitted_up_to_the_cap, data::make(Sizes),
                     Of) {
  for (uint64_t Seed = 1; Seed <= Of.Seeds; ++Seed) {
    CapFleet Fleet(Of.Routers, Of.Workspaces, Seed);
    addLoad(Fleet);
    Fleet.runUntil(Start + Of.Span);
    report("skew", Of, Seed, Fleet);
    check(Fleet);
    // The cap itself is owed as well, also at 7.5 times the usual load.
    BOOST_TEST(Fleet.worstAdmitted() >= LeastAdmitted);
    BOOST_TEST(Fleet.meanBytesPerSecond() < MostBytesPerSecond);
    BOOST_TEST(Fleet.greatestBytesPerSecond() < MostBytesPerSecond);
  }
}

// The owner's bucket is lost; its successor must not grant a second burst, and
// callers must not be rejected until there is one.
BOOST_DATA_TEST_CASE(an_owner_is_killed, data::make(Sizes), Of) {
  play("owner killed", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 4s, [&Fleet] {
      size_t Gone = Fleet.ownerOf(0);
      Fleet.kill(Gone);
      Fleet.setViewsWithout(Gone, Fleet.Now + 1s);
    });
    Fleet.at(Start + 8s, [&Fleet] {
      size_t Back = Fleet.ownerOf(0);
      Fleet.begin(Back);
      Fleet.setViewsWithAll(Back, Fleet.Now);
    });
  });
}

// A frozen owner wakes with a bucket that has filled and with questions that
// were decided without it.
BOOST_DATA_TEST_CASE(an_owner_is_frozen, data::make(Sizes), Of) {
  play("owner frozen", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 5s, [&Fleet] { Fleet.freeze(Fleet.ownerOf(0), 3s); });
  });
}

// As before, but the others choose another owner in the meantime.
BOOST_DATA_TEST_CASE(an_owner_is_frozen_and_replaced, data::make(Sizes), Of) {
  play("owner replaced", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 5s, [&Fleet] {
      size_t Frozen = Fleet.ownerOf(0);
      Fleet.freeze(Frozen, 3s);
      Fleet.setViewsWithout(Frozen, Fleet.Now + 1s);
      Fleet.setViewsWithAll(Frozen, Fleet.Now + 3s);
    });
  });
}

// Holders of grants stop, are cut off or frozen, and others start with nothing.
BOOST_DATA_TEST_CASE(holders_fail, data::make(Sizes), Of) {
  play("holders fail", Of, [](CapFleet &Fleet) {
    Fleet.at(Start + 4s,
             [&Fleet] { Fleet.freeze(Fleet.Workspaces[0].Entries[0], 3s); });
    Fleet.at(Start + 5s, [&Fleet] {
      Fleet.setCutOff(Fleet.Workspaces[0].Entries[1], true);
    });
    size_t Gone = Fleet.randomRouter();
    Fleet.at(Start + 6s, [&Fleet, Gone] {
      Fleet.kill(Gone);
      Fleet.setViewsWithout(Gone, Fleet.Now + 1s);
    });
    Fleet.at(Start + 9s, [&Fleet, Gone] {
      Fleet.begin(Gone);
      Fleet.setViewsWithAll(Gone, Fleet.Now);
    });
  });
}

// For a second, some routers ask one router and some another; only one of them
// may grant the rate.
BOOST_DATA_TEST_CASE(views_differ, data::make(Sizes), Of) {
  play("views differ", Of, [](CapFleet &Fleet) {
    for (auto Time = 4s; Time < 12s; Time += 4s)
      Fleet.at(Start + Time, [&Fleet] {
        size_t Left = Fleet.ownerOf(0);
        Fleet.setViewsWithout(Left, Fleet.Now);
        Fleet.setViewsWithAll(Left, Fleet.Now + 2s);
      });
  });
}
