/// \file
/// The settings of one process: fixed until its restart.
#ifndef FERRY_LIBCONFIG_SETTINGS_H
#define FERRY_LIBCONFIG_SETTINGS_H

#include "LibCore/EnumNames.h"
#include "LibCore/Ids.h"
#include "LibCore/TargetRecord.h"
#include <filesystem>
#include <string>
#include <vector>

namespace ferry::config {

/// Whether a host takes part in the replicated log.
enum class HostRole : uint8_t { Router, Control };

/// How much a process logs.
enum class LogLevel : uint8_t { Debug, Info, Warning, Error };

/// How callers, targets and operators reach a process.
enum class Interface : uint8_t {
  /// The /v1 routes; hosts are listed in the settings.
  Native,
  /// Requests are routed by host name and path; hosts are found from seeds.
  Routed
};

/// How hosts find each other where the settings do not list them. A host is
/// then named by its IP address, and all listen for peers on the same port.
struct DiscoverySettings {
  /// Control hosts to ask first.
  std::vector<HostId> Seeds;
  /// Whether the seeds may form a new log out of empty disks. True only at the
  /// first start of a deployment: a replica that lost its disk must join.
  bool MayFormLog = false;
  /// Control hosts whose disks may be lost at the same time.
  uint32_t TolerableLosses = 1;
  /// Port at which the other hosts are reached, where a port mapping stands
  /// before each of them; 0 for the port that this host listens on.
  uint16_t PeerPort = 0;

  /// \returns the voters that bear the tolerable losses.
  size_t wantedVoters() const { return 2 * size_t{TolerableLosses} + 1; }
};

/// What the routed interface needs, as the deployment bounds it.
struct RoutedSettings {
  /// "IP:port" each; empty where the role does not serve it.
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  std::string ControlAddress;
  /// Longest time between two announcements of a target, in milliseconds.
  uint32_t AnnounceIntervalMillis = 1'200;
  /// Retries over all hosts, as a part of the requests in a window, plus the
  /// slack; the window is in milliseconds.
  double RetryRatio = 0.2;
  uint32_t RetrySlack = 50;
  uint32_t RetryWindowMillis = 10'000;
  /// From the signal to stop until the process is killed, in milliseconds.
  uint32_t GraceMillis = 8'000;
  /// How long callers may keep a directory answer, in milliseconds.
  uint32_t DirectoryLifetimeMillis = 1'000;
  /// Length of the order lease, in milliseconds.
  uint32_t OrderLeaseMillis = 3'000;
  FencingCheck Fencing = FencingCheck::Unchecked;
  /// Requests begin on overtaken weights no longer than this after newer ones
  /// were named, in milliseconds.
  uint32_t WeightsDeadlineMillis = 12'000;
};

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
  config::Interface Interface = config::Interface::Native;
  /// "IP:port" each.
  std::string CallerAddress;
  std::string TargetAddress;
  std::string OperatorAddress;
  std::string PeerAddress;
  /// All hosts of the system, this one included; empty where they are found
  /// from seeds.
  std::vector<PeerHost> Hosts;
  /// Empty on a host without a disk; required for HostRole::Control.
  std::filesystem::path DataFolder;
  /// File with the cluster's key, shown by peers to each other.
  std::filesystem::path ClusterKeyFile;
  /// The key itself, where a deployment hands out no secret file. It then keeps
  /// deployments apart and authenticates nobody.
  std::string ClusterKey;
  DiscoverySettings Discovery;
  RoutedSettings Routed;
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
