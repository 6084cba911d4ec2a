#include "LibWire/PeerConnection.h"
#include "LibCore/ConstantTime.h"
#include "LibWire/Codec.h"
#include <array>
#include <netinet/tcp.h>

namespace ferry::wire {

/// Longest wait for a handshake, or for a peer to take queued bytes.
static constexpr std::chrono::milliseconds ProgressTimeout{2000};
/// Bytes queued to one peer at the most.
static constexpr size_t MaxQueuedBytes = 96ULL << 20;
static constexpr size_t ReceiveBufferBytes = 64 * 1024;
static constexpr size_t MaxHandshakeFrameBytes = 4 * 1024;

PeerConnection::PeerConnection(ControlLoop &Loop, const PeerIdentity &Identity,
                               Poco::Net::StreamSocket Socket,
                               ConnectionSide Side, HostId Expected,
                               uint64_t MaxFrameBytes, TrafficCount &Count,
                               Hooks Calls)
    : Loop(Loop), Identity(Identity), Socket(std::move(Socket)),
      Descriptor(this->Socket.impl()->sockfd()), Side(Side),
      Peer(std::move(Expected)), Reader(MaxFrameBytes), Count(Count),
      Calls(std::move(Calls)), OwnNonce(makeNonce()),
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
  // Behind a cut the system takes bytes and waits for their acknowledgement,
  // longer with each attempt: a new connection is faster once the cut is over.
  Socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(ProgressTimeout.count()));
  if (Side == ConnectionSide::Connector)
    sendHello();
  updateWatch();
}

Result<void, WireError> PeerConnection::trySend(const Envelope &Message) {
  std::string Framed = frame(encode(Message));
  size_t Queued = Held.size() + Outbound.size() - OutboundSent;
  if (Queued + Framed.size() > MaxQueuedBytes)
    return makeTypedError(WireErrorKind::TooLarge, "send queue");
  if (State != Phase::Proven) {
    Held += Framed;
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
  bool Waiting = State != Phase::Proven || !Outbound.empty();
  if (State != Phase::Closed && Waiting && Now > ProgressDeadline)
    close({WireErrorKind::Disconnected, "no progress"});
}

void PeerConnection::updateWatch() {
  auto Interest = Outbound.empty() ? Readiness::Read : Readiness::ReadWrite;
  Loop.watch(Descriptor, Interest, [this] { onReady(); });
}

void PeerConnection::onReady() {
  try {
    flushSome();
    receiveSome();
  } catch (const std::exception &Failure) {
    close({WireErrorKind::Disconnected, Failure.what()});
  }
}

void PeerConnection::flushSome() {
  if (Outbound.empty())
    return;
  auto Left = static_cast<int>(Outbound.size() - OutboundSent);
  int Sent =
      Socket.sendBytes(Outbound.data() + OutboundSent, Left, MSG_NOSIGNAL);
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

void PeerConnection::receiveSome() {
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
    auto Next = Reader.tryNext();
    if (!Next) {
      close(Next.error());
      return;
    }
    if (!Next->has_value())
      return;
    auto Handled = tryHandleFrame(**Next);
    if (!Handled) {
      close(Handled.error());
      return;
    }
  }
}

Result<void, WireError>
PeerConnection::tryHandleFrame(const std::string &Body) {
  if (State == Phase::Proven)
    return tryHandleEnvelope(Body);
  if (Body.size() > MaxHandshakeFrameBytes)
    return makeTypedError(WireErrorKind::TooLarge, "handshake");
  if (State == Phase::AwaitingHello)
    return tryHandleHello(Body);
  return tryHandleProof(Body);
}

Result<void, WireError>
PeerConnection::tryHandleHello(const std::string &Body) {
  auto Greeting = tryDecode<Hello>(Body);
  if (!Greeting)
    return makeError(Greeting.error());
  HostId Claimed{Greeting->HostId};
  if (Greeting->ClusterId != Identity.Cluster.Value || !Calls.Knows(Claimed))
    return makeTypedError(WireErrorKind::Untrusted, Claimed.Value);
  if (Side == ConnectionSide::Connector && Claimed != Peer)
    return makeTypedError(WireErrorKind::Untrusted, Claimed.Value);
  if (Greeting->Nonce.size() != NonceBytes)
    return makeTypedError(WireErrorKind::Malformed, "nonce");
  Peer = Claimed;
  PeerNonce = Greeting->Nonce;
  State = Phase::AwaitingProof;
  if (Side == ConnectionSide::Acceptor)
    sendHello();
  sendProof();
  return {};
}

Result<void, WireError>
PeerConnection::tryHandleProof(const std::string &Body) {
  auto Shown = tryDecode<HelloProof>(Body);
  if (!Shown)
    return makeError(Shown.error());
  auto PeerSide = Side == ConnectionSide::Connector ? ConnectionSide::Acceptor
                                                    : ConnectionSide::Connector;
  std::string Wanted = makeProof(Identity.ClusterKey, PeerSide, OwnNonce, Peer);
  if (!equalInConstantTime(Shown->Proof, Wanted))
    return makeTypedError(WireErrorKind::Untrusted, Peer.Value);
  becomeProven();
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
  Calls.Received(Peer, std::move(*Message));
  return {};
}

void PeerConnection::sendHello() {
  Hello Greeting;
  Greeting.ClusterId = Identity.Cluster.Value;
  Greeting.HostId = Identity.Host.Value;
  Greeting.Incarnation = static_cast<int64_t>(Identity.Incarnation.Value);
  Greeting.Nonce = OwnNonce;
  queueFrame(encode(Greeting));
}

void PeerConnection::sendProof() {
  HelloProof Shown;
  Shown.Proof = makeProof(Identity.ClusterKey, Side, PeerNonce, Identity.Host);
  queueFrame(encode(Shown));
}

void PeerConnection::becomeProven() {
  State = Phase::Proven;
  Outbound += Held;
  Held.clear();
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
  Calls.Closed(std::move(Reason));
}

} // namespace ferry::wire
