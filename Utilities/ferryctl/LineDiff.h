/// \file
/// The difference of two texts, line by line.
#ifndef FERRY_FERRYCTL_LINEDIFF_H
#define FERRY_FERRYCTL_LINEDIFF_H

#include <cstdint>
#include <string>
#include <vector>

namespace ferry::ctl {

/// Which text a line stands in.
enum class LineOrigin : uint8_t { Both, Old, New };

/// One line of a difference.
struct DiffLine {
  LineOrigin Origin = LineOrigin::Both;
  std::string Text;
};

/// \returns the lines of both texts, with a longest common subsequence as
/// LineOrigin::Both.
std::vector<DiffLine> diffLines(const std::string &Old, const std::string &New);

} // namespace ferry::ctl

#endif
