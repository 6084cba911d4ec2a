#include "LibWire/PeerConnection.h"
#include "LibCore/ConstantTime.h"
#include "LibWire/Codec.h"
#include <algorithm>
#include <array>
#include <netinet/tcp.h>

namespace ferry::wire {

/// Longest wait for a handshake, or for the socket to accept queued bytes.
static constexpr std::chrono::milliseconds ProgressTimeout{2000};
/// Most bytes queued for one peer.
static constexpr size_t MaxQueuedBytes = 96ULL << 20;
static constexpr size_t ReceiveBufferBytes = 64 * 1024;
/// Of a peer that has not proved to be one.
static constexpr uint64_t MaxHandshakeFrameBytes = 4 * 1024;

PeerConnection::PeerConnection(ControlLoop &Loop, const PeerIdentity &Identity,
                               Poco::Net::StreamSocket Socket,
                               ConnectionSide Side, HostId Expected,
                               uint64_t MaxFrameBytes, TrafficCount &Count,
                               Hooks Callbacks)
    : Loop(Loop), Identity(Identity), Socket(std::move(Socket)),
      Descriptor(this->Socket.impl()->sockfd()), Side(Side),
      Peer(std::move(Expected)), MaxFrameBytes(MaxFrameBytes),
      Reader(std::min(MaxFrameBytes, MaxHandshakeFrameBytes)), Count(Count),
      Callbacks(std::move(Callbacks)), OwnNonce(makeNonce()),
      ProgressDeadline(steadyNow() + ProgressTimeout) {
  start();
}

PeerConnection::~PeerConnection() {
  if (State == Phase::Closed)
    return;
  Loop.unwatch(Descriptor);
  Socket.close();
}

void PeerConnection::start() {
  Socket.setBlocking(false);
  // During a network partition the kernel retransmits unacknowledged bytes at
  // growing intervals. Closing the connection recovers faster: a new one works
  // as soon as the partition is over.
  Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(ProgressTimeout.count()));
  if (Side == ConnectionSide::Connector)
    sendHello();
  updateWatch();
}

Result<void, WireError> PeerConnection::trySend(const Envelope &Message) {
  std::string Framed = frame(encode(Message));
  size_t Queued = PendingFrames.size() + Outbound.size() - OutboundSent;
  if (Queued + Framed.size() > MaxQueuedBytes)
    return makeTypedError(WireErrorKind::TooLarge, "send queue");
  if (State != Phase::Authenticated) {
    PendingFrames += Framed;
    return {};
  }
  if (Outbound.empty())
    ProgressDeadline = steadyNow() + ProgressTimeout;
  Outbound += Framed;
  ++Count.FramesSent;
  updateWatch();
  return {};
}

void PeerConnection::checkProgress(Timestamp Now) {
  bool Waiting = State != Phase::Authenticated || !Outbound.empty();
  if (State != Phase::Closed && Waiting && Now > ProgressDeadline)
    close({WireErrorKind::Disconnected, "no progress"});
}

void PeerConnection::updateWatch() {
  auto Interest = Outbound.empty() ? Readiness::Read : Readiness::ReadWrite;
  Loop.watch(Descriptor, Interest, [this] { onReady(); });
}

void PeerConnection::onReady() {
  try {
    flushOutbound();
    receiveAvailable();
  } catch (const std::exception &Failure) {
    close({WireErrorKind::Disconnected, Failure.what()});
  }
}

void PeerConnection::flushOutbound() {
  if (Outbound.empty())
    return;
  auto Remaining = static_cast<int>(Outbound.size() - OutboundSent);
  int Sent =
      Socket.sendBytes(Outbound.data() + OutboundSent, Remaining, MSG_NOSIGNAL);
  if (Sent <= 0)
    return;
  Count.BytesSent += Sent;
  OutboundSent += Sent;
  ProgressDeadline = steadyNow() + ProgressTimeout;
  if (OutboundSent < Outbound.size())
    return;
  Outbound.clear();
  OutboundSent = 0;
  updateWatch();
}

void PeerConnection::receiveAvailable() {
  std::array<char, ReceiveBufferBytes> Buffer;
  int Received = Socket.receiveBytes(Buffer.data(), Buffer.size());
  if (Received < 0)
    return;
  if (Received == 0) {
    close({WireErrorKind::Disconnected, "closed by the peer"});
    return;
  }
  Count.BytesReceived += Received;
  Reader.append(std::string_view(Buffer.data(), Received));
  handleFrames();
}

