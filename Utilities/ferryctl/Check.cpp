#include "LibConfig/Parse.h"
#include "ferryctl/Commands.h"
#include <Poco/JSON/Array.h>
#include <iostream>

namespace ferry::ctl {

using config::ConfigError;
using config::ConfigErrors;

static ConfigErrors checkDescription(const std::string &Path) {
  auto Text = config::tryReadText(Path);
  if (!Text)
    return Text.error();
  auto Parsed = config::tryParseDescription(*Text, Path);
  return Parsed ? ConfigErrors() : Parsed.error();
}

static ConfigErrors checkSettings(const std::string &Path) {
  auto Parsed = config::tryLoadSettings(Path);
  return Parsed ? ConfigErrors() : Parsed.error();
}

static Poco::JSON::Object jsonOf(const ConfigError &Error) {
  Poco::JSON::Object Item;
  Item.set("file", Error.File);
  Item.set("line", Error.Line);
  Item.set("column", Error.Column);
  Item.set("kind", std::string(enumName(Error.Kind)));
  Item.set("detail", Error.Detail);
  return Item;
}

static void report(const Output &Out, const ConfigErrors &Errors,
                   size_t FileCount) {
  std::string Text;
  Poco::JSON::Array List;
  for (const ConfigError &Error : Errors) {
    Text += Error.message() + "\n";
    List.add(jsonOf(Error));
  }
  if (Errors.empty())
    Text = std::to_string(FileCount) + " files checked, no errors\n";
  Poco::JSON::Object Root;
  Root.set("files", FileCount);
  Root.set("errors", List);
  Out.result(Text, Root);
}

ExitCode runCheck(const Arguments &Args) {
  CommandLine Parser(Args, "Checks settings and descriptions without any host. "
                           "Lists every error with its file, line and column.");
  TCLAP::MultiArg<std::string> Settings("s", "settings", "A file of settings",
                                        false, "file", Parser.line());
  TCLAP::SwitchArg Json("j", "json", "Write JSON for programs", Parser.line());
  TCLAP::UnlabeledMultiArg<std::string> Descriptions(
      "description", "A file with a description", false, "file", Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out(Json.getValue() ? OutputForm::Json : OutputForm::Text);
  size_t Count = Settings.getValue().size() + Descriptions.getValue().size();
  if (Count == 0)
    return Out.fail({ExitCode::Usage, "no file is named"});
  ConfigErrors Errors;
  auto Append = [&](const ConfigErrors &More) {
    Errors.insert(Errors.end(), More.begin(), More.end());
  };
  for (const std::string &Path : Settings.getValue())
    Append(checkSettings(Path));
  for (const std::string &Path : Descriptions.getValue())
    Append(checkDescription(Path));
  report(Out, Errors, Count);
  return Errors.empty() ? ExitCode::Success : ExitCode::InvalidInput;
}

} // namespace ferry::ctl
