/// \file
/// An HTTP server on one address, over the HTTP library's sessions.
#ifndef FERRY_LIBTRAFFIC_HTTPLISTENER_H
#define FERRY_LIBTRAFFIC_HTTPLISTENER_H

#include "LibConfig/Settings.h"
#include "LibCore/Result.h"
#include "LibTraffic/ConnectionWatch.h"
#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/TrafficError.h"
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

namespace ferry::traffic {

/// Accepts connections and calls a handler for each request.
class HttpListener {
public:
  /// Answers one request. Called on the connection's own thread.
  using Handler = std::function<void(HttpExchange &)>;

  struct Options {
    /// "IP:port"; port 0 takes a free one.
    std::string Address;
    /// Open connections at a time; each takes one thread.
    uint32_t MaxConnections = 64;
    uint64_t MaxHeaderBytes = 0;
    /// Bytes of request bodies in memory at a time, over all connections.
    uint64_t BodyBudgetBytes = 0;
    /// Longest time from the first byte of a request to its header's end.
    Duration HeaderReadLimit = std::chrono::seconds(10);
    /// Longest time from the end of a header to the end of its body.
    Duration BodyReadLimit = std::chrono::seconds(60);
    /// How long a connection may stay open between two requests; asked when it
    /// opens.
    std::function<Duration()> IdleLimit = [] {
      return Duration(std::chrono::seconds(15));
    };
  };

  /// Binds and starts. \returns BadAddress or BindFailed.
  static Result<std::unique_ptr<HttpListener>, TrafficError>
  tryStart(const Options &Options, Handler Handle);

  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// The "IP:port" it listens on.
  const std::string &address() const { return BoundAddress; }

  /// Takes no new connections, ends idle ones, waits for those in work until
  /// \p Deadline and then ends them too.
  void stop(Timestamp Deadline);

  /// \returns the number of open connections.
  int connections() const { return Server->currentConnections(); }

private:
  friend class HttpConnection;

  HttpListener(const Options &Options, Handler Handle,
               const Poco::Net::ServerSocket &Socket);

  Options Given;
  Handler Handle;
  std::string BoundAddress;
  BodyBudget Budget;
  ConnectionWatch Watch;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::TCPServer> Server;
  bool Stopped = false;
};

} // namespace ferry::traffic

#endif
