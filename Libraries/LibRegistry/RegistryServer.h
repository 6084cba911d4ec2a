/// \file
/// Handles the registry requests of all hosts at a control host.
#ifndef FERRY_LIBREGISTRY_REGISTRYSERVER_H
#define FERRY_LIBREGISTRY_REGISTRYSERVER_H

#include "LibRegistry/Registry.h"
#include "LibWire/Generated/Registry_types.h"
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace ferry::registry {

/// A request arrived from \p From, which may be this host itself.
struct ServerRequestReceived {
  HostId From;
  wire::RegistryRequest Request;
  /// This host's wall clock.
  UnixMillis ReceivedAt = {};
};

/// The registry applied the command at \p Index with the reply \p Answer. Sent
/// for each applied command, before its ServerProposalCommitted.
struct ServerCommandApplied {
  uint64_t Index = 0;
  std::string Answer;
};

/// The proposal \p Token committed at \p Index and was applied.
struct ServerProposalCommitted {
  uint64_t Token = 0;
  uint64_t Index = 0;
};

/// The log did not accept the proposal, or it is unknown whether it will
/// commit.
struct ServerProposalFailed {
  uint64_t Token = 0;
  /// The leader, or empty if it is unknown.
  HostId Leader;
};

/// A quorum confirmed the read \p Token, and all commands committed before it
/// have been applied.
struct ServerReadConfirmed {
  uint64_t Token = 0;
};

/// This host could not confirm the read \p Token.
struct ServerReadFailed {
  uint64_t Token = 0;
  HostId Leader;
};

using ServerEvent = std::variant<ServerRequestReceived, ServerCommandApplied,
                                 ServerProposalCommitted, ServerProposalFailed,
                                 ServerReadConfirmed, ServerReadFailed>;

/// Propose \p Command to the log and report the result with \p Token.
struct ServerPropose {
  uint64_t Token = 0;
  std::string Command;
};

/// Confirm a read with a quorum and report the result with \p Token.
struct ServerConfirmRead {
  uint64_t Token = 0;
};

/// Send \p Reply to \p To.
struct ServerReply {
  HostId To;
  wire::RegistryReply Reply;
};

using ServerEffect =
    std::variant<ServerPropose, ServerConfirmRead, ServerReply>;

/// State machine that matches requests with proposals and their answers. It
/// needs no clock, because the log ends each proposal and clients resend
/// requests.
class RegistryServer {
public:
  /// Number of pending requests; further ones are answered with Busy.
  static constexpr size_t MaxPending = 4096;

  /// \param State the registry that descriptions are read from; must outlive
  /// this server.
  explicit RegistryServer(const Registry &State);

  /// Handles one event.
  /// \returns the effects to carry out, in order.
  std::vector<ServerEffect> step(ServerEvent Event);

  size_t pendingCount() const { return Pending.size(); }

private:
  struct Request {
    HostId From;
    int64_t Number = 0;
  };
  using Effects = std::vector<ServerEffect>;

  void receive(ServerRequestReceived Received, Effects &Out);
  /// \returns the token of the new request.
  uint64_t addPending(const HostId &From, int64_t Number);
  void removePending(std::map<uint64_t, Request>::iterator It);
  void keepAnswer(ServerCommandApplied Applied);
  void answer(uint64_t Token, std::string Answer, Effects &Out);
  void answerCommitted(const ServerProposalCommitted &Committed, Effects &Out);
  void refuse(uint64_t Token, const HostId &Leader, Effects &Out);

  const Registry &State;
  uint64_t NextToken = 1;
  std::map<uint64_t, Request> Pending;
  /// Sender and number of the requests in Pending.
  std::set<std::pair<HostId, int64_t>> PendingRequests;
  /// Answers of the newest applied commands, by index.
  std::deque<ServerCommandApplied> Answers;
};

} // namespace ferry::registry

#endif
