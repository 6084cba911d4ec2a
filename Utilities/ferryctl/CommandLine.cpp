#include "ferryctl/CommandLine.h"
#include "LibConfig/Parse.h"
#include "LibConfig/TextForm.h"
#include "LibConfig/TokenFile.h"
#include <cstdlib>
#include <sstream>

namespace ferry::ctl {

static constexpr uint32_t DefaultDeadlineMillis = 10'000;
static constexpr const char *HostsVariable = "FERRY_HOSTS";
static constexpr const char *TokenFileVariable = "FERRY_TOKEN_FILE";

CommandLine::CommandLine(const Arguments &Args, const std::string &Help)
    : Words(Args.Words), Line(Help, ' ', Args.Version) {
  Words.front() = "ferryctl " + Words.front();
  Line.setExceptionHandling(false);
}

Result<void, CommandError> CommandLine::tryParse() {
  try {
    Line.parse(Words);
    return {};
  } catch (const TCLAP::ArgException &Error) {
    return makeTypedError(ExitCode::Usage,
                          Error.argId() + ": " + Error.error());
  } catch (const TCLAP::ExitException &) {
    return makeTypedError(ExitCode::Success);
  }
}

std::optional<ExitCode> parseOrExit(CommandLine &Parser) {
  auto Parsed = Parser.tryParse();
  if (Parsed)
    return std::nullopt;
  return Output(OutputForm::Text).fail(Parsed.error());
}

static std::string environment(const char *Name) {
  const char *Value = std::getenv(Name);
  return Value ? Value : "";
}

HostOptions::HostOptions(TCLAP::CmdLine &Line)
    : TokenName(config::OperatorTokenName),
      Hosts("H", "hosts",
            "Operators' addresses of hosts, tried in turn; FERRY_HOSTS if not "
            "given",
            false, environment(HostsVariable), "IP:port,...", Line),
      TokenFile("t", "token-file",
                "File of tokens by name; FERRY_TOKEN_FILE if not given", false,
                environment(TokenFileVariable), "file", Line),
      DeadlineMillis("d", "deadline-ms", "Longest wait for the whole command",
                     false, DefaultDeadlineMillis, "ms", Line),
      Json("j", "json", "Write JSON for programs", Line) {}

Output HostOptions::output() const {
  return Output(Json.getValue() ? OutputForm::Json : OutputForm::Text);
}

static CommandError invalidInput(const config::ConfigErrors &Errors) {
  std::string Text;
  for (const config::ConfigError &Error : Errors)
    Text += (Text.empty() ? "" : "\n") + Error.message();
  return {ExitCode::InvalidInput, Text};
}

Result<std::vector<std::string>, CommandError>
tryAddresses(const std::string &List) {
  std::vector<std::string> Addresses;
  std::istringstream Items(List);
  std::string Item;
  while (std::getline(Items, Item, ',')) {
    if (!config::hasForm(Item, config::TextForm::Address))
      return makeTypedError(ExitCode::Usage, "not an address: " + Item);
    Addresses.push_back(Item);
  }
  if (Addresses.empty())
    return makeTypedError(ExitCode::Usage,
                          "no host is named: give --hosts or set FERRY_HOSTS");
  return Addresses;
}

Result<HostAccess, CommandError> HostOptions::tryAccess() const {
  auto Addresses = tryAddresses(Hosts.getValue());
  if (!Addresses)
    return makeError(Addresses.error());
  return tryAccess(std::move(*Addresses));
}

Result<HostAccess, CommandError>
HostOptions::tryAccess(std::vector<std::string> Addresses) const {
  HostAccess Access;
  Access.Addresses = std::move(Addresses);
  Access.Deadline =
      steadyNow() + std::chrono::milliseconds(DeadlineMillis.getValue());
  if (TokenFile.getValue().empty() || TokenName.empty())
    return Access;
  auto Tokens = config::tryLoadTokens(TokenFile.getValue());
  if (!Tokens)
    return makeError(invalidInput(Tokens.error()));
  auto NamedToken = Tokens->find(TokenName);
  if (NamedToken == Tokens->end())
    return makeTypedError(ExitCode::InvalidInput, TokenFile.getValue() +
                                                      ": no token named " +
                                                      TokenName);
  Access.Token = NamedToken->second;
  return Access;
}

Result<std::string, CommandError> tryReadInput(const std::string &Path) {
  auto Text = config::tryReadText(Path);
  if (!Text)
    return makeError(invalidInput(Text.error()));
  return std::move(*Text);
}

} // namespace ferry::ctl
