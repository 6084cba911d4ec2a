#include "LibTraffic/RequestDigest.h"
#include <xxhash.h>

namespace ferry::traffic {

/// \returns the hash of \p Text that continues \p Hash. The length keeps
/// neighbouring texts apart.
static uint64_t extend(uint64_t Hash, const std::string &Text) {
  uint64_t Sized = XXH3_64bits_withSeed(Text.data(), Text.size(), Hash);
  uint64_t Size = Text.size();
  return XXH3_64bits_withSeed(&Size, sizeof(Size), Sized);
}

RequestDigest digestOf(const Poco::Net::HTTPRequest &Head,
                       const std::string &Caller,
                       const std::vector<routing::PromptPart> &Parts,
                       const std::string &Body) {
  uint64_t Hash = 0;
  for (const std::string &Text :
       {Head.getMethod(), Head.get("Host", ""), Head.getURI(), Caller})
    Hash = extend(Hash, Text);
  RequestDigest Result;
  Result.Outline = extend(Hash, Body);
  Result.Whole = Result.Outline;
  for (const routing::PromptPart &Part : Parts) {
    const uint64_t Fields[] = {Part.Id, Part.Tokens};
    Result.Whole = XXH3_64bits_withSeed(Fields, sizeof(Fields), Result.Whole);
  }
  return Result;
}

} // namespace ferry::traffic
