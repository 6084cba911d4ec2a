/// \file
/// The options that most commands share, on top of TCLAP.
#ifndef FERRY_FERRYCTL_COMMANDLINE_H
#define FERRY_FERRYCTL_COMMANDLINE_H

#include "ferryctl/Output.h"
#include <optional>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace ferry::ctl {

/// What a command is started with.
struct Arguments {
  /// The words behind the program's name; the first one names the command.
  std::vector<std::string> Words;
  /// The program's version.
  std::string Version;
};

/// A TCLAP command line whose failures are typed.
class CommandLine {
public:
  /// \param Help one sentence on what the command does.
  CommandLine(const Arguments &Given, const std::string &Help);

  TCLAP::CmdLine &line() { return Line; }

  /// Parses the words.
  /// \returns an error of kind Usage, or of kind Success if the help or the
  /// version was shown and nothing is left to do.
  Result<void, CommandError> tryParse();

private:
  std::vector<std::string> Words;
  TCLAP::CmdLine Line;
};

/// Options of commands that talk to operators' addresses.
class HostOptions {
public:
  explicit HostOptions(TCLAP::CmdLine &Line);

  /// \returns the access that the options ask for, from now on.
  Result<HostAccess, CommandError> tryAccess() const;
  /// As tryAccess(), with \p Addresses in place of those of --hosts.
  Result<HostAccess, CommandError>
  tryAccess(std::vector<std::string> Addresses) const;
  Output output() const;

  /// Shows the token named \p Name of the token file, in place of the
  /// operators' one; none if it is empty.
  void setTokenName(std::string Name) { TokenName = std::move(Name); }

private:
  std::string TokenName;
  TCLAP::ValueArg<std::string> Hosts;
  TCLAP::ValueArg<std::string> TokenFile;
  TCLAP::ValueArg<uint32_t> DeadlineMillis;
  TCLAP::SwitchArg Json;
};

/// Parses the words; failures are shown.
/// \returns an exit code if nothing is left to do.
std::optional<ExitCode> parseOrExit(CommandLine &Parser);

/// \returns the addresses in "IP:port,IP:port", or an error of kind Usage.
Result<std::vector<std::string>, CommandError>
tryAddresses(const std::string &List);

/// \returns the text of a file, or an error of kind InvalidInput.
Result<std::string, CommandError> tryReadInput(const std::string &Path);

} // namespace ferry::ctl

#endif
