// Load patterns of connections: callers that keep many open and use few of
// them, and more callers than a listener may serve at a time.
#include "LibTraffic/HttpListener.h"
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <filesystem>
#include <future>

using namespace ferry;
using namespace ferry::traffic;
using Poco::Net::StreamSocket;

static const std::string Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

/// \returns the number of threads of this process.
static size_t threadCount() {
  using Iterator = std::filesystem::directory_iterator;
  return static_cast<size_t>(
      std::distance(Iterator("/proc/self/task"), Iterator()));
}

static HttpListener::Options options() {
  HttpListener::Options Opts;
  Opts.Address = "127.0.0.1:0";
  Opts.MaxConnections = 4000;
  Opts.MaxHeaderBytes = 1000;
  Opts.BodyBudgetBytes = 1000;
  return Opts;
}

static std::unique_ptr<HttpListener> start(const HttpListener::Options &Opts,
                                           HttpListener::Handler Handle) {
  auto Listener = HttpListener::tryStart(Opts, std::move(Handle));
  BOOST_REQUIRE(Listener);
  return std::move(*Listener);
}

static StreamSocket connectTo(const HttpListener &Listener) {
  StreamSocket Socket{Poco::Net::SocketAddress(Listener.address())};
  Socket.setReceiveTimeout(Poco::Timespan(10, 0));
  return Socket;
}

static void sendText(StreamSocket &Socket, const std::string &Text) {
  Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
}

/// \returns what has arrived once \p Text is among it; what arrived before the
/// end of the connection otherwise.
static std::string receiveUntil(StreamSocket &Socket, const std::string &Text) {
  std::string Received;
  char Buffer[4096];
  try {
    while (Received.find(Text) == std::string::npos) {
      int Count = Socket.receiveBytes(Buffer, sizeof Buffer);
      if (Count <= 0)
        break;
      Received.append(Buffer, static_cast<size_t>(Count));
    }
  } catch (const Poco::Exception &) {
    // The connection was reset.
  }
  return Received;
}

