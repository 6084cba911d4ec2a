/// \file
/// The requests that are at targets.
#ifndef FERRY_LIBTRAFFIC_TARGETCALLS_H
#define FERRY_LIBTRAFFIC_TARGETCALLS_H

#include "LibRouting/RoutedCall.h"
#include "LibRouting/UnansweredCalls.h"
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <map>
#include <mutex>

namespace ferry::traffic {

/// Ends the connections of requests whose targets have ended, and tells which
/// requests these were. Thread-safe.
class TargetCalls {
public:
  using Id = uint64_t;
  using EndedHook = std::function<void(const routing::UnansweredCall &)>;

  Id add(const routing::PlacedCall &Placed,
         const Poco::Net::StreamSocket &Socket);
  /// \returns whether the connection was ended because the target had.
  bool wasEnded(Id Call) const;
  void remove(Id Call);
  /// Notes a request without an answer that has ended by itself.
  void noteUnanswered(const routing::PlacedCall &Placed,
                      const routing::CrashSuspect &Suspect);

  /// Ends the connections to targets that \p Announced replace. \param Report
  /// called for each unanswered request to one of these.
  void applyTargets(const std::vector<TargetRecord> &Announced,
                    const EndedHook &Report);

private:
  struct Entry {
    TargetId Target;
    ferry::Incarnation Incarnation;
    std::string Address;
    Poco::Net::StreamSocket Socket;
    bool Ended = false;
  };

  mutable std::mutex Mutex;
  std::map<Id, Entry> InProgress;
  Id NextId = 1;
  routing::UnansweredCalls Unanswered;
};

/// Keeps a request among those at targets for as long as its attempt lasts.
class TargetCallEntry {
public:
  TargetCallEntry(TargetCalls &Calls, const routing::PlacedCall &Placed,
                  const Poco::Net::StreamSocket &Socket)
      : Calls(Calls), Call(Calls.add(Placed, Socket)) {}
  ~TargetCallEntry() { Calls.remove(Call); }
  TargetCallEntry(const TargetCallEntry &) = delete;
  TargetCallEntry &operator=(const TargetCallEntry &) = delete;

  bool wasEnded() const { return Calls.wasEnded(Call); }

private:
  TargetCalls &Calls;
  TargetCalls::Id Call;
};

} // namespace ferry::traffic

#endif
