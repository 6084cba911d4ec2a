/// \file
/// Ends connections whose present phase has lasted past its deadline.
#ifndef FERRY_LIBTRAFFIC_CONNECTIONWATCH_H
#define FERRY_LIBTRAFFIC_CONNECTIONWATCH_H

#include "LibCore/Time.h"
#include <Poco/Net/StreamSocket.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace ferry::traffic {

/// What a server connection does at present.
enum class ConnectionPhase : uint8_t { Idle, Reading, Working };

/// Knows the open connections of one listener. A peer that sends a byte now and
/// then cannot hold a connection longer than a phase's deadline.
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
  void enter(Id Connection, ConnectionPhase Phase, Timestamp Deadline);
  /// Forgets a connection.
  void remove(Id Connection);
  /// Ends every connection in ConnectionPhase::Idle, now and from now on.
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
  std::condition_variable StopWanted;
  std::map<Id, Entry> Connections;
  Id NextId = 1;
  bool EndingIdle = false;
  bool Stopping = false;
  std::thread Checker;
};

} // namespace ferry::traffic

#endif
