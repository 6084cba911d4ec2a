// What a host keeps of the descriptions that were in force on it.
#include "ferryd/DescriptionHolder.h"
#include <boost/test/unit_test.hpp>
#include <malloc.h>

using namespace ferry;
using namespace ferry::daemon;

/// \returns the bytes that this process has allocated.
static size_t allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

// Routers were killed for their memory after a hundred changes of a description
// near the largest size.
BOOST_AUTO_TEST_CASE(a_hundred_large_descriptions_take_the_memory_of_a_few) {
  constexpr size_t TextBytes = 1 << 20;
  constexpr int64_t Changes = 150;
  constexpr size_t MostTexts = 8;
  auto Store = HostStore::tryOpen({}, {1});
  BOOST_REQUIRE(Store);
  DescriptionHolder Holder(*Store, [](const std::string &) {
    return Result<DescriptionContent, ApplyError>(DescriptionContent());
  });
  size_t Before = allocatedBytes();
  for (int64_t Number = 1; Number <= Changes; ++Number) {
    wire::DescriptionCopy Copy;
    Copy.Number = Number;
    Copy.Operation = "operation-" + std::to_string(Number);
    Copy.Text = std::string(TextBytes, 'x');
    BOOST_REQUIRE(Holder.tryApply(Copy));
  }
  BOOST_TEST(allocatedBytes() - Before < MostTexts * TextBytes);
  BOOST_TEST(Holder.copy().Text.size() == TextBytes);
  BOOST_REQUIRE(!Holder.history().empty());
  BOOST_TEST(Holder.history().back().Operation ==
             "operation-" + std::to_string(Changes));
}