static size_t countOf(const std::string &Text, const std::string &Part) {
  size_t Count = 0;
  for (size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

BOOST_AUTO_TEST_CASE(idle_connections_occupy_no_threads) {
  constexpr size_t ConnectionCount = 2000;
  auto Listener = start(
      options(), [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  std::vector<StreamSocket> Sockets;
  for (size_t Index = 0; Index < ConnectionCount; ++Index) {
    Sockets.push_back(connectTo(*Listener));
    sendText(Sockets.back(), Request);
    BOOST_REQUIRE(receiveUntil(Sockets.back(), "{}").find("200 OK") !=
                  std::string::npos);
  }
  BOOST_TEST(Listener->connections() == ConnectionCount);
  BOOST_TEST(threadCount() < 16U);
  // Each of them still serves.
  for (StreamSocket &Socket : Sockets) {
    sendText(Socket, Request);
    BOOST_REQUIRE(receiveUntil(Socket, "{}").find("200 OK") !=
                  std::string::npos);
  }
  BOOST_TEST(threadCount() < 16U);
}

BOOST_AUTO_TEST_CASE(requests_sent_together_are_answered_in_order) {
  auto Listener = start(options(), [](HttpExchange &Exchange) {
    Exchange.sendJson(200, "{\"path\":\"" + Exchange.head().getURI() + "\"}");
  });
  StreamSocket Socket = connectTo(*Listener);
  sendText(Socket, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                   "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
                   "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  std::string Received = receiveUntil(Socket, "never");
  BOOST_TEST(countOf(Received, "200 OK") == 3U);
  BOOST_TEST(Received.find("/1\"") < Received.find("/2\""));
  BOOST_TEST(Received.find("/2\"") < Received.find("/3\""));
}

namespace {

/// Holds requests until it is opened.
class Gate {
public:
  void pass() {
    std::unique_lock Lock(Mutex);
    ++Arrived;
    Changed.notify_all();
    Changed.wait(Lock, [this] { return Open; });
  }
  void open() {
    std::lock_guard Lock(Mutex);
    Open = true;
    Changed.notify_all();
  }
  bool awaitArrivals(size_t Count) {
    std::unique_lock Lock(Mutex);
    return Changed.wait_for(Lock, std::chrono::seconds(10),
                            [&] { return Arrived >= Count; });
  }
  size_t arrivals() {
    std::lock_guard Lock(Mutex);
    return Arrived;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  size_t Arrived = 0;
  bool Open = false;
};

} // namespace

// A burst: requests beyond the bound wait unread, and all are answered.
BOOST_AUTO_TEST_CASE(requests_in_progress_are_bounded) {
  HttpListener::Options Opts = options();
  Opts.MaxActive = 4;
  Gate Held;
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    Held.pass();
    Exchange.sendJson(200, "{}");
  });
  std::vector<StreamSocket> Sockets;
  for (int Index = 0; Index < 20; ++Index) {
    Sockets.push_back(connectTo(*Listener));
    sendText(Sockets.back(), Request);
  }
  BOOST_TEST(Held.awaitArrivals(4));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(Held.arrivals() == 4U);
  Held.open();
  for (StreamSocket &Socket : Sockets)
    BOOST_TEST(countOf(receiveUntil(Socket, "{}"), "200 OK") == 1U);
}

BOOST_AUTO_TEST_CASE(the_longest_idle_connection_makes_room) {
  HttpListener::Options Opts = options();
  Opts.MaxConnections = 3;
  auto Listener =
      start(Opts, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  std::vector<StreamSocket> Sockets;
  for (int Index = 0; Index < 4; ++Index) {
    Sockets.push_back(connectTo(*Listener));
    sendText(Sockets.back(), Request);
    BOOST_TEST(countOf(receiveUntil(Sockets.back(), "{}"), "200 OK") == 1U);
  }
  BOOST_TEST(Listener->connections() == 3U);
  BOOST_TEST(receiveUntil(Sockets[0], "never").empty());
  sendText(Sockets[1], Request);
  BOOST_TEST(countOf(receiveUntil(Sockets[1], "{}"), "200 OK") == 1U);
}

// While every connection has a request in progress, new ones wait in the
// kernel's queue and are accepted later.
BOOST_AUTO_TEST_CASE(a_full_listener_accepts_again_after_an_answer) {
  HttpListener::Options Opts = options();
  Opts.MaxConnections = 2;
  Gate Held;
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    Held.pass();
    Exchange.sendJson(200, "{}");
  });
  std::vector<StreamSocket> Sockets;
  for (int Index = 0; Index < 4; ++Index) {
    Sockets.push_back(connectTo(*Listener));
    sendText(Sockets.back(), Request);
  }
  BOOST_TEST(Held.awaitArrivals(2));
  Held.open();
  for (StreamSocket &Socket : Sockets)
    BOOST_TEST(countOf(receiveUntil(Socket, "{}"), "200 OK") == 1U);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_at_its_limit) {
  HttpListener::Options Opts = options();
  Opts.IdleLimit = [] { return Duration(std::chrono::milliseconds(300)); };
  auto Listener =
      start(Opts, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  StreamSocket Unused = connectTo(*Listener);
  StreamSocket Used = connectTo(*Listener);
  sendText(Used, Request);
  BOOST_TEST(countOf(receiveUntil(Used, "{}"), "200 OK") == 1U);
  BOOST_TEST(receiveUntil(Unused, "never").empty());
  BOOST_TEST(receiveUntil(Used, "never").empty());
  BOOST_TEST(Listener->connections() == 0U);
}

BOOST_AUTO_TEST_CASE(a_stop_lets_requests_in_progress_finish) {
  Gate Held;
  auto Listener = start(options(), [&](HttpExchange &Exchange) {
    Held.pass();
    Exchange.sendJson(200, "{}");
  });
  StreamSocket Busy = connectTo(*Listener);
  StreamSocket Unused = connectTo(*Listener);
  sendText(Busy, Request);
  BOOST_TEST(Held.awaitArrivals(1));
  std::thread Stopper(
      [&] { Listener->stop(steadyNow() + std::chrono::seconds(10)); });
  BOOST_TEST(receiveUntil(Unused, "never").empty());
  Held.open();
  BOOST_TEST(countOf(receiveUntil(Busy, "{}"), "200 OK") == 1U);
  Stopper.join();
  BOOST_TEST(Listener->connections() == 0U);
}

// A listener that is stopped while it computes its next wait must not wait
// without end: the deadline of the stop may have passed before.
BOOST_AUTO_TEST_CASE(a_stop_at_a_passed_deadline_ends) {
  constexpr int Rounds = 10;
  constexpr int ListenerCount = 400;
  // The first waits of the listeners' threads end at this time.
  static constexpr std::chrono::microseconds FirstWake{249'800};
  constexpr std::chrono::seconds StopLimit{5};
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::unique_ptr<HttpListener>> Listeners;
    std::vector<std::future<void>> Stops;
    for (int Index = 0; Index < ListenerCount; ++Index) {
      Listeners.push_back(start(options(), [](HttpExchange &) {}));
      Stops.push_back(std::async(
          std::launch::async, [Listener = Listeners.back().get(), Index] {
            std::this_thread::sleep_for(FirstWake +
                                        std::chrono::microseconds(Index));
            Listener->stop(steadyNow() - std::chrono::seconds(1));
          }));
    }
    for (size_t Index = 0; Index < ListenerCount; ++Index) {
      bool InTime =
          Stops[Index].wait_for(StopLimit) == std::future_status::ready;
      BOOST_TEST(InTime);
      // A connection ends the wait of a listener that has not stopped.
      if (!InTime)
        connectTo(*Listeners[Index]);
    }
  }
}

/// \returns all that comes before the connection ends.
static std::string receiveAll(StreamSocket &Socket) {
  return receiveUntil(Socket, "\r\nnever\r\n");
}

// During a planned shutdown under load, requests that wait for a thread, those
// that have not been read, and those of connections in the kernel's queue must
// be answered like those in progress, not be cut off.
BOOST_AUTO_TEST_CASE(a_stop_under_load_answers_all_that_has_arrived) {
  HttpListener::Options Opts = options();
  Opts.MaxConnections = 20;
  Opts.MaxActive = 2;
  const std::string Body = "{\"text\":\"" + std::string(20000, 'x') + "\"}";
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Exchange.sendJson(200, Body);
  });
  std::vector<StreamSocket> Sockets;
  for (int Index = 0; Index < 60; ++Index) {
    Sockets.push_back(connectTo(*Listener));
    sendText(Sockets.back(), Request);
  }
  std::thread Stopper(
      [&] { Listener->stop(steadyNow() + std::chrono::seconds(10)); });
  size_t Whole = 0;
  size_t SaidClose = 0;
  for (StreamSocket &Socket : Sockets) {
    std::string Answer = receiveAll(Socket);
    Whole += Answer.find("200 OK") == 9 && Answer.ends_with(Body) ? 1U : 0U;
    SaidClose += countOf(Answer, "Connection: Close");
  }
  Stopper.join();
  BOOST_TEST(Whole == Sockets.size());
  // Those answered before the stop began may not have been told.
  BOOST_TEST(SaidClose >= Sockets.size() / 2);
}

// A caller that keeps its connection has its next request on the way as the
// stop begins.
BOOST_AUTO_TEST_CASE(a_stop_answers_requests_on_kept_connections) {
  for (int Round = 0; Round < 5; ++Round) {
    auto Stopped = start(options(), [](HttpExchange &Exchange) {
      Exchange.sendJson(200, "{}");
    });
    std::vector<StreamSocket> Sockets;
    for (int Index = 0; Index < 50; ++Index) {
      Sockets.push_back(connectTo(*Stopped));
      sendText(Sockets.back(), Request);
      BOOST_REQUIRE(countOf(receiveUntil(Sockets.back(), "{}"), "200 OK") ==
                    1U);
    }
    for (StreamSocket &Socket : Sockets)
      sendText(Socket, Request);
    Stopped->stop(steadyNow() + std::chrono::seconds(10));
    size_t Answered = 0;
    for (StreamSocket &Socket : Sockets)
      Answered += countOf(receiveAll(Socket), "200 OK");
    BOOST_TEST(Answered == Sockets.size());
  }
}

// The answer must reach a caller that has sent its next request already: a
// close with unread bytes would reset the connection and drop the answer's
// rest.
BOOST_AUTO_TEST_CASE(an_answer_that_closes_is_whole_despite_a_further_request) {
  const std::string Body(2'000'000, 'x');
  auto Listener = start(options(), [&](HttpExchange &Exchange) {
    Exchange.closeAfterAnswer();
    Exchange.send(200, "text/plain", Body);
  });
  StreamSocket Socket = connectTo(*Listener);
  sendText(Socket, Request);
  BOOST_REQUIRE(
      Socket.poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_READ));
  std::string More;
  for (int Index = 0; Index < 500; ++Index)
    More += Request;
  sendText(Socket, More);
  std::string Answer = receiveAll(Socket);
  BOOST_TEST(countOf(Answer, "HTTP/1.1") == 1U);
  BOOST_TEST(Answer.ends_with(Body));
}

/// Connects with a small receive buffer, so that the sender soon waits.
static StreamSocket connectSlowlyTo(const HttpListener &Listener) {
  StreamSocket Socket;
  Socket.init(AF_INET);
  Socket.setReceiveBufferSize(4096);
  Socket.connect(Poco::Net::SocketAddress(Listener.address()));
  Socket.setReceiveTimeout(Poco::Timespan(10, 0));
  return Socket;
}

// An answer that could not be sent whole must end its connection: the caller
// would read the next answer on it as the rest of this one.
BOOST_AUTO_TEST_CASE(no_answer_follows_one_that_was_cut) {
  HttpListener::Options Opts = options();
  Opts.SendLimit = std::chrono::milliseconds(300);
  std::atomic<int> Served = 0;
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    bool First = ++Served == 1;
    Exchange.send(200, "text/plain",
                  First ? std::string(2'000'000, 'x') : "second");
  });
  StreamSocket Socket = connectSlowlyTo(*Listener);
  sendText(Socket, Request + Request);
  // Nothing is read until the first answer was given up.
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  std::string Received = receiveAll(Socket);
  BOOST_TEST(countOf(Received, "HTTP/1.1 200") == 1U);
  BOOST_TEST(countOf(Received, "second") == 0U);
  BOOST_TEST(Received.size() < 2'000'000U);
}

