/// \file
/// Serves one request of the routed interface: checks, placement, relay,
/// retries.
#ifndef FERRY_LIBTRAFFIC_ROUTEDRELAY_H
#define FERRY_LIBTRAFFIC_ROUTEDRELAY_H

#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/HttpExchange.h"
#include "LibTraffic/RequestDigest.h"
#include "LibTraffic/RoutedContext.h"
#include "LibTraffic/TargetExchange.h"

namespace ferry::traffic {

/// Exists as long as its request, on the thread of the caller's connection.
///
/// A non-idempotent request is retried only if nothing was sent in the last
/// attempt or if its target said that it did not run the request. So the answer
/// "not run" needs no state that outlives this object.
class RoutedRelay {
public:
  RoutedRelay(RoutedContext &Context, HttpExchange &Exchange);
  ~RoutedRelay();
  RoutedRelay(const RoutedRelay &) = delete;
  RoutedRelay &operator=(const RoutedRelay &) = delete;

  /// Serves the request: answers it or ends the caller's connection.
  void run();

private:
  /// What to do after an attempt: nothing, or a retry of a request that was
  /// certainly not run or that may have run.
  enum class NextStep : uint8_t { Done, RetryUnsent, RetryRun };

  /// Finds the route and the workspace and fills Call.
  /// \returns the refusal, or nothing if the request is valid.
  std::optional<ErrorAnswer> checkRequest();
  std::optional<ErrorAnswer> checkKey();
  /// \returns the refusal of a request that the routes do not allow. It is not
  /// for good while newer routes may be in force elsewhere.
  ErrorAnswer refusalByRoutes(AnswerError Type, std::string Reason) const;
  /// Counts the request against the cap of its workspace.
  /// \returns the refusal if the workspace has reached it.
  std::optional<ErrorAnswer> countAgainstCap();
  /// Counts a further run of the request.
  void countRepeat();
  /// Gives the units back if no target has run the request.
  void settleCap();
  /// \returns the scope within which engines and stores share what they cache,
  /// besides the weights: that of an isolated workspace, or of all others.
  std::string cacheScope() const;
  /// \returns what the request counts against \p Cap.
  double unitsOf(const config::WorkspaceCap &Cap) const;
  /// Finds the build that began the stream which the caller takes up.
  /// \returns the refusal if it is not known.
  std::optional<ErrorAnswer> findBuild();
  std::optional<BuildId> askBuild();
  /// Lets other routers know which build began this stream.
  void tellBuild();
  routing::StreamKey keyOf(const RequestId &Request) const;
  /// Counts a request that another router passed on.
  /// \returns the refusal if there are too many.
  std::optional<ErrorAnswer> acceptPassed();
  /// Ends the request at another router, or refuses it, if this one reaches no
  /// target. \returns whether the request has ended.
  bool passOn();
  bool passOnTo(const SharedReach::Address &To);
  void relay();
  /// Asks other routers for a slot of a brittle target, for 150 ms at most.
  /// \returns whether Call has one now.
  bool borrowSlot();
  /// Ends the loan of Call's slot, if it has one.
  void giveBackSlot();
  /// Sends the request to one target and relays its answer.
  NextStep attempt(const routing::PlacedCall &Destination);
  NextStep relayAnswer(const routing::PlacedCall &Destination,
                       TargetExchange &Target);
  /// Obeys what the target asks for itself in the head of its answer.
  void noteSignals(const routing::PlacedCall &Destination,
                   const AnswerDetails &Details);
  NextStep relayWhole(const routing::PlacedCall &Destination,
                      TargetExchange &Target);
  /// Reserves the memory for \p Bytes of an answer. \returns whether it is
  /// free.
  bool mayHold(uint64_t Bytes);
  NextStep relayStream(const routing::PlacedCall &Destination,
                       TargetExchange &Target);
  /// Appends the new events in \p Piece to \p Ready.
  /// \returns false if an event is too large, or too much is in memory.
  bool collectEvents(EventSplitter &Events, std::string &Piece,
                     std::string &Ready);
  void beginStream(const routing::PlacedCall &Destination,
                   TargetExchange &Target);
  /// Cuts the stream if no other target can continue it.
  NextStep handleStreamFailure(const routing::PlacedCall &Destination,
                               const LinkError &Failure);
  void cutStream();
  /// Logs a failure and ends the attempt. \p Sent tells whether the target may
  /// have received a part of the request.
  NextStep recordFailure(const routing::PlacedCall &Destination,
                         const LinkError &Seen, bool Sent);
  /// What a failed attempt tells of its target.
  enum class TargetFate : uint8_t {
    /// It broke the answer off.
    Ended,
    /// It had ended, and another incarnation has started since.
    Replaced,
    /// It did not answer while there was time.
    Unknown
  };
  /// Notes the request as a possible cause of the end of its target, unless its
  /// answer had come for long.
  void noteSuspect(const routing::PlacedCall &Destination, TargetFate Fate);
  static LinkError targetReplaced();
  /// \returns why the end of the connection, which is that of the answer, is
  /// the work of this router; nothing if it is not.
  std::optional<LinkError> findCut(const TargetExchange &Target) const;
  /// Reports the end of an attempt to the placement. \returns \p Step.
  NextStep endAttempt(const routing::PlacedCall &Destination,
                      routing::CallEnd End, NextStep Step);
  bool mayRetry(NextStep Retry);
  /// Ends a request for which the placement found no target.
  void refuseUnplaced(const routing::RefusedCall &Refusal);
  /// Ends a request that is not retried any more.
  void failRequest();
  void refuse(const ErrorAnswer &Answer);
  /// Whether callers conclude from \p Status that the request has not run.
  static bool meansNotRun(int Status);
  void logPlaced(const routing::PlacedCall &Destination);
  void logEnd(std::string_view Event, int Status);
  /// \returns the shared parts of the prompt and the ids of the whole request.
  const routing::PartSet &identified();
  /// \returns what the quarantine judges the request by: the shared parts, and
  /// the ids if any request was broken off lately.
  const routing::PartSet &judgedParts();
  /// \returns the request's id for log lines.
  std::string digestText();
  /// \returns the framing of the newest answer for log lines.
  /// Notes how the connection ended, if that ended the answer.
  void noteEnd(const TargetExchange &Target);
  /// \returns the name of EndOfConnection, or "".
  std::string_view endName() const;
  std::string_view framingName() const;
  /// \returns how far the target has come with the newest answer.
  routing::AnswerProgress answerProgress() const;
  /// \returns the refusal once the drain takes no new work; nothing before.
  /// Holds for requests that no target can have run.
  std::optional<ErrorAnswer> checkDrain() const;
  /// \returns when the caller needs its answer at the latest.
  Timestamp answerDeadline() const;
  WaitLimits limits() const;
  TargetDetails detailsFor(const routing::PlacedCall &Destination) const;

