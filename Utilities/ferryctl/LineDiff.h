/// \file
/// Compares two texts line by line.
#ifndef FERRY_FERRYCTL_LINEDIFF_H
#define FERRY_FERRYCTL_LINEDIFF_H

#include <cstdint>
#include <string>
#include <vector>

namespace ferry::ctl {

/// Which of the compared texts contain a line.
enum class LineOrigin : uint8_t { Both, Old, New };

/// One line of a difference.
struct DiffLine {
  LineOrigin Origin = LineOrigin::Both;
  std::string Text;
};

/// \returns the lines of both texts in order; the lines of a longest common
/// subsequence occur once, as LineOrigin::Both.
std::vector<DiffLine> diffLines(const std::string &Old, const std::string &New);

} // namespace ferry::ctl

#endif
