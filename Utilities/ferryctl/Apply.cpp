#include "LibConfig/Parse.h"
#include "ferryctl/Commands.h"
#include "ferryctl/Description.h"
#include <Poco/Thread.h>
#include <Poco/UUIDGenerator.h>

namespace ferry::ctl {

static constexpr long PollPauseMillis = 100;
static constexpr int ConflictStatus = 409;

namespace {

/// A proposed change of the description.
struct Change {
  /// The number that the change is based on.
  DescriptionNumber Base;
  std::string Operation;
  std::string Text;
};

} // namespace

/// \returns the text of the file if it is a valid description.
static Result<std::string, CommandError>
tryReadValidDescription(const std::string &Path) {
  auto Text = tryReadInput(Path);
  if (!Text)
    return Text;
  auto Parsed = config::tryParseDescription(*Text, Path);
  if (Parsed)
    return Text;
  std::string Detail;
  for (const config::ConfigError &Error : Parsed.error())
    Detail += "\n" + Error.message();
  return makeTypedError(ExitCode::InvalidInput, Detail);
}

static CommandError conflictError(const HttpAnswer &Answer) {
  HostError Error = hostErrorOf(Answer);
  auto Root = tryParseObject(Answer.Body);
  Poco::JSON::Object::Ptr ErrorObject =
      Root ? (*Root)->getObject("error") : nullptr;
  if (Error.Type != "conflict" || !ErrorObject)
    return {ExitCode::Refused, Error.Type + ": " + Error.Message};
  uint64_t Number = numberIn(*ErrorObject, "current_number");
  return {ExitCode::Conflict, "another change was accepted first: number " +
                                  std::to_string(Number) + " by operation " +
                                  textIn(*ErrorObject, "current_operation") +
                                  "; see it with `ferryctl diff`"};
}

/// Sends the change until a host reports its outcome. Resends carry the same
/// operation id, so that the hosts answer them with the first one's outcome.
static Result<DescriptionNumber, CommandError>
tryPropose(const HostAccess &Access, const Change &Proposed) {
  HttpRequest Request{
      "PUT", "/v1/description", {}, "application/yaml", Proposed.Text};
  std::string Base = std::to_string(Proposed.Base.Value);
  Request.Headers = {{"If-Match", "\"" + Base + "\""},
                     {"X-Operation-Id", Proposed.Operation}};
  auto Answer = Access.trySend(Request);
  if (!Answer) {
    Answer.error().Detail +=
        "; resend with --operation " + Proposed.Operation + " --base " + Base;
    return makeError(Answer.error());
  }
  if (Answer->Status == ConflictStatus)
    return makeError(conflictError(*Answer));
  if (!Answer->succeeded()) {
    HostError Error = hostErrorOf(*Answer);
    return makeTypedError(ExitCode::Refused, Error.Type + ": " + Error.Message);
  }
  auto Object = tryParseObject(Answer->Body);
  if (!Object)
    return makeTypedError(ExitCode::OutcomeUnknown, Object.error().message());
  return DescriptionNumber{numberIn(**Object, "number")};
}

/// Waits until the number is in force on all known hosts.
/// \returns an error of kind NotYetInForce at the deadline.
static Result<Spread, CommandError> tryAwaitSpread(const HostAccess &Access,
                                                   DescriptionNumber Number,
                                                   Output &Out) {
  Spread LastSpread;
  std::string Failure;
  while (steadyNow() < Access.Deadline) {
    auto Reported = tryReadSpread(Access, Number);
    if (!Reported) {
      Failure = "; " + Reported.error().message();
      continue;
    }
    LastSpread = *Reported;
    Out.progress("number " + std::to_string(Number.Value) + " in force on " +
                 std::to_string(LastSpread.HostsInForce) + " of " +
                 std::to_string(LastSpread.HostsKnown) + " hosts");
    if (LastSpread.isEverywhere())
      return LastSpread;
    Poco::Thread::sleep(PollPauseMillis);
  }
  return makeTypedError(
      ExitCode::NotYetInForce,
      "number " + std::to_string(Number.Value) + " is accepted, in force on " +
          std::to_string(LastSpread.HostsInForce) + " of " +
          std::to_string(LastSpread.HostsKnown) + " hosts" + Failure);
}

/// Reads and checks the file. Draws an operation id if \p Operation is empty,
/// and reads the current number from the hosts if there is no \p Base.
static Result<Change, CommandError>
tryMakeChange(const HostAccess &Access, const std::string &Path,
              std::string Operation, std::optional<uint64_t> Base) {
  auto Text = tryReadValidDescription(Path);
  if (!Text)
    return makeError(Text.error());
  if (Operation.empty())
    Operation =
        Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  if (Base)
    return Change{{*Base}, std::move(Operation), std::move(*Text)};
  auto Current = tryReadDescription(Access);
  if (!Current)
    return makeError(Current.error());
  return Change{Current->Number, std::move(Operation), std::move(*Text)};
}

static ExitCode apply(const HostAccess &Access, const Change &Proposed,
                      Output &Out) {
  auto Number = tryPropose(Access, Proposed);
  if (!Number)
    return Out.fail(Number.error());
  Out.progress("accepted as number " + std::to_string(Number->Value));
  auto FinalSpread = tryAwaitSpread(Access, *Number, Out);
  Out.endProgress();
  if (!FinalSpread)
    return Out.fail(FinalSpread.error());
  Poco::JSON::Object Object;
  Object.set("number", Number->Value);
  Object.set("operation", Proposed.Operation);
  Object.set("hosts_in_force", FinalSpread->HostsInForce);
  Object.set("hosts_known", FinalSpread->HostsKnown);
  Out.result("number " + std::to_string(Number->Value) +
                 " is in force on all " +
                 std::to_string(FinalSpread->HostsKnown) + " hosts\n",
             Object);
  return ExitCode::Success;
}

ExitCode runApply(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Proposes a description and waits until it is in force "
                     "on every host.");
  HostOptions Options(Parser.line());
  TCLAP::ValueArg<uint64_t> Base(
      "b", "base",
      "The number that the change is based on; the current one if "
      "not given",
      false, 0, "number", Parser.line());
  TCLAP::ValueArg<std::string> Operation(
      "o", "operation",
      "The operation id of an earlier attempt, to resend that change", false,
      "", "id", Parser.line());
  TCLAP::UnlabeledValueArg<std::string> File("description",
                                             "The file with the description",
                                             true, "", "file", Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = Options.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  std::optional<uint64_t> BaseNumber;
  if (Base.isSet())
    BaseNumber = Base.getValue();
  auto Proposed =
      tryMakeChange(*Access, File.getValue(), Operation.getValue(), BaseNumber);
  if (!Proposed)
    return Out.fail(Proposed.error());
  return apply(*Access, *Proposed, Out);
}

} // namespace ferry::ctl
