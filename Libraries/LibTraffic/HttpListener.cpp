#include "LibTraffic/HttpListener.h"
#include "LibObserve/Guard.h"
#include "LibObserve/Log.h"
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <algorithm>

namespace ferry::traffic {

using namespace Poco::Net;

/// Threads of the pool that are kept while there are few requests.
static constexpr int MinThreads = 1;
/// A thread of the pool that had no work for this long may end, in seconds.
static constexpr int ThreadIdleSeconds = 5;
/// Connections that the kernel queues until they are accepted. All callers of a
/// restarted host reconnect at once, and if the queue is full, the kernel drops
/// the first packet of a connection, which costs the caller a second.
static constexpr int ListenBacklog = 1024;
/// Only a connection that has been idle for this long is closed for a new one.
static constexpr std::chrono::seconds MinIdleToClose{1};
/// A caller may be this slow to send the next part of a body while other
/// connections wait for a thread.
static constexpr std::chrono::seconds BodyPatience{1};
/// Longest wait for an event. Deadlines and the stop are noticed this late.
static constexpr std::chrono::milliseconds PollLimit{250};
/// Time between two checks of the number of active connections during a stop.
static constexpr std::chrono::milliseconds StopCheckPeriod{5};

class HttpListener::Worker : public Poco::Runnable {
public:
  Worker(HttpListener &Listener, ConnectionPtr First)
      : Listener(Listener), First(std::move(First)) {}

  void run() override {
    std::unique_ptr<Worker> Self(this);
    Listener.serveUntilNoneWaits(std::move(First));
  }

  ConnectionPtr takeConnection() { return std::move(First); }

private:
  HttpListener &Listener;
  ConnectionPtr First;
};

static std::function<Duration()>
headerReadLimit(const HttpListener::Options &Options) {
  if (Options.CurrentHeaderReadLimit)
    return Options.CurrentHeaderReadLimit;
  return [Limit = Options.HeaderReadLimit] { return Limit; };
}

/// \returns a budget that one head of the largest size fits into.
static ByteBudget headBudget(const HttpListener::Options &Options) {
  return ByteBudget(
      std::max(Options.HeadBudgetBytes,
               HttpConnection::maxHeadBytes(Options.MaxHeaderBytes)));
}

HttpListener::HttpListener(const Options &Options, Handler HandleRequest,
                           const ServerSocket &Socket)
    : Opts(Options), Context{std::move(HandleRequest),
                             Options.MaxHeaderBytes,
                             headerReadLimit(Options),
                             Options.BodyReadLimit,
                             Options.SendLimit,
                             ByteBudget(Options.BodyBudgetBytes),
                             headBudget(Options),
                             {},
                             false},
      Server(Socket), BoundAddress(Socket.address().toString()),
      Threads(MinThreads,
              static_cast<int>(std::max(Options.MaxActive, uint32_t{1})),
              ThreadIdleSeconds) {
  Polled.add(Server, PollSet::POLL_READ);
  Poller = std::thread([this] { poll(); });
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
    // Connections take it over, those in the kernel's queue too.
    Socket.setReceiveBufferSize(HttpConnection::ReceiveBufferBytes);
    Socket.listen(ListenBacklog);
    return std::unique_ptr<HttpListener>(
        new HttpListener(Options, std::move(HandleRequest), Socket));
  } catch (const Poco::Exception &Failure) {
    return makeTypedError(TrafficErrorKind::BindFailed,
                          Options.Address + ": " + Failure.displayText());
  }
}

HttpListener::~HttpListener() { stop(steadyNow()); }

size_t HttpListener::connections() const {
  std::lock_guard Lock(Mutex);
  return Idle.size() + Waiting.size() + Active;
}

