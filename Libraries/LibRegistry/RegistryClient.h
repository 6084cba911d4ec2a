/// \file
/// Sends commands from any host to the control hosts.
#ifndef FERRY_LIBREGISTRY_REGISTRYCLIENT_H
#define FERRY_LIBREGISTRY_REGISTRYCLIENT_H

#include "LibCore/Random.h"
#include "LibCore/Result.h"
#include "LibRegistry/Commands.h"
#include "LibWire/Generated/Registry_types.h"
#include <map>

namespace ferry::registry {

/// Reads the newest accepted description, confirmed by a quorum.
struct ReadDescription {};

/// A request that a client can make.
using ClientRequest = std::variant<Command, ReadDescription>;

/// A new request of this host. \p Id is chosen by the caller; ClientFinished
/// carries it.
struct ClientSubmit {
  uint64_t Id = 0;
  ClientRequest Request;
  Timestamp Deadline;
};

/// A reply arrived from the control host \p From.
struct ClientReplyReceived {
  HostId From;
  wire::RegistryReply Reply;
};

/// Time has passed. Sent at least once in each RegistryClient::TickInterval.
struct ClientTick {};

/// The log's leader became known from another source than a reply.
struct ClientLeaderHint {
  HostId Leader;
};

/// The set of control hosts has changed. Pending requests continue with the new
/// hosts.
struct ClientControlHosts {
  std::vector<HostId> Hosts;
};

using ClientEvent = std::variant<ClientSubmit, ClientReplyReceived, ClientTick,
                                 ClientLeaderHint, ClientControlHosts>;

/// Send \p Request to the control host \p To, which may be this host itself.
struct ClientSend {
  HostId To;
  wire::RegistryRequest Request;
};

/// The request \p Id has ended.
struct ClientFinished {
  uint64_t Id = 0;
  /// The encoded reply, for tryOutcome().
  Result<std::string, RegistryError> Answer;
  /// How often it was sent, and the control host that was asked last or that
  /// answered.
  uint32_t Sends = 0;
  HostId LastHost = {};
};

using ClientEffect = std::variant<ClientSend, ClientFinished>;

/// State machine that sends each request to one control host after the other
/// until one answers it or its deadline passes.
///
/// Commands are idempotent by their content (operation id, attempt, renewal),
/// so a resend needs no session. A request that was sent at least once and not
/// answered ends as Timeout, even if control hosts refused it: a copy may still
/// be under way. It ends as NotProposed only if it was never sent.
class RegistryClient {
public:
  /// Maximum time between ticks.
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

  struct Options {
    std::vector<HostId> ControlHosts;
    /// Random seed of request numbers, so that replies to earlier incarnations
    /// match no request of this one.
    uint64_t Seed = 1;
  };

  explicit RegistryClient(Options Settings);

  /// Handles one event at \p Now.
  /// \returns the effects to carry out, in order.
  std::vector<ClientEffect> step(ClientEvent Event, Timestamp Now);

  size_t pendingCount() const { return Pending.size(); }

private:
  struct Request {
    uint64_t CallerId = 0;
    wire::RegistryRequest Message;
    Timestamp Deadline;
    Timestamp ResendAt;
    /// Index of the control host that it was last sent to.
    size_t Host = 0;
    uint32_t Sends = 0;
  };
  using Effects = std::vector<ClientEffect>;

  void submit(ClientSubmit Submitted, Timestamp Now, Effects &Out);
  void receive(const ClientReplyReceived &Received, Timestamp Now,
               Effects &Out);
  void tick(Timestamp Now, Effects &Out);
  void preferLeader(const HostId &Leader);
  void setControlHosts(std::vector<HostId> Hosts);
  void send(Request &PendingRequest, size_t Host, Timestamp Now, Effects &Out);

  Options Settings;
  /// Index of the control host that answered last or was named as the leader.
  size_t PreferredHost = 0;
  int64_t NextNumber;
  std::map<int64_t, Request> Pending;
};

} // namespace ferry::registry

#endif
