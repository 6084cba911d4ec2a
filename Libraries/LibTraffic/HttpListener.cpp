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
/// Connections that may wait for a thread.
static constexpr int MaxQueuedConnections = 64;
/// Threads kept when there are few connections.
static constexpr int MinThreads = 2;
/// Connections that the kernel holds until they are accepted; callers of a
/// restarted host come all at once, and a lost first packet costs a second.
static constexpr int ListenBacklog = 1024;
/// Bytes of an answer that the kernel buffers for a slow peer.
static constexpr int SendBufferBytes = 64 << 10;
/// Bytes of a refused body that are read and dropped before the close, so that
/// the answer is not lost to a reset.
static constexpr int MaxDroppedBytes = 32 << 20;
/// Longest time for that.
static constexpr std::chrono::seconds DropLimit{2};
/// Time between two looks at the number of open connections during a stop.
static constexpr std::chrono::milliseconds StopCheckPeriod{5};

/// One connection: reads requests and calls the listener's handler.
class HttpConnection : public TCPServerConnection {
public:
  HttpConnection(const StreamSocket &Socket, HttpListener &Listener)
      : TCPServerConnection(Socket), Listener(Listener) {}

  void run() override;

private:
  enum class Next : uint8_t { KeepOpen, Close, DropAndClose };

  Next serveOne(HTTPServerSession &Session, HTTPServerParams &Params);
  void answerMalformed(HTTPServerSession &Session, AnswerError Type,
                       const std::string &Message);
  void dropRest();

  HttpListener &Listener;
  ConnectionWatch::Id Watched = 0;
};

void HttpConnection::run() {
  socket().setSendTimeout(Poco::Timespan(SendTimeoutSeconds, 0));
  Poco::Timespan IdleLimit(Listener.Given.IdleLimit().count());
  socket().setReceiveTimeout(IdleLimit);
  socket().setSendBufferSize(SendBufferBytes);
  socket().setNoDelay(true);
  Watched = Listener.Watch.add(socket());
  HTTPServerParams::Ptr Params(new HTTPServerParams);
  Params->setKeepAliveTimeout(IdleLimit);
  Params->setTimeout(IdleLimit);
  Params->setMaxKeepAliveRequests(0);
  try {
    HTTPServerSession Session(socket(), Params);
    Next Then = Next::KeepOpen;
    while (Then == Next::KeepOpen && Session.hasMoreRequests()) {
      Listener.Watch.enter(Watched, ConnectionPhase::Reading,
                           steadyNow() + Listener.Given.HeaderReadLimit);
      Then = serveOne(Session, *Params);
      Listener.Watch.enter(Watched, ConnectionPhase::Idle, NeverExpires);
    }
    if (Then == Next::DropAndClose)
      dropRest();
  } catch (const std::exception &) {
    // The peer went away; what it asked for has been answered or given up.
  }
  Listener.Watch.remove(Watched);
}

/// \returns the bytes of all header fields of \p Request.
static uint64_t headerBytes(const HTTPServerRequest &Request) {
  uint64_t Bytes = Request.getURI().size();
  for (const auto &[Name, Value] : Request)
    Bytes += Name.size() + Value.size();
  return Bytes;
}

HttpConnection::Next HttpConnection::serveOne(HTTPServerSession &Session,
                                              HTTPServerParams &Params) {
  HTTPServerResponseImpl Response(Session);
  std::unique_ptr<HTTPServerRequestImpl> Request;
  try {
    Request =
        std::make_unique<HTTPServerRequestImpl>(Response, Session, &Params);
  } catch (const NoMessageException &) {
    return Next::Close;
  } catch (const MessageException &Failure) {
    answerMalformed(Session, AnswerError::BadHeader, Failure.message());
    return Next::DropAndClose;
  } catch (const Poco::SyntaxException &) {
    answerMalformed(Session, AnswerError::BadHeader, "a length is no number");
    return Next::DropAndClose;
  }
  Response.setVersion(Request->getVersion());
  Response.setKeepAlive(Request->getKeepAlive());
  Listener.Watch.enter(Watched, ConnectionPhase::Working,
                       steadyNow() + Listener.Given.BodyReadLimit);
  HttpExchange Exchange(*Request, Response, socket(), Listener.Budget, [this] {
    Listener.Watch.enter(Watched, ConnectionPhase::Working, NeverExpires);
  });
  if (headerBytes(*Request) > Listener.Given.MaxHeaderBytes)
    Exchange.sendError({AnswerError::HeadersTooLarge,
                        "the header may have at most " +
                            std::to_string(Listener.Given.MaxHeaderBytes) +
                            " bytes"});
  else
    Listener.Handle(Exchange);
  if (Exchange.bodyUnread())
    return Next::DropAndClose;
  bool Keep = Response.sent() && Response.getKeepAlive() &&
              Request->getKeepAlive() && Session.canKeepAlive();
  Session.setKeepAlive(Keep);
  return Keep ? Next::KeepOpen : Next::Close;
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

void HttpConnection::dropRest() {
  Timestamp Deadline = steadyNow() + DropLimit;
  Listener.Watch.enter(Watched, ConnectionPhase::Reading, Deadline);
  socket().shutdownSend();
  std::string Buffer(64 << 10, '\0');
  int Dropped = 0;
  while (Dropped < MaxDroppedBytes && steadyNow() < Deadline) {
    int Count =
        socket().receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
    if (Count <= 0)
      return;
    Dropped += Count;
  }
}

namespace {

/// Makes the connections of one listener.
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

HttpListener::HttpListener(const Options &Options, Handler Handle,
                           const ServerSocket &Socket)
    : Given(Options), Handle(std::move(Handle)),
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
HttpListener::tryStart(const Options &Options, Handler Handle) {
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
        new HttpListener(Options, std::move(Handle), Socket));
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
