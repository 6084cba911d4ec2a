/// \file
/// Entry point of ferryd: arguments, settings and signals.
#include "LibConfig/Parse.h"
#include "LibObserve/Log.h"
#include "ferryd/Daemon.h"
#include "ferryd/ExitCode.h"
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <tclap/CmdLine.h>
#include <unistd.h>
#ifdef __GLIBC__
#include <malloc.h>
#endif

using namespace ferry;
using daemon::ExitCode;

/// Most heaps of the allocator. Each keeps what was freed in it.
static constexpr int MaxHeaps = 2;
/// Blocks from this size on return to the system as soon as they are freed.
static constexpr int LargeBlockBytes = 128 << 10;

/// Keeps the memory of the process near what is in use. By default there are
/// up to eight heaps a core, and the bound of large blocks rises to the largest
/// one that was freed.
static void limitAllocator() {
#ifdef __GLIBC__
  mallopt(M_ARENA_MAX, MaxHeaps);
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBlockBytes);
#endif
}

static int toInt(ExitCode Code) { return static_cast<int>(Code); }

static ExitCode exitCodeOf(daemon::StartErrorKind Kind) {
  switch (Kind) {
  case daemon::StartErrorKind::BadSettings:
    return ExitCode::BadSettings;
  case daemon::StartErrorKind::CannotListen:
    return ExitCode::CannotListen;
  case daemon::StartErrorKind::Storage:
    break;
  }
  return ExitCode::Storage;
}

/// Sets the severity of the log. The values of the setting log_level have the
/// same names as the severities.
static void applyLogLevel(config::LogLevel Level) {
  auto Minimum = enumFromName<observe::Severity>(enumName(Level));
  observe::setLogSeverity(Minimum.value_or(observe::Severity::Info));
}

/// Blocks the signals that main() waits for; threads inherit the mask.
static sigset_t blockStopSignals() {
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  sigaddset(&StopSignals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  // Past the limit of a file's size, the write fails instead; the log recovers
  // from failed writes.
  std::signal(SIGXFSZ, SIG_IGN);
  return StopSignals;
}

/// Reads the settings again and applies their log level and seeds. If the file
/// has faults, they are logged and the daemon keeps its settings.
static void reload(daemon::Daemon &Running, const std::string &Path) {
  auto Settings = config::tryLoadSettings(Path);
  if (!Settings) {
    for (const config::ConfigError &Fault : Settings.error())
      observe::logEvent(observe::Severity::Error, "ferryd", "reload_failed",
                        {{"reason", Fault.message()}});
    return;
  }
  applyLogLevel(Settings->Level);
  Running.reload(*Settings);
}

/// Waits for a signal to stop: SIGTERM drains first, SIGINT stops at once.
/// SIGHUP reads the settings again.
static void runUntilStopped(daemon::Daemon &Running,
                            const sigset_t &StopSignals,
                            const std::string &Path) {
  int Signal = 0;
  while (sigwait(&StopSignals, &Signal) == 0 && Signal == SIGHUP)
    reload(Running, Path);
  if (Signal == SIGTERM)
    Running.drainAndStop();
  else
    Running.stop();
}

static int runDaemon(const config::Settings &Settings, const std::string &Path,
                     const sigset_t &StopSignals) {
  auto RequestDrain = [] { kill(getpid(), SIGTERM); };
  auto Started = daemon::Daemon::tryStart(Settings, RequestDrain);
  if (!Started) {
    observe::logEvent(observe::Severity::Error, "ferryd", "start_failed",
                      {{"reason", Started.error().message()}});
    observe::flushLog();
    return toInt(exitCodeOf(Started.error().Kind));
  }
  runUntilStopped(**Started, StopSignals, Path);
  Started->reset();
  observe::flushLog();
  return toInt(ExitCode::Success);
}

static int runWithSettings(const std::string &Path,
                           const sigset_t &StopSignals) {
  auto Settings = config::tryLoadSettings(Path);
  if (!Settings) {
    for (const config::ConfigError &Fault : Settings.error())
      std::cerr << Fault.message() << "\n";
    return toInt(ExitCode::BadSettings);
  }
  applyLogLevel(Settings->Level);
  return runDaemon(*Settings, Path, StopSignals);
}

int main(int Count, char **Arguments) {
  // Comes first: until the signals are blocked, each of them kills the process.
  sigset_t StopSignals = blockStopSignals();
  limitAllocator();
  try {
    TCLAP::CmdLine Line(
        "ferryd: routes language-model traffic. SIGTERM drains and "
        "stops, SIGINT stops at once.",
        ' ', FERRY_VERSION);
    Line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> SettingsPath(
        "s", "settings", "YAML settings of this host", true, "", "file");
    TCLAP::ValueArg<std::string> SettingsVariable(
        "", "settings-variable",
        "environment variable that holds the path of the settings", true, "",
        "name");
    Line.xorAdd(SettingsPath, SettingsVariable);
    Line.parse(Count, Arguments);
    if (SettingsPath.isSet())
      return runWithSettings(SettingsPath.getValue(), StopSignals);
    const char *Path = std::getenv(SettingsVariable.getValue().c_str());
    if (Path == nullptr) {
      std::cerr << "ferryd: the environment has no "
                << SettingsVariable.getValue() << "\n";
      return toInt(ExitCode::Usage);
    }
    return runWithSettings(Path, StopSignals);
  } catch (const TCLAP::ExitException &Exit) {
    return Exit.getExitStatus();
  } catch (const TCLAP::ArgException &Fault) {
    std::cerr << "ferryd: " << Fault.error() << " " << Fault.argId() << "\n";
    return toInt(ExitCode::Usage);
  }
}
