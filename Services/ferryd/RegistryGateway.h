/// \file
/// Submits commands to the replicated registry from any host.
#ifndef FERRY_FERRYD_REGISTRYGATEWAY_H
#define FERRY_FERRYD_REGISTRYGATEWAY_H

#include "LibCore/ControlLoop.h"
#include "LibRegistry/RegistryClient.h"
#include <functional>
#include <map>

namespace ferry::daemon {

/// Runs the RegistryClient on the control loop and calls back with its replies.
/// All calls are made on the control thread.
class RegistryGateway {
public:
  using Callback =
      std::function<void(Result<std::string, registry::RegistryError>)>;
  using Sender =
      std::function<void(const HostId &, const wire::RegistryRequest &)>;

  RegistryGateway(registry::RegistryClient::Options Options, ControlLoop &Loop,
                  Sender Send);
  ~RegistryGateway();
  RegistryGateway(const RegistryGateway &) = delete;
  RegistryGateway &operator=(const RegistryGateway &) = delete;

  /// Submits \p Request. \p Done runs once, with the encoded reply or an error.
  void submit(registry::ClientRequest Request, Timestamp Deadline,
              Callback Done);

  /// Submits a command whose outcome is an \p OutcomeType. \p Done runs once,
  /// with the outcome or an error.
  template <typename OutcomeType>
  void submitFor(
      registry::Command Command, Timestamp Deadline,
      std::function<void(Result<OutcomeType, registry::RegistryError>)> Done) {
    submit(std::move(Command), Deadline, [Done = std::move(Done)](auto Answer) {
      if (!Answer)
        return Done(makeError(Answer.error()));
      Done(registry::tryOutcome<OutcomeType>(*Answer));
    });
  }

  /// As above, but drops the outcome if \p Owner has expired by then.
  template <typename OutcomeType>
  void submitFor(
      std::weak_ptr<const void> Owner, registry::Command Command,
      Timestamp Deadline,
      std::function<void(Result<OutcomeType, registry::RegistryError>)> Done) {
    submitFor<OutcomeType>(
        std::move(Command), Deadline,
        [Owner = std::move(Owner), Done = std::move(Done)](auto Outcome) {
          if (!Owner.expired())
            Done(std::move(Outcome));
        });
  }

  void receiveReply(const HostId &From, wire::RegistryReply Reply);
  /// Tells the client which control host probably leads the log.
  void hintLeader(const HostId &Leader);
  /// Sets the control hosts that requests are sent to.
  void setControlHosts(std::vector<HostId> Hosts);
  size_t pendingCount() const { return Client.pendingCount(); }

private:
  void step(registry::ClientEvent Event);
  void run(registry::ClientEffect Effect);
  void tick();
  void finish(registry::ClientFinished Finished);

  registry::RegistryClient Client;
  ControlLoop &Loop;
  Sender Send;
  struct Submitted {
    Callback Done;
    Timestamp At;
  };
  std::map<uint64_t, Submitted> Requests;
  uint64_t NextId = 1;
  ControlLoop::TimerId Timer;
};

} // namespace ferry::daemon

#endif
