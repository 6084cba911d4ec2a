/// \file
/// The control plane of a host: registry, membership, confirmation and orders,
/// all on the control thread.
#ifndef FERRY_FERRYD_CONTROLPLANE_H
#define FERRY_FERRYD_CONTROLPLANE_H

#include "LibControl/NamingTimes.h"
#include "LibMembership/Confirmation.h"
#include "LibMembership/DescriptionTransfer.h"
#include "LibMembership/Membership.h"
#include "LibObserve/Metrics.h"
#include "LibObserve/StateDump.h"
#include "LibRouting/RoutedCall.h"
#include "LibRouting/RouterBroadcast.h"
#include "LibRouting/RoutingView.h"
#include "LibRouting/WorkExchange.h"
#include "LibTraffic/ControlPort.h"
#include "LibWire/Generated/Routing_types.h"
#include "ferryd/BeliefExchange.h"
#include "ferryd/DescriptionHolder.h"
#include "ferryd/HostLink.h"
#include "ferryd/OrderDispatcher.h"
#include "ferryd/PlatformBindings.h"
#include "ferryd/QuarantineKeeper.h"
#include "ferryd/RegistryGateway.h"
#include "ferryd/RegistryNode.h"
#include "ferryd/SlotExchange.h"
#include "ferryd/StreamExchange.h"
#include <map>
#include <optional>

namespace ferry::daemon {

/// How long hosts of the routed interface trust the last announcement of a
/// target. Long, because all announcements stop while the control hosts are
/// down: routers then judge targets by their answers. While others still
/// announce themselves, routers avoid a target that does not.
inline constexpr Duration RoutedTrustDuration = std::chrono::seconds(30);

/// \returns the age that the newest announcement of a healthy target may reach:
/// two announcements may be lost, and the third spreads within a second.
inline Duration maxAnnouncementAge(const config::RoutedSettings &Routed) {
  return 2 * std::chrono::milliseconds(Routed.AnnounceIntervalMillis) +
         std::chrono::milliseconds(1600);
}

/// Connects the registry, membership and confirmation of one host. Everything
/// runs on the control thread, except for the functions of port(), which any
/// thread may call.
class ControlPlane {
public:
  struct Hooks {
    /// Receives each new snapshot for the traffic threads.
    std::function<void(routing::RoutingViewPtr)> ViewChanged;
    /// Called when an operator requests the graceful shutdown.
    std::function<void()> DrainRequested;
    /// \returns the work of this router, which the other routers are sent.
    std::function<routing::WorkDigest()> BuildDigest;
    /// Applies the digest of another router's work.
    std::function<void(const HostId &, const routing::WorkDigest &)>
        ApplyDigest;
    /// Called for each engine that begins or ends a load of weights by order.
    std::function<void(const routing::EngineChange &)> EngineChanged;
    /// Called with each tick, with the newest time at which a quorum of the
    /// control hosts is known to have worked.
    std::function<void(Timestamp)> Running = [](Timestamp) {};
    /// Called for each message with the weights that were named, of all models,
    /// and the host that it came from.
    std::function<void(const HostId &,
                       const std::vector<routing::NamedWeights> &)>
        WeightsNamed;
    /// Remembers a stream that another router has begun.
    std::function<void(const routing::BegunStream &)> NoteStream =
        [](const routing::BegunStream &) {};
    /// \returns the build of a stream that this router remembers.
    std::function<std::optional<BuildId>(routing::StreamKey)> FindStream =
        [](routing::StreamKey) { return std::nullopt; };
    /// What this router believes of crashes and limits.
    BeliefHooks Beliefs;
    SlotExchange::Hooks Slots;
    /// Set for the routed interface; the defaults serve the native one.
    PlatformBindings Platform;
  };

  /// Opens the stored state and listens for peers. Messages and timers are
  /// handled once the loop runs.
  static Result<std::unique_ptr<ControlPlane>, StartError>
  tryStart(const config::Settings &Settings, ControlLoop &Loop,
           Hooks Callbacks);
  ~ControlPlane();
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  /// \returns the functions by which traffic threads call this object. Each
  /// posts to the loop, which must have stopped before this object is
  /// destroyed.
  traffic::ControlPort port();

  ferry::Incarnation incarnation() const { return Store.incarnation(); }

  /// Announces to all hosts and the traffic threads that this host drains.
  void beginDrain();

  /// Builds a snapshot and passes it to the traffic threads.
  void publishView();

  /// \returns the control plane's metrics in the Prometheus text format; safe
  /// to call from any thread.
  std::string metricsText() const { return Metrics.render(); }

  /// Replaces the seeds. Hosts that are already known stay known.
  void setSeeds(std::vector<HostId> Seeds);

  /// Stops all timers and orders, and closes the log after the writes under
  /// way.
  void close();

  /// Registers the section \p Name of the state dump.
  void addDumpSection(std::string Name, observe::StateDump::Section Make);

private:
  ControlPlane(const config::Settings &Settings, ControlLoop &Loop,
               Hooks Callbacks, HostStore OpenedStore);

  // Start (ControlPlane.cpp).
  Result<void, StartError> tryStartParts();
  Result<void, StartError> tryOpenRegistry();
  void startGateway();
  void startOrders();
  void startBeliefs();
  void reopenLog();
  void addDumpSections();

  // Messages (ControlPlaneMessages.cpp).
  void receive(const HostId &From, wire::PayloadKind::type Kind,
               const std::string &Payload);
  template <typename MessageType, typename HandlerType>
  void receiveAs(const std::string &Payload, HandlerType Handle);
  void receiveConfirmation(const HostId &From,
                           const wire::ConfirmationMessage &Message);
  void receiveFetch(const HostId &From, const wire::DescriptionFetch &Fetch);
  void receiveDescription(const HostId &From,
                          const wire::DescriptionCopy &Copy);

