// libFuzzer target for the parsers of descriptions, settings and token files.
// CONTRIBUTING.md describes how to run it.
#include "LibConfig/Parse.h"
#include "LibConfig/TokenFile.h"
#include <cstdint>

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Bytes, size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Bytes), Size);
  (void)ferry::config::tryParseDescription(Text, "fuzz");
  (void)ferry::config::tryParseSettings(Text, "fuzz");
  (void)ferry::config::tryParseTokens(Text, "fuzz");
  return 0;
}
