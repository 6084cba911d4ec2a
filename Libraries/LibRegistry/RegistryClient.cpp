#include "LibRegistry/RegistryClient.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::registry {

/// A request without a reply goes to the next control host after this.
static constexpr Duration ResendAfter = std::chrono::milliseconds(250);
/// A request that was refused goes on after this, so that an election is not
/// met with a storm of requests.
static constexpr Duration RefusedResendAfter = std::chrono::milliseconds(30);

RegistryClient::RegistryClient(Options Settings)
    : Settings(std::move(Settings)) {
  RandomGenerator Generator(this->Settings.Seed);
  // Any start serves; the bound leaves room to count up.
  NextNumber = static_cast<int64_t>(randomBelow(Generator, uint64_t{1} << 62));
  Preferred = randomBelow(Generator, this->Settings.ControlHosts.size());
}

std::vector<ClientEffect> RegistryClient::step(ClientEvent Event,
                                               Timestamp Now) {
  Effects Out;
  match(
      std::move(Event),
      [&](ClientSubmit &&Submitted) { submit(std::move(Submitted), Now, Out); },
      [&](ClientReplyReceived &&Received) { receive(Received, Now, Out); },
      [&](ClientTick &&) { tick(Now, Out); },
      [&](ClientLeaderHint &&Hint) { takeHint(Hint.Leader); },
      [&](ClientControlHosts &&Known) { takeHosts(std::move(Known.Hosts)); });
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
  Request Entry;
  Entry.CallerId = Submitted.Id;
  Entry.Message = messageOf(Submitted.Request, Number);
  Entry.Deadline = Submitted.Deadline;
  if (Entry.Message.Command.size() > MaxCommandBytes) {
    Out.push_back(
        ClientFinished{Submitted.Id, makeTypedError(RegistryErrorKind::Invalid,
                                                    "command too large")});
    return;
  }
  Request &Added = Pending.emplace(Number, std::move(Entry)).first->second;
  send(Added, Preferred, Now, Out);
}

void RegistryClient::send(Request &Entry, size_t Host, Timestamp Now,
                          Effects &Out) {
  Entry.Host = Host;
  Entry.ResendAt = Now + ResendAfter;
  ++Entry.Sends;
  Out.emplace_back(ClientSend{Settings.ControlHosts[Host], Entry.Message});
}

void RegistryClient::receive(const ClientReplyReceived &Received, Timestamp Now,
                             Effects &Out) {
  auto Found = Pending.find(Received.Reply.RequestNumber);
  if (Found == Pending.end())
    return;
  Request &Entry = Found->second;
  if (Received.Reply.Status == wire::ReplyStatus::Answered) {
    takeHint(Received.From);
    Out.emplace_back(ClientFinished{Entry.CallerId, Received.Reply.Answer});
    Pending.erase(Found);
    return;
  }
  // A damaged status says nothing; the request is sent again in time.
  if (Received.Reply.Status != wire::ReplyStatus::NotLeader &&
      Received.Reply.Status != wire::ReplyStatus::Busy)
    return;
  // Only the host that has the request now may pass it on.
  if (Received.From != Settings.ControlHosts[Entry.Host])
    return;
  size_t Hosts = Settings.ControlHosts.size();
  HostId Hint{Received.Reply.LeaderHint};
  bool Named = !Hint.empty() && Hint != Received.From;
  if (Named)
    takeHint(Hint);
  else if (Preferred == Entry.Host)
    Preferred = (Entry.Host + 1) % Hosts;
  // Straight to the leader once; a chain of wrong hints waits between sends.
  if (Named && Entry.Sends == 1 && Preferred != Entry.Host) {
    send(Entry, Preferred, Now, Out);
    return;
  }
  Entry.ResendAt = std::min(Entry.ResendAt, Now + RefusedResendAfter);
}

void RegistryClient::tick(Timestamp Now, Effects &Out) {
  std::vector<int64_t> Ended;
  for (auto &[Number, Entry] : Pending) {
    if (Entry.Deadline <= Now) {
      Ended.push_back(Number);
      continue;
    }
    if (Entry.ResendAt > Now)
      continue;
    // The silent host may be cut off: the next one is tried.
    bool Silent = Entry.Host == Preferred;
    size_t Next =
        Silent ? (Preferred + 1) % Settings.ControlHosts.size() : Preferred;
    send(Entry, Next, Now, Out);
  }
  for (int64_t Number : Ended) {
    auto Found = Pending.find(Number);
    Out.emplace_back(ClientFinished{
        Found->second.CallerId, makeTypedError(RegistryErrorKind::Timeout)});
    Pending.erase(Found);
  }
}

void RegistryClient::takeHosts(std::vector<HostId> Hosts) {
  if (Hosts.empty() || Hosts == Settings.ControlHosts)
    return;
  auto PlaceOf = [&](size_t Before) -> size_t {
    auto Found =
        std::find(Hosts.begin(), Hosts.end(), Settings.ControlHosts[Before]);
    return Found == Hosts.end() ? 0 : Found - Hosts.begin();
  };
  Preferred = PlaceOf(Preferred);
  for (auto &[Number, Entry] : Pending)
    Entry.Host = PlaceOf(Entry.Host);
  Settings.ControlHosts = std::move(Hosts);
}

void RegistryClient::takeHint(const HostId &Leader) {
  auto Found = std::find(Settings.ControlHosts.begin(),
                         Settings.ControlHosts.end(), Leader);
  if (Found != Settings.ControlHosts.end())
    Preferred = Found - Settings.ControlHosts.begin();
}

} // namespace ferry::registry
