#include "LibTraffic/CallerRequest.h"
#include "LibCore/ParseNumber.h"
#include "LibRouting/Entries.h"
#include <algorithm>

namespace ferry::traffic {

/// Longest value of an identifying header, in bytes.
static constexpr size_t MaxNameBytes = 128;
/// Longest deadline that a caller may send.
static constexpr uint64_t MaxDeadlineMillis = 3'600'000;
/// Time after which a caller may resend to a host that refuses new requests.
static constexpr std::chrono::seconds HostRefusalRetry{2};

static tl::unexpected<ErrorAnswer> badHeader(const char *Name) {
  return makeError(
      ErrorAnswer{AnswerError::BadHeader,
                  std::string("header ") + Name + " is missing or malformed"});
}

static bool isValidName(const std::string &Text) {
  return Text.size() <= MaxNameBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > 0x20 && C < 0x7f; });
}

static std::optional<uint64_t> parseMillis(const std::string &Text) {
  auto Millis = parseNumber<uint64_t>(Text);
  if (!Millis || *Millis == 0 || *Millis > MaxDeadlineMillis)
    return std::nullopt;
  return Millis;
}

/// Checks the workspace and its token. A host without a description knows no
/// workspaces and checks nothing; admissionAt() then refuses the request.
static AnswerResult<void> tryAdmitWorkspace(const TrafficContext &Context,
                                            const HttpExchange &Exchange,
                                            const CallerRequest &Caller) {
  if (!Caller.View->Description)
    return {};
  const config::Workspace *Workspace =
      Caller.View->Description->findWorkspace(Caller.Workspace);
  if (!Workspace)
    return makeError(ErrorAnswer{AnswerError::UnknownWorkspace,
                                 "the description has no such workspace"});
  bool Authorized = Workspace->Token == config::TokenPolicy::NotRequired ||
                    Context.Tokens.grants(Workspace->TokenName,
                                          Exchange.header("Authorization"));
  if (!Authorized)
    return makeError(ErrorAnswer{AnswerError::Unauthorized,
                                 "the workspace needs its bearer token"});
  return {};
}

AnswerResult<CallerRequest> tryReadCaller(TrafficContext &Context,
                                          const HttpExchange &Exchange) {
  for (const char *Name : {"X-Workspace", "Idempotency-Key", "Authorization"})
    if (Exchange.isRepeated(Name))
      return badHeader(Name);
  CallerRequest Caller;
  Caller.View = Context.Placements.view();
  Caller.Workspace = {Exchange.header("X-Workspace")};
  if (Caller.Workspace.empty() || !isValidName(Caller.Workspace.Value))
    return badHeader("X-Workspace");
  if (!isValidName(Exchange.header("X-Request-Id")))
    return badHeader("X-Request-Id");
  Caller.IdempotencyKey = Exchange.header("Idempotency-Key");
  if (!isValidName(Caller.IdempotencyKey))
    return badHeader("Idempotency-Key");
  if (std::string Text = Exchange.header("X-Deadline-Ms"); !Text.empty()) {
    auto Millis = parseMillis(Text);
    if (!Millis)
      return badHeader("X-Deadline-Ms");
    Caller.DeadlineMillis = *Millis;
  }
  if (std::string Text = Exchange.header("X-Priority"); !Text.empty()) {
    auto Priority = enumFromName<routing::Priority>(Text);
    if (!Priority)
      return badHeader("X-Priority");
    Caller.Priority = *Priority;
  }
  if (auto Admitted = tryAdmitWorkspace(Context, Exchange, Caller); !Admitted)
    return makeError(Admitted.error());
  // Callers may reuse their request ids. The check of an engine's echo needs an
  // id that never repeats.
  Caller.Id = {Context.Settings.Host.Value + "-" +
               std::to_string(Context.Incarnation.Value) + "-" +
               std::to_string(Context.NextRequest++)};
  return Caller;
}

Timestamp requestDeadline(const CallerRequest &Caller,
                          const config::Service &Service) {
  uint64_t Millis = Caller.DeadlineMillis != 0 ? Caller.DeadlineMillis
                                               : Service.DefaultDeadlineMillis;
  return steadyNow() + std::chrono::milliseconds(Millis);
}

std::vector<std::string> otherEntries(const TrafficContext &Context,
                                      const WorkspaceId &Workspace) {
  std::vector<std::string> Addresses;
  auto View = Context.Placements.view();
  for (const auto &Host :
       routing::rankEntries(*View, Workspace, Context.Settings.DataCentre))
    if (Host.Id != Context.Settings.Host)
      Addresses.push_back(Host.CallerAddress);
  return Addresses;
}

AdmissionAnswer admissionAt(const TrafficContext &Context,
                            const routing::RoutingView &View,
                            const WorkspaceId &Workspace, Timestamp Now) {
  auto Refuse = [&](routing::RefusalKind Kind, Admission Mode) {
    AdmissionAnswer Answer{Mode,
                           refusalAnswer({{}, Kind, Now + HostRefusalRetry})};
    Answer.Refusal.Entries = otherEntries(Context, Workspace);
    return Answer;
  };
  if (Context.RefuseFrom.load() <= Now)
    return Refuse(routing::RefusalKind::Draining, Admission::Refused);
  if (!View.Description)
    return Refuse(routing::RefusalKind::NoDescription, Admission::Refused);
  if (View.ConfirmedUntil > Now)
    return {};
  bool ServesReads = View.Description->WhenUnconfirmed ==
                     config::UnconfirmedPolicy::ServeReads;
  return Refuse(routing::RefusalKind::Unconfirmed,
                ServesReads ? Admission::ReadsOnly : Admission::Refused);
}

std::optional<ErrorAnswer> checkBeforeSend(TrafficContext &Context,
                                           const CallerRequest &Caller,
                                           Timestamp Deadline, SendKind Kind) {
  Timestamp Now = steadyNow();
  if (Now >= Deadline) {
    Context.Counters.add(TrafficCount::LateSendsStopped);
    return refusalAnswer({Caller.Id, routing::RefusalKind::DeadlinePassed, {}});
  }
  auto View = Context.Placements.view();
  if (Kind == SendKind::Resume || View->ConfirmedUntil > Now)
    return std::nullopt;
  auto Answer = admissionAt(Context, *View, Caller.Workspace, Now);
  // Requests that were accepted before a drain began are finished, so only an
  // unconfirmed description stops them here.
  bool MustRefuse =
      Answer.Refusal.Type == AnswerError::Unconfirmed &&
      (Kind == SendKind::Write || Answer.Mode == Admission::Refused);
  if (!MustRefuse)
    return std::nullopt;
  Context.Counters.add(TrafficCount::LateSendsStopped);
  return Answer.Refusal;
}

} // namespace ferry::traffic
