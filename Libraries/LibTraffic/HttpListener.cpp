#include "LibTraffic/HttpListener.h"
#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <algorithm>
#include <thread>

namespace ferry::traffic {

using namespace Poco::Net;

/// How long one send may block on a slow peer, in seconds.
static constexpr int SendTimeoutSeconds = 30;
/// Largest number of accepted connections that wait for a thread.
static constexpr int MaxQueuedConnections = 64;
/// Threads that are kept while there are few connections.
static constexpr int MinThreads = 2;
/// Connections that the kernel queues until they are accepted. All callers of a
/// restarted host reconnect at once, and if the queue is full, the kernel drops
/// the first packet of a connection, which costs the caller a second.
static constexpr int ListenBacklog = 1024;
/// Bytes of an answer that the kernel buffers for a slow peer.
static constexpr int SendBufferBytes = 64 << 10;
/// Largest number of bytes of an unread request body that are discarded before
/// the close. A close with unread bytes would reset the connection, and the
/// caller could lose the answer.
static constexpr int MaxDiscardedBytes = 32 << 20;
/// Longest time for discarding an unread request body.
static constexpr std::chrono::seconds DiscardLimit{2};
/// Time between two checks of the number of open connections during a stop.
static constexpr std::chrono::milliseconds StopCheckPeriod{5};

/// One connection: reads requests and calls the listener's handler.
class HttpConnection : public TCPServerConnection {
public:
  HttpConnection(const StreamSocket &Socket, HttpListener &Listener)
      : TCPServerConnection(Socket), Listener(Listener) {}

  void run() override;

private:
  enum class Action : uint8_t { KeepOpen, Close, DiscardAndClose };

  Action serveOne(HTTPServerSession &Session, HTTPServerParams &Params);
  void answerMalformed(HTTPServerSession &Session, AnswerError Type,
                       const std::string &Message);
  void discardUnreadBody();

  HttpListener &Listener;
  ConnectionWatch::Id WatchId = 0;
};

void HttpConnection::run() {
  socket().setSendTimeout(Poco::Timespan(SendTimeoutSeconds, 0));
  Poco::Timespan IdleLimit(Listener.Opts.IdleLimit().count());
  socket().setReceiveTimeout(IdleLimit);
  socket().setSendBufferSize(SendBufferBytes);
  socket().setNoDelay(true);
  WatchId = Listener.Watch.add(socket());
  HTTPServerParams::Ptr Params(new HTTPServerParams);
  Params->setKeepAliveTimeout(IdleLimit);
  Params->setTimeout(IdleLimit);
  Params->setMaxKeepAliveRequests(0);
  try {
    HTTPServerSession Session(socket(), Params);
    Action NextAction = Action::KeepOpen;
    while (NextAction == Action::KeepOpen && Session.hasMoreRequests()) {
      Listener.Watch.enterPhase(WatchId, ConnectionPhase::Reading,
                                steadyNow() + Listener.Opts.HeaderReadLimit);
      NextAction = serveOne(Session, *Params);
      Listener.Watch.enterPhase(WatchId, ConnectionPhase::Idle, NeverExpires);
    }
    if (NextAction == Action::DiscardAndClose)
      discardUnreadBody();
  } catch (const std::exception &) {
    // The peer disconnected. Its request was answered or abandoned.
  }
  Listener.Watch.remove(WatchId);
}

/// \returns the bytes of all header fields of \p Request.
static uint64_t headerBytes(const HTTPServerRequest &Request) {
  uint64_t Bytes = Request.getURI().size();
  for (const auto &[Name, Value] : Request)
    Bytes += Name.size() + Value.size();
  return Bytes;
}

HttpConnection::Action HttpConnection::serveOne(HTTPServerSession &Session,
                                                HTTPServerParams &Params) {
  HTTPServerResponseImpl Response(Session);
  std::unique_ptr<HTTPServerRequestImpl> Request;
  try {
    Request =
        std::make_unique<HTTPServerRequestImpl>(Response, Session, &Params);
  } catch (const NoMessageException &) {
    return Action::Close;
  } catch (const MessageException &Failure) {
    answerMalformed(Session, AnswerError::BadHeader, Failure.message());
    return Action::DiscardAndClose;
  } catch (const Poco::SyntaxException &) {
    answerMalformed(Session, AnswerError::BadHeader,
                    "a length is not a number");
    return Action::DiscardAndClose;
  }
  Response.setVersion(Request->getVersion());
  Response.setKeepAlive(Request->getKeepAlive());
  Listener.Watch.enterPhase(WatchId, ConnectionPhase::Working,
                            steadyNow() + Listener.Opts.BodyReadLimit);
  HttpExchange Exchange(*Request, Response, socket(), Listener.Budget, [this] {
    Listener.Watch.enterPhase(WatchId, ConnectionPhase::Working, NeverExpires);
  });
  if (headerBytes(*Request) > Listener.Opts.MaxHeaderBytes)
    Exchange.sendError({AnswerError::HeadersTooLarge,
                        "the header may have at most " +
                            std::to_string(Listener.Opts.MaxHeaderBytes) +
                            " bytes"});
  else
    Listener.HandleRequest(Exchange);
  if (Exchange.bodyUnread())
    return Action::DiscardAndClose;
  bool KeepConnection = Response.sent() && Response.getKeepAlive() &&
                        Request->getKeepAlive() && Session.canKeepAlive();
  Session.setKeepAlive(KeepConnection);
  return KeepConnection ? Action::KeepOpen : Action::Close;
}

void HttpConnection::answerMalformed(HTTPServerSession &Session,
                                     AnswerError Type,
                                     const std::string &Message) {
  HTTPServerResponseImpl Response(Session);
  Response.setVersion(HTTPMessage::HTTP_1_1);
  Response.setStatusAndReason(
      static_cast<HTTPResponse::HTTPStatus>(httpStatus(Type)));
  Response.setKeepAlive(false);
  std::string Body = errorBody({Type, Message}, steadyNow());
  Response.setContentType("application/json");
  Response.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  Response.send() << Body << std::flush;
}

void HttpConnection::discardUnreadBody() {
  Timestamp Deadline = steadyNow() + DiscardLimit;
  Listener.Watch.enterPhase(WatchId, ConnectionPhase::Reading, Deadline);
  socket().shutdownSend();
  std::string Buffer(64 << 10, '\0');
  int Discarded = 0;
  while (Discarded < MaxDiscardedBytes && steadyNow() < Deadline) {
    int Count =
        socket().receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
    if (Count <= 0)
      return;
    Discarded += Count;
  }
}

namespace {

/// Creates the connections of one listener.
class ConnectionFactory : public TCPServerConnectionFactory {
public:
  explicit ConnectionFactory(HttpListener &Listener) : Listener(Listener) {}

