#include "ferryctl/Commands.h"
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <Poco/UUIDGenerator.h>
#include <iostream>

namespace ferry::ctl {

namespace {

/// The options of `ferryctl call`.
struct CallOptions {
  explicit CallOptions(TCLAP::CmdLine &Line);

  HostOptions Hosts;
  TCLAP::ValueArg<std::string> Workspace;
  TCLAP::ValueArg<std::string> Model;
  TCLAP::ValueArg<std::string> PromptFile;
  TCLAP::SwitchArg Stream;
  TCLAP::ValueArg<std::string> Service;
  TCLAP::ValueArg<std::string> Method;
  TCLAP::ValueArg<std::string> Path;
  TCLAP::ValueArg<std::string> Body;
  TCLAP::ValueArg<std::string> Key;
  TCLAP::ValueArg<std::string> TokenName;
};

CallOptions::CallOptions(TCLAP::CmdLine &Line)
    : Hosts(Line), Workspace("w", "workspace", "The workspace that calls", true,
                             "", "id", Line),
      Model("m", "model", "The model to call", false, "", "name", Line),
      PromptFile("p", "prompt-file", "A file with the prompt", false, "",
                 "file", Line),
      Stream("s", "stream", "Request a stream and print it as it arrives",
             Line),
      Service("S", "service", "The plain service to call", false, "", "id",
              Line),
      Method("X", "method", "Method of the service call", false, "GET", "name",
             Line),
      Path("P", "path", "Path of the service call", false, "/", "path", Line),
      Body("B", "body", "JSON body of the service call", false, "", "text",
           Line),
      Key("k", "idempotency-key",
          "Idempotency key of the call; a new random one if not given", false,
          "", "key", Line),
      TokenName("n", "token-name",
                "Name of the workspace's token, if it needs "
                "one",
                false, "", "name", Line) {}

} // namespace

/// Asks any host for the entries of the workspace.
/// \returns their addresses, best first.
static Result<std::vector<std::string>, CommandError>
tryEntries(const HostAccess &Access, const std::string &Workspace) {
  std::string Encoded;
  Poco::URI::encode(Workspace, "&=+?#", Encoded);
  auto Root = Access.tryGetObject("/v1/entries?workspace=" + Encoded);
  if (!Root)
    return makeError(Root.error());
  std::vector<std::string> Addresses;
  Poco::JSON::Array::Ptr List = (*Root)->getArray("entries");
  for (size_t Index = 0; List && Index < List->size(); ++Index) {
    auto Item = List->getObject(static_cast<unsigned>(Index));
    if (Item)
      Addresses.push_back(textIn(*Item, "address"));
  }
  if (Addresses.empty())
    return makeTypedError(ExitCode::Refused, "no host accepts calls now");
  return Addresses;
}

static Result<HttpRequest, CommandError>
tryModelRequest(const CallOptions &Options) {
  auto Prompt = tryReadInput(Options.PromptFile.getValue());
  if (!Prompt)
    return makeError(Prompt.error());
  Poco::JSON::Object Message;
  Message.set("role", "user");
  Message.set("content", *Prompt);
  Poco::JSON::Array Messages;
  Messages.add(Message);
  Poco::JSON::Object Root;
  Root.set("model", Options.Model.getValue());
  Root.set("stream", Options.Stream.getValue());
  Root.set("messages", Messages);
  std::ostringstream Body;
  Root.stringify(Body);
  return HttpRequest{
      "POST", "/v1/chat/completions", {}, "application/json", Body.str()};
}

static HttpRequest serviceRequest(const CallOptions &Options) {
  std::string Path = "/v1/services/" + Options.Service.getValue();
  if (!Options.Path.getValue().starts_with("/"))
    Path += "/";
  return {Options.Method.getValue(),
          Path + Options.Path.getValue(),
          {},
          "application/json",
          Options.Body.getValue()};
}

static Result<HttpRequest, CommandError>
tryRequest(const CallOptions &Options) {
  bool IsModelCall = Options.Model.isSet() && Options.PromptFile.isSet();
  if (IsModelCall == Options.Service.isSet())
    return makeTypedError(ExitCode::Usage,
                          "give --model and --prompt-file, or --service");
  if (IsModelCall)
    return tryModelRequest(Options);
  return serviceRequest(Options);
}

static void addCallHeaders(HttpRequest &Request, const CallOptions &Options,
                           Timestamp Deadline) {
  std::string Key = Options.Key.getValue();
  if (Key.empty())
    Key = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  Request.Headers = {
      {"X-Workspace", Options.Workspace.getValue()},
      {"X-Deadline-Ms", std::to_string(millisUntil(Deadline, steadyNow()))},
      {"Idempotency-Key", Key}};
}

/// Sends the call to the entries in turn. Tries the next entry only after a
/// refusal that says "not run" or a connection that failed before anything was
/// sent; after any other failure the call may have run and is not sent again.
static ExitCode send(const HostAccess &Entries, const HttpRequest &Request,
                     const Output &Out) {
  HttpRequest Authenticated = Entries.withToken(Request);
  CommandError LastError{ExitCode::Unreachable, "no entry could be reached"};
  BodySink Show;
  if (!Out.isJson())
    Show = [](std::string_view Part) { std::cout << Part << std::flush; };
  for (const std::string &Address : Entries.Addresses) {
    auto Answer = tryExchange(Address, Authenticated, Entries.Deadline, Show);
    if (!Answer && Answer.error().Kind == HttpErrorKind::NotSent) {
      LastError.Detail = Answer.error().message();
      continue;
    }
    if (!Answer)
      return Out.fail({ExitCode::OutcomeUnknown, Answer.error().message()});
    if (Answer->succeeded()) {
      std::cout << Answer->Body << std::endl;
      return ExitCode::Success;
    }
    HostError Error = hostErrorOf(*Answer);
    LastError = {ExitCode::Refused,
                 Address + ": " + Error.Type + ": " + Error.Message};
    if (Error.State != HostError::ExecutionState::NotRun)
      break;
  }
  return Out.fail(LastError);
}

ExitCode runCall(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Sends one call as a caller would. --hosts are callers' "
                     "addresses: any of them lists the entries to use.");
  CallOptions Options(Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.Hosts.output();
  Options.Hosts.setTokenName(Options.TokenName.getValue());
  auto Access = Options.Hosts.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  auto Request = tryRequest(Options);
  if (!Request)
    return Out.fail(Request.error());
  auto Entries = tryEntries(*Access, Options.Workspace.getValue());
  if (!Entries)
    return Out.fail(Entries.error());
  HostAccess EntryAccess = *Access;
  EntryAccess.Addresses = std::move(*Entries);
  addCallHeaders(*Request, Options, EntryAccess.Deadline);
  return send(EntryAccess, *Request, Out);
}

} // namespace ferry::ctl
