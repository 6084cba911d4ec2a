/// \file
/// Callers that keep a listener's connections busy with bytes that make no
/// request, and what that costs its process.
#ifndef FERRY_TESTS_SUPPORT_HOSTILECROWD_H
#define FERRY_TESTS_SUPPORT_HOSTILECROWD_H

#include "LibCore/Time.h"
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ferry::test {

/// What each caller of a crowd sends: the start once, then the rest for as long
/// as the connection is open. An empty rest is silence.
struct HostileBytes {
  std::string Name;
  std::string Start;
  std::string Rest;
};

/// Connections that are opened again as soon as they end.
class HostileCrowd {
public:
  HostileCrowd(std::string Address, size_t Count, HostileBytes Bytes);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd &) = delete;
  HostileCrowd &operator=(const HostileCrowd &) = delete;

private:
  struct Caller {
    std::optional<Poco::Net::StreamSocket> Socket;
    /// Bytes of the start that were sent.
    size_t Sent = 0;
  };

  void run();
  void connect(Caller &Connecting) const;
  void send(Caller &Sending) const;

  const std::string Address;
  const HostileBytes Bytes;
  std::vector<Caller> Callers;
  std::atomic<bool> Stopping = false;
  std::thread Runner;
};

/// Watches what a process uses, until it is stopped or destroyed.
class ProcessUsage {
public:
  /// \param Address the IP address that only this process listens on.
  ProcessUsage(int Process, const std::string &Address);
  ~ProcessUsage() { stop(); }
  ProcessUsage(const ProcessUsage &) = delete;
  ProcessUsage &operator=(const ProcessUsage &) = delete;

  void stop();
  /// \returns the peak of the resident memory since the start of the process,
  /// and the most bytes that its sockets held unread.
  uint64_t peakBytes() const;
  /// \returns the second part of these.
  uint64_t peakUnreadBytes() const { return UnreadBytes; }
  size_t peakDescriptors() const { return Descriptors; }

  /// \returns the resident bytes now.
  static uint64_t residentBytes(int Process);

private:
  void sample();

  const int Process;
  const std::string AddressHex;
  std::atomic<uint64_t> UnreadBytes = 0;
  std::atomic<size_t> Descriptors = 0;
  std::atomic<bool> Stopping = false;
  std::thread Sampler;
};

} // namespace ferry::test

#endif