// The same for a stream: the mark of its end must not follow events that were
// lost.
BOOST_AUTO_TEST_CASE(a_stream_that_was_cut_does_not_look_complete) {
  HttpListener::Options Opts = options();
  Opts.SendLimit = std::chrono::milliseconds(300);
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    Exchange.beginEvents();
    std::string Event = "data: " + std::string(10000, 'x') + "\n\n";
    for (int Index = 0; Index < 200 && Exchange.writeEvents(Event); ++Index) {
    }
  });
  StreamSocket Socket = connectSlowlyTo(*Listener);
  sendText(Socket, Request);
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  std::string Received = receiveAll(Socket);
  BOOST_TEST(countOf(Received, "\r\n0\r\n\r\n") == 0U);
  BOOST_TEST(Received.size() < 2'000'000U);
}

/// Reads \p Bytes every \p Period. \returns all that came.
static std::string receiveSteadily(StreamSocket &Socket, size_t Bytes,
                                   Duration Period) {
  std::string Received;
  std::string Buffer(Bytes, '\0');
  Timestamp NextAt = steadyNow();
  try {
    while (true) {
      int Count =
          Socket.receiveBytes(Buffer.data(), static_cast<int>(Buffer.size()));
      if (Count <= 0)
        break;
      Received.append(Buffer, 0, static_cast<size_t>(Count));
      NextAt += Period;
      std::this_thread::sleep_until(NextAt);
    }
  } catch (const Poco::Exception &) {
    // The connection was reset.
  }
  return Received;
}

