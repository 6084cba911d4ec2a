/// \file
/// A control host's replica of the registry.
#ifndef FERRY_FERRYD_REGISTRYNODE_H
#define FERRY_FERRYD_REGISTRYNODE_H

#include "LibConsensus/LogDriver.h"
#include "LibRegistry/RegistryServer.h"
#include <functional>

namespace ferry::daemon {

/// Connects the replicated log, the registry and the registry's server. All
/// calls are made on the control thread.
class RegistryNode {
public:
  struct Hooks {
    std::function<void(const HostId &, std::string)> SendConsensus;
    std::function<void(const HostId &, const wire::RegistryReply &)> SendReply;
    /// Called when the registry's description number has risen.
    std::function<void()> DescriptionChanged;
    /// Called when the standing or the leader of the log has changed.
    std::function<void()> StandingChanged;
    /// Called after each applied command, which may have named newer weights
    /// for a model.
    std::function<void()> WeightsNamed = [] {};
    /// Called when the registry has recorded leaves of targets.
    std::function<void()> LeavesRecorded = [] {};
    /// Called for each sync of the log with the time since the oldest write
    /// that it covers was queued.
    std::function<void(Duration)> Synced = [](Duration) {};
    /// Called for each command that this host proposed as the leader, with the
    /// time until it was committed.
    std::function<void(Duration)> Committed = [](Duration) {};
  };

  /// The leader of the log, as far as this host knows.
  struct Leadership {
    std::optional<HostId> Leader;
    uint64_t Term = 0;
    /// When this host learned of it.
    Timestamp Since;
  };

  /// Opens the log in \p Options.Folder and replays it.
  static Result<std::unique_ptr<RegistryNode>, consensus::StorageError>
  tryOpen(consensus::LogOptions Options, ControlLoop &Loop, Hooks Callbacks);

  void receiveConsensus(const HostId &From, std::string_view Payload);
  void receiveRequest(const HostId &From, wire::RegistryRequest Request);

  /// \returns the greatest description number that this host's log can lead to,
  /// including commands that are not committed yet.
  DescriptionNumber greatestNumber() const;

  /// \returns whether this host's log counts towards a quorum. The identity on
  /// a disk that was offline may have been replaced meanwhile, so it counts
  /// only once a leader has addressed it since the process started.
  bool isCurrentVoter() const { return LeaderSeen && Log->isVoter(); }

  /// \returns how many hosts vote in the newest configuration.
  size_t voterCount() const { return Log->status().Members.Voters.size(); }
  /// Sets the control hosts that may become members of the log.
  void setDiscoveredHosts(std::vector<HostId> Hosts) {
    Log->setDiscoveredHosts(std::move(Hosts));
  }

  const registry::Registry &state() const { return State; }
  const consensus::LogDriver &log() const { return *Log; }
  const Leadership &leadership() const { return Known; }

  /// Closes the log after the writes under way.
  void close();

private:
  explicit RegistryNode(Hooks Callbacks);
  consensus::LogHooks logHooks();
  void apply(uint64_t Index, std::string_view Command);
  Result<void, consensus::StorageError> tryRestore(std::string_view Bytes);
  void step(registry::ServerEvent Event);
  void propose(registry::ServerPropose Proposal);
  void confirmRead(registry::ServerConfirmRead Read);
  HostId leaderOrEmpty(const std::optional<HostId> &Leader) const;

  void onStandingChanged();
  void logLeadership();

  Hooks Callbacks;
  bool LeaderSeen = false;
  Leadership Known;
  registry::Registry State;
  registry::RegistryServer Server{State};
  std::unique_ptr<consensus::LogDriver> Log;
};

} // namespace ferry::daemon

#endif
