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
  StopWanted.notify_all();
  Checker.join();
}

ConnectionWatch::Id
ConnectionWatch::add(const Poco::Net::StreamSocket &Socket) {
  std::lock_guard Lock(Mutex);
  Id Connection = NextId++;
  Entry &Added = Connections.emplace(Connection, Entry{Socket}).first->second;
  if (EndingIdle)
    end(Added);
  return Connection;
}

void ConnectionWatch::enter(Id Connection, ConnectionPhase Phase,
                            Timestamp Deadline) {
  std::lock_guard Lock(Mutex);
  auto Found = Connections.find(Connection);
  if (Found == Connections.end())
    return;
  Found->second.Phase = Phase;
  Found->second.Deadline = Deadline;
  if (EndingIdle && Phase == ConnectionPhase::Idle)
    end(Found->second);
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
    // The peer has closed it already.
  }
}

void ConnectionWatch::checkUntilStopped() {
  std::unique_lock Lock(Mutex);
  while (!StopWanted.wait_for(Lock, CheckPeriod, [this] { return Stopping; })) {
    Timestamp Now = steadyNow();
    for (auto &[Connection, Watched] : Connections)
      if (Watched.Deadline <= Now)
        end(Watched);
  }
}

} // namespace ferry::traffic
