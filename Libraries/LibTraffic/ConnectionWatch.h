/// \file
/// Ends connections that are in use past a deadline.
#ifndef FERRY_LIBTRAFFIC_CONNECTIONWATCH_H
#define FERRY_LIBTRAFFIC_CONNECTIONWATCH_H

#include "LibCore/Time.h"
#include <Poco/Net/StreamSocket.h>
#include <map>
#include <mutex>

namespace ferry::traffic {

/// Tracks the connections of one listener that threads are working on. The
/// deadlines bound how long a peer that trickles single bytes can occupy a
/// thread.
class ConnectionWatch {
public:
  using Id = uint64_t;

  /// Adds a connection that is ended at \p Deadline.
  Id add(const Poco::Net::StreamSocket &Socket, Timestamp Deadline);
  /// Replaces the deadline of a connection.
  void setDeadline(Id Connection, Timestamp Deadline);
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
  };

  static void end(Entry &Watched);

  std::mutex Mutex;
  std::map<Id, Entry> Connections;
  Id NextId = 1;
  bool AllEnded = false;
};

} // namespace ferry::traffic

#endif
