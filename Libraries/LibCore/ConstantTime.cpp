#include "LibCore/ConstantTime.h"
#include <cstddef>

namespace ferry {

bool equalInConstantTime(std::string_view Presented,
                         std::string_view Expected) {
  // A difference in length counts as a difference, without an early return that
  // would reveal it.
  size_t Difference = Presented.size() ^ Expected.size();
  for (size_t Index = 0; Index < Presented.size(); ++Index) {
    char Other = Expected.empty() ? '\0' : Expected[Index % Expected.size()];
    Difference |= static_cast<unsigned char>(Presented[Index] ^ Other);
  }
  return Difference == 0;
}

} // namespace ferry
