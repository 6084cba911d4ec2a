/// \file
/// A loopback proxy that harms the connections which pass through it.
#ifndef FERRY_TESTS_FAKES_FAKEPROXY_H
#define FERRY_TESTS_FAKES_FAKEPROXY_H

#include "LibCore/Time.h"
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace ferry::fakes {

/// What happens to connections, old and new.
enum class ProxyMode : uint8_t {
  Pass,
  /// Bytes arrive late, both ways.
  Delay,
  /// Bytes of those that connect do not arrive, or those of the other side,
  /// or neither. They do once another mode is set.
  HoldRequests,
  HoldAnswers,
  HoldAll,
  /// Connections are reset as they come.
  Reset
};

/// Passes the bytes of all connections to one address on, on a thread of its
/// own.
class FakeProxy {
public:
  /// Listens on \p Address ("IP:port"; port 0 for any) for \p Behind.
  FakeProxy(const std::string &Address, std::string Behind);
  ~FakeProxy();
  FakeProxy(const FakeProxy &) = delete;
  FakeProxy &operator=(const FakeProxy &) = delete;

  std::string address() const { return Address; }
  void set(ProxyMode Wanted) { Mode = Wanted; }

private:
  /// One direction of a connection.
  struct Direction {
    std::string Bytes;
    Timestamp DueAt{};
    bool Ended = false;
  };
  struct Link {
    Poco::Net::StreamSocket Caller;
    Poco::Net::StreamSocket Server;
    Direction Requests;
    Direction Answers;
    bool Broken = false;
  };

  void run();
  void acceptSome();
  void resetAll();
  bool isHeld(const Link &Of, const Direction &Way) const;
  void serve(Link &Passing);
  void move(Link &Of, Poco::Net::StreamSocket &From,
            Poco::Net::StreamSocket &To, Direction &Way);

  std::string Behind;
  Poco::Net::ServerSocket Listener;
  std::string Address;
  std::atomic<ProxyMode> Mode = ProxyMode::Pass;
  std::atomic<bool> Stopping = false;
  std::list<Link> Links;
  std::thread Runner;
};

} // namespace ferry::fakes

#endif
