/// \file
/// Targets whose answers do not end, and the memory that a process has taken.
#ifndef FERRY_TESTS_SUPPORT_ENDLESSTARGET_H
#define FERRY_TESTS_SUPPORT_ENDLESSTARGET_H

#include "Fakes/FakeScriptedTarget.h"
#include "LibCore/Time.h"
#include <atomic>
#include <fstream>
#include <limits>
#include <string>
#include <thread>

namespace ferry::test {

/// An answer that begins with Start and repeats Rest until the peer closes, or
/// until MaxBytes are written.
struct EndlessAnswer {
  const char *Name;
  const char *Path;
  std::string Start;
  std::string Rest;
  size_t MaxBytes = std::numeric_limits<size_t>::max();
  /// What follows after MaxBytes, before an orderly close.
  std::string End = {};
};

inline std::ostream &operator<<(std::ostream &Out, const EndlessAnswer &Case) {
  return Out << Case.Name;
}

/// Writes one answer to all requests. Used by several threads.
class EndlessTarget {
public:
  explicit EndlessTarget(const EndlessAnswer &Case) : Case(Case) {
    while (Block.size() < BlockBytes)
      Block += Case.Rest;
  }

  void serve(fakes::ScriptedConnection &Link) {
    ++Started;
    Timestamp Limit = steadyNow() + SendLimit;
    bool Open = Link.write(Case.Start);
    for (size_t Sent = 0; Open && Sent < Case.MaxBytes && steadyNow() < Limit;
         Sent += Block.size()) {
      Open = Link.write(Block);
      std::this_thread::sleep_for(Pause);
    }
    if (Open && Case.MaxBytes < std::numeric_limits<size_t>::max())
      Link.write(Case.End);
  }

  std::atomic<int> Started = 0;

private:
  static constexpr size_t BlockBytes = 64 << 10;
  /// Keeps the callers' and targets' own work small beside the router's.
  static constexpr std::chrono::milliseconds Pause{10};
  /// A target stops sending after this, so that a test that fails ends.
  static constexpr std::chrono::seconds SendLimit{8};

  const EndlessAnswer &Case;
  std::string Block;
};

/// \returns the value of a line of /proc/PID/status such as "VmHWM", in bytes;
/// 0 if the process has ended.
inline uint64_t memoryOf(int Process, const std::string &Line) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Text; std::getline(Status, Text);)
    if (Text.starts_with(Line + ":"))
      return std::stoull(Text.substr(Line.size() + 1)) << 10;
  return 0;
}

} // namespace ferry::test

#endif
