/// \file
/// The settings of one process: fixed until its restart.
#ifndef FERRY_LIBCONFIG_SETTINGS_H
#define FERRY_LIBCONFIG_SETTINGS_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include <filesystem>
#include <string>
#include <vector>

namespace ferry::config {

/// Whether a host takes part in the replicated log.
enum class HostRole : uint8_t { Router, Control };

/// How much a process logs.
enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/// Another host of the system, as the settings list it.
struct PeerHost {
  HostId Id;
  /// "IP:port" of its address for peers.
  std::string PeerAddress;
  /// "IP:port" of its address for callers.
  std::string CallerAddress;
  /// "IP:port" for targets; where it is empty, targets are not told to send
  /// their cache events to this host.
  std::string TargetAddress;
  DataCentreId DataCentre;
  HostRole Role = HostRole::Router;
};

/// Largest accepted inputs, in bytes unless the name says otherwise.
struct InputLimits {
  uint64_t MaxBodyBytes = 16ULL << 20;
  uint64_t MaxHeaderBytes = 64ULL << 10;
  uint64_t MaxPromptBytes = 8ULL << 20;
  uint64_t MaxDescriptionBytes = 1ULL << 20;
  uint64_t MaxEventBatchBytes = 4ULL << 20;
  uint64_t MaxPeerFrameBytes = 64ULL << 20;
  /// Open connections of callers at a time.
  uint32_t MaxCallerConnections = 1024;
};

/// Everything one ferryd is told at its start.
struct Settings {
  ClusterId Cluster;
  HostId Host;
  DataCentreId DataCentre;
  HostRole Role = HostRole::Router;
  /// "IP:port" each.
  std::string CallerAddress;
  std::string TargetAddress;
  std::string OperatorAddress;
  std::string PeerAddress;
  /// All hosts of the system, this one included.
  std::vector<PeerHost> Hosts;
  /// Empty on a host without a disk; required for HostRole::Control.
  std::filesystem::path DataFolder;
  /// File with the cluster's key, shown by peers to each other.
  std::filesystem::path ClusterKeyFile;
  /// File of "name: token" lines; operators show the token named "operator".
  std::filesystem::path TokenFile;
  LogLevel Level = LogLevel::Info;
  InputLimits Limits;
  /// How long callers may keep an answer of /v1/entries, in milliseconds.
  uint32_t EntryLifetimeMillis = 5'000;
  /// Longest graceful shutdown after the entries have expired, in milliseconds.
  uint32_t DrainLimitMillis = 120'000;

  /// \returns the hosts with HostRole::Control, in the settings' order.
  std::vector<HostId> controlHosts() const;
  /// \returns the host named \p Id, or nullptr.
  const PeerHost *findHost(const HostId &Id) const;
};

} // namespace ferry::config

namespace ferry {

template <> struct EnumNames<config::HostRole> {
  static constexpr EnumName<config::HostRole> Table[] = {
      {config::HostRole::Router, "router"},
      {config::HostRole::Control, "control"}};
};

template <> struct EnumNames<config::LogLevel> {
  static constexpr EnumName<config::LogLevel> Table[] = {
      {config::LogLevel::Debug, "debug"},
      {config::LogLevel::Info, "info"},
      {config::LogLevel::Warning, "warning"},
      {config::LogLevel::Error, "error"}};
};

} // namespace ferry

#endif
