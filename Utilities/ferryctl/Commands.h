/// \file
/// The commands of ferryctl.
#ifndef FERRY_FERRYCTL_COMMANDS_H
#define FERRY_FERRYCTL_COMMANDS_H

#include "ferryctl/CommandLine.h"
#include "ferryctl/ExitCode.h"
#include <string_view>

namespace ferry::ctl {

/// Runs the command that the words name.
ExitCode runCommand(const Arguments &Given);

/// Checks settings and descriptions without any host.
ExitCode runCheck(const Arguments &Given);
/// Proposes a description and waits until it is in force everywhere.
ExitCode runApply(const Arguments &Given);
/// Shows the newest accepted description.
ExitCode runShow(const Arguments &Given);
/// Compares a file with the newest accepted description.
ExitCode runDiff(const Arguments &Given);
/// Lists the accepted changes.
ExitCode runHistory(const Arguments &Given);
/// Shows each host's number and how far it has spread.
ExitCode runStatus(const Arguments &Given);
/// Shows the hosts and targets as one host sees them.
ExitCode runHosts(const Arguments &Given);
/// Begins the graceful shutdown of one host.
ExitCode runDrain(const Arguments &Given);
/// Prints the state of one process.
ExitCode runDump(const Arguments &Given);
/// Sends one call as a caller would.
ExitCode runCall(const Arguments &Given);

} // namespace ferry::ctl

#endif
