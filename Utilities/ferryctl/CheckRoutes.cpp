#include "LibConfig/Parse.h"
#include "ferryctl/Commands.h"
#include "platform/RouteTableCodec.h"
#include "platform/RouteTextCheck.h"
#include <Poco/JSON/Array.h>
#include <algorithm>

namespace ferry::ctl {

using config::FindingSeverity;
using config::RouteChange;
using platform::RouteTextFinding;
using platform::RouteTextReview;

namespace {

/// Exit codes of this command. Its users asked for these three, which differ
/// from ExitCode; a wrong command line must not look like warnings.
enum class RoutesExit : uint8_t {
  NoFindings = 0,
  Errors = 1,
  WarningsOnly = 2,
  WrongCommandLine = 3
};

/// A checked file.
struct CheckedFile {
  std::string Path;
  RouteTextReview Review;
};

} // namespace

static ExitCode exitCode(RoutesExit Code) {
  return static_cast<ExitCode>(Code);
}

static CheckedFile checkFile(const std::string &Path) {
  auto Text = config::tryReadText(Path, platform::MaxRoutesBytes);
  if (Text)
    return {Path, platform::reviewRoutes(*Text)};
  RouteTextReview Unread;
  for (const config::ConfigError &Error : Text.error())
    Unread.Findings.push_back(
        {config::RouteFindingKind::Unreadable, "", 0, 0, Error.Detail});
  return {Path, Unread};
}

static size_t countOf(const CheckedFile &File, FindingSeverity Severity) {
  return std::count_if(File.Review.Findings.begin(), File.Review.Findings.end(),
                       [Severity](const RouteTextFinding &Finding) {
                         return config::severityOf(Finding.Kind) == Severity;
                       });
}

/// \returns \p Text without bytes that a terminal would obey.
static std::string printable(std::string Text) {
  std::replace_if(
      Text.begin(), Text.end(),
      [](unsigned char Byte) { return Byte < 0x20 || Byte == 0x7F; }, '?');
  return Text;
}

static std::string textOf(const std::string &Path,
                          const RouteTextFinding &Finding) {
  std::string Text = Path;
  if (Finding.Line > 0)
    Text += ":" + std::to_string(Finding.Line);
  if (Finding.Column > 0)
    Text += ":" + std::to_string(Finding.Column);
  Text += ": " + std::string(enumName(config::severityOf(Finding.Kind))) +
          ": " + std::string(enumName(Finding.Kind));
  for (const std::string &Part : {Finding.Place, Finding.Detail})
    if (!Part.empty())
      Text += ": " + Part;
  return printable(Text) + "\n";
}

static std::string textOf(const RouteChange &Change) {
  std::string Text(enumName(Change.Kind));
  if (!Change.Name.empty())
    Text += ": " + Change.Name;
  for (const config::RouteMemberChange &Member : Change.Members)
    Text += (&Member == &Change.Members.front() ? ": " : "; ") +
            std::string(platform::memberName(Member.Member)) + " " +
            Member.Before + " -> " + Member.After;
  return printable(Text) + "\n";
}

static Poco::JSON::Object jsonOf(const std::string &Path,
                                 const RouteTextFinding &Finding) {
  Poco::JSON::Object Item;
  Item.set("file", Path);
  Item.set("severity", std::string(enumName(config::severityOf(Finding.Kind))));
  Item.set("kind", std::string(enumName(Finding.Kind)));
  Item.set("place", Finding.Place);
  Item.set("line", Finding.Line);
  Item.set("column", Finding.Column);
  Item.set("detail", Finding.Detail);
  return Item;
}

static Poco::JSON::Object jsonOf(const RouteChange &Change) {
  Poco::JSON::Object Item;
  Item.set("kind", std::string(enumName(Change.Kind)));
  Item.set("name", Change.Name);
  Poco::JSON::Array Members;
  for (const config::RouteMemberChange &Member : Change.Members) {
    Poco::JSON::Object MemberItem;
    MemberItem.set("member", std::string(platform::memberName(Member.Member)));
    MemberItem.set("before", Member.Before);
    MemberItem.set("after", Member.After);
    Members.add(MemberItem);
  }
  Item.set("members", Members);
  return Item;
}

static void report(const Output &Out, const std::vector<CheckedFile> &Files,
                   const std::vector<RouteChange> &Changes) {
  std::string Text;
  size_t Errors = 0;
  size_t Warnings = 0;
  Poco::JSON::Array Findings;
  for (const CheckedFile &File : Files) {
    Errors += countOf(File, FindingSeverity::Error);
    Warnings += countOf(File, FindingSeverity::Warning);
    for (const RouteTextFinding &Finding : File.Review.Findings) {
      Text += textOf(File.Path, Finding);
      Findings.add(jsonOf(File.Path, Finding));
    }
  }
  Poco::JSON::Array Differences;
  for (const RouteChange &Change : Changes) {
    Text += textOf(Change);
    Differences.add(jsonOf(Change));
  }
  Text += std::to_string(Errors) + " errors, " + std::to_string(Warnings) +
          " warnings, " + std::to_string(Changes.size()) + " differences\n";
  Poco::JSON::Object Root;
  Root.set("findings", Findings);
  Root.set("errors", Errors);
  Root.set("warnings", Warnings);
  Root.set("differences", Differences);
  Out.result(Text, Root);
}

/// Compares \p Checked with the version in force, if both are valid.
static std::vector<RouteChange> compare(CheckedFile &Checked,
                                        const CheckedFile &InForce) {
  const auto &Table = Checked.Review.Table;
  const auto &TableInForce = InForce.Review.Table;
  if (!Table || !TableInForce)
    return {};
  if (Table->number() <= TableInForce->number())
    Checked.Review.Findings.push_back(
        {config::RouteFindingKind::NumberNotNewer,
         std::string(platform::memberName(config::RouteMember::Number)), 0, 0,
         std::to_string(Table->number().Value) + " is not above " +
             std::to_string(TableInForce->number().Value) +
             ", the number in force"});
  return config::diffRouteTables(*TableInForce, *Table);
}

ExitCode runCheckRoutes(const Arguments &Args) {
  CommandLine Parser(
      Args,
      "Checks a description of the routed interface without any host. Exits "
      "with 0 (nothing found), 1 (errors), 2 (warnings only) or 3 (wrong "
      "command line).");
  TCLAP::ValueArg<std::string> InForcePath(
      "i", "in-force", "The version in force; lists the differences from it",
      false, "", "file", Parser.line());
  TCLAP::SwitchArg Json("j", "json", "Write JSON for programs", Parser.line());
  TCLAP::UnlabeledValueArg<std::string> Path("description",
                                             "A file with a description", true,
                                             "", "file", Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code == ExitCode::Success ? *Code
                                      : exitCode(RoutesExit::WrongCommandLine);
  Output Out(Json.getValue() ? OutputForm::Json : OutputForm::Text);
  std::vector<CheckedFile> Files = {checkFile(Path.getValue())};
  std::vector<RouteChange> Changes;
  if (InForcePath.isSet()) {
    CheckedFile InForce = checkFile(InForcePath.getValue());
    Changes = compare(Files.front(), InForce);
    // Warnings about the version in force are of no use here.
    std::erase_if(InForce.Review.Findings, [](const RouteTextFinding &Finding) {
      return config::severityOf(Finding.Kind) == FindingSeverity::Warning;
    });
    Files.push_back(std::move(InForce));
  }
  report(Out, Files, Changes);
  size_t Errors = 0;
  size_t Warnings = 0;
  for (const CheckedFile &File : Files) {
    Errors += countOf(File, FindingSeverity::Error);
    Warnings += countOf(File, FindingSeverity::Warning);
  }
  if (Errors > 0)
    return exitCode(RoutesExit::Errors);
  return exitCode(Warnings > 0 ? RoutesExit::WarningsOnly
                               : RoutesExit::NoFindings);
}

} // namespace ferry::ctl
