// Parses randomly mutated samples: whatever the text, the parsers must neither
// crash nor return an error without a kind and a file.
#include "LibConfig/Parse.h"
#include "LibConfig/TokenFile.h"
#include "LibCore/Random.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::config;

static std::string sample(const std::string &Name) {
  auto Text = tryReadText(std::string(FERRY_SOURCE_DIR) + "/Examples/" + Name);
  BOOST_REQUIRE_MESSAGE(Text.has_value(), Name);
  return *Text;
}

/// Snippets with a meaning in YAML or in the schema.
static const char *const Snippets[] = {
    "[",  "]",    "{",   "}",  ": ",  "- ",          "\n",  "\"", "'",
    "&a", "*a",   "|",   ">",  "---", "...",         "\t",  "%",  "!!",
    "<<", "~",    "#",   "? ", ",",   "\xff\xfe",    "\r",  "0",  "-1",
    "id", "null", "1e9", " ",  "  ",  "127.0.0.1:1", "\x00"};

static void mutate(std::string &Text, RandomGenerator &Random) {
  size_t Position = randomBelow(Random, Text.size() + 1);
  size_t Length = randomBelow(Random, 12);
  switch (randomBelow(Random, 4)) {
  case 0:
    Text.insert(Position, Snippets[randomBelow(Random, std::size(Snippets))]);
    break;
  case 1:
    Text.erase(Position, Length);
    break;
  case 2:
    Text.insert(Position,
                Text.substr(randomBelow(Random, Text.size() + 1), Length));
    break;
  default:
    if (Position < Text.size())
      Text[Position] = static_cast<char>(randomBelow(Random, 256));
  }
}

/// Requires that every error has a kind and names the parsed file.
/// \returns 1 if there is a value, else 0.
template <typename ResultType>
static uint64_t countValid(const ResultType &Parsed) {
  if (Parsed)
    return 1;
  BOOST_REQUIRE(!Parsed.error().empty());
  for (const ConfigError &Error : Parsed.error()) {
    BOOST_REQUIRE(Error.File == "fuzz");
    BOOST_REQUIRE(enumName(Error.Kind) != "unknown");
  }
  return 0;
}

BOOST_AUTO_TEST_CASE(mutated_texts_give_a_value_or_typed_errors) {
  RandomGenerator Random(20261203);
  const std::string Samples[] = {
      sample("prestamos-austral.yaml"), sample("bridge-permit-desk.yaml"),
      sample("hosts/host-1.yaml"), sample("hosts/tokens")};
  uint64_t Accepted = 0;
  for (int Round = 0; Round < 4'000; ++Round) {
    std::string Text = Samples[Round % std::size(Samples)];
    for (uint64_t Count = randomBelow(Random, 8) + 1; Count > 0; --Count)
      mutate(Text, Random);
    Accepted += countValid(tryParseDescription(Text, "fuzz"));
    Accepted += countValid(tryParseSettings(Text, "fuzz"));
    Accepted += countValid(tryParseTokens(Text, "fuzz"));
  }
  // If no mutated text were valid, only the first check would be exercised.
  BOOST_TEST(Accepted > 100u);
}
