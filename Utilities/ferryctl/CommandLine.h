/// \file
/// Parses command lines with TCLAP, and defines the options that most commands
/// share.
#ifndef FERRY_FERRYCTL_COMMANDLINE_H
#define FERRY_FERRYCTL_COMMANDLINE_H

#include "ferryctl/Output.h"
#include <optional>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace ferry::ctl {

/// The command-line arguments of a run and the version that it reports.
struct Arguments {
  /// The arguments after the program's name; the first one names the command.
  std::vector<std::string> Words;
  /// The program's version.
  std::string Version;
};

/// A TCLAP command line that reports failures as CommandError.
class CommandLine {
public:
  /// \param Help one or two sentences on what the command does.
  CommandLine(const Arguments &Args, const std::string &Help);

  TCLAP::CmdLine &line() { return Line; }

  /// Parses the arguments.
  /// \returns an error of kind Usage for a wrong command line, or of kind
  /// Success if the help or the version was printed and the command must not
  /// run.
  Result<void, CommandError> tryParse();

private:
  std::vector<std::string> Words;
  TCLAP::CmdLine Line;
};

/// The options of commands that send requests to hosts.
class HostOptions {
public:
  explicit HostOptions(TCLAP::CmdLine &Line);

  /// \returns the addresses, the token and the deadline, which counts from this
  /// call; or an error of kind Usage (addresses) or InvalidInput (token file).
  Result<HostAccess, CommandError> tryAccess() const;
  /// As tryAccess(), with \p Addresses instead of those of --hosts.
  Result<HostAccess, CommandError>
  tryAccess(std::vector<std::string> Addresses) const;
  Output output() const;

  /// Selects the token named \p Name in the token file instead of the
  /// operators' token. No token is sent if \p Name is empty.
  void setTokenName(std::string Name) { TokenName = std::move(Name); }

private:
  std::string TokenName;
  TCLAP::ValueArg<std::string> Hosts;
  TCLAP::ValueArg<std::string> TokenFile;
  TCLAP::ValueArg<uint32_t> DeadlineMillis;
  TCLAP::SwitchArg Json;
};

/// Parses the arguments and prints the error if that fails.
/// \returns an exit code if the command must not run.
std::optional<ExitCode> parseOrExit(CommandLine &Parser);

/// \returns the addresses in "IP:port,IP:port", or an error of kind Usage.
Result<std::vector<std::string>, CommandError>
tryAddresses(const std::string &List);

/// \returns the text of a file, or an error of kind InvalidInput.
Result<std::string, CommandError> tryReadInput(const std::string &Path);

} // namespace ferry::ctl

#endif
