/// \file
/// An HTTP server on one address that uses the HTTP library's sessions.
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
    /// "IP:port"; port 0 chooses a free port.
    std::string Address;
    /// Largest number of open connections; each needs one thread.
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
  };

  /// Binds and starts. \returns BadAddress or BindFailed.
  static Result<std::unique_ptr<HttpListener>, TrafficError>
  tryStart(const Options &Options, Handler HandleRequest);

  ~HttpListener();
  HttpListener(const HttpListener &) = delete;
  HttpListener &operator=(const HttpListener &) = delete;

  /// The "IP:port" it listens on.
  const std::string &address() const { return BoundAddress; }

  /// Accepts no new connections, ends idle ones, waits until \p Deadline for
  /// requests in progress and then ends their connections too.
  void stop(Timestamp Deadline);

  /// \returns the number of open connections.
  int connections() const { return Server->currentConnections(); }

private:
  friend class HttpConnection;

  HttpListener(const Options &Options, Handler HandleRequest,
               const Poco::Net::ServerSocket &Socket);

  Options Opts;
  Handler HandleRequest;
  std::string BoundAddress;
  BodyBudget Budget;
  ConnectionWatch Watch;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::TCPServer> Server;
  bool Stopped = false;
};

} // namespace ferry::traffic

#endif