void HttpListener::poll() {
  Timestamp CheckAt = steadyNow() + PollLimit;
  Timestamp Now = steadyNow();
  while (true) {
    // A stop may change it at any time, and a negative wait has no end.
    Timestamp Until = PollUntil.load();
    if (Now >= Until)
      return;
    Duration Wait = std::min<Duration>(PollLimit, Until - Now);
    bool Polls = observe::runGuarded("listener", [&] {
      for (const auto &[Ready, Mode] :
           Polled.poll(Poco::Timespan(Wait.count())))
        handleReady(Ready);
    });
    if (!Polls)
      std::this_thread::sleep_for(StopCheckPeriod);
    Now = steadyNow();
    if (Now < CheckAt)
      continue;
    CheckAt = Now + PollLimit;
    observe::runGuarded("listener", [&] {
      Context.Watch.endOverdue(Now);
      closeExpired(Now);
      endSlowBodies(Now);
    });
  }
}

void HttpListener::handleReady(const Socket &Ready) {
  observe::runGuarded("listener", [&] {
    if (Ready != Server)
      activate(Ready);
    else if (Stopping)
      acceptQueued();
    else
      accept();
  });
}

void HttpListener::accept() {
  if (!makeRoom())
    return;
  try {
    StreamSocket Accepted = Server.acceptConnection();
    addIdle(
        std::make_unique<HttpConnection>(Accepted, Context, Opts.IdleLimit()));
  } catch (const Poco::Exception &Failure) {
    // The peer has given up its connection, or no descriptor is free.
    observe::logEvent(
        observe::Severity::Warning, "http", "accept_failed",
        {{"address", BoundAddress}, {"reason", Failure.displayText()}});
  }
}

void HttpListener::acceptQueued() {
  try {
    while (Server.poll(0, Socket::SELECT_READ)) {
      StreamSocket Accepted = Server.acceptConnection();
      addIdle(std::make_unique<HttpConnection>(Accepted, Context,
                                               Opts.IdleLimit()));
    }
  } catch (const Poco::Exception &) {
    // The peer has given up its connection, or no descriptor is free.
  }
}

bool HttpListener::makeRoom() {
  IdleConnection Longest;
  std::lock_guard Lock(Mutex);
  if (Idle.size() + Waiting.size() + Active < Opts.MaxConnections)
    return true;
  auto Oldest = std::min_element(
      Idle.begin(), Idle.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Since < Right.second.Since;
      });
  // A connection that has just come, or has a request that was not noticed yet,
  // is not closed. The kernel keeps new connections in its queue meanwhile.
  bool MayClose = Oldest != Idle.end() &&
                  Oldest->second.Since + MinIdleToClose <= steadyNow() &&
                  !Oldest->first.poll(0, Socket::SELECT_READ);
  if (!MayClose) {
    Polled.remove(Server);
    return false;
  }
  Polled.remove(Oldest->first);
  Longest = std::move(Oldest->second);
  Idle.erase(Oldest);
  return true;
}

void HttpListener::resumeAccepting() {
  if (!Polled.has(Server) && !Stopping)
    Polled.add(Server, PollSet::POLL_READ);
}

void HttpListener::closeExpired(Timestamp Now) {
  std::vector<IdleConnection> Expired;
  std::lock_guard Lock(Mutex);
  for (auto Entry = Idle.begin(); Entry != Idle.end();) {
    if (Entry->second.CloseAt > Now) {
      ++Entry;
      continue;
    }
    Polled.remove(Entry->first);
    Expired.push_back(std::move(Entry->second));
    Entry = Idle.erase(Entry);
  }
  resumeAccepting();
}

void HttpListener::endSlowBodies(Timestamp Now) {
  size_t Waiters = 0;
  {
    std::lock_guard Lock(Mutex);
    Waiters = Waiting.size();
  }
  if (Waiters == 0)
    return;
  if (size_t Ended = Context.Watch.endAwaited(Waiters, Now - BodyPatience))
    observe::logEvent(
        observe::Severity::Info, "http", "slow_bodies_ended",
        {{"address", BoundAddress}, {"bodies", Ended}, {"waiting", Waiters}});
}

void HttpListener::addIdle(ConnectionPtr Connection) {
  std::lock_guard Lock(Mutex);
  Socket Key = Connection->socket();
  Timestamp Now = steadyNow();
  Timestamp CloseAt = Connection->idleUntil(Now);
  Timestamp Since = Connection->waitingSince(Now);
  Idle[Key] = {std::move(Connection), Since, CloseAt};
  Polled.add(Key, PollSet::POLL_READ);
}

