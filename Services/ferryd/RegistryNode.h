/// \file
/// A control host's replica of the registry.
#ifndef FERRY_FERRYD_REGISTRYNODE_H
#define FERRY_FERRYD_REGISTRYNODE_H

#include "LibConsensus/LogDriver.h"
#include "LibRegistry/RegistryServer.h"
#include <functional>

namespace ferry::daemon {

/// Binds the replicated log, the registry and its server. All calls on the
/// control thread.
class RegistryNode {
public:
  struct Hooks {
    std::function<void(const HostId &, std::string)> SendConsensus;
    std::function<void(const HostId &, const wire::RegistryReply &)> SendReply;
    /// The registry has a greater description number than before.
    std::function<void()> DescriptionChanged;
    /// The log's standing or leader has changed.
    std::function<void()> StandingChanged;
    /// Newer weights were named for a model.
    std::function<void()> WeightsNamed = [] {};
  };

  /// Opens the log in \p Options.Folder and replays it.
  static Result<std::unique_ptr<RegistryNode>, consensus::StorageError>
  tryOpen(consensus::LogOptions Options, ControlLoop &Loop, Hooks Calls);

  void receiveConsensus(const HostId &From, std::string_view Payload);
  void receiveRequest(const HostId &From, wire::RegistryRequest Request);

  /// \returns the greatest description number that this host's log can lead to,
  /// commands that are not yet committed included.
  DescriptionNumber greatestNumber() const;

  /// \returns whether this host's log counts for a quorum. A disk that was away
  /// may hold an identity that was replaced meanwhile: it counts only once a
  /// leader has addressed it since the process started.
  bool isCurrentVoter() const { return LeaderSeen && Log->isVoter(); }

  /// \returns how many hosts vote in the newest configuration.
  size_t voterCount() const { return Log->status().Members.Voters.size(); }
  void hostsKnown(std::vector<HostId> Hosts) {
    Log->setDiscoveredHosts(std::move(Hosts));
  }

  const registry::Registry &state() const { return State; }
  const consensus::LogDriver &log() const { return *Log; }

  /// Ends the log after the writes under way.
  void close();

private:
  explicit RegistryNode(Hooks Calls);
  consensus::LogHooks logHooks();
  void apply(uint64_t Index, std::string_view Command);
  Result<void, consensus::StorageError> tryRestore(std::string_view Bytes);
  void step(registry::ServerEvent Event);
  void propose(registry::ServerPropose Proposal);
  void confirmRead(registry::ServerConfirmRead Read);
  HostId leaderOr(const std::optional<HostId> &Leader) const;

  void onStandingChanged();

  Hooks Calls;
  bool LeaderSeen = false;
  registry::Registry State;
  registry::RegistryServer Server{State};
  std::unique_ptr<consensus::LogDriver> Log;
};

} // namespace ferry::daemon

#endif
