#include "ferryctl/Commands.h"
#include <iostream>

namespace ferry::ctl {

namespace {

/// A command of ferryctl. Run gets the arguments with the command's name first.
struct CommandEntry {
  std::string_view Name;
  std::string_view Summary;
  ExitCode (*Run)(const Arguments &);
};

} // namespace

static constexpr CommandEntry CommandTable[] = {
    {"check", "check settings and descriptions, without any host", runCheck},
    {"check-routes", "check a description of the routed interface",
     runCheckRoutes},
    {"apply", "propose a description and wait until it is in force", runApply},
    {"show", "show the newest accepted description", runShow},
    {"diff", "compare a file with the newest accepted description", runDiff},
    {"history", "list the accepted changes", runHistory},
    {"status", "show each host's number and on how many hosts it is in force",
     runStatus},
    {"hosts", "show the hosts and targets that one host knows", runHosts},
    {"drain", "begin the graceful shutdown of one host", runDrain},
    {"dump", "print the state of one process as JSON", runDump},
    {"call", "send one call as a caller would", runCall}};

static std::string usage() {
  std::string Text = "Usage: ferryctl COMMAND [options]\n"
                     "       ferryctl COMMAND --help\n"
                     "       ferryctl --help | --version\n\nCommands:\n";
  for (const CommandEntry &Entry : CommandTable) {
    std::string Name(Entry.Name);
    Name.resize(14, ' ');
    Text += "  " + Name + std::string(Entry.Summary) + "\n";
  }
  return Text;
}

/// Handles --help and --version, and prints the usage for anything else.
static ExitCode runWithoutCommand(const Arguments &Args) {
  const std::vector<std::string> &Words = Args.Words;
  if (!Words.empty() && (Words[0] == "--help" || Words[0] == "-h")) {
    std::cout << usage();
    return ExitCode::Success;
  }
  if (!Words.empty() && Words[0] == "--version") {
    std::cout << "ferryctl " << Args.Version << std::endl;
    return ExitCode::Success;
  }
  std::cerr << usage();
  return ExitCode::Usage;
}

ExitCode runCommand(const Arguments &Args) {
  for (const CommandEntry &Entry : CommandTable)
    if (!Args.Words.empty() && Args.Words[0] == Entry.Name)
      return Entry.Run(Args);
  return runWithoutCommand(Args);
}

} // namespace ferry::ctl
