#include "ferryd/HostStore.h"
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <future>
#include <sys/stat.h>
#include <unistd.h>

using namespace ferry;
using namespace ferry::daemon;

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
  std::filesystem::path Path = std::filesystem::temp_directory_path() /
                               ("ferry-host-store-" + std::to_string(getpid()));
  TemporaryFolder() { std::filesystem::remove_all(Path); }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
};

static wire::DescriptionCopy copyNumbered(int64_t Number) {
  wire::DescriptionCopy Copy;
  Copy.Number = Number;
  Copy.Operation = "operation-" + std::to_string(Number);
  Copy.Text = "text";
  return Copy;
}

BOOST_AUTO_TEST_CASE(incarnation_rises_even_if_the_clock_goes_back) {
  TemporaryFolder Folder;
  auto First = HostStore::tryOpen(Folder.Path, {5000});
  auto Second = HostStore::tryOpen(Folder.Path, {10});
  BOOST_REQUIRE((First && Second));
  BOOST_TEST(First->incarnation().Value == 5000u);
  BOOST_TEST(Second->incarnation().Value == 5001u);
}

BOOST_AUTO_TEST_CASE(stored_description_never_goes_back) {
  TemporaryFolder Folder;
  auto Store = HostStore::tryOpen(Folder.Path, {1});
  BOOST_REQUIRE(Store->tryStoreDescription(copyNumbered(7)));
  BOOST_REQUIRE(Store->tryStoreDescription(copyNumbered(6)));
  auto Reopened = HostStore::tryOpen(Folder.Path, {1});
  BOOST_TEST(Reopened->description().Number == 7);
  BOOST_TEST(Reopened->description().Operation == "operation-7");
}

BOOST_AUTO_TEST_CASE(damaged_file_counts_as_missing) {
  TemporaryFolder Folder;
  {
    auto Store = HostStore::tryOpen(Folder.Path, {1});
    BOOST_REQUIRE(Store->tryStoreDescription(copyNumbered(7)));
  }
  auto Bytes = *tryReadFile(Folder.Path / "host-state");
  for (size_t Offset = 0; Offset < Bytes->size(); ++Offset) {
    std::string Damaged = *Bytes;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 0x40);
    BOOST_REQUIRE(tryReplaceFile(Folder.Path / "host-state", Damaged));
    auto Reopened = HostStore::tryOpen(Folder.Path, {1});
    BOOST_REQUIRE(Reopened.has_value());
    BOOST_TEST((Reopened->description().Number == 0 ||
                Reopened->description() == copyNumbered(7)));
  }
}

BOOST_AUTO_TEST_CASE(host_without_a_disk_keeps_its_state_in_memory) {
  auto Store = HostStore::tryOpen({}, {42});
  BOOST_REQUIRE(Store->tryStoreDescription(copyNumbered(3)));
  BOOST_TEST(Store->description().Number == 3);
  BOOST_TEST(Store->incarnation().Value == 42u);
}

// Finding review/7: on a slow disk the control thread stood still as it stored
// a description, and the log lost its leader.
BOOST_AUTO_TEST_CASE(a_disk_that_hangs_does_not_hold_up_a_description) {
  TemporaryFolder Folder;
  std::filesystem::path NewFile = Folder.Path / "host-state.new";
  {
    auto Store = HostStore::tryOpen(Folder.Path, {1});
    BOOST_REQUIRE(Store.has_value());
    Store->writeInBackground();
    // To open a pipe for writing waits for a reader.
    BOOST_REQUIRE(mkfifo(NewFile.c_str(), 0600) == 0);
    auto Stored = std::async(std::launch::async, [&] {
      return Store->tryStoreDescription(copyNumbered(7)).has_value();
    });
    BOOST_TEST((Stored.wait_for(std::chrono::seconds(2)) ==
                std::future_status::ready));
    int Reader = open(NewFile.c_str(), O_RDONLY | O_NONBLOCK);
    BOOST_TEST(Stored.get());
    BOOST_TEST(Store->description().Number == 7);
    std::filesystem::remove(NewFile);
    close(Reader);
    BOOST_TEST(Store->tryStoreDescription(copyNumbered(8)).has_value());
  }
  BOOST_TEST(HostStore::tryOpen(Folder.Path, {1})->description().Number == 8);
}