  TCPServerConnection *createConnection(const StreamSocket &Socket) override {
    return new HttpConnection(Socket, Listener);
  }

private:
  HttpListener &Listener;
};

} // namespace

HttpListener::HttpListener(const Options &Options, Handler HandleRequest,
                           const ServerSocket &Socket)
    : Opts(Options), HandleRequest(std::move(HandleRequest)),
      BoundAddress(Socket.address().toString()),
      Budget(Options.BodyBudgetBytes),
      Threads(MinThreads,
              std::max(MinThreads, static_cast<int>(Options.MaxConnections))) {
  TCPServerParams::Ptr Params(new TCPServerParams);
  Params->setMaxThreads(static_cast<int>(Options.MaxConnections));
  Params->setMaxQueued(MaxQueuedConnections);
  Server = std::make_unique<TCPServer>(new ConnectionFactory(*this), Threads,
                                       Socket, Params);
}

Result<std::unique_ptr<HttpListener>, TrafficError>
HttpListener::tryStart(const Options &Options, Handler HandleRequest) {
  SocketAddress Address;
  try {
    Address = SocketAddress(Options.Address);
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(TrafficErrorKind::BadAddress,
                          Options.Address + ": " + Failure.displayText());
  }
  try {
    ServerSocket Socket;
    Socket.bind(Address, true, false);
    Socket.listen(ListenBacklog);
    std::unique_ptr<HttpListener> Listener(
        new HttpListener(Options, std::move(HandleRequest), Socket));
    Listener->Server->start();
    return Listener;
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(TrafficErrorKind::BindFailed,
                          Options.Address + ": " + Failure.displayText());
  }
}

HttpListener::~HttpListener() { stop(steadyNow()); }

void HttpListener::stop(Timestamp Deadline) {
  if (Stopped)
    return;
  Stopped = true;
  Server->stop();
  Watch.endIdle();
  while (Server->currentConnections() > 0 && steadyNow() < Deadline)
    std::this_thread::sleep_for(StopCheckPeriod);
  Watch.endAll();
  Threads.joinAll();
}

} // namespace ferry::traffic
