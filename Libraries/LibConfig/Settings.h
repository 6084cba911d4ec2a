/// \file
/// The settings of one process, which do not change until it restarts.
#ifndef FERRY_LIBCONFIG_SETTINGS_H
#define FERRY_LIBCONFIG_SETTINGS_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/TargetRecord.h"
#include <filesystem>
#include <string>
#include <vector>

namespace ferry::config {

/// Whether a host is a replica of the log (Control) or only routes (Router).
enum class HostRole : uint8_t { Router, Control };

/// The lowest severity that a process logs.
enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/// The interface that a process offers to callers, targets and operators.
enum class Interface : uint8_t {
  /// The /v1 routes; hosts are listed in the settings.
  Native,
  /// Requests are routed by host name and path; hosts discover each other
  /// through seeds.
  Routed
};

/// How hosts find each other if the settings do not list them. The IP address
/// of a host is then its id, and all hosts listen for peers on the same port.
struct DiscoverySettings {
  /// Control hosts that a host contacts first.
  std::vector<HostId> Seeds;
  /// Whether the seeds may form a new log if their disks are empty. It must be
  /// true only at the first start of a deployment: a replica that lost its
  /// disk must join the existing log.
  bool MayFormLog = false;
  /// Number of control hosts whose disks may be lost at the same time.
  uint32_t TolerableLosses = 1;
  /// Port for connections to the other hosts if they are behind a port mapping;
  /// 0 if they use the port that this host listens on.
  uint16_t PeerPort = 0;

  /// \returns the number of voters that tolerates these losses.
  size_t wantedVoters() const { return 2 * size_t{TolerableLosses} + 1; }
};

/// Settings of the routed interface.
struct RoutedSettings {
  /// "IP:port" each; empty if the host does not serve it.
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  std::string ControlAddress;
  /// Maximum time between two announcements of a target, in milliseconds.
  uint32_t AnnounceIntervalMillis = 1'200;
  /// Over each window, all hosts together may retry RetryRatio times the number
  /// of requests, plus RetrySlack.
  double RetryRatio = 0.2;
  uint32_t RetrySlack = 50;
  uint32_t RetryWindowMillis = 10'000;
  /// Time between the signal to stop and the kill of the process, in
  /// milliseconds.
  uint32_t GraceMillis = 8'000;
  /// Time for which callers may cache a directory answer, in milliseconds.
  uint32_t DirectoryLifetimeMillis = 1'000;
  /// Duration of the order lease, in milliseconds.
  uint32_t OrderLeaseMillis = 3'000;
  FencingCheck Fencing = FencingCheck::Unchecked;
  /// Time after newer weights are named during which requests may still start
  /// on the older weights, in milliseconds.
  uint32_t WeightsDeadlineMillis = 12'000;
  /// Over each window of CapWindowSeconds, the traffic of a workspace with a
  /// cap may exceed what the cap allows by the share CapOverage, plus CapSlack
  /// tokens. All are 0 on deployments without caps.
  double CapWindowSeconds = 0;
  double CapOverage = 0;
  double CapSlack = 0;
};

/// A host of the system, as the settings list it.
struct PeerHost {
  HostId Id;
  /// "IP:port" at which it listens for peers.
  std::string PeerAddress;
  /// "IP:port" at which it listens for callers.
  std::string CallerAddress;
  /// "IP:port" at which it listens for targets. If it is empty, targets are not
  /// asked to send their cache events to this host.
  std::string TargetAddress;
  DataCentreId DataCentre;
  HostRole Role = HostRole::Router;
};

/// Limits of the inputs that a process accepts, in bytes unless the name says
/// otherwise.
struct InputLimits {
  uint64_t MaxBodyBytes = 16ULL << 20;
  uint64_t MaxHeaderBytes = 64ULL << 10;
  /// Of the heads of requests that are read at a time, beyond the first 8 KiB
  /// of each.
  uint64_t MaxHeadMemoryBytes = 8ULL << 20;
  uint64_t MaxPromptBytes = 8ULL << 20;
  uint64_t MaxDescriptionBytes = 1ULL << 20;
  uint64_t MaxEventBatchBytes = 4ULL << 20;
  uint64_t MaxPeerFrameBytes = 64ULL << 20;
  /// Maximum number of open connections from callers.
  uint32_t MaxCallerConnections = 1024;
};

/// All settings of one ferryd process.
struct Settings {
  ClusterId Cluster;
  HostId Host;
  DataCentreId DataCentre;
  HostRole Role = HostRole::Router;
  config::Interface Interface = config::Interface::Native;
  /// "IP:port" each.
  std::string CallerAddress;
  std::string TargetAddress;
  std::string OperatorAddress;
  std::string PeerAddress;
  /// All hosts of the system, this one included; empty if hosts are discovered
  /// through seeds.
  std::vector<PeerHost> Hosts;
  /// Empty on a host without a disk; required for HostRole::Control.
  std::filesystem::path DataFolder;
  /// File with the cluster's key, with which peers authenticate to each other.
  std::filesystem::path ClusterKeyFile;
  /// The key itself, for a deployment without a secret file. Such a key keeps
  /// deployments apart but authenticates nobody.
  std::string ClusterKey;
  DiscoverySettings Discovery;
  RoutedSettings Routed;
  /// File of "name: token" lines; operators send the token named "operator".
  std::filesystem::path TokenFile;
  LogLevel Level = LogLevel::Info;
  InputLimits Limits;
  /// Time for which callers may cache an answer of /v1/entries, in
  /// milliseconds.
  uint32_t EntryLifetimeMillis = 5'000;
  /// Maximum duration of a graceful shutdown after the entries have expired, in
  /// milliseconds.
  uint32_t DrainLimitMillis = 120'000;

  /// \returns the hosts with HostRole::Control, in the order of the settings.
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

template <> struct EnumNames<config::Interface> {
  static constexpr EnumName<config::Interface> Table[] = {
      {config::Interface::Native, "native"},
      {config::Interface::Routed, "routed"}};
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
