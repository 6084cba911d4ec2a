#include "LibWire/Codec.h"
#include "ferryd/QuarantineKeeper.h"
#include "ferryd/RecordFile.h"
#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace ferry;
using namespace ferry::daemon;
using namespace std::chrono_literals;
using routing::PartSet;
using routing::QuarantinedParts;

/// A folder that is removed at the end of the test.
struct TemporaryFolder {
  std::filesystem::path Path =
      std::filesystem::temp_directory_path() /
      ("ferry-quarantines-" + std::to_string(getpid()));
  TemporaryFolder() {
    std::filesystem::remove_all(Path);
    std::filesystem::create_directories(Path);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Path); }
  std::filesystem::path file() const { return Path / "quarantines"; }
};

static QuarantinedParts quarantined(const PartSet &Parts) {
  Timestamp Now = steadyNow();
  return {Parts, /*Epoch=*/1, /*Ended=*/false, /*Trials=*/1, Now + 600s, Now};
}

static std::vector<QuarantinedParts> keptIn(const TemporaryFolder &Folder) {
  return QuarantineKeeper(Folder.Path).everything().Quarantined;
}

BOOST_AUTO_TEST_CASE(sets_outlast_a_restart) {
  TemporaryFolder Folder;
  {
    QuarantineKeeper Subject(Folder.Path);
    Subject.apply({quarantined({1, 2}), quarantined({3})});
    BOOST_TEST(Subject.hasNews());
  }
  std::vector<QuarantinedParts> Kept = keptIn(Folder);
  BOOST_REQUIRE(Kept.size() == 2U);
  BOOST_TEST((Kept[0].Parts == PartSet{1, 2}));
  BOOST_TEST(!Kept[0].Ended);
  BOOST_TEST(Kept[0].Trials == 1U);
  BOOST_TEST((Kept[0].TrialFrom > steadyNow() + 590s));
}

BOOST_AUTO_TEST_CASE(a_set_that_ended_stays_ended) {
  TemporaryFolder Folder;
  QuarantinedParts Set = quarantined({1});
  {
    QuarantineKeeper Subject(Folder.Path);
    Subject.apply({Set});
    Set.Ended = true;
    Subject.apply({Set});
  }
  {
    QuarantineKeeper Subject(Folder.Path);
    Subject.apply({quarantined({1})});
    BOOST_TEST(!Subject.hasNews());
  }
  std::vector<QuarantinedParts> Kept = keptIn(Folder);
  BOOST_REQUIRE(Kept.size() == 1U);
  BOOST_TEST(Kept[0].Ended);
}

BOOST_AUTO_TEST_CASE(time_without_the_process_counts) {
  TemporaryFolder Folder;
  wire::KeptQuarantines File;
  File.WrittenAt = unixNow().Value - 20 * 60'000;
  wire::QuarantinedParts Wanted;
  Wanted.Parts = {1};
  Wanted.Epoch = 1;
  wire::QuarantinedParts Unwanted = Wanted;
  Unwanted.Parts = {2};
  Unwanted.WantedAgeMillis = 11 * 60'000;
  File.Quarantined = {Wanted, Unwanted};
  BOOST_REQUIRE(tryReplaceRecord(Folder.file(), File));
  std::vector<QuarantinedParts> Kept = keptIn(Folder);
  BOOST_REQUIRE(Kept.size() == 1U);
  BOOST_TEST((Kept[0].Parts == PartSet{1}));
  // The clock was set back by a day since.
  File.WrittenAt = unixNow().Value + 24 * 3'600'000;
  BOOST_REQUIRE(tryReplaceRecord(Folder.file(), File));
  BOOST_TEST(keptIn(Folder).size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_damaged_file_counts_as_missing) {
  TemporaryFolder Folder;
  {
    QuarantineKeeper Subject(Folder.Path);
    Subject.apply({quarantined({1})});
  }
  std::string Bytes = **tryReadFile(Folder.file());
  for (size_t Offset = 0; Offset < Bytes.size(); ++Offset) {
    std::string Damaged = Bytes;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 0x40);
    BOOST_REQUIRE(tryReplaceFile(Folder.file(), Damaged));
    std::vector<QuarantinedParts> Kept = keptIn(Folder);
    BOOST_TEST((Kept.empty() || Kept[0].Parts == PartSet{1}));
  }
}

// A folder that is gone stands for a disk that refuses writes.
BOOST_AUTO_TEST_CASE(a_write_that_failed_is_repeated) {
  TemporaryFolder Folder;
  std::filesystem::remove_all(Folder.Path);
  QuarantineKeeper Subject(Folder.Path);
  Subject.apply({quarantined({1})});
  std::this_thread::sleep_for(100ms);
  std::filesystem::create_directories(Folder.Path);
  for (int Tries = 0; Tries < 200 && !exists(Folder.file()); ++Tries)
    std::this_thread::sleep_for(50ms);
  BOOST_TEST(exists(Folder.file()));
}
