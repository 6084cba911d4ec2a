// Two prompts must share a block hash only if their scopes and their texts up
// to the end of the block are equal. Otherwise a request would be sent to an
// engine that does not hold its prefix.
#include "LibCache/BlockHash.h"
#include "LibCache/BlockNames.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry;
using namespace ferry::cache;

static const size_t BlockBytes = BlockTokens * BytesPerToken;

static const CacheScope Scopes[] = {
    {WorkspaceId{"w"}, ModelId{"m"}, AdapterId{""}, WeightsVersion{1}},
    {WorkspaceId{"v"}, ModelId{"m"}, AdapterId{""}, WeightsVersion{1}},
    {WorkspaceId{"w"}, ModelId{"n"}, AdapterId{""}, WeightsVersion{1}},
    {WorkspaceId{"w"}, ModelId{"m"}, AdapterId{"a"}, WeightsVersion{1}},
    {WorkspaceId{"w"}, ModelId{"m"}, AdapterId{""}, WeightsVersion{2}},
    // The same letters, split differently among the fields.
    {WorkspaceId{"wm"}, ModelId{""}, AdapterId{""}, WeightsVersion{1}},
    {WorkspaceId{""}, ModelId{"wm"}, AdapterId{""}, WeightsVersion{1}},
};

BOOST_AUTO_TEST_CASE(no_two_scopes_share_a_block) {
  std::string Prompt(3 * BlockBytes, 'x');
  std::set<BlockHash> AllHashes;
  for (const CacheScope &Scope : Scopes)
    for (BlockHash Hash : hashBlocks(Scope, Prompt))
      BOOST_TEST(AllHashes.insert(Hash).second);
  BOOST_TEST(AllHashes.size() == 3 * std::size(Scopes));
}

BOOST_AUTO_TEST_CASE(partial_last_block_has_no_hash) {
  for (size_t Extra : {size_t{0}, size_t{1}, BlockBytes - 1}) {
    std::string Prompt(2 * BlockBytes + Extra, 'x');
    BOOST_TEST(hashBlocks(Scopes[0], Prompt).size() == 2u);
  }
  BOOST_TEST(hashBlocks(Scopes[0], "short").empty());
}

BOOST_AUTO_TEST_CASE(
    prompts_that_differ_from_inside_a_block_share_only_earlier_blocks) {
  // The catalogue ends in the middle of the second block.
  std::string Catalogue(BlockBytes + BlockBytes / 2, 'c');
  auto First = hashBlocks(Scopes[0], Catalogue + std::string(BlockBytes, 'l'));
  auto Second = hashBlocks(Scopes[0], Catalogue + std::string(BlockBytes, 'k'));
  BOOST_TEST((First[0] == Second[0]));
  BOOST_TEST((First[1] != Second[1]));
}

BOOST_AUTO_TEST_CASE(
    equal_blocks_after_different_prefixes_have_different_hashes) {
  std::string Tail(BlockBytes, 't');
  auto First = hashBlocks(Scopes[0], std::string(BlockBytes, 'a') + Tail);
  auto Second = hashBlocks(Scopes[0], std::string(BlockBytes, 'b') + Tail);
  BOOST_TEST((First[1] != Second[1]));
}

BOOST_AUTO_TEST_CASE(own_names_of_an_engine_are_learned_for_whole_blocks) {
  std::vector<BlockHash> Blocks = {{11}, {12}};
  std::vector<EngineBlockName> Names = {{1}, {2}, {3}};
  BlockNames Learned;
  BOOST_TEST((Learned.translate({11}) == BlockHash{11}));
  Learned.learn(Blocks, Names);
  BOOST_TEST((Learned.translate({1}) == BlockHash{11}));
  BOOST_TEST((Learned.translate({2}) == BlockHash{12}));
  BOOST_TEST(!Learned.translate({3}).has_value());
  // Once the engine uses its own names, a router's hash is no name.
  BOOST_TEST(!Learned.translate({11}).has_value());
}

BOOST_AUTO_TEST_CASE(learned_names_are_bounded) {
  BlockNames Learned;
  for (uint64_t Index = 1; Index <= 3 * BlockNames::MaxNames; ++Index) {
    BlockHash Block{Index + (1ULL << 40)};
    EngineBlockName Name{Index};
    Learned.learn({&Block, 1}, {&Name, 1});
  }
  BOOST_TEST(Learned.size() <= BlockNames::MaxNames);
}
