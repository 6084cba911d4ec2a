#include "ferryd/RegistryGateway.h"
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"

namespace ferry::daemon {

using namespace registry;
using observe::Severity;

/// Answers that took longer are logged.
static constexpr Duration LoggedAnswerTime = std::chrono::milliseconds(500);

RegistryGateway::RegistryGateway(RegistryClient::Options Options,
                                 ControlLoop &Loop, Sender Send)
    : Client(std::move(Options)), Loop(Loop), Send(std::move(Send)) {
  tick();
}

RegistryGateway::~RegistryGateway() { Loop.cancel(Timer); }

void RegistryGateway::submit(ClientRequest Request, Timestamp Deadline,
                             Callback Done) {
  uint64_t Id = NextId++;
  Requests[Id] = {std::move(Done), steadyNow()};
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
      [this](ClientFinished &&Finished) { finish(std::move(Finished)); });
}

void RegistryGateway::finish(ClientFinished Finished) {
  auto Request = Requests.extract(Finished.Id);
  if (Request.empty())
    return;
  Duration Elapsed = steadyNow() - Request.mapped().At;
  if (!Finished.Answer || Elapsed >= LoggedAnswerTime)
    observe::logEvent(
        Severity::Warning, "control",
        Finished.Answer ? "log_answer_slow" : "log_answer_missing",
        {{"ms", Elapsed.count() / 1000},
         {"sends", Finished.Sends},
         {"last_host", Finished.LastHost},
         {"reason", Finished.Answer ? std::string()
                                    : Finished.Answer.error().message()}});
  Request.mapped().Done(std::move(Finished.Answer));
}

} // namespace ferry::daemon
