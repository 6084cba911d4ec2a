#include "LibRegistry/RegistryClient.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::registry {

/// A request without a reply is resent to the next control host after this
/// time.
static constexpr Duration ResendAfter = std::chrono::milliseconds(250);
/// Added for each byte of a command: a description of a megabyte takes as long
/// on its way and through the log, and each copy of it delays the first one.
static constexpr int64_t CommandBytesPerMicrosecond = 2;
/// A refused request is resent after this time, so that requests don't flood
/// the control hosts during an election.
static constexpr Duration RefusedResendAfter = std::chrono::milliseconds(30);

RegistryClient::RegistryClient(Options Settings)
    : Settings(std::move(Settings)) {
  RandomGenerator Generator(this->Settings.Seed);
  // The bound leaves room for the number to rise without overflow.
  NextNumber = static_cast<int64_t>(randomBelow(Generator, uint64_t{1} << 62));
  PreferredHost = randomBelow(Generator, this->Settings.ControlHosts.size());
}

std::vector<ClientEffect> RegistryClient::step(ClientEvent Event,
                                               Timestamp Now) {
  Effects Out;
  match(
      std::move(Event),
      [&](ClientSubmit &&Submitted) { submit(std::move(Submitted), Now, Out); },
      [&](ClientReplyReceived &&Received) { receive(Received, Now, Out); },
      [&](ClientTick &&) { tick(Now, Out); },
      [&](ClientLeaderHint &&Hint) { preferLeader(Hint.Leader); },
      [&](ClientControlHosts &&Update) {
        setControlHosts(std::move(Update.Hosts));
      });
  return Out;
}

static wire::RegistryRequest messageOf(const ClientRequest &Request,
                                       int64_t Number) {
  wire::RegistryRequest Message;
  Message.RequestNumber = Number;
  match(
      Request,
      [&](const Command &Value) {
        Message.Kind = wire::RequestKind::Propose;
        Message.Command = encodeCommand(Value);
      },
      [&](const ReadDescription &) {
        Message.Kind = wire::RequestKind::ReadDescription;
      });
  return Message;
}

void RegistryClient::submit(ClientSubmit Submitted, Timestamp Now,
                            Effects &Out) {
  if (Settings.ControlHosts.empty() || Submitted.Deadline <= Now) {
    Out.emplace_back(ClientFinished{
        Submitted.Id, makeTypedError(RegistryErrorKind::NotProposed)});
    return;
  }
  int64_t Number = NextNumber++;
  Request PendingRequest;
  PendingRequest.CallerId = Submitted.Id;
  PendingRequest.Message = messageOf(Submitted.Request, Number);
  PendingRequest.Deadline = Submitted.Deadline;
  if (PendingRequest.Message.Command.size() > MaxCommandBytes) {
    Out.push_back(
        ClientFinished{Submitted.Id, makeTypedError(RegistryErrorKind::Invalid,
                                                    "command too large")});
    return;
  }
  Request &Added =
      Pending.emplace(Number, std::move(PendingRequest)).first->second;
  send(Added, PreferredHost, Now, Out);
}

void RegistryClient::send(Request &PendingRequest, size_t Host, Timestamp Now,
                          Effects &Out) {
  PendingRequest.Host = Host;
  auto Bytes = static_cast<int64_t>(PendingRequest.Message.Command.size());
  PendingRequest.ResendAt =
      Now + ResendAfter + Duration(Bytes / CommandBytesPerMicrosecond);
  ++PendingRequest.Sends;
  Out.emplace_back(
      ClientSend{Settings.ControlHosts[Host], PendingRequest.Message});
}

void RegistryClient::receive(const ClientReplyReceived &Received, Timestamp Now,
                             Effects &Out) {
  auto RequestIt = Pending.find(Received.Reply.RequestNumber);
  if (RequestIt == Pending.end())
    return;
  Request &PendingRequest = RequestIt->second;
  if (Received.Reply.Status == wire::ReplyStatus::Answered) {
    preferLeader(Received.From);
    Out.emplace_back(ClientFinished{PendingRequest.CallerId,
                                    Received.Reply.Answer, PendingRequest.Sends,
                                    Received.From});
    Pending.erase(RequestIt);
    return;
  }
  // An unknown status is ignored; the request is resent when that is due.
  if (Received.Reply.Status != wire::ReplyStatus::NotLeader &&
      Received.Reply.Status != wire::ReplyStatus::Busy)
    return;
  // Only a refusal by the host that the request was last sent to counts.
  if (Received.From != Settings.ControlHosts[PendingRequest.Host])
    return;
  size_t HostCount = Settings.ControlHosts.size();
  HostId Hint{Received.Reply.LeaderHint};
  bool HasHint = !Hint.empty() && Hint != Received.From;
  if (HasHint)
    preferLeader(Hint);
  else if (PreferredHost == PendingRequest.Host)
    PreferredHost = (PendingRequest.Host + 1) % HostCount;
  // The first hint is followed at once; later ones wait, so that a chain of
  // wrong hints does not cause a burst of sends.
  if (HasHint && PendingRequest.Sends == 1 &&
      PreferredHost != PendingRequest.Host) {
    send(PendingRequest, PreferredHost, Now, Out);
    return;
  }
  PendingRequest.ResendAt =
      std::min(PendingRequest.ResendAt, Now + RefusedResendAfter);
}

void RegistryClient::tick(Timestamp Now, Effects &Out) {
  std::vector<int64_t> Expired;
  for (auto &[Number, PendingRequest] : Pending) {
    if (PendingRequest.Deadline <= Now) {
      Expired.push_back(Number);
      continue;
    }
    if (PendingRequest.ResendAt > Now)
      continue;
    // A preferred host that does not reply may be partitioned; try the next
    // one.
    bool PreferredIsSilent = PendingRequest.Host == PreferredHost;
    size_t NextHost = PreferredIsSilent
                          ? (PreferredHost + 1) % Settings.ControlHosts.size()
                          : PreferredHost;
    send(PendingRequest, NextHost, Now, Out);
  }
  for (int64_t Number : Expired) {
    auto RequestIt = Pending.find(Number);
    const Request &Ended = RequestIt->second;
    Out.emplace_back(ClientFinished{
        Ended.CallerId, makeTypedError(RegistryErrorKind::Timeout), Ended.Sends,
        Settings.ControlHosts[Ended.Host]});
    Pending.erase(RequestIt);
  }
}

void RegistryClient::setControlHosts(std::vector<HostId> Hosts) {
  if (Hosts.empty() || Hosts == Settings.ControlHosts)
    return;
  auto NewIndexOf = [&](size_t OldIndex) -> size_t {
    auto HostIt =
        std::find(Hosts.begin(), Hosts.end(), Settings.ControlHosts[OldIndex]);
    return HostIt == Hosts.end() ? 0 : HostIt - Hosts.begin();
  };
  PreferredHost = NewIndexOf(PreferredHost);
  for (auto &[Number, PendingRequest] : Pending)
    PendingRequest.Host = NewIndexOf(PendingRequest.Host);
  Settings.ControlHosts = std::move(Hosts);
}

void RegistryClient::preferLeader(const HostId &Leader) {
  auto HostIt = std::find(Settings.ControlHosts.begin(),
                          Settings.ControlHosts.end(), Leader);
  if (HostIt != Settings.ControlHosts.end())
    PreferredHost = HostIt - Settings.ControlHosts.begin();
}

} // namespace ferry::registry
