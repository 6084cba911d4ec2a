#include "ferryd/RegistryGateway.h"
#include "LibCore/Visit.h"

namespace ferry::daemon {

using namespace registry;

RegistryGateway::RegistryGateway(RegistryClient::Options Options,
                                 ControlLoop &Loop, Sender Send)
    : Client(std::move(Options)), Loop(Loop), Send(std::move(Send)) {
  tick();
}

RegistryGateway::~RegistryGateway() { Loop.cancel(Timer); }

void RegistryGateway::submit(ClientRequest Request, Timestamp Deadline,
                             Callback Done) {
  uint64_t Id = NextId++;
  Callbacks[Id] = std::move(Done);
  step(ClientSubmit{Id, std::move(Request), Deadline});
}

void RegistryGateway::receiveReply(const HostId &From,
                                   wire::RegistryReply Reply) {
  step(ClientReplyReceived{From, std::move(Reply)});
}

void RegistryGateway::hintLeader(const HostId &Leader) {
  step(ClientLeaderHint{Leader});
}

void RegistryGateway::setControlHosts(std::vector<HostId> Hosts) {
  step(ClientControlHosts{std::move(Hosts)});
}

void RegistryGateway::tick() {
  step(ClientTick{});
  Timer =
      Loop.at(steadyNow() + RegistryClient::TickInterval, [this] { tick(); });
}

void RegistryGateway::step(ClientEvent Event) {
  for (ClientEffect &Effect : Client.step(std::move(Event), steadyNow()))
    run(std::move(Effect));
}

void RegistryGateway::run(ClientEffect Effect) {
  match(
      std::move(Effect),
      [this](ClientSend &&Sent) { Send(Sent.To, Sent.Request); },
      [this](ClientFinished &&Finished) {
        auto Callback = Callbacks.extract(Finished.Id);
        if (!Callback.empty())
          Callback.mapped()(std::move(Finished.Answer));
      });
}

} // namespace ferry::daemon
