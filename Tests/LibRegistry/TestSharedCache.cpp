/// \file
/// Checks when the cache that workspaces share begins anew. What a workspace
/// cached in it must not be used by others once it is isolated, and must stay
/// in use while nobody who used it is isolated.
#include "LibRegistry/Registry.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::registry;

namespace {

using Workspaces = std::vector<std::string>;

/// A log that takes one description after the other.
class DescribedLog {
public:
  void put(uint64_t Number, const Workspaces &Sharing,
           const Workspaces &Isolated, bool OpenToAll = false) {
    CacheSharing Cache;
    for (const std::string &Id : Sharing)
      Cache.Sharing.push_back(digestOf(WorkspaceId{Id}));
    for (const std::string &Id : Isolated)
      Cache.Isolated.push_back(digestOf(WorkspaceId{Id}));
    Cache.OpenToAll = OpenToAll;
    apply({{Number}, "text", Cache});
  }
  void putByOlderHost(uint64_t Number) { apply({{Number}, "text", {}}); }

  uint64_t since() const { return State.description().SharedCacheSince.Value; }

  void restart() {
    Registry Restored;
    BOOST_REQUIRE(Restored.tryRestore(State.snapshot()).has_value());
    BOOST_TEST(Restored.snapshot() == State.snapshot());
    State = std::move(Restored);
  }

private:
  void apply(const ReplaceDescription &Replacement) {
    State.apply(State.appliedIndex() + 1, encodeCommand(Replacement));
  }

  Registry State;
};

} // namespace

BOOST_AUTO_TEST_CASE(a_workspace_that_is_isolated_later_ends_the_shared_cache) {
  DescribedLog Log;
  Log.put(7, {"north", "south"}, {});
  BOOST_TEST(Log.since() == 7U);
  Log.put(8, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 8U);
  // A second time, and over a restart.
  Log.put(9, {"north", "south"}, {});
  BOOST_TEST(Log.since() == 8U);
  Log.restart();
  Log.put(10, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 10U);
}

BOOST_AUTO_TEST_CASE(a_workspace_that_was_removed_may_come_back_isolated) {
  DescribedLog Log;
  Log.put(7, {"north", "south"}, {});
  Log.put(8, {"south"}, {});
  Log.restart();
  Log.put(9, {"south"}, {});
  BOOST_TEST(Log.since() == 7U);
  Log.put(10, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 10U);
  // An isolated one that is removed leaves its old cache out of use.
  Log.put(11, {"south"}, {});
  BOOST_TEST(Log.since() == 10U);
}

BOOST_AUTO_TEST_CASE(changes_that_isolate_no_user_keep_the_shared_cache) {
  DescribedLog Log;
  Log.put(7, {"north", "south"}, {"west"});
  Log.put(8, {"north", "south", "new"}, {"west"});
  Log.put(9, {"north", "south"}, {"west", "east"});
  Log.put(10, {"north", "south", "west"}, {"east"});
  Log.restart();
  Log.put(11, {"north", "south", "west"}, {"east"});
  BOOST_TEST(Log.since() == 7U);
  Log.put(12, {"north", "south"}, {"east", "west"});
  BOOST_TEST(Log.since() == 12U);
}

BOOST_AUTO_TEST_CASE(anyone_may_have_used_the_cache_without_workspaces) {
  DescribedLog Log;
  Log.put(7, {}, {}, /*OpenToAll=*/true);
  Log.put(8, {"south"}, {});
  BOOST_TEST(Log.since() == 7U);
  Log.put(9, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 9U);
  Log.put(10, {"south"}, {"north", "east"});
  BOOST_TEST(Log.since() == 9U);
}

BOOST_AUTO_TEST_CASE(an_older_host_does_not_say_who_shares_the_cache) {
  DescribedLog Log;
  Log.put(7, {"north", "south"}, {});
  Log.putByOlderHost(8);
  BOOST_TEST(Log.since() == 8U);
  Log.put(9, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 9U);
  Log.put(10, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 9U);
}

BOOST_AUTO_TEST_CASE(an_overtaken_description_changes_nothing) {
  DescribedLog Log;
  Log.put(9, {"north", "south"}, {});
  Log.put(8, {"south"}, {"north"});
  Log.put(9, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 9U);
  Log.put(10, {"south"}, {"north"});
  BOOST_TEST(Log.since() == 10U);
}

BOOST_AUTO_TEST_CASE(the_workspaces_that_are_remembered_are_bounded) {
  DescribedLog Log;
  Workspaces Many;
  for (size_t Number = 0; Number <= SharedCache::MaxFormerUsers; ++Number)
    Many.push_back("t" + std::to_string(Number));
  Log.put(7, Many, {});
  Log.put(8, {"other"}, {});
  BOOST_TEST(Log.since() == 8U);
  Log.put(9, {"other"}, {"t1"});
  BOOST_TEST(Log.since() == 8U);
}
