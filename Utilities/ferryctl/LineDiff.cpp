#include "ferryctl/LineDiff.h"
#include <algorithm>
#include <sstream>

namespace ferry::ctl {

using Lines = std::vector<std::string>;

static Lines splitLines(const std::string &Text) {
  Lines Result;
  std::istringstream Stream(Text);
  std::string Line;
  while (std::getline(Stream, Line))
    Result.push_back(Line);
  return Result;
}

static size_t commonPrefix(const Lines &Old, const Lines &New) {
  auto [OldEnd, NewEnd] =
      std::mismatch(Old.begin(), Old.end(), New.begin(), New.end());
  return static_cast<size_t>(OldEnd - Old.begin());
}

/// Cell (I, J) holds the length of the longest common subsequence of the old
/// lines from I and the new ones from J.
static std::vector<std::vector<uint32_t>> commonLengths(const Lines &Old,
                                                        const Lines &New) {
  std::vector<std::vector<uint32_t>> Lengths(
      Old.size() + 1, std::vector<uint32_t>(New.size() + 1));
  for (size_t I = Old.size(); I-- > 0;)
    for (size_t J = New.size(); J-- > 0;)
      Lengths[I][J] = Old[I] == New[J]
                          ? Lengths[I + 1][J + 1] + 1
                          : std::max(Lengths[I + 1][J], Lengths[I][J + 1]);
  return Lengths;
}

static void appendMiddle(std::vector<DiffLine> &Result, const Lines &Old,
                         const Lines &New) {
  auto Lengths = commonLengths(Old, New);
  size_t I = 0;
  size_t J = 0;
  while (I < Old.size() || J < New.size()) {
    if (I < Old.size() && J < New.size() && Old[I] == New[J]) {
      Result.push_back({LineOrigin::Both, Old[I++]});
      ++J;
    } else if (I < Old.size() &&
               (J == New.size() || Lengths[I + 1][J] >= Lengths[I][J + 1])) {
      Result.push_back({LineOrigin::Old, Old[I++]});
    } else {
      Result.push_back({LineOrigin::New, New[J++]});
    }
  }
}

std::vector<DiffLine> diffLines(const std::string &Old,
                                const std::string &New) {
  Lines OldLines = splitLines(Old);
  Lines NewLines = splitLines(New);
  std::vector<DiffLine> Result;
  // Most changes touch few lines: leaving out the common prefix and suffix
  // keeps the table of lengths small.
  size_t Prefix = commonPrefix(OldLines, NewLines);
  for (size_t Index = 0; Index < Prefix; ++Index)
    Result.push_back({LineOrigin::Both, OldLines[Index]});
  OldLines.erase(OldLines.begin(), OldLines.begin() + Prefix);
  NewLines.erase(NewLines.begin(), NewLines.begin() + Prefix);
  Lines Suffix;
  while (!OldLines.empty() && !NewLines.empty() &&
         OldLines.back() == NewLines.back()) {
    Suffix.push_back(OldLines.back());
    OldLines.pop_back();
    NewLines.pop_back();
  }
  appendMiddle(Result, OldLines, NewLines);
  for (auto Line = Suffix.rbegin(); Line != Suffix.rend(); ++Line)
    Result.push_back({LineOrigin::Both, *Line});
  return Result;
}

} // namespace ferry::ctl
