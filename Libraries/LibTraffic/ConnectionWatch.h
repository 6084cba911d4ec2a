/// \file
/// Ends connections that are in use past a deadline.
#ifndef FERRY_LIBTRAFFIC_CONNECTIONWATCH_H
#define FERRY_LIBTRAFFIC_CONNECTIONWATCH_H

#include "LibCore/Time.h"
#include <Poco/Net/StreamSocket.h>
#include <map>
#include <mutex>

namespace ferry::traffic {

/// Tracks connections that threads are working on: those of one listener, where
/// the deadlines bound how long a peer that trickles single bytes can occupy a
/// thread, or those to targets, which end before the process exits.
class ConnectionWatch {
public:
  using Id = uint64_t;

  /// Adds a connection that is ended at \p Deadline.
  Id add(const Poco::Net::StreamSocket &Socket, Timestamp Deadline);
  /// Replaces the deadline of a connection.
  void setDeadline(Id Connection, Timestamp Deadline);
  /// Notes that the thread of a connection has waited for the caller's bytes
  /// since \p Since; NeverExpires if it does no more.
  void setAwaitedSince(Id Connection, Timestamp Since);
  /// Ends the reading from those callers that have been waited for since
  /// \p Before or longer, the longest first.
  /// \returns their number, at most \p Count.
  size_t endAwaited(size_t Count, Timestamp Before);
  /// \returns whether the connection was ended by its deadline or by endAll().
  bool wasEnded(Id Connection);
  /// Removes a connection that its thread has finished with.
  void remove(Id Connection);
  /// Ends the connections whose deadline is not after \p Now.
  void endOverdue(Timestamp Now);
  /// Ends every connection, and those that are added later.
  void endAll();

private:
  struct Entry {
    Poco::Net::StreamSocket Socket;
    Timestamp Deadline;
    Timestamp AwaitedSince = NeverExpires;
    bool Ended = false;
  };

  static void end(Entry &Watched);

  std::mutex Mutex;
  std::map<Id, Entry> Connections;
  Id NextId = 1;
  bool AllEnded = false;
};

/// Keeps a connection without a deadline in a watch while it is in use.
class WatchedConnection {
public:
  WatchedConnection(ConnectionWatch &Watch,
                    const Poco::Net::StreamSocket &Socket)
      : Watch(Watch), Connection(Watch.add(Socket, NeverExpires)) {}
  ~WatchedConnection() { Watch.remove(Connection); }
  bool wasEnded() const { return Watch.wasEnded(Connection); }
  WatchedConnection(const WatchedConnection &) = delete;
  WatchedConnection &operator=(const WatchedConnection &) = delete;

private:
  ConnectionWatch &Watch;
  ConnectionWatch::Id Connection;
};

} // namespace ferry::traffic

#endif
