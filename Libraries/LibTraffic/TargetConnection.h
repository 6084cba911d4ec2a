/// \file
/// One attempt of one request on one target, on a connection of its own.
#ifndef FERRY_LIBTRAFFIC_TARGETCONNECTION_H
#define FERRY_LIBTRAFFIC_TARGETCONNECTION_H

#include "LibCore/EnumNames.h"
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ferry::traffic {

/// Why an attempt on a target ended early.
enum class LinkErrorKind : uint8_t {
  /// No connection: nothing was sent.
  ConnectFailed,
  /// It was too late to send: nothing was sent.
  NotSent,
  /// Parts of the request may have been sent.
  SendFailed,
  /// The connection ended or the answer is malformed.
  Broken,
  /// The answer is shorter than its length, or nothing shows that it is whole.
  Incomplete,
  TooLarge,
  /// The answer names another request, incarnation or weights.
  WrongEcho,
  /// No byte came within the stall limit.
  Stalled,
  DeadlinePassed,
  CallerGone
};

using LinkError = TypedError<LinkErrorKind>;
template <typename ValueType> using LinkResult = Result<ValueType, LinkError>;

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// What ends a wait on a target.
struct WaitLimits {
  Timestamp Deadline;
  /// Longest wait for the next byte. Each wait turns it into a point in time.
  Duration StallLimit = Duration::max();
  /// The caller's socket descriptor, polled for its end; -1 for none.
  int CallerDescriptor = -1;

  /// \returns when a wait that starts at \p Now counts as stalled, at the
  /// latest the deadline.
  Timestamp stallTime(Timestamp Now) const;
};

/// A new connection to a target. Its request is written only once. The HTTP
/// library does not repeat it either, as it does only on kept-alive
/// connections.
class TargetConnection {
public:
  /// Connects to "IP:port" before \p Deadline.
  static LinkResult<std::unique_ptr<TargetConnection>>
  tryConnect(const std::string &Address, Timestamp Deadline);

  ~TargetConnection();

  /// Writes a whole request. Even if this fails, the target may have received
  /// it.
  LinkResult<void> trySend(const std::string &Method, const std::string &Path,
                           const HeaderList &Headers, const std::string &Body,
                           Timestamp Deadline);

  /// Waits for the head of the answer.
  LinkResult<void> tryReceiveHead(const WaitLimits &Limits);

  /// \returns the next piece of the body, "" at its end.
  LinkResult<std::string> tryReadPiece(const WaitLimits &Limits);

  /// Reads the whole body. \returns TooLarge beyond \p MaxBytes, Incomplete
  /// unless the body has the length in Content-Length or, without that header,
  /// is a whole JSON object. The body of a status that allows none may be
  /// empty.
  LinkResult<std::string> tryReadWhole(uint64_t MaxBytes,
                                       const WaitLimits &Limits);

  int status() const { return Response.getStatus(); }
  const Poco::Net::HTTPResponse &head() const { return Response; }
  /// \returns the answer's header \p Name, or "" if it is absent.
  std::string header(const std::string &Name) const;

private:
  /// Makes the session's buffered bytes visible, which no poll reports.
  class Session : public Poco::Net::HTTPClientSession {
  public:
    using HTTPClientSession::HTTPClientSession;
    using HTTPSession::buffered;
  };

  explicit TargetConnection(const Poco::Net::StreamSocket &Socket);
  bool hasBufferedBytes() const;
  LinkResult<void> awaitBytes(const WaitLimits &Limits);

  Session Link;
  Poco::Net::HTTPResponse Response;
  std::istream *Body = nullptr;
};

} // namespace ferry::traffic

namespace ferry {

template <> struct EnumNames<traffic::LinkErrorKind> {
  using Kind = traffic::LinkErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::ConnectFailed, "connect_failed"},
      {Kind::NotSent, "not_sent"},
      {Kind::SendFailed, "send_failed"},
      {Kind::Broken, "broken"},
      {Kind::Incomplete, "incomplete"},
      {Kind::TooLarge, "too_large"},
      {Kind::WrongEcho, "wrong_echo"},
      {Kind::Stalled, "stalled"},
      {Kind::DeadlinePassed, "deadline_passed"},
      {Kind::CallerGone, "caller_gone"}};
};

} // namespace ferry

#endif
