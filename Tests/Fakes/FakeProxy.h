/// \file
/// A loopback proxy that disturbs the connections that pass through it.
#ifndef FERRY_TESTS_FAKES_FAKEPROXY_H
#define FERRY_TESTS_FAKES_FAKEPROXY_H

#include "LibCore/Time.h"
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace ferry::fakes {

/// What the proxy does to its connections, open and new.
enum class ProxyMode : uint8_t {
  Pass,
  /// Delays the bytes of both directions.
  Delay,
  /// Holds back the bytes of the connecting side, of the other side, or of
  /// both, until another mode is set.
  HoldRequests,
  HoldAnswers,
  HoldAll,
  /// Resets open and new connections.
  Reset
};

/// Forwards connections to one address, on a thread of its own.
class FakeProxy {
public:
  /// Listens on \p Address ("IP:port"; port 0 for any) and forwards to
  /// \p Upstream.
  FakeProxy(const std::string &Address, std::string Upstream);
  ~FakeProxy();
  FakeProxy(const FakeProxy &) = delete;
  FakeProxy &operator=(const FakeProxy &) = delete;

  std::string address() const { return Address; }
  void setMode(ProxyMode NewMode) { Mode = NewMode; }
  /// Limits the bytes that the connecting sides send, all together; 0 for no
  /// limit.
  void setRequestBytesPerSecond(int64_t Rate) { RequestRate = Rate; }
  /// \returns the bytes of the connecting sides that were forwarded.
  uint64_t requestBytes() const { return RequestBytes; }
  /// Whether a new connection from a port is reset as soon as it is accepted.
  using Gate = std::function<bool(uint16_t PeerPort)>;
  void setGate(Gate NewGate) {
    std::lock_guard Lock(GateMutex);
    IsReset = std::move(NewGate);
  }

private:
  /// One direction of a connection, with the bytes that wait to be sent.
  struct Direction {
    std::string Bytes;
    Timestamp DueAt{};
    bool Ended = false;
  };
  struct Connection {
    Poco::Net::StreamSocket Caller;
    Poco::Net::StreamSocket Server;
    Direction Requests;
    Direction Answers;
    bool Broken = false;
  };

  bool isReset(uint16_t PeerPort) {
    std::lock_guard Lock(GateMutex);
    return IsReset(PeerPort);
  }
  void run();
  void acceptPending();
  void resetAll();
  bool isHeld(const Connection &Link, const Direction &Flow) const;
  void forwardBoth(Connection &Link);
  /// \returns how many of \p Wanted bytes the limit of requests allows now.
  size_t allowedRequestBytes(size_t Wanted);
  void forward(Connection &Link, Poco::Net::StreamSocket &From,
               Poco::Net::StreamSocket &To, Direction &Flow);

  std::mutex GateMutex;
  Gate IsReset = [](uint16_t) { return false; };
  std::string Upstream;
  Poco::Net::ServerSocket Listener;
  std::string Address;
  std::atomic<ProxyMode> Mode = ProxyMode::Pass;
  std::atomic<int64_t> RequestRate = 0;
  std::atomic<uint64_t> RequestBytes = 0;
  /// Bytes that the limit still allows at BudgetAt.
  int64_t RequestBudget = 0;
  Timestamp BudgetAt;
  std::atomic<bool> Stopping = false;
  std::list<Connection> Links;
  std::thread Runner;
};

} // namespace ferry::fakes

#endif
