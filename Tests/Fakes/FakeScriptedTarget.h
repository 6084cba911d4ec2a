/// \file
/// A target on loopback whose bytes a test writes itself.
#ifndef FERRY_FAKES_FAKESCRIPTEDTARGET_H
#define FERRY_FAKES_FAKESCRIPTEDTARGET_H

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ferry::fakes {

/// A request as the target read it.
struct ReadRequest {
  Poco::Net::HTTPRequest Head;
  std::string Body;
};

/// One connection, to be answered in any way.
class ScriptedConnection {
public:
  explicit ScriptedConnection(Poco::Net::StreamSocket Socket)
      : Socket(std::move(Socket)) {}

  /// Writes \p Bytes as they are. \returns false once the peer is gone.
  bool write(const std::string &Bytes);
  /// Ends the connection with a reset instead of an orderly close.
  void reset();
  /// Waits until the peer has closed. \returns false after \p Limit.
  bool awaitPeerClosed(std::chrono::milliseconds Limit);

private:
  Poco::Net::StreamSocket Socket;
};

/// Reads one request on each connection and runs its script.
class FakeScriptedTarget {
public:
  using Script = std::function<void(const ReadRequest &, ScriptedConnection &)>;

  explicit FakeScriptedTarget(Script Answer);
  ~FakeScriptedTarget();
  FakeScriptedTarget(const FakeScriptedTarget &) = delete;
  FakeScriptedTarget &operator=(const FakeScriptedTarget &) = delete;

  std::string address() const { return Address; }
  std::vector<ReadRequest> requests() const;
  size_t requestCount() const { return requests().size(); }

private:
  void accept();
  void serve(Poco::Net::StreamSocket Socket);

  Script Answer;
  Poco::Net::ServerSocket Listener;
  std::string Address;
  std::atomic<bool> Stopping = false;
  mutable std::mutex Mutex;
  std::vector<ReadRequest> Requests;
  std::vector<std::thread> Serving;
  std::thread Acceptor;
};

} // namespace ferry::fakes

#endif
