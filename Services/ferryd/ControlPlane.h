/// \file
/// The control side of one host: all step machines on one thread.
#ifndef FERRY_FERRYD_CONTROLPLANE_H
#define FERRY_FERRYD_CONTROLPLANE_H

#include "LibMembership/Confirmation.h"
#include "LibMembership/Membership.h"
#include "LibObserve/Metrics.h"
#include "LibObserve/StateDump.h"
#include "LibRouting/RoutedCall.h"
#include "LibRouting/RoutingView.h"
#include "LibTraffic/ControlPort.h"
#include "LibWire/Generated/Routing_types.h"
#include "ferryd/DescriptionHolder.h"
#include "ferryd/HostLink.h"
#include "ferryd/OrderGiver.h"
#include "ferryd/RegistryGateway.h"
#include "ferryd/RegistryNode.h"
#include "ferryd/RoutedParts.h"

namespace ferry::daemon {

/// How long a routed host keeps a target whose announcements stop. Long, since
/// the announcements end with the control hosts: routers judge targets by their
/// answers meanwhile, and pass over those whose announcements alone stopped.
inline constexpr Duration RoutedTargetTrust = std::chrono::seconds(30);

/// \returns how old the newest announcement of a sound target may be: two may
/// be missing, and the third spreads within a second.
inline Duration freshTime(const config::RoutedSettings &Routed) {
  return 2 * std::chrono::milliseconds(Routed.AnnounceIntervalMillis) +
         std::chrono::milliseconds(1600);
}

/// Wires registry, membership and confirmation of one host. Everything runs on
/// the control thread, but for port(), whose functions any thread may call.
class ControlPlane {
public:
  struct Hooks {
    /// A new snapshot for the traffic threads.
    std::function<void(routing::RoutingViewPtr)> ViewChanged;
    /// An operator asked for the graceful shutdown.
    std::function<void()> DrainRequested;
    /// Asks for what this router has under way, for the other routers.
    std::function<routing::WorkDigest()> MakeDigest;
    /// Another router told what it has under way.
    std::function<void(const HostId &, const routing::WorkDigest &)> TakeDigest;
    /// The giver of orders told of an engine.
    std::function<void(const routing::EngineChange &)> EngineChanged;
    /// Weights were named for a model.
    std::function<void(const routing::NamedWeights &)> WeightsNamed;
    /// What the routed interface needs; left empty by the native one.
    RoutedParts Routed;
  };

  /// Opens the stored state and listens for peers; nothing runs before the
  /// loop does.
  static Result<std::unique_ptr<ControlPlane>, StartError>
  tryStart(const config::Settings &Settings, ControlLoop &Loop, Hooks Calls);
  ~ControlPlane();
  ControlPlane(const ControlPlane &) = delete;
  ControlPlane &operator=(const ControlPlane &) = delete;

  /// \returns the functions by which traffic threads reach this object. Each
  /// posts to the loop; the loop must not outlive this object while it runs.
  traffic::ControlPort port();

  ferry::Incarnation incarnation() const { return Store.incarnation(); }

  /// Tells all hosts and the traffic threads that this host is leaving.
  void beginDrain();

  /// Builds a snapshot and hands it to the traffic threads.
  void publishView();

  /// \returns figures of the control side in the Prometheus text format; safe
  /// from any thread.
  std::string metricsText() const { return Figures.render(); }

  /// Takes the seeds of newer settings; hosts known by others stay known.
  void seedsChanged(std::vector<HostId> Seeds);

  /// Stops the log after the writes under way.
  void close();

  /// Registers the section \p Name of the state dump.
  void addDumpSection(std::string Name, observe::StateDump::Section Make);

private:
  ControlPlane(const config::Settings &Settings, ControlLoop &Loop, Hooks Calls,
               HostStore Opened);

  // Start (ControlPlane.cpp).
  Result<void, StartError> tryStartParts();
  Result<void, StartError> tryOpenRegistry();
  void startGateway();
  void startOrders();
  void reviveLog();
  void addDumpSections();

  // Messages (ControlPlaneMessages.cpp).
  void receive(const HostId &From, wire::PayloadKind::type Kind,
               const std::string &Payload);
  template <typename MessageType, typename HandlerType>
  void receiveAs(const std::string &Payload, HandlerType Handle);
  void receiveConfirmation(const HostId &From,
                           const wire::ConfirmationMessage &Message);
  void receiveFetch(const HostId &From, const wire::DescriptionFetch &Fetch);

  // Description, membership, confirmation (ControlPlane.cpp).
  void tick();
  void takeDescription(const wire::DescriptionCopy &Copy);
  void takeFromRegistry();
  void stepMembership(const membership::MembershipEvent &Event);
  void stepConfirmation(const membership::ConfirmationEvent &Event);
  void updateStanding();
  membership::Standing chooseStanding() const;
  bool isRouted() const {
    return Settings.Interface == config::Interface::Routed;
  }
  void updateControlHosts();
  void spreadDescription();
  void giveSeeds();
  void spreadDigest();
  void receiveDigest(const HostId &From, const wire::WorkDigest &Digest);
  void spreadEngineChange(const routing::EngineChange &Change);
  void receiveEngineChanges(const wire::EngineChanges &Changes);
  std::vector<HostId> routers() const;
  config::Description wantedWeights() const;
  OrderGiverOptions orderOptions();
  void noteNamedWeights();
  void spreadNamedWeights();
  void markViewChanged();
  void updateFigures();

  // Requests of traffic threads (ControlPlanePort.cpp).
  void
  change(traffic::ChangeRequest Request,
         std::function<void(traffic::RegistryResult<registry::ChangeOutcome>)>);
  void
  readDescription(Timestamp Deadline,
                  std::function<void(
                      traffic::RegistryResult<traffic::CurrentDescription>)>);
  void announce(const TargetRecord &Record,
                const std::function<void(traffic::AnnounceReply)> &Done);
  std::vector<traffic::PastChange> pastChanges() const;
  traffic::SpreadStatus spreadOf(DescriptionNumber Number) const;

  config::Settings Settings;
  ControlLoop &Loop;
  Hooks Calls;
  HostStore Store;
  DescriptionHolder Holder;
  std::unique_ptr<HostLink> Link;
  std::unique_ptr<RegistryNode> Node;
  std::unique_ptr<RegistryGateway> Gateway;
  std::unique_ptr<OrderGiver> Orders;
  std::vector<HostId> ControlHosts;
  membership::Membership Members;
  membership::Confirmation Confirmed;
  membership::Standing OwnStanding = membership::Standing::Unconfirmed;
  bool Draining = false;
  bool ViewPending = false;
  /// Set while an announcement is refused by the step under way.
  bool AnnouncementRefused = false;
  Timestamp ViewConfirmedUntil;
  observe::StateDump Dump;
  observe::Metrics Figures;
  ControlLoop::TimerId TickTimer;
  ControlLoop::TimerId DigestTimer;
  std::vector<routing::TargetWork> ToldWork;
  Timestamp TellWorkBy;
  /// Named weights, the oldest first, and when this host learnt of them.
  std::map<ModelId, std::vector<routing::NamedWeights>> NamedSeen;
  Timestamp TellNamedBy;
  /// A log that its disk has stopped is opened again then.
  Timestamp ReviveAt;
};

} // namespace ferry::daemon

#endif