  // Description, membership, confirmation (ControlPlane.cpp).
  void tick();
  void noteTickDelay();
  void applyDescription(const wire::DescriptionCopy &Copy);
  void applyRegistryDescription();
  void stepMembership(const membership::MembershipEvent &Event);
  void runMembershipStep(const membership::MembershipEvent &Event);
  /// Logs the recorded leaves above the number \p After, which this host
  /// learned by \p Event.
  void logLearnedLeaves(uint64_t After,
                        const membership::MembershipEvent &Event) const;
  void stepConfirmation(const membership::ConfirmationEvent &Event);
  void updateStanding();
  membership::Standing chooseStanding() const;
  bool isRouted() const {
    return Settings.Interface == config::Interface::Routed;
  }
  void updateControlHosts();
  /// Tells all hosts the number in force, if this host leads the log.
  void announceDescription();
  /// Takes the description over from a host that may have a newer one.
  void fetchFrom(const HostId &From);
  void stepTransfer(membership::DescriptionTransfer::Step Step);
  void addSeeds();
  void sendDigests();
  void receiveDigest(const HostId &From, const wire::WorkDigest &Digest);
  void broadcastEngineChange(const routing::EngineChange &Change);
  void receiveEngineChanges(const HostId &From,
                            const wire::EngineChanges &Changes);
  /// \returns the other routers that are not silent.
  std::vector<routing::WorkExchange::Router> liveRouters() const;
  std::vector<HostId> liveRouterIds() const;
  std::vector<HostId> otherControlHosts() const;
  /// Sends to all routers, in a large fleet by way of two routers a group.
  void sendToRouters(routing::RouterBroadcast &Broadcast,
                     wire::EngineChanges Message);
  /// Passes on a message of a control host to the routers that it names.
  void passOn(wire::EngineChanges Message);
  config::Description wantedWeights() const;
  OrderDispatcherOptions orderOptions();
  void recordNamedWeights();
  void broadcastNamedWeights();
  void markViewChanged();
  void updateMetrics();
  void updateBeliefMetrics(const routing::Beliefs &Known);

  // Requests from traffic threads (ControlPlanePort.cpp).
  void
  change(traffic::ChangeRequest Request,
         std::function<void(traffic::RegistryResult<registry::ChangeOutcome>)>);
  /// Proposes \p Request, unless this control host has applied what it asks
  /// for: a caller repeats what was not acknowledged in time, and a slow disk
  /// would not acknowledge the repetition in time either.
  template <typename OutcomeType>
  void submitUnlessSettled(
      registry::Command Request, Timestamp Deadline,
      std::function<void(traffic::RegistryResult<OutcomeType>)> Done);
  void
  readDescription(Timestamp Deadline,
                  std::function<void(
                      traffic::RegistryResult<traffic::CurrentDescription>)>);
  void announce(const TargetRecord &Record,
                const std::function<void(traffic::AnnounceReply)> &Done);
  /// Acknowledges the leave only once the log has recorded it: the hosts that
  /// heard of it may all end.
  void announceLeave(const TargetRecord &Record, Timestamp Deadline,
                     std::function<void(traffic::AnnounceReply)> Done);
  void recordLeave(const TargetId &Target, ferry::Incarnation Left,
                   Timestamp Deadline,
                   std::function<void(bool IsRecorded)> Done);
  std::vector<traffic::PastChange> pastChanges() const;
  traffic::SpreadStatus spreadStatus(DescriptionNumber Number) const;

  config::Settings Settings;
  ControlLoop &Loop;
  Hooks Callbacks;
  HostStore Store;
  DescriptionHolder Holder;
  std::unique_ptr<HostLink> Link;
  std::unique_ptr<StreamExchange> Streams;
  /// Of a control host of the routed interface.
  std::unique_ptr<QuarantineKeeper> Keeper;
  std::unique_ptr<BeliefExchange> Beliefs;
  std::unique_ptr<SlotExchange> Slots;
  std::unique_ptr<RegistryNode> Node;
  std::unique_ptr<RegistryGateway> Gateway;
  std::unique_ptr<OrderDispatcher> Orders;
  /// The control hosts that are not silent, or all if there are none.
  std::vector<HostId> ControlHosts;
  std::vector<HostId> KnownControlHosts;
  membership::Membership Members;
  routing::WorkExchange Work;
  routing::RouterBroadcast ChangesBroadcast{routing::RelayChoice::Fixed};
  routing::RouterBroadcast NamingsBroadcast{routing::RelayChoice::InTurn};
  membership::Confirmation Confirmed;
  membership::DescriptionTransfer Transfer;
  /// When hosts without pieces were sent the description in force.
  std::map<HostId, Timestamp> WholeCopySentAt;
  membership::Standing OwnStanding = membership::Standing::Unconfirmed;
  bool Draining = false;
  bool ViewPending = false;
  /// When a greater number than the one in force was first heard of, and how
  /// often its description has been fetched since.
  std::optional<Timestamp> NewerHeardAt;
  uint64_t FetchesOfNewer = 0;
  /// When the tick of TickTimer is due.
  Timestamp TickDueAt;
  /// Whether the last step of an announcement refused it.
  bool AnnouncementRefused = false;
  Timestamp ViewConfirmedUntil;
  observe::StateDump Dump;
  observe::Metrics Metrics;
  ControlLoop::TimerId TickTimer;
  ControlLoop::TimerId DigestTimer;
  /// The weights named for the models of the routes, and when.
  control::NamingTimes Namings;
  Timestamp ResendNamedWeightsAt;
  /// Earliest time to reopen a log that stopped at a failure of its disk.
  Timestamp ReopenLogAt;
};

} // namespace ferry::daemon

#endif
