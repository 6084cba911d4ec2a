#include "LibRouting/Rendezvous.h"
#include <xxhash.h>

namespace ferry::routing {

uint64_t hashIdentifier(std::string_view Identifier) {
  return XXH3_64bits(Identifier.data(), Identifier.size());
}

} // namespace ferry::routing