  RoutedContext &Context;
  HttpExchange &Exchange;
  routing::RoutingViewPtr View;
  CallerDetails Caller;
  const config::Route *Route = nullptr;
  const config::RoutedWorkspace *Workspace = nullptr;
  std::string Body;
  routing::RoutedCall Call;
  routing::PartSet SharedParts;
  /// Once they were needed: reading a large body takes time.
  std::optional<RequestDigest> Digest;
  routing::PartSet PartsAndRequest;
  Timestamp ArrivedAt;
  /// When the answer's stream started; the epoch before that.
  Timestamp FirstByteAt;
  /// Number of attempts whose target may have run the request.
  uint32_t PossibleRuns = 0;
  uint32_t Attempts = 0;
  /// Whether a target has run the request and answered, here or at the router
  /// that it was passed on to.
  bool WasServed = false;
  /// The units counted against the cap of the workspace.
  double ChargedUnits = 0;
  /// Whether another router passed the request on. It is not passed on again.
  bool PassedIn = false;
  /// Whether the caller has received the head of a stream.
  bool StreamStarted = false;
  /// The id of the newest event that was relayed.
  std::optional<uint64_t> LastEvent;
  /// What the answer in memory has of the budget for all answers.
  BudgetShare LargeAnswer;
  /// How the newest answer of a target was framed, once its head has come.
  std::optional<FramingKind> Framing;
  /// The request at the target of the current attempt, once it is connected.
  std::optional<TargetCallEntry> AtTarget;
  /// Its connection.
  std::optional<WatchedConnection> Watched;
  /// How the connection ended that ended the newest answer of a target.
  std::optional<ConnectionEnd> EndOfConnection;
  /// When the request was sent to the target of the current attempt.
  Timestamp SentAt;
  /// When the first event of the newest answer came; nothing before that.
  std::optional<Timestamp> FirstEventAt;
  /// Identifies Call.Loan at its lender.
  uint64_t LoanNumber = 0;
  /// Bytes that the newest stream of a target sent after its last whole event.
  uint64_t UnfinishedBytes = 0;
  /// The answer of a target that failed, relayed if no other target serves the
  /// request.
  struct TargetAnswer {
    Poco::Net::HTTPResponse Head;
    HeldBody Body;
  };
  std::optional<TargetAnswer> LastFailureAnswer;
  LinkError LastFailure{LinkErrorKind::NotSent, ""};
  /// The estimate with which the placement refused the request.
  Duration RefusedEstimate = {};
};

} // namespace ferry::traffic

#endif
