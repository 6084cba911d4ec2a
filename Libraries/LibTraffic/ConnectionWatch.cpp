#include "LibTraffic/ConnectionWatch.h"
#include <Poco/Exception.h>

namespace ferry::traffic {

/// Time between two checks of the deadlines.
static constexpr std::chrono::milliseconds CheckPeriod{100};

ConnectionWatch::ConnectionWatch() : Checker([this] { checkUntilStopped(); }) {}

ConnectionWatch::~ConnectionWatch() {
  {
    std::lock_guard Lock(Mutex);
    Stopping = true;
  }
  StopRequested.notify_all();
  Checker.join();
}

ConnectionWatch::Id
ConnectionWatch::add(const Poco::Net::StreamSocket &Socket) {
  std::lock_guard Lock(Mutex);
  Id Connection = NextId++;
  Entry &NewEntry =
      Connections.emplace(Connection, Entry{Socket}).first->second;
  if (EndingIdle)
    end(NewEntry);
  return Connection;
}

void ConnectionWatch::enterPhase(Id Connection, ConnectionPhase Phase,
                                 Timestamp Deadline) {
  std::lock_guard Lock(Mutex);
  auto Watched = Connections.find(Connection);
  if (Watched == Connections.end())
    return;
  Watched->second.Phase = Phase;
  Watched->second.Deadline = Deadline;
  if (EndingIdle && Phase == ConnectionPhase::Idle)
    end(Watched->second);
}

void ConnectionWatch::remove(Id Connection) {
  std::lock_guard Lock(Mutex);
  Connections.erase(Connection);
}

void ConnectionWatch::endIdle() {
  std::lock_guard Lock(Mutex);
  EndingIdle = true;
  for (auto &[Connection, Watched] : Connections)
    if (Watched.Phase == ConnectionPhase::Idle)
      end(Watched);
}

void ConnectionWatch::endAll() {
  std::lock_guard Lock(Mutex);
  for (auto &[Connection, Watched] : Connections)
    end(Watched);
}

void ConnectionWatch::end(Entry &Connection) {
  try {
    Connection.Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
  }
}

void ConnectionWatch::checkUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (
      !StopRequested.wait_for(Lock, CheckPeriod, [this] { return Stopping; })) {
    Timestamp Now = steadyNow();
    for (auto &[Connection, Watched] : Connections)
      if (Watched.Deadline <= Now)
        end(Watched);
  }
}

} // namespace ferry::traffic
