#include "LibConfig/MapReader.h"
#include "LibConfig/Parse.h"
#include "LibConfig/YamlDocument.h"
#include <fstream>
#include <set>
#include <sstream>

namespace ferry::config {

/// Maximum number of hosts with a replica of the log.
static constexpr size_t MaxControlHosts = 7;
static constexpr uint64_t MaxInputBytes = 1ULL << 30;
static constexpr uint64_t MinInputBytes = 1024;
static constexpr double MaxRetrySlack = 1e9;
static constexpr double MaxCapWindowSeconds = 3'600;
static constexpr double MaxCapOverage = 10;
static constexpr double MaxCapSlack = 1e12;
static constexpr uint64_t MaxConnectionsLimit = 1'000'000;
static constexpr uint64_t MinEntryLifetimeMillis = 100;
static constexpr uint64_t MaxEntryLifetimeMillis = 600'000;
static constexpr uint64_t MaxDrainLimitMillis = 3'600'000;
static constexpr uint64_t MaxRoutedMillis = 3'600'000;
/// Tolerating more losses takes more voters than MaxControlHosts.
static constexpr uint64_t MaxTolerableLosses = 3;

static PeerHost readHost(MapReader &Map) {
  PeerHost Host;
  Host.Id = {Map.text("id", Presence::Required, TextForm::Identifier)};
  Host.DataCentre = {
      Map.text("data_centre", Presence::Required, TextForm::Identifier)};
  Map.enumerator("role", Presence::Required, Host.Role);
  Host.PeerAddress = Map.text("peers", Presence::Required, TextForm::Address);
  Host.CallerAddress =
      Map.text("callers", Presence::Required, TextForm::Address);
  Host.TargetAddress =
      Map.text("targets", Presence::Optional, TextForm::Address);
  return Host;
}

static void readHosts(MapReader &Root, Settings &Result) {
  std::set<HostId> Ids;
  std::set<std::string> Addresses;
  Root.maps("hosts", Presence::Required, [&](MapReader &Map) {
    PeerHost Host = readHost(Map);
    if (!Host.Id.empty() && !Ids.insert(Host.Id).second)
      Map.fail(ConfigErrorKind::Duplicate, "id", Host.Id.Value);
    if (!Host.PeerAddress.empty() && !Addresses.insert(Host.PeerAddress).second)
      Map.fail(ConfigErrorKind::Duplicate, "peers", Host.PeerAddress);
    if (!Host.CallerAddress.empty() &&
        !Addresses.insert(Host.CallerAddress).second)
      Map.fail(ConfigErrorKind::Duplicate, "callers", Host.CallerAddress);
    if (!Host.TargetAddress.empty() &&
        !Addresses.insert(Host.TargetAddress).second)
      Map.fail(ConfigErrorKind::Duplicate, "targets", Host.TargetAddress);
    Result.Hosts.push_back(std::move(Host));
  });
}

static void readListen(MapReader &Map, Settings &Result) {
  std::set<std::string> Addresses;
  auto Read = [&](std::string_view Key, std::string &Address) {
    Address = Map.text(Key, Presence::Required, TextForm::Address);
    if (!Address.empty() && !Addresses.insert(Address).second)
      Map.fail(ConfigErrorKind::Duplicate, Key, Address);
  };
  Read("callers", Result.CallerAddress);
  Read("targets", Result.TargetAddress);
  Read("operators", Result.OperatorAddress);
  Read("peers", Result.PeerAddress);
}

static void readInputLimits(MapReader &Map, InputLimits &Limits) {
  auto ReadBytes = [&](std::string_view Key, uint64_t &Output) {
    Map.number(Key, Output, MinInputBytes, MaxInputBytes);
  };
  ReadBytes("max_body_bytes", Limits.MaxBodyBytes);
  ReadBytes("max_header_bytes", Limits.MaxHeaderBytes);
  ReadBytes("max_head_memory_bytes", Limits.MaxHeadMemoryBytes);
  ReadBytes("max_prompt_bytes", Limits.MaxPromptBytes);
  Map.number("max_description_bytes", Limits.MaxDescriptionBytes, MinInputBytes,
             MaxTextBytes);
  ReadBytes("max_event_batch_bytes", Limits.MaxEventBatchBytes);
  ReadBytes("max_peer_frame_bytes", Limits.MaxPeerFrameBytes);
  Map.number("max_caller_connections", Limits.MaxCallerConnections, 1,
             MaxConnectionsLimit);
}

static void readFiles(MapReader &Root, Settings &Result) {
  Result.DataFolder =
      Root.text("data_folder", Presence::Optional, TextForm::FilePath);
  if (Result.Role == HostRole::Control && !Root.has("data_folder"))
    Root.fail(ConfigErrorKind::MissingKey, "data_folder",
              "needed by role control");
  Result.ClusterKeyFile =
      Root.text("cluster_key_file", Presence::Required, TextForm::FilePath);
  Result.TokenFile =
      Root.text("token_file", Presence::Required, TextForm::FilePath);
}

/// Checks a process's own keys against its entry in the list of hosts, which is
/// the same for all processes. A mistake in its own keys must not make a
/// process claim another identity or address.
static void checkOwnHost(MapReader &Root, const Settings &Result) {
  if (Result.Host.empty())
    return;
  const PeerHost *OwnHost = Result.findHost(Result.Host);
  if (!OwnHost) {
    Root.fail(ConfigErrorKind::DanglingReference, "host",
              Result.Host.Value + " is not in hosts");
    return;
  }
  auto Compare = [&](bool Same, std::string_view Key) {
    if (!Same)
      Root.fail(ConfigErrorKind::BadValue, Key,
                "differs from this host's entry in hosts");
  };
  Compare(OwnHost->DataCentre == Result.DataCentre, "data_centre");
  Compare(OwnHost->Role == Result.Role, "role");
  Compare(OwnHost->PeerAddress == Result.PeerAddress, "listen");
  Compare(OwnHost->CallerAddress == Result.CallerAddress, "listen");
}

static void checkControlHosts(MapReader &Root, const Settings &Result) {
  size_t Count = Result.controlHosts().size();
  if (!Result.Hosts.empty() && (Count == 0 || Count > MaxControlHosts))
    Root.fail(ConfigErrorKind::BadValue, "hosts",
              "must have from 1 to 7 hosts with role control");
}

/// \returns the id of the host that listens at \p Address, "IP:port".
static HostId hostOfAddress(const std::string &Address) {
  return {Address.substr(0, Address.rfind(':'))};
}

static void readDiscovery(MapReader &Map, DiscoverySettings &Result) {
  for (const LocatedText &Seed :
       Map.texts("seeds", Presence::Required, TextForm::Address))
    Result.Seeds.push_back(hostOfAddress(Seed.Value));
  Map.flag("may_form_log", Result.MayFormLog);
  Map.number("tolerable_losses", Result.TolerableLosses, 0, MaxTolerableLosses);
  Map.number("peer_port", Result.PeerPort, 1);
}

static void readRoutedListen(MapReader &Map, Settings &Result) {
  auto Read = [&](std::string_view Key, Presence Needed, std::string &Address) {
    Address = Map.text(Key, Needed, TextForm::Address);
  };
  bool Control = Result.Role == HostRole::Control;
  Presence RouterPresence = Control ? Presence::Optional : Presence::Required;
  Presence ControlPresence = Control ? Presence::Required : Presence::Optional;
  Read("callers", RouterPresence, Result.CallerAddress);
  Read("readiness", Presence::Optional, Result.Routed.ReadinessAddress);
  Read("directory", Presence::Optional, Result.Routed.DirectoryAddress);
  Read("control", ControlPresence, Result.Routed.ControlAddress);
  Read("operators", Presence::Required, Result.OperatorAddress);
  Read("peers", Presence::Required, Result.PeerAddress);
}

static void readRoutedBounds(MapReader &Map, RoutedSettings &Result) {
  static constexpr std::chrono::milliseconds Maximum{MaxRoutedMillis};
  auto ReadMillis = [&](std::string_view Key, uint32_t &Output) {
    Map.span(Key, Output, std::chrono::milliseconds(1), Maximum);
  };
  auto ReadSeconds = [&](std::string_view Key, uint32_t &Output) {
    Map.span(Key, Output, std::chrono::seconds(1), Maximum);
  };
  ReadMillis("announce_interval_ms", Result.AnnounceIntervalMillis);
  Map.decimal("retry_ratio", Result.RetryRatio, 1);
  double RetrySlack = Result.RetrySlack;
  Map.decimal("retry_slack", RetrySlack, MaxRetrySlack);
  Result.RetrySlack = static_cast<uint32_t>(RetrySlack);
  ReadMillis("retry_window_ms", Result.RetryWindowMillis);
  ReadSeconds("retry_window_s", Result.RetryWindowMillis);
  ReadMillis("grace_ms", Result.GraceMillis);
  ReadSeconds("grace_s", Result.GraceMillis);
  ReadMillis("directory_lifetime_ms", Result.DirectoryLifetimeMillis);
  ReadMillis("order_lease_ms", Result.OrderLeaseMillis);
  ReadMillis("weights_deadline_ms", Result.WeightsDeadlineMillis);
  Map.decimalOrEmpty("cap_window_s", Result.CapWindowSeconds,
                     MaxCapWindowSeconds);
  Map.decimalOrEmpty("cap_overage", Result.CapOverage, MaxCapOverage);
  Map.decimalOrEmpty("cap_slack", Result.CapSlack, MaxCapSlack);
  bool Checked = false;
  Map.flag("targets_check_fencing", Checked);
  Result.Fencing = Checked ? FencingCheck::Checked : FencingCheck::Unchecked;
}

static void readClusterKey(MapReader &Root, Settings &Result) {
  Result.ClusterKey =
      Root.text("cluster_key", Presence::Optional, TextForm::Identifier);
  if (Root.has("cluster_key") && Root.has("cluster_key_file"))
    Root.fail(ConfigErrorKind::Duplicate, "cluster_key",
              "cluster_key_file names the key too");
}

/// Reads the settings of a host that finds the others from seeds.
static void readRouted(MapReader &Root, Settings &Result) {
  Root.map("listen", Presence::Required,
           [&](MapReader &Map) { readRoutedListen(Map, Result); });
  Root.map("discovery", Presence::Required,
           [&](MapReader &Map) { readDiscovery(Map, Result.Discovery); });
  Root.map("routed", Presence::Optional,
           [&](MapReader &Map) { readRoutedBounds(Map, Result.Routed); });
  Result.DataFolder =
      Root.text("data_folder", Presence::Optional, TextForm::FilePath);
  if (Result.Role == HostRole::Control && !Root.has("data_folder"))
    Root.fail(ConfigErrorKind::MissingKey, "data_folder",
              "needed by role control");
  readClusterKey(Root, Result);
  Result.ClusterKeyFile = Root.text(
      "cluster_key_file",
      Root.has("cluster_key") ? Presence::Optional : Presence::Required,
      TextForm::FilePath);
  bool IsHostAddress = Result.PeerAddress.empty() ||
                       hostOfAddress(Result.PeerAddress) == Result.Host;
  if (!IsHostAddress)
    Root.fail(ConfigErrorKind::BadValue, "host",
              "must be the IP address that listens for peers");
}

static Settings readSettings(MapReader &Root) {
  Settings Result;
  Result.Cluster = {
      Root.text("cluster", Presence::Required, TextForm::Identifier)};
  Result.Host = {Root.text("host", Presence::Required, TextForm::Identifier)};
  Result.DataCentre = {
      Root.text("data_centre", Presence::Required, TextForm::Identifier)};
  Root.enumerator("role", Presence::Required, Result.Role);
  Root.enumerator("interface", Presence::Optional, Result.Interface);
  if (Result.Interface == Interface::Routed) {
    readRouted(Root, Result);
  } else {
    Root.map("listen", Presence::Required,
             [&](MapReader &Map) { readListen(Map, Result); });
    readHosts(Root, Result);
    readFiles(Root, Result);
  }
  Root.enumerator("log_level", Presence::Optional, Result.Level);
  Root.map("limits", Presence::Optional,
           [&](MapReader &Map) { readInputLimits(Map, Result.Limits); });
  Root.number("entry_lifetime_ms", Result.EntryLifetimeMillis,
              MinEntryLifetimeMillis, MaxEntryLifetimeMillis);
  Root.number("drain_limit_ms", Result.DrainLimitMillis, 1,
              MaxDrainLimitMillis);
  if (Result.Interface == Interface::Native) {
    checkOwnHost(Root, Result);
    checkControlHosts(Root, Result);
  }
  Root.finish();
  return Result;
}

Result<Settings, ConfigErrors> tryParseSettings(const std::string &Text,
                                                const std::string &FileName) {
  auto Node = tryLoadYaml(Text, FileName);
  if (!Node)
    return makeError(std::move(Node.error()));
  ErrorList Errors(FileName);
  MapReader Root(Errors, *Node, "");
  Settings Result = readSettings(Root);
  if (!Errors.empty())
    return makeError(Errors.releaseSorted());
  return Result;
}

Result<std::string, ConfigErrors>
tryReadText(const std::filesystem::path &Path) {
  return tryReadText(Path, MaxTextBytes);
}

Result<std::string, ConfigErrors> tryReadText(const std::filesystem::path &Path,
                                              size_t MaxBytes) {
  auto Fail = [&](ConfigErrorKind Kind, std::string Detail) {
    ConfigErrors Errors = {{Kind, Path.string(), 0, 0, std::move(Detail)}};
    return makeError(std::move(Errors));
  };
  std::error_code Code;
  if (std::filesystem::is_directory(Path, Code))
    return Fail(ConfigErrorKind::Unreadable, "is a folder");
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Fail(ConfigErrorKind::Unreadable, "cannot be opened");
  // One byte over the bound shows that the file is too long.
  std::string Text(MaxBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (File.bad())
    return Fail(ConfigErrorKind::Unreadable, "cannot be read");
  Text.resize(static_cast<size_t>(File.gcount()));
  return Text;
}

static void resolve(std::filesystem::path &File,
                    const std::filesystem::path &Folder) {
  if (!File.empty() && File.is_relative())
    File = Folder / File;
}

Result<Settings, ConfigErrors>
tryLoadSettings(const std::filesystem::path &Path) {
  auto Text = tryReadText(Path);
  if (!Text)
    return makeError(std::move(Text.error()));
  auto Result = tryParseSettings(*Text, Path.string());
  if (!Result)
    return Result;
  std::filesystem::path Folder = Path.parent_path();
  resolve(Result->DataFolder, Folder);
  resolve(Result->ClusterKeyFile, Folder);
  resolve(Result->TokenFile, Folder);
  return Result;
}

} // namespace ferry::config
