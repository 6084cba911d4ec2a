#include "LibTraffic/ConnectionWatch.h"
#include <Poco/Exception.h>

namespace ferry::traffic {

ConnectionWatch::Id ConnectionWatch::add(const Poco::Net::StreamSocket &Socket,
                                         Timestamp Deadline) {
  std::lock_guard Lock(Mutex);
  auto Added = Connections.emplace(NextId, Entry{Socket, Deadline}).first;
  if (AllEnded)
    end(Added->second);
  return NextId++;
}

void ConnectionWatch::setDeadline(Id Connection, Timestamp Deadline) {
  std::lock_guard Lock(Mutex);
  if (auto Watched = Connections.find(Connection); Watched != Connections.end())
    Watched->second.Deadline = Deadline;
}

void ConnectionWatch::remove(Id Connection) {
  std::lock_guard Lock(Mutex);
  Connections.erase(Connection);
}

void ConnectionWatch::endAll() {
  std::lock_guard Lock(Mutex);
  AllEnded = true;
  for (auto &[Connection, Watched] : Connections)
    end(Watched);
}

void ConnectionWatch::end(Entry &Watched) {
  try {
    Watched.Socket.shutdown();
  } catch (const Poco::Exception &) {
    // The peer has already closed the connection.
  }
}

void ConnectionWatch::endOverdue(Timestamp Now) {
  std::lock_guard Lock(Mutex);
  for (auto &[Connection, Watched] : Connections)
    if (Watched.Deadline <= Now)
      end(Watched);
}

} // namespace ferry::traffic
