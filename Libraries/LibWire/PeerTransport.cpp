#include "LibWire/PeerTransport.h"

namespace ferry::wire {

static constexpr Duration ReconnectDelay = std::chrono::milliseconds(100);
static constexpr Duration CheckInterval = std::chrono::milliseconds(250);
/// Most incoming connections; further ones are closed at once.
static constexpr size_t MaxIncoming = 2048;

static Result<Poco::Net::SocketAddress, WireError>
tryParseAddress(const std::string &Text) {
  try {
    return Poco::Net::SocketAddress(Text);
  } catch (const std::exception &Failure) {
    return makeTypedError(WireErrorKind::BadAddress,
                          Text + ": " + Failure.what());
  }
}

Result<std::unique_ptr<PeerTransport>, WireError>
PeerTransport::tryStart(TransportOptions Options, ControlLoop &Loop,
                        Hooks Callbacks) {
  std::unique_ptr<PeerTransport> Transport(
      new PeerTransport(std::move(Options), Loop, std::move(Callbacks)));
  auto Resolved = Transport->tryResolvePeers();
  if (!Resolved)
    return makeError(Resolved.error());
  auto Listening = Transport->tryListen();
  if (!Listening)
    return makeError(Listening.error());
  Transport->scheduleCheck();
  return Transport;
}

PeerTransport::PeerTransport(TransportOptions Options, ControlLoop &Loop,
                             Hooks Callbacks)
    : Options(std::move(Options)), Loop(Loop), Callbacks(std::move(Callbacks)) {
}

PeerTransport::~PeerTransport() {
  Loop.cancel(CheckTimer);
  if (Listener.impl()->initialized())
    Loop.unwatch(Listener.impl()->sockfd());
}

Result<void, WireError> PeerTransport::tryResolvePeers() {
  for (const auto &[Host, Text] : Options.Peers) {
    auto Address = tryParseAddress(Text);
    if (!Address)
      return makeError(Address.error());
    Connections[Host] = {*Address, nullptr, Timestamp()};
  }
  return {};
}

Result<void, WireError> PeerTransport::tryListen() {
  auto Address = tryParseAddress(Options.ListenAddress);
  if (!Address)
    return makeError(Address.error());
  try {
    Listener.bind(*Address, /*reuseAddress=*/true);
    Listener.listen();
    Listener.setBlocking(false);
  } catch (const std::exception &Failure) {
    return makeTypedError(WireErrorKind::Disconnected,
                          Options.ListenAddress + ": " + Failure.what());
  }
  Loop.watch(Listener.impl()->sockfd(), Readiness::Read,
             [this] { acceptPeer(); });
  return {};
}

void PeerTransport::scheduleCheck() {
  Timestamp Now = steadyNow();
  for (auto &[Host, Entry] : Connections)
    if (Entry.Connection)
      Entry.Connection->checkProgress(Now);
  std::vector<PeerConnection *> Accepted;
  for (auto &[Key, Connection] : Incoming)
    Accepted.push_back(Connection.get());
  // Iterates over a copy, because checkProgress() removes a connection that it
  // closes from the map.
  for (PeerConnection *Connection : Accepted)
    Connection->checkProgress(Now);
  CheckTimer = Loop.at(Now + CheckInterval, [this] { scheduleCheck(); });
}

PeerConnection::Hooks
PeerTransport::hooksFor(std::function<void(WireError)> Closed) {
  return {Callbacks.Received, std::move(Closed), [this](const HostId &Host) {
            return Options.ResolveAddress || Connections.count(Host) != 0;
          }};
}

void PeerTransport::acceptPeer() {
  try {
    Poco::Net::StreamSocket Socket = Listener.acceptConnection();
    if (Incoming.size() >= MaxIncoming)
      return;
    Socket.setNoDelay(true);
    uint64_t Key = NextIncoming++;
    auto Closed = [this, Key](const WireError &Reason) {
      onIncomingClosed(Key, Reason);
    };
    Incoming[Key] = std::make_unique<PeerConnection>(
        Loop, Options.Identity, std::move(Socket), ConnectionSide::Acceptor,
        HostId{}, Options.MaxFrameBytes, Count, hooksFor(Closed));
  } catch (const std::exception &Failure) {
    Callbacks.Failed(HostId{}, {WireErrorKind::Disconnected, Failure.what()});
  }
}

bool PeerTransport::connectTo(const HostId &To, Outgoing &Entry) {
  Timestamp Now = steadyNow();
  if (Now < Entry.RetryAt)
    return false;
  Entry.RetryAt = Now + ReconnectDelay;
  try {
    Poco::Net::StreamSocket Socket;
    Socket.connectNB(Entry.Address);
    Socket.setNoDelay(true);
    auto Closed = [this, To](const WireError &Reason) {
      onOutgoingClosed(To, Reason);
    };
    Entry.Connection = std::make_unique<PeerConnection>(
        Loop, Options.Identity, std::move(Socket), ConnectionSide::Connector,
        To, Options.MaxFrameBytes, Count, hooksFor(Closed));
    return true;
  } catch (const std::exception &Failure) {
    Callbacks.Failed(To, {WireErrorKind::Disconnected, Failure.what()});
    return false;
  }
}

PeerTransport::Outgoing *PeerTransport::findPeer(const HostId &Host) {
  auto Position = Connections.find(Host);
  if (Position != Connections.end())
    return &Position->second;
  if (!Options.ResolveAddress)
    return nullptr;
  auto Address = tryParseAddress(Options.ResolveAddress(Host));
  if (!Address) {
    Callbacks.Failed(Host, Address.error());
    return nullptr;
  }
  return &(Connections[Host] = {*Address, nullptr, Timestamp()});
}

void PeerTransport::send(const HostId &To, GroupId Group,
                         PayloadKind::type Kind, std::string Payload) {
  Outgoing *Peer = findPeer(To);
  if (Peer == nullptr)
    return drop(To, {WireErrorKind::BadAddress, "unknown host"});
  Outgoing &Entry = *Peer;
  if (!Entry.Connection && !connectTo(To, Entry))
    return drop(To, {WireErrorKind::Disconnected, "not connected"});
  Envelope Message;
  Message.ClusterId = Options.Identity.Cluster.Value;
  Message.GroupId = static_cast<int64_t>(Group.Value);
  Message.SenderIncarnation =
      static_cast<int64_t>(Options.Identity.Incarnation.Value);
  Message.Kind = Kind;
  Message.Payload = std::move(Payload);
  auto Sent = Entry.Connection->trySend(Message);
  if (!Sent)
    drop(To, Sent.error());
}

void PeerTransport::drop(const HostId &To, WireError Reason) {
  ++Dropped;
  Callbacks.Failed(To, Reason);
}

void PeerTransport::onIncomingClosed(uint64_t Key, const WireError &Reason) {
  auto Closed = Incoming.extract(Key);
  if (!Closed.empty())
    destroyLater(std::move(Closed.mapped()));
  Callbacks.Failed(HostId{}, Reason);
}

void PeerTransport::onOutgoingClosed(const HostId &To,
                                     const WireError &Reason) {
  destroyLater(std::move(Connections[To].Connection));
  Callbacks.Failed(To, Reason);
}

void PeerTransport::destroyLater(std::unique_ptr<PeerConnection> Connection) {
  // The caller is a function of the connection, so the loop destroys it later.
  std::shared_ptr<PeerConnection> Owned = std::move(Connection);
  Loop.at(steadyNow(), [Owned] {});
}

} // namespace ferry::wire
