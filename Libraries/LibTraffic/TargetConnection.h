/// \file
/// One try of one request on one target, over a connection of its own.
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

/// Why a try on a target ended early.
enum class LinkErrorKind : uint8_t {
  /// No connection: nothing was sent.
  ConnectFailed,
  /// It was too late to send: nothing was sent.
  NotSent,
  /// Parts of the request may have been sent.
  SendFailed,
  /// The connection ended or its bytes made no sense.
  Broken,
  /// The answer ended before its own length, or its length cannot be proved.
  Incomplete,
  TooLarge,
  /// The answer is not that of this request, incarnation or weights.
  WrongEcho,
  /// No byte came before the stall limit.
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
  /// Longest wait for the next byte; stored as a point in time per wait.
  Duration StallLimit = Duration::max();
  /// The caller's socket descriptor, watched for its end; -1 for none.
  int CallerDescriptor = -1;

  /// When a wait that begins at \p Now counts as stalled, at the latest at the
  /// deadline.
  Timestamp stallTime(Timestamp Now) const;
};

/// A fresh connection to a target. Its request is written once and never again,
/// also not by the HTTP library, which repeats on kept-alive connections only.
class TargetConnection {
public:
  /// Connects to "IP:port" before \p Deadline.
  static LinkResult<std::unique_ptr<TargetConnection>>
  tryConnect(const std::string &Address, Timestamp Deadline);

  ~TargetConnection();

  /// Writes a whole request. After the call any failure may have sent it.
  LinkResult<void> trySend(const std::string &Method, const std::string &Path,
                           const HeaderList &Headers, const std::string &Body,
                           Timestamp Deadline);

  /// Waits for the head of the answer.
  LinkResult<void> tryReceiveHead(const WaitLimits &Limits);

  /// \returns the next piece of the body, "" at its end.
  LinkResult<std::string> tryReadPiece(const WaitLimits &Limits);

  /// Reads the whole body. \returns Incomplete unless it has its Content-Length
  /// or is JSON that ends.
  LinkResult<std::string> tryReadWhole(uint64_t MaxBytes,
                                       const WaitLimits &Limits);

  int status() const { return Response.getStatus(); }
  /// \returns the answer's header \p Name, or "" if it is absent.
  std::string header(const std::string &Name) const;

private:
  /// Shows whether the session still holds bytes that no poll reports.
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
