/// \file
/// One server connection: reads requests and has them answered.
#ifndef FERRY_LIBTRAFFIC_HTTPCONNECTION_H
#define FERRY_LIBTRAFFIC_HTTPCONNECTION_H

#include "LibTraffic/ConnectionWatch.h"
#include "LibTraffic/HttpExchange.h"
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <optional>

namespace ferry::traffic {

/// What all connections of one listener share. Outlives them.
struct ConnectionContext {
  /// Answers one request. Called on a thread of the listener's pool.
  std::function<void(HttpExchange &)> HandleRequest;
  uint64_t MaxHeaderBytes = 0;
  /// See HttpListener::Options.
  std::function<Duration()> HeaderReadLimit;
  Duration BodyReadLimit;
  Duration SendLimit;
  /// Bytes of request bodies, and of heads that are being read.
  ByteBudget Budget;
  ByteBudget HeadBudget;
  ConnectionWatch Watch;
  /// Whether connections are closed after their next answer.
  std::atomic<bool> Closing = false;
};

/// A connection is used by one thread at a time: by the listener's while it is
/// idle or waits for the rest of a head, and by a thread of the pool while it
/// has requests.
class HttpConnection {
public:
  /// \param IdleLimit longest time that the connection may stay open between
  /// two requests.
  HttpConnection(const Poco::Net::StreamSocket &Socket,
                 ConnectionContext &Context, Duration IdleLimit);
  HttpConnection(const HttpConnection &) = delete;
  HttpConnection &operator=(const HttpConnection &) = delete;

  /// Bytes that the kernel receives ahead on a connection, unless a body with
  /// an announced length is being read. Connections that wait, to be accepted
  /// or for a thread, hold about as much.
  static constexpr int ReceiveBufferBytes = 16 << 10;

  /// \returns the most raw bytes of a head with the limit \p MaxHeaderBytes.
  static uint64_t maxHeadBytes(uint64_t MaxHeaderBytes);

  const Poco::Net::StreamSocket &socket() const { return Socket; }
  /// \returns when the connection is closed if nothing comes from \p Now on.
  Timestamp idleUntil(Timestamp Now) const {
    return Head ? Head->Deadline : Now + IdleLimit;
  }
  /// \returns since when the connection has waited for a request, or for the
  /// rest of one, if it has done so at \p Now.
  Timestamp waitingSince(Timestamp Now) const {
    return Head ? Head->BegunAt : Now;
  }

  /// Serves the request whose first bytes have come, and those that have been
  /// received behind it. Waits for no further bytes of a head. \returns whether
  /// the connection stays open.
  bool serve();

private:
  enum class Action : uint8_t {
    KeepOpen,
    Close,
    /// Reads and discards until the caller closes.
    DiscardAndClose,
    /// Reads and discards until the caller's host has the whole answer.
    AwaitTakenAndClose
  };
  /// When the discarding of unread bytes ends.
  enum class Discard : uint8_t { CallerEnds, AnswerTaken };

  /// A head of which bytes have arrived.
  struct PartialHead {
    PartialHead(ByteBudget &Budget, Timestamp BegunAt, Timestamp Deadline)
        : BegunAt(BegunAt), Deadline(Deadline), Share(Budget) {}
    bool isEmpty() const { return Text.empty() && SkippedBytes == 0; }

    std::string Text;
    size_t LineStart = 0;
    uint64_t SkippedBytes = 0;
    Timestamp BegunAt;
    Timestamp Deadline;
    BudgetShare Share;
  };

  /// Gives access to the bytes that were received ahead, and judges a slow
  /// caller by what it takes over time.
  class Session : public Poco::Net::HTTPServerSession {
  public:
    Session(const Poco::Net::StreamSocket &Socket,
            const Poco::Net::HTTPServerParams::Ptr &Params, Duration SendLimit)
        : HTTPServerSession(Socket, Params), SendLimit(SendLimit) {}

    /// Writes all of \p Buffer. Throws TimeoutException if the caller takes
    /// less than MinSendProgress bytes within the send limit, and NetException
    /// if the connection has ended.
    int write(const char *Buffer, std::streamsize Length) override;
    bool hasBufferedBytes() const { return buffered() > 0; }
    /// How the reading of a head ended.
    enum class HeadEnd : uint8_t {
      EmptyLine,
      /// Its other bytes have not arrived yet.
      Incomplete,
      TooLong,
      ConnectionEnded,
      /// The budget has no room for more of it.
      NoRoom
    };
    /// Reads what has arrived of the next head, up to and including the empty
    /// line, but at most \p MaxBytes. Skips empty lines before it, which count.
    HeadEnd readHead(PartialHead &Head, uint64_t MaxBytes);
    /// Reads the next bytes; those received ahead come first.
    int readRaw(char *Buffer, int Size) {
      // Fills the buffer, in place of one system call for each byte of a line.
      if (Size == 1 && buffered() == 0)
        peek();
      if (Size == 1 && buffered() == 0)
        return 0;
      return read(Buffer, Size);
    }

  private:
    /// Whether a read returns at once, with bytes or the connection's end.
    bool isReadable() const;

    Duration SendLimit;
  };

  Action serveOne();
  /// Begins a head, unless one is being read.
  void beginHead();
  /// Reads and parses the next head into \p Request. \returns what to do if
  /// there is none that can be used, after it has been answered.
  std::optional<Action> readRequest(Poco::Net::HTTPRequest &Request);
  /// Parses the head, whose reading ended. \returns the same as readRequest().
  std::optional<Action> parseHead(Session::HeadEnd End,
                                  Poco::Net::HTTPRequest &Request);
  Action answer(Poco::Net::HTTPRequest &Request,
                Poco::Net::HTTPServerResponse &Response);
  /// Reads the next bytes of a body, and notes how long the caller takes.
  int readBody(char *Buffer, int Size);
  void endBody();
  void setReceiveBuffer(int Bytes);
  /// Answers a request whose head could not be used, and whose end is thus
  /// unknown.
  Action rejectHead(const ErrorAnswer &Error);
  void discardUnread(Discard Until);

  Poco::Net::StreamSocket Socket;
  ConnectionContext &Context;
  Duration IdleLimit;
  Poco::Net::HTTPServerParams::Ptr Params;
  Session Requests;
  std::optional<PartialHead> Head;
  /// Bytes of a body since the caller was last awaited anew; nothing before the
  /// first and after the last read.
  std::optional<uint64_t> BodyProgress;
  /// Whether the current request has the length of its body.
  bool BodyAnnounced = false;
  /// Whether the kernel may receive more of the current body ahead.
  bool ReceivesAhead = false;
  ConnectionWatch::Id WatchId = 0;
};

} // namespace ferry::traffic

#endif
