/// \file
/// The commands of ferryctl.
#ifndef FERRY_FERRYCTL_COMMANDS_H
#define FERRY_FERRYCTL_COMMANDS_H

#include "ferryctl/CommandLine.h"
#include "ferryctl/ExitCode.h"
#include <string_view>

namespace ferry::ctl {

/// Runs the command that the first argument names.
ExitCode runCommand(const Arguments &Args);

/// Checks settings and descriptions without any host.
ExitCode runCheck(const Arguments &Args);
/// Checks a description of the routed interface without any host.
ExitCode runCheckRoutes(const Arguments &Args);
/// Proposes a description and waits until it is in force everywhere.
ExitCode runApply(const Arguments &Args);
/// Shows the newest accepted description.
ExitCode runShow(const Arguments &Args);
/// Compares a file with the newest accepted description.
ExitCode runDiff(const Arguments &Args);
/// Lists the accepted changes.
ExitCode runHistory(const Arguments &Args);
/// Shows each host's description number, and on how many hosts it sees the
/// newest number in force.
ExitCode runStatus(const Arguments &Args);
/// Shows the hosts and targets that one host knows.
ExitCode runHosts(const Arguments &Args);
/// Begins the graceful shutdown of one host.
ExitCode runDrain(const Arguments &Args);
/// Prints the state of one process.
ExitCode runDump(const Arguments &Args);
/// Sends one call as a caller would.
ExitCode runCall(const Arguments &Args);

} // namespace ferry::ctl

#endif
