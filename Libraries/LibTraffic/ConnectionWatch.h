/// \file
/// Ends connections whose current phase has lasted past its deadline.
#ifndef FERRY_LIBTRAFFIC_CONNECTIONWATCH_H
#define FERRY_LIBTRAFFIC_CONNECTIONWATCH_H

#include "LibCore/Time.h"
#include <Poco/Net/StreamSocket.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace ferry::traffic {

/// What a server connection is doing.
enum class ConnectionPhase : uint8_t { Idle, Reading, Working };

/// Tracks the open connections of one listener. The deadlines of phases bound
/// how long a peer that trickles single bytes can occupy a connection.
class ConnectionWatch {
public:
  using Id = uint64_t;

  ConnectionWatch();
  ~ConnectionWatch();
  ConnectionWatch(const ConnectionWatch &) = delete;
  ConnectionWatch &operator=(const ConnectionWatch &) = delete;

  /// Adds a connection in ConnectionPhase::Idle.
  Id add(const Poco::Net::StreamSocket &Socket);
  /// Moves a connection to \p Phase, which must end before \p Deadline.
  void enterPhase(Id Connection, ConnectionPhase Phase, Timestamp Deadline);
  /// Removes a connection that its thread is about to close.
  void remove(Id Connection);
  /// Ends every idle connection, and from now on each that becomes idle.
  void endIdle();
  /// Ends every connection.
  void endAll();

private:
  struct Entry {
    Poco::Net::StreamSocket Socket;
    ConnectionPhase Phase = ConnectionPhase::Idle;
    Timestamp Deadline = NeverExpires;
  };

  static void end(Entry &Connection);
  void checkUntilStopped();

  std::mutex Mutex;
  std::condition_variable StopRequested;
  std::map<Id, Entry> Connections;
  Id NextId = 1;
  bool EndingIdle = false;
  bool Stopping = false;
  std::thread Checker;
};

} // namespace ferry::traffic

#endif
