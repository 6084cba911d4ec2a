#include "LibTraffic/ConnectionWatch.h"
#include <Poco/Exception.h>
#include <algorithm>
#include <vector>

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

void ConnectionWatch::setAwaitedSince(Id Connection, Timestamp Since) {
  std::lock_guard Lock(Mutex);
  if (auto Watched = Connections.find(Connection); Watched != Connections.end())
    Watched->second.AwaitedSince = Since;
}

size_t ConnectionWatch::endAwaited(size_t Count, Timestamp Before) {
  std::lock_guard Lock(Mutex);
  std::vector<Entry *> Awaited;
  for (auto &[Connection, Watched] : Connections)
    if (Watched.AwaitedSince <= Before)
      Awaited.push_back(&Watched);
  std::sort(Awaited.begin(), Awaited.end(),
            [](const Entry *Left, const Entry *Right) {
              return Left->AwaitedSince < Right->AwaitedSince;
            });
  Awaited.resize(std::min(Count, Awaited.size()));
  for (Entry *Each : Awaited) {
    Each->AwaitedSince = NeverExpires;
    try {
      Each->Socket.shutdownReceive();
    } catch (const Poco::Exception &) {
      // The peer has already closed the connection.
    }
  }
  return Awaited.size();
}

bool ConnectionWatch::wasEnded(Id Connection) {
  std::lock_guard Lock(Mutex);
  auto Watched = Connections.find(Connection);
  return Watched != Connections.end() && Watched->second.Ended;
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
  Watched.Ended = true;
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