// A caller that reads slowly but steadily is healthy, however long its answer
// takes; the kernel's buffers free up in steps that take it longer than the
// limit.
BOOST_AUTO_TEST_CASE(a_slow_but_steady_caller_gets_its_whole_answer) {
  HttpListener::Options Opts = options();
  Opts.SendLimit = std::chrono::milliseconds(500);
  const std::string Body(300'000, 'x');
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    Exchange.send(200, "text/plain", Body);
  });
  StreamSocket Socket = connectSlowlyTo(*Listener);
  sendText(Socket, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  std::string Received =
      receiveSteadily(Socket, 1000, std::chrono::milliseconds(25));
  BOOST_TEST(Received.ends_with(Body));
}

// One that takes a byte now and then must not occupy a thread for long.
BOOST_AUTO_TEST_CASE(a_caller_that_reads_single_bytes_is_cut_off) {
  HttpListener::Options Opts = options();
  Opts.SendLimit = std::chrono::milliseconds(500);
  std::atomic<bool> Written = true;
  std::atomic<bool> Done = false;
  auto Listener = start(Opts, [&](HttpExchange &Exchange) {
    Written = Exchange.send(200, "text/plain", std::string(2'000'000, 'x'));
    Done = true;
  });
  StreamSocket Socket = connectSlowlyTo(*Listener);
  sendText(Socket, Request);
  Timestamp Limit = steadyNow() + std::chrono::seconds(8);
  char Byte = 0;
  while (!Done && steadyNow() < Limit) {
    Socket.receiveBytes(&Byte, 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(Done);
  BOOST_TEST(!Written);
}

// Callers send the start of a head and nothing more.
BOOST_AUTO_TEST_CASE(half_heads_occupy_no_threads) {
  HttpListener::Options Opts = options();
  Opts.MaxActive = 2;
  Opts.HeaderReadLimit = std::chrono::seconds(60);
  auto Listener =
      start(Opts, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  std::vector<StreamSocket> Holding;
  for (int Count = 0; Count < 8; ++Count) {
    Holding.push_back(connectTo(*Listener));
    sendText(Holding.back(), Request.substr(0, 10));
  }
  StreamSocket Ordinary = connectTo(*Listener);
  sendText(Ordinary, Request);
  BOOST_TEST(countOf(receiveUntil(Ordinary, "{}"), "200 OK") == 1U);
  // They go on where they stopped.
  for (StreamSocket &Socket : Holding) {
    sendText(Socket, Request.substr(10) + Request);
    std::string Received = receiveUntil(Socket, "{}");
    if (countOf(Received, "{}") < 2)
      Received += receiveUntil(Socket, "{}");
    BOOST_TEST(countOf(Received, "200 OK") == 2U);
  }
}

BOOST_AUTO_TEST_CASE(a_head_that_comes_in_single_bytes_is_answered) {
  auto Listener = start(
      options(), [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  StreamSocket Caller = connectTo(*Listener);
  Caller.setNoDelay(true);
  for (char Byte : "\r\n" + Request) {
    sendText(Caller, std::string(1, Byte));
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  BOOST_TEST(countOf(receiveUntil(Caller, "{}"), "200 OK") == 1U);
}

BOOST_AUTO_TEST_CASE(a_half_head_ends_at_the_deadline_of_its_first_byte) {
  HttpListener::Options Opts = options();
  Opts.HeaderReadLimit = std::chrono::milliseconds(500);
  auto Listener =
      start(Opts, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  StreamSocket Caller = connectTo(*Listener);
  Timestamp GiveUpAt = steadyNow() + std::chrono::seconds(10);
  sendText(Caller, Request.substr(0, 10));
  // Further bytes do not put it off.
  try {
    while (Listener->connections() > 0 && steadyNow() < GiveUpAt) {
      sendText(Caller, "m");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  } catch (const Poco::Exception &) {
    // The connection was reset.
  }
  BOOST_TEST(Listener->connections() == 0U);
}

// All connections have the start of a head.
BOOST_AUTO_TEST_CASE(half_heads_make_room_for_new_connections) {
  HttpListener::Options Opts = options();
  Opts.MaxConnections = 2;
  Opts.HeaderReadLimit = std::chrono::seconds(60);
  auto Listener =
      start(Opts, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  std::vector<StreamSocket> Holding;
  for (uint32_t Count = 0; Count < Opts.MaxConnections; ++Count) {
    Holding.push_back(connectTo(*Listener));
    sendText(Holding.back(), Request.substr(0, 10));
  }
  StreamSocket Ordinary = connectTo(*Listener);
  sendText(Ordinary, Request);
  BOOST_TEST(countOf(receiveUntil(Ordinary, "{}"), "200 OK") == 1U);
}

// Callers announce bodies and send none, or single bytes of them.
BOOST_AUTO_TEST_CASE(slow_bodies_make_room_for_waiting_requests) {
  HttpListener::Options Opts = options();
  Opts.MaxActive = 2;
  auto Listener = start(Opts, [](HttpExchange &Exchange) {
    if (auto Body = Exchange.tryReadBody(100); !Body)
      Exchange.sendError(Body.error());
    else
      Exchange.sendJson(200, "{}");
  });
  std::vector<StreamSocket> Slow;
  for (int Count = 0; Count < 2; ++Count) {
    Slow.push_back(connectTo(*Listener));
    sendText(Slow.back(), "POST /x HTTP/1.1\r\nHost: a\r\n"
                          "Content-Length: 9\r\n\r\n");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  StreamSocket Ordinary = connectTo(*Listener);
  sendText(Ordinary, Request);
  sendText(Slow.back(), "m");
  BOOST_TEST(countOf(receiveUntil(Ordinary, "{}"), "200 OK") == 1U);
  size_t GivenUp = 0;
  for (StreamSocket &Socket : Slow)
    if (Socket.poll(Poco::Timespan(0, 100'000), Poco::Net::Socket::SELECT_READ))
      GivenUp += receiveUntil(Socket, "never").starts_with("HTTP/1.1 408 ");
  BOOST_TEST(GivenUp > 0U);
}

// A caller sends empty lines without end in place of a request.
BOOST_AUTO_TEST_CASE(empty_lines_without_end_are_refused) {
  HttpListener::Options Opts = options();
  Opts.HeaderReadLimit = std::chrono::seconds(60);
  auto Listener = start(Opts, [](HttpExchange &) {});
  StreamSocket Caller = connectTo(*Listener);
  std::string Lines;
  for (size_t Count = 0; Count < (64 << 10); ++Count)
    Lines += "\r\n";
  sendText(Caller, Lines);
  BOOST_TEST(receiveUntil(Caller, " 431 ").starts_with("HTTP/1.1 431 "));
}

// Half heads of other callers take all memory for heads. A short head needs
// none of it; a long one is refused as not run.
BOOST_AUTO_TEST_CASE(half_heads_leave_room_for_short_ones) {
  HttpListener::Options Opts = options();
  Opts.MaxHeaderBytes = 64 << 10;
  Opts.HeadBudgetBytes = 64 << 10;
  Opts.HeaderReadLimit = std::chrono::seconds(60);
  auto Listener =
      start(Opts, [](HttpExchange &Exchange) { Exchange.sendJson(200, "{}"); });
  auto Long = [](size_t Bytes) {
    std::string Text = "GET /x HTTP/1.1\r\n";
    while (Text.size() < Bytes)
      Text += "X-More: " + std::string(4000, 'm') + "\r\n";
    return Text;
  };
  // One of them takes what is left. The next ones are refused, each after the
  // one before, so that two in a row show that it has.
  std::vector<StreamSocket> Holding;
  int RefusedInARow = 0;
  while (RefusedInARow < 2 && Holding.size() < 100) {
    Holding.push_back(connectTo(*Listener));
    sendText(Holding.back(), Long(40 << 10));
    bool Answered = Holding.back().poll(Poco::Timespan(0, 200'000),
                                        Poco::Net::Socket::SELECT_READ);
    RefusedInARow = Answered ? RefusedInARow + 1 : 0;
  }
  BOOST_TEST(RefusedInARow == 2);
  StreamSocket Short = connectTo(*Listener);
  sendText(Short, Request);
  BOOST_TEST(receiveUntil(Short, "{}").starts_with("HTTP/1.1 200 "));
  StreamSocket Refused = connectTo(*Listener);
  sendText(Refused, Long(60 << 10) + "\r\n");
  std::string Answer = receiveUntil(Refused, "not_run");
  BOOST_TEST(Answer.starts_with("HTTP/1.1 429 "));
  BOOST_TEST(Answer.find("Retry-After: 1") != std::string::npos);
  Holding.clear();
  // One inside the limits is served in calm.
  std::string Served;
  for (int Try = 0; Try < 100 && !Served.starts_with("HTTP/1.1 200 "); ++Try) {
    StreamSocket Alone = connectTo(*Listener);
    sendText(Alone, Long(60 << 10) + "\r\n");
    Served = receiveUntil(Alone, "}");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  BOOST_TEST(Served.starts_with("HTTP/1.1 200 "));
}
