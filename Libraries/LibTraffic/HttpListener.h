/// \file
/// An HTTP server on one address that uses the HTTP library's sessions.
#ifndef FERRY_LIBTRAFFIC_HTTPLISTENER_H
#define FERRY_LIBTRAFFIC_HTTPLISTENER_H

#include "LibConfig/Settings.h"
#include "LibCore/Result.h"
#include "LibTraffic/HttpConnection.h"
#include "LibTraffic/TrafficError.h"
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace ferry::traffic {

/// Accepts connections and calls a handler for each request.
///
/// Callers keep many connections open and use few of them at a time. One thread
/// waits for all idle connections, and for the rest of heads; a connection
/// occupies a thread of the pool only while it has bytes of a head, and from
/// the end of a head to the end of the answer.
class HttpListener {
public:
  /// Answers one request. Called on a thread of the pool.
  using Handler = std::function<void(HttpExchange &)>;

  struct Options {
    /// "IP:port"; port 0 chooses a free port.
    std::string Address;
    /// Largest number of open connections. Beyond it, the connection that has
    /// been idle for longest, and for a second at least, is closed; if there is
    /// none, no connection is accepted.
    uint32_t MaxConnections = 64;
    uint64_t MaxHeaderBytes = 0;
    /// Limit of the bytes of request bodies in memory, over all connections.
    uint64_t BodyBudgetBytes = 0;
    /// Longest time from the first byte of a request to its header's end.
    Duration HeaderReadLimit = std::chrono::seconds(10);
    /// Longest time from the end of a header to the end of its body.
    Duration BodyReadLimit = std::chrono::seconds(60);
    /// Longest time that a connection may stay open between two requests.
    /// Called when the connection opens.
    std::function<Duration()> IdleLimit = [] {
      return Duration(std::chrono::seconds(15));
    };
    /// Largest number of connections that have a request in progress. Further
    /// ones wait, with their requests unread; then bodies that come more slowly
    /// than a few kilobytes a second are given up.
    uint32_t MaxActive = 512;
    /// A caller that takes less than a kilobyte of its answer in this time is
    /// cut off.
    Duration SendLimit = std::chrono::seconds(30);
    /// Limit of the bytes of heads in memory, over all connections, beyond the
    /// first bytes of each that need no reservation. Raised to what one head of
    /// the largest size takes.
    uint64_t HeadBudgetBytes = config::InputLimits().MaxHeadMemoryBytes;
    /// Replaces HeaderReadLimit if set. Called at the first byte of a request.
    std::function<Duration()> CurrentHeaderReadLimit = {};
  };

  /// Binds and starts. \returns BadAddress or BindFailed.
  static Result<std::unique_ptr<HttpListener>, TrafficError>
  tryStart(const Options &Options, Handler HandleRequest);

  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// The "IP:port" it listens on.
  const std::string &address() const { return BoundAddress; }

  /// Serves what has been received, and what arrives within StopLinger, with
  /// answers that close their connections. Then it accepts no new connections,
  /// ends idle ones, waits until \p Deadline for requests in progress and ends
  /// their connections too.
  void stop(Timestamp Deadline);

  /// Longest time that a stop still accepts connections and reads requests.
  /// Requests in the kernel's queues would be reset by a close, and a caller
  /// could not know whether they were run.
  static constexpr std::chrono::milliseconds StopLinger{100};

  /// \returns the number of open connections.
  size_t connections() const;

private:
  using ConnectionPtr = std::unique_ptr<HttpConnection>;

  /// A connection without a request, or with a part of a head.
  struct IdleConnection {
    ConnectionPtr Connection;
    Timestamp Since;
    Timestamp CloseAt;
  };

  /// Runs on one thread of the pool for as long as connections wait.
  class Worker;

  HttpListener(const Options &Options, Handler HandleRequest,
               const Poco::Net::ServerSocket &Socket);

  // On the listener's thread.
  void poll();
  void handleReady(const Poco::Net::Socket &Ready);
  void accept();
  /// Accepts all connections that the kernel holds, beyond the limit too.
  void acceptQueued();
  /// Closes an idle connection if there are too many. \returns false if none
  /// can be closed; no connection is accepted then for a while.
  bool makeRoom();
  /// Accepts connections again. Mutex must be locked.
  void resumeAccepting();
  void closeExpired(Timestamp Now);
  /// If connections wait for a thread, ends bodies that callers have been slow
  /// to send.
  void endSlowBodies(Timestamp Now);
  /// Hands a connection with a request over to the pool.
  void activate(const Poco::Net::Socket &Readable);
  /// Serves a connection with a request on a thread of the pool, once one is
  /// free.
  void serveOnPool(ConnectionPtr Connection);
  /// Serves or closes the connections without a request in progress during a
  /// stop. \returns whether requests are in progress, wait or may still come.
  bool endIdle(Timestamp Deadline);

  // On a thread of the pool.
  void serveUntilNoneWaits(ConnectionPtr First);
  /// Returns an open connection to the listener's thread. \returns the next
  /// connection that waits for a thread, or nothing.
  ConnectionPtr finish(ConnectionPtr Served, bool KeepOpen);

  void addIdle(ConnectionPtr Connection);

  Options Opts;
  ConnectionContext Context;
  Poco::Net::ServerSocket Server;
  std::string BoundAddress;
  Poco::Net::PollSet Polled;
  mutable std::mutex Mutex;
  std::map<Poco::Net::Socket, IdleConnection> Idle;
  /// Connections with a request for which no thread was free.
  std::deque<ConnectionPtr> Waiting;
  size_t Active = 0;
  /// The listener's thread ends at this time.
  std::atomic<Timestamp> PollUntil = NeverExpires;
  /// Open connections are not kept for further requests.
  std::atomic<bool> Stopping = false;
  Poco::ThreadPool Threads;
  std::thread Poller;
  bool Stopped = false;
};

} // namespace ferry::traffic

#endif
