/// \file
/// A target on loopback whose answers a test writes byte by byte.
#ifndef FERRY_FAKES_FAKESCRIPTEDTARGET_H
#define FERRY_FAKES_FAKESCRIPTEDTARGET_H

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ferry::fakes {

/// A request that a scripted target received.
struct ReceivedRequest {
  Poco::Net::HTTPRequest Head;
  std::string Body;
};

/// The connection of one request, on which a script writes the answer.
class ScriptedConnection {
public:
  explicit ScriptedConnection(Poco::Net::StreamSocket Socket)
      : Socket(std::move(Socket)) {}

  /// Writes \p Bytes as they are. \returns false once the peer has closed.
  bool write(const std::string &Bytes);
  /// Ends the connection with a reset instead of an orderly close.
  void reset();
  /// Waits until the peer has closed. \returns false if \p Limit passes first.
  bool awaitPeerClosed(std::chrono::milliseconds Limit);

private:
  Poco::Net::StreamSocket Socket;
};

/// Reads one request on each connection and runs the script on it.
class FakeScriptedTarget {
public:
  using Script =
      std::function<void(const ReceivedRequest &, ScriptedConnection &)>;

  /// Whether a connection from a port is reset as soon as it is accepted.
  using Gate = std::function<bool(uint16_t PeerPort)>;

  explicit FakeScriptedTarget(
      Script Answer, Gate IsReset = [](uint16_t) { return false; });
  ~FakeScriptedTarget();
  FakeScriptedTarget(const FakeScriptedTarget &) = delete;
  FakeScriptedTarget &operator=(const FakeScriptedTarget &) = delete;

  std::string address() const { return Address; }
  std::vector<ReceivedRequest> requests() const;
  size_t requestCount() const { return requests().size(); }

private:
  void accept();
  void joinEnded();
  void serve(Poco::Net::StreamSocket Socket);

  Script Answer;
  Gate IsReset;
  Poco::Net::ServerSocket Listener;
  std::string Address;
  std::atomic<bool> Stopping = false;
  mutable std::mutex Mutex;
  std::vector<ReceivedRequest> Requests;
  /// Used by the acceptor only; those that have ended are joined now and then,
  /// as each keeps its stack until then.
  struct ConnectionThread {
    std::atomic<bool> Ended = false;
    std::thread Runner;
  };
  std::list<ConnectionThread> ConnectionThreads;
  std::thread Acceptor;
};

} // namespace ferry::fakes

#endif
