#include "LibCore/ConstantTime.h"
#include <cstddef>

namespace ferry {

bool equalInConstantTime(std::string_view Shown, std::string_view Expected) {
  // The differing lengths are folded in, so that no early return shows one.
  size_t Difference = Shown.size() ^ Expected.size();
  for (size_t Index = 0; Index < Shown.size(); ++Index) {
    char Other = Expected.empty() ? '\0' : Expected[Index % Expected.size()];
    Difference |= static_cast<unsigned char>(Shown[Index] ^ Other);
  }
  return Difference == 0;
}

} // namespace ferry