void PeerConnection::handleFrames() {
  while (State != Phase::Closed) {
    auto Frame = Reader.tryNext();
    if (!Frame) {
      close(Frame.error());
      return;
    }
    if (!Frame->has_value())
      return;
    auto Handled = tryHandleFrame(**Frame);
    if (!Handled) {
      close(Handled.error());
      return;
    }
  }
}

Result<void, WireError>
PeerConnection::tryHandleFrame(const std::string &Body) {
  if (State == Phase::Authenticated)
    return tryHandleEnvelope(Body);
  if (State == Phase::AwaitingHello)
    return tryHandleHello(Body);
  return tryHandleProof(Body);
}

Result<void, WireError>
PeerConnection::tryHandleHello(const std::string &Body) {
  auto PeerHello = tryDecode<Hello>(Body);
  if (!PeerHello)
    return makeError(PeerHello.error());
  HostId ClaimedHost{PeerHello->HostId};
  if (PeerHello->ClusterId != Identity.Cluster.Value ||
      !Callbacks.IsClusterHost(ClaimedHost))
    return makeTypedError(WireErrorKind::Untrusted, ClaimedHost.Value);
  if (Side == ConnectionSide::Connector && ClaimedHost != Peer)
    return makeTypedError(WireErrorKind::Untrusted, ClaimedHost.Value);
  if (PeerHello->Nonce.size() != NonceBytes)
    return makeTypedError(WireErrorKind::Malformed, "nonce");
  Peer = ClaimedHost;
  PeerNonce = PeerHello->Nonce;
  State = Phase::AwaitingProof;
  if (Side == ConnectionSide::Acceptor)
    sendHello();
  sendProof();
  return {};
}

Result<void, WireError>
PeerConnection::tryHandleProof(const std::string &Body) {
  auto PeerProof = tryDecode<HelloProof>(Body);
  if (!PeerProof)
    return makeError(PeerProof.error());
  auto PeerSide = Side == ConnectionSide::Connector ? ConnectionSide::Acceptor
                                                    : ConnectionSide::Connector;
  std::string ExpectedProof =
      makeProof(Identity.ClusterKey, PeerSide, OwnNonce, Peer);
  if (!equalInConstantTime(PeerProof->Proof, ExpectedProof))
    return makeTypedError(WireErrorKind::Untrusted, Peer.Value);
  finishHandshake();
  return {};
}

Result<void, WireError>
PeerConnection::tryHandleEnvelope(const std::string &Body) {
  auto Message = tryDecode<Envelope>(Body);
  if (!Message)
    return makeError(Message.error());
  if (Message->ClusterId != Identity.Cluster.Value)
    return makeTypedError(WireErrorKind::Untrusted, Message->ClusterId);
  ++Count.FramesReceived;
  Callbacks.Received(Peer, std::move(*Message));
  return {};
}

void PeerConnection::sendHello() {
  Hello OwnHello;
  OwnHello.ClusterId = Identity.Cluster.Value;
  OwnHello.HostId = Identity.Host.Value;
  OwnHello.Incarnation = static_cast<int64_t>(Identity.Incarnation.Value);
  OwnHello.Nonce = OwnNonce;
  queueFrame(encode(OwnHello));
}

void PeerConnection::sendProof() {
  HelloProof OwnProof;
  OwnProof.Proof =
      makeProof(Identity.ClusterKey, Side, PeerNonce, Identity.Host);
  queueFrame(encode(OwnProof));
}

void PeerConnection::finishHandshake() {
  State = Phase::Authenticated;
  Reader.setMaxFrameBytes(MaxFrameBytes);
  Outbound += PendingFrames;
  PendingFrames.clear();
  updateWatch();
}

void PeerConnection::queueFrame(std::string_view Body) {
  Outbound += frame(Body);
  updateWatch();
}

void PeerConnection::close(WireError Reason) {
  if (State == Phase::Closed)
    return;
  State = Phase::Closed;
  Loop.unwatch(Descriptor);
  Socket.close();
  Callbacks.Closed(std::move(Reason));
}

} // namespace ferry::wire
