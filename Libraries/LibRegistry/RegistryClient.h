/// \file
/// Brings commands from any host to the control hosts.
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

/// What a client can ask for.
using ClientRequest = std::variant<Command, ReadDescription>;

/// A request of this host; \p Id is chosen by the caller and comes back.
struct ClientSubmit {
  uint64_t Id = 0;
  ClientRequest Request;
  Timestamp Deadline;
};

/// A reply came from control host \p From.
struct ClientReplyReceived {
  HostId From;
  wire::RegistryReply Reply;
};

/// Time has passed; due at least once each RegistryClient::TickInterval.
struct ClientTick {};

/// Another part has learnt which host leads the log.
struct ClientLeaderHint {
  HostId Leader;
};

/// The control hosts are now these; requests under way go on to them.
struct ClientControlHosts {
  std::vector<HostId> Hosts;
};

using ClientEvent = std::variant<ClientSubmit, ClientReplyReceived, ClientTick,
                                 ClientLeaderHint, ClientControlHosts>;

/// Send \p Request to the control host \p To; it may be this host itself.
struct ClientSend {
  HostId To;
  wire::RegistryRequest Request;
};

/// The request \p Id has ended.
struct ClientFinished {
  uint64_t Id = 0;
  /// The encoded reply, for tryOutcome().
  Result<std::string, RegistryError> Answer;
};

using ClientEffect = std::variant<ClientSend, ClientFinished>;

/// Step machine that sends each request to the control hosts, one after the
/// other, until one answers it or its deadline passes.
///
/// Commands are idempotent by their content (operation id, attempt, renewal),
/// so a resend needs no session. A request that was sent at least once and not
/// answered ends as Timeout, whatever the refusals said: a copy may still be
/// on its way. It ends as NotProposed only if it was never sent.
class RegistryClient {
public:
  /// Longest time between ticks.
  static constexpr Duration TickInterval = std::chrono::milliseconds(50);

  struct Options {
    std::vector<HostId> ControlHosts;
    /// Random; keeps replies to earlier incarnations apart.
    uint64_t Seed = 1;
  };

  explicit RegistryClient(Options Settings);

  /// Takes one event at \p Now. \returns what is to be done, in order.
  std::vector<ClientEffect> step(ClientEvent Event, Timestamp Now);

  size_t pendingCount() const { return Pending.size(); }

private:
  struct Request {
    uint64_t CallerId = 0;
    wire::RegistryRequest Message;
    Timestamp Deadline;
    Timestamp ResendAt;
    /// The control host that has it now.
    size_t Host = 0;
    uint32_t Sends = 0;
  };
  using Effects = std::vector<ClientEffect>;

  void submit(ClientSubmit Submitted, Timestamp Now, Effects &Out);
  void receive(const ClientReplyReceived &Received, Timestamp Now,
               Effects &Out);
  void tick(Timestamp Now, Effects &Out);
  void takeHint(const HostId &Leader);
  void takeHosts(std::vector<HostId> Hosts);
  void send(Request &Entry, size_t Host, Timestamp Now, Effects &Out);

  Options Settings;
  /// The control host that answered last or was named as the leader.
  size_t Preferred = 0;
  int64_t NextNumber;
  std::map<int64_t, Request> Pending;
};

} // namespace ferry::registry

#endif