void HttpListener::activate(const Socket &Readable) {
  ConnectionPtr Connection;
  {
    std::lock_guard Lock(Mutex);
    auto Entry = Idle.find(Readable);
    if (Entry == Idle.end())
      return;
    Polled.remove(Readable);
    Connection = std::move(Entry->second.Connection);
    Idle.erase(Entry);
  }
  serveOnPool(std::move(Connection));
}

void HttpListener::serveOnPool(ConnectionPtr Connection) {
  auto Next = std::make_unique<Worker>(*this, std::move(Connection));
  {
    std::lock_guard Lock(Mutex);
    if (Active >= Opts.MaxActive) {
      Waiting.push_back(Next->takeConnection());
      return;
    }
    ++Active;
  }
  try {
    Threads.start(*Next);
    // The worker deletes itself when its thread has run it.
    static_cast<void>(Next.release());
  } catch (const Poco::Exception &Failure) {
    // The machine has no room for a further thread. One that is active takes
    // the connection over.
    observe::logEvent(
        observe::Severity::Warning, "http", "no_thread",
        {{"address", BoundAddress}, {"reason", Failure.displayText()}});
    std::lock_guard Lock(Mutex);
    --Active;
    if (Active > 0)
      Waiting.push_back(Next->takeConnection());
  }
}

void HttpListener::serveUntilNoneWaits(ConnectionPtr First) {
  ConnectionPtr Current = std::move(First);
  while (Current) {
    bool KeepOpen = Current->serve();
    Current = finish(std::move(Current), KeepOpen);
  }
}

HttpListener::ConnectionPtr HttpListener::finish(ConnectionPtr Served,
                                                 bool KeepOpen) {
  // During a stop too: the caller was not told that the connection ends, and
  // may have sent its next request.
  if (KeepOpen)
    observe::runGuarded("listener", [&] { addIdle(std::move(Served)); });
  // The socket is closed outside of the lock.
  Served.reset();
  std::lock_guard Lock(Mutex);
  observe::runGuarded("listener", [this] { resumeAccepting(); });
  if (Waiting.empty()) {
    --Active;
    return nullptr;
  }
  ConnectionPtr Next = std::move(Waiting.front());
  Waiting.pop_front();
  return Next;
}

void HttpListener::stop(Timestamp Deadline) {
  if (Stopped)
    return;
  Stopped = true;
  Context.Closing = true;
  Stopping = true;
  PollUntil = std::min<Timestamp>(Deadline, steadyNow() + StopLinger);
  Poller.join();
  if (steadyNow() < Deadline)
    acceptQueued();
  Server.close();
  while (endIdle(Deadline) && steadyNow() < Deadline)
    std::this_thread::sleep_for(StopCheckPeriod);
  {
    std::deque<ConnectionPtr> Unserved;
    std::lock_guard Lock(Mutex);
    Unserved.swap(Waiting);
  }
  Context.Watch.endAll();
  Threads.joinAll();
  std::lock_guard Lock(Mutex);
  Idle.clear();
}

bool HttpListener::endIdle(Timestamp Deadline) {
  std::map<Socket, IdleConnection> Ending;
  {
    std::lock_guard Lock(Mutex);
    Ending.swap(Idle);
  }
  for (auto &[Key, Entry] : Ending) {
    Timestamp Now = steadyNow();
    if (Now >= Deadline)
      break;
    if (Key.poll(0, Socket::SELECT_READ)) {
      serveOnPool(std::move(Entry.Connection));
      continue;
    }
    // A caller that has just connected has its request still on the way.
    if (Now >= Entry.Since + StopLinger)
      continue;
    std::lock_guard Lock(Mutex);
    Idle[Key] = std::move(Entry);
  }
  std::lock_guard Lock(Mutex);
  return !Idle.empty() || Active > 0 || !Waiting.empty();
}

} // namespace ferry::traffic
