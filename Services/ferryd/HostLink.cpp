#include "ferryd/HostLink.h"
#include "LibCore/DurableFile.h"
#include "LibObserve/Log.h"

namespace ferry::daemon {

/// The only log group so far. Messages name it so that more can be added.
static constexpr GroupId DefaultGroup{1};

static Result<std::string, StartError>
tryReadClusterKey(const std::filesystem::path &Path) {
  auto Bytes = tryReadFile(Path);
  if (!Bytes)
    return makeTypedError(StartErrorKind::BadSettings, Bytes.error().message());
  std::string Key = Bytes->value_or("");
  while (!Key.empty() && (Key.back() == '\n' || Key.back() == '\r'))
    Key.pop_back();
  if (Key.empty())
    return makeTypedError(StartErrorKind::BadSettings,
                          "cluster_key_file is missing or empty");
  return Key;
}

Result<std::unique_ptr<HostLink>, StartError>
HostLink::tryStart(const config::Settings &Settings,
                   ferry::Incarnation Incarnation, ControlLoop &Loop,
                   Receiver Receive) {
  Result<std::string, StartError> Key = Settings.ClusterKey;
  if (Key->empty())
    Key = tryReadClusterKey(Settings.ClusterKeyFile);
  if (!Key)
    return makeError(Key.error());
  std::unique_ptr<HostLink> Link(
      new HostLink(Settings.Host, Loop, std::move(Receive)));
  wire::TransportOptions Options;
  Options.Identity = {Settings.Cluster, Settings.Host, Incarnation, *Key};
  Options.ListenAddress = Settings.PeerAddress;
  Options.MaxFrameBytes = Settings.Limits.MaxPeerFrameBytes;
  for (const config::PeerHost &Host : Settings.Hosts)
    if (Host.Id != Settings.Host)
      Options.Peers[Host.Id] = Host.PeerAddress;
  if (Settings.Interface == config::Interface::Routed) {
    std::string OwnAddress = Settings.PeerAddress;
    std::string Port = OwnAddress.substr(OwnAddress.rfind(':'));
    if (Settings.Discovery.PeerPort != 0)
      Port = ":" + std::to_string(Settings.Discovery.PeerPort);
    // The id of a discovered host is its IP address; all hosts use the same
    // port for peers.
    Options.ResolveAddress = [Port](const HostId &To) {
      return To.Value + Port;
    };
  }
  wire::PeerTransport::Hooks Hooks;
  Hooks.Received = [Raw = Link.get()](const HostId &From,
                                      wire::Envelope Message) {
    // A newer host may send kinds that this one does not know.
    if (wire::_PayloadKind_VALUES_TO_NAMES.count(Message.Kind) != 0)
      Raw->Kinds[Message.Kind].BytesReceived += Message.Payload.size();
    Raw->Receive(From, Message.Kind, Message.Payload);
  };
  Hooks.Failed = [](const HostId &Host, const wire::WireError &Failure) {
    observe::logEvent(observe::Severity::Debug, "peers", "connection_failed",
                      {{"host", Host}, {"reason", Failure.message()}});
  };
  auto Transport =
      wire::PeerTransport::tryStart(std::move(Options), Loop, Hooks);
  if (!Transport)
    return makeTypedError(StartErrorKind::CannotListen,
                          Transport.error().message());
  Link->Transport = std::move(*Transport);
  return Link;
}

HostLink::HostLink(HostId Self, ControlLoop &Loop, Receiver Receive)
    : Self(std::move(Self)), Loop(Loop), Receive(std::move(Receive)) {}

void HostLink::sendBytes(const HostId &To, wire::PayloadKind::type Kind,
                         std::string Payload) {
  if (To != Self) {
    Kinds[Kind].BytesSent += Payload.size();
    return Transport->send(To, DefaultGroup, Kind, std::move(Payload));
  }
  Loop.at(steadyNow(), [this, Kind, Payload = std::move(Payload)] {
    Receive(Self, Kind, Payload);
  });
}

} // namespace ferry::daemon
