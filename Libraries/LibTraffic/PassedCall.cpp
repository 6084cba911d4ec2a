#include "LibTraffic/PassedCall.h"
#include <algorithm>

namespace ferry::traffic {

WaitLimits PassedCall::limits() const {
  return {std::min(Deadline, Context.AnswerBy.load()), Duration::max(),
          Exchange.socket().impl()->sockfd()};
}

PassedCall::End PassedCall::fail(const LinkError &Error, End Otherwise) {
  Failure = Error.message();
  return Error.Kind == LinkErrorKind::CallerGone ? End::CallerLeft : Otherwise;
}

PassedCall::End PassedCall::run(const SharedReach::Address &To,
                                const std::string &Body) {
  auto Connected = TargetExchange::tryConnect(To.Callers, limits());
  if (!Connected)
    return fail(Connected.error(), End::NotSent);
  TargetExchange &Router = **Connected;
  WatchedConnection Watched(Context.CallsInProgress, Router.socket());
  auto WaitMillis = static_cast<uint64_t>(millisUntil(Deadline, steadyNow()));
  Poco::Net::HTTPRequest Head = Context.Dialect.WritePassed(
      Exchange.head(), {To.Router.PassKey, WaitMillis});
  if (!Body.empty() || Exchange.method() != "GET")
    Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  if (auto Sent = Router.trySend(Head, Body, limits()); !Sent)
    return fail(Sent.error(), End::Unknown);
  if (auto Received = Router.tryReceiveHead(limits()); !Received)
    return fail(Received.error(), End::Unknown);
  Status = Router.head().getStatus();
  return relayAnswer(Router);
}

PassedCall::End PassedCall::relayAnswer(TargetExchange &Router) {
  // Routers send whole answers with their length and streams in chunks.
  if (Router.framing() == FramingKind::Chunks)
    return relayStream(Router);
  auto Answer = Router.tryReadWhole(
      RoutedContext::MaxWholeAnswerBytes, limits(),
      [this](uint64_t Bytes) { return LargeAnswer.tryHoldAnswer(Bytes); });
  if (!Answer)
    return fail(Answer.error(), End::Unknown);
  Exchange.sendRelayed(Router.head(), *Answer);
  return End::Answered;
}

PassedCall::End PassedCall::relayStream(TargetExchange &Router) {
  Exchange.beginRelayedStream(Router.head());
  while (true) {
    auto Piece = Router.tryReadPiece(limits());
    if (!Piece)
      return fail(Piece.error(), End::Cut);
    if (Piece->empty())
      return End::Answered;
    if (!Exchange.writeEvents(*Piece))
      return fail({LinkErrorKind::CallerGone, "write"}, End::Cut);
  }
}

} // namespace ferry::traffic
