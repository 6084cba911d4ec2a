#include "LibConfig/TextForm.h"
#include "ferryctl/Commands.h"
#include "ferryctl/Description.h"
#include <Poco/JSON/Array.h>
#include <algorithm>

namespace ferry::ctl {

/// Limits the wait for the answer of one host.
static constexpr Duration StatusTimeout = std::chrono::seconds(2);

static HostAccess accessTo(const HostAccess &Access,
                           const std::string &Address) {
  HostAccess SingleHost = Access;
  SingleHost.Addresses = {Address};
  SingleHost.Deadline = std::min(Access.Deadline, steadyNow() + StatusTimeout);
  return SingleHost;
}

namespace {

/// SingleHost row of the output of `ferryctl status`.
struct HostStatus {
  std::string Address;
  /// The kind of the error, or empty if the host answered.
  std::string Failure;
  Spread ReportedSpread;
};

} // namespace

static HostStatus readStatus(const HostAccess &Access,
                             const std::string &Address,
                             DescriptionNumber Number) {
  HostStatus Status{Address, "", {}};
  auto HostSpread = tryReadSpread(accessTo(Access, Address), Number);
  if (HostSpread)
    Status.ReportedSpread = *HostSpread;
  else
    Status.Failure = std::string(enumName(HostSpread.error().Kind));
  return Status;
}

static void showStatus(const Output &Out, DescriptionNumber Number,
                       const std::vector<HostStatus> &Hosts) {
  Table Rows{{"ADDRESS", "STATE", "NUMBER", "IN FORCE", "KNOWN"}, {}};
  Poco::JSON::Array List;
  for (const HostStatus &Host : Hosts) {
    std::string State = Host.Failure.empty() ? "answers" : Host.Failure;
    Rows.Rows.push_back({Host.Address, State,
                         std::to_string(Host.ReportedSpread.Number.Value),
                         std::to_string(Host.ReportedSpread.HostsInForce),
                         std::to_string(Host.ReportedSpread.HostsKnown)});
    Poco::JSON::Object Item;
    Item.set("address", Host.Address);
    Item.set("state", State);
    Item.set("number", Host.ReportedSpread.Number.Value);
    Item.set("hosts_in_force", Host.ReportedSpread.HostsInForce);
    Item.set("hosts_known", Host.ReportedSpread.HostsKnown);
    List.add(Item);
  }
  Poco::JSON::Object Root;
  Root.set("number", Number.Value);
  Root.set("hosts", List);
  Out.result("newest accepted number: " + std::to_string(Number.Value) + "\n" +
                 Rows.render(),
             Root);
}

ExitCode runStatus(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Shows the newest accepted number, and for each host of "
                     "--hosts how far it sees that number in force.");
  HostOptions Options(Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = Options.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  auto Current = tryReadDescription(*Access);
  if (!Current)
    return Out.fail(Current.error());
  std::vector<HostStatus> Hosts;
  for (const std::string &Address : Access->Addresses)
    Hosts.push_back(readStatus(*Access, Address, Current->Number));
  showStatus(Out, Current->Number, Hosts);
  bool AllAnswer =
      std::all_of(Hosts.begin(), Hosts.end(),
                  [](const HostStatus &Host) { return Host.Failure.empty(); });
  return AllAnswer ? ExitCode::Success : ExitCode::Unreachable;
}

/// \returns a table of the objects in \p Section, which are keyed by their ids.
static std::string renderById(const Poco::JSON::Object::Ptr &Section,
                              const std::string &IdHeading,
                              const std::vector<std::string> &Columns) {
  Table Rows{{IdHeading}, {}};
  Rows.Headings.insert(Rows.Headings.end(), Columns.begin(), Columns.end());
  std::vector<std::string> Ids;
  if (Section)
    Section->getNames(Ids);
  for (const std::string &Id : Ids) {
    Poco::JSON::Object::Ptr Item = Section->getObject(Id);
    std::vector<std::string> Cells = {Id};
    for (const std::string &Column : Columns)
      Cells.push_back(Item ? textIn(*Item, Column) : "");
    Rows.Rows.push_back(std::move(Cells));
  }
  return Rows.render();
}

ExitCode runHosts(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Shows the hosts and targets that are known to the first "
                     "host of --hosts that answers.");
  HostOptions Options(Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = Options.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  auto Root = Access->tryGetObject("/v1/dump");
  if (!Root)
    return Out.fail(Root.error());
  Poco::JSON::Object::Ptr Control = (*Root)->getObject("control");
  if (!Control)
    return Out.fail(
        {ExitCode::InternalError, "the dump has no section \"control\""});
  Poco::JSON::Object::Ptr Hosts = Control->getObject("hosts");
  Poco::JSON::Object::Ptr Targets = Control->getObject("targets");
  Poco::JSON::Object Sections;
  Sections.set("hosts", Hosts);
  Sections.set("targets", Targets);
  Out.result(renderById(Hosts, "host",
                        {"data_centre", "standing", "description_number"}) +
                 "\n" +
                 renderById(Targets, "target",
                            {"service", "data_centre", "address", "phase",
                             "weights", "running"}),
             Sections);
  return ExitCode::Success;
}

/// \returns the access to the one host that the command line names.
static Result<HostAccess, CommandError>
tryNamedHost(const HostOptions &Options, const std::string &Address) {
  auto Addresses = tryAddresses(Address);
  if (!Addresses)
    return makeError(Addresses.error());
  return Options.tryAccess(std::move(*Addresses));
}

ExitCode runDrain(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Begins the graceful shutdown of one host: it leaves the "
                     "entries, finishes its requests and exits.");
  HostOptions Options(Parser.line());
  TCLAP::UnlabeledValueArg<std::string> Host(
      "host", "The host's address for operators", true, "", "IP:port",
      Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = tryNamedHost(Options, Host.getValue());
  if (!Access)
    return Out.fail(Access.error());
  auto Answer = Access->trySend({"POST", "/v1/drain", {}, "", ""});
  if (!Answer)
    return Out.fail(Answer.error());
  if (!Answer->succeeded())
    return Out.fail({ExitCode::Refused, hostErrorOf(*Answer).Message});
  Poco::JSON::Object Object;
  Object.set("host", Host.getValue());
  Object.set("draining", true);
  Out.result(Host.getValue() + " is draining\n", Object);
  return ExitCode::Success;
}

ExitCode runDump(const Arguments &Args) {
  CommandLine Parser(Args, "Prints the state of one process as JSON.");
  HostOptions Options(Parser.line());
  TCLAP::UnlabeledValueArg<std::string> Host(
      "host", "The host's address for operators", true, "", "IP:port",
      Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = tryNamedHost(Options, Host.getValue());
  if (!Access)
    return Out.fail(Access.error());
  auto Text = Access->tryGetText("/v1/dump");
  if (!Text)
    return Out.fail(Text.error());
  auto Object = tryParseObject(*Text);
  if (!Object)
    return Out.fail({ExitCode::InternalError, Object.error().message()});
  Out.result(*Text + "\n", **Object);
  return ExitCode::Success;
}

} // namespace ferry::ctl
