#include "ferryd/BeliefExchange.h"
#include "LibCore/Random.h"
#include "LibObserve/Log.h"
#include "ferryd/BeliefMessages.h"
#include <algorithm>
#include <map>

namespace ferry::daemon {

using admission::CapHolder;
using admission::CapQuestion;
using admission::CapReply;
using routing::Beliefs;
using routing::BeliefSpread;
using wire::PayloadKind;

/// Shortest time between two times at which questions about caps are sent by
/// the timer.
static constexpr Duration MinCapInterval = std::chrono::milliseconds(5);

static wire::CapQuestion toWire(const CapQuestion &Question) {
  wire::CapQuestion Fields;
  Fields.Workspace = Question.Workspace.Value;
  Fields.Number = static_cast<int64_t>(Question.Number);
  if (Question.Needed != 0)
    Fields.__set_Needed(Question.Needed);
  if (Question.Wanted != 0)
    Fields.__set_Wanted(Question.Wanted);
  if (Question.Returned != 0)
    Fields.__set_Returned(Question.Returned);
  return Fields;
}

static CapQuestion fromWire(const wire::CapQuestion &Fields) {
  return {{Fields.Workspace},
          static_cast<uint64_t>(Fields.Number),
          Fields.Needed,
          Fields.Wanted,
          Fields.Returned};
}

static wire::CapReply toWire(const CapReply &Reply) {
  wire::CapReply Fields;
  Fields.Workspace = Reply.Workspace.Value;
  Fields.Number = static_cast<int64_t>(Reply.Number);
  if (Reply.Granted != 0)
    Fields.__set_Granted(Reply.Granted);
  if (Reply.Lifetime != Duration())
    Fields.__set_LifetimeMillis(wireMillis(Reply.Lifetime));
  // Rounded up: 0 means that the sender is not the owner.
  if (Reply.RetryIn != Duration())
    Fields.__set_RetryInMillis(wireMillis(
        std::chrono::ceil<std::chrono::milliseconds>(Reply.RetryIn)));
  return Fields;
}

static CapReply fromWire(const wire::CapReply &Fields) {
  return {{Fields.Workspace},
          static_cast<uint64_t>(Fields.Number),
          Fields.Granted,
          std::chrono::milliseconds(Fields.LifetimeMillis),
          std::chrono::milliseconds(Fields.RetryInMillis)};
}

BeliefExchange::BeliefExchange(
    HostLink &Link, ControlLoop &Loop, OtherHosts Others, BeliefHooks Callbacks,
    std::function<void(const routing::Beliefs &)> Observed)
    : Link(Link), Loop(Loop), Others(std::move(Others)),
      Callbacks(std::move(Callbacks)), Observed(std::move(Observed)),
      Spread(systemSeed()) {}

void BeliefExchange::stop() {
  Loop.cancel(NewsTimer);
  Loop.cancel(TickTimer);
  Loop.cancel(CapTimer);
}

void BeliefExchange::newsReady() {
  if (std::exchange(NewsPending, true))
    return;
  NewsTimer =
      Loop.at(steadyNow() + BeliefSpread::NewsDelay, [this] { sendNews(); });
}

void BeliefExchange::sendNews() {
  NewsPending = false;
  askForReach();
  Beliefs News = Callbacks.TakeNews();
  if (News.empty())
    return;
  wire::BeliefMessage Message = toWire(News, steadyNow());
  for (const HostId &To : Spread.receiversOfNews(Others.Routers(), steadyNow()))
    Link.send(To, PayloadKind::Beliefs, Message);
  sendSets(Spread.keepersOfNews(Others.Keepers()), News.Crashes.Quarantined);
}

void BeliefExchange::sendSets(
    const std::vector<HostId> &Keepers,
    const std::vector<routing::QuarantinedParts> &Sets) {
  if (Sets.empty())
    return;
  wire::BeliefMessage Message = toWire({{{}, Sets}, {}}, steadyNow());
  for (const HostId &To : Keepers)
    Link.send(To, PayloadKind::Beliefs, Message);
}

void BeliefExchange::askForReach() {
  if (!Callbacks.NeedsHelpers())
    return;
  wire::BeliefMessage Question;
  Question.AsksReach = true;
  for (const HostId &To : Spread.askedForReach(Others.Routers()))
    Link.send(To, PayloadKind::Beliefs, Question);
}

void BeliefExchange::tick() {
  TickTimer =
      Loop.at(steadyNow() + BeliefSpread::TickInterval, [this] { tick(); });
  askForReach();
  Beliefs All = Callbacks.Everything();
  Observed(All);
  BeliefSpread::Due Due = Spread.tick(Others.Routers(), !All.empty(),
                                      steadyNow(), Others.Keepers());
  if (!Due.Summary.empty()) {
    wire::BeliefMessage Summary = toWire(All, steadyNow());
    for (const HostId &To : Due.Summary)
      Link.send(To, PayloadKind::Beliefs, Summary);
  }
  sendSets(Due.KeeperSummary, All.Crashes.Quarantined);
  wire::BeliefMessage Question;
  Question.Asks = true;
  for (const HostId &To : Due.Question)
    Link.send(To, PayloadKind::Beliefs, Question);
  for (const HostId &To : Due.KeeperQuestion)
    Link.send(To, PayloadKind::Beliefs, Question);
}

void BeliefExchange::receive(const HostId &From,
                             const wire::BeliefMessage &Message) {
  if (!Message.CapQuestions.empty() || !Message.CapReplies.empty())
    return receiveCaps(From, Message);
  if (Message.AsksReach) {
    routing::RouterReach Own = Callbacks.Reach();
    wire::BeliefMessage Answer;
    Answer.Reach.ReachesTargets = Own.ReachesTargets;
    Answer.Reach.PassKey = Own.PassKey;
    Answer.__isset.Reach = true;
    return Link.send(From, PayloadKind::Beliefs, Answer);
  }
  if (Message.__isset.Reach)
    return Callbacks.NoteHelper(
        From, {Message.Reach.ReachesTargets, Message.Reach.PassKey});
  if (Message.Answers)
    receiveAnswer(From, Message);
  if (Message.Asks) {
    wire::BeliefMessage Answer = toWire(Callbacks.Everything(), steadyNow());
    // Otherwise the other one asks on.
    Answer.Answers =
        Callbacks.KeepsQuarantines || Spread.isSettled(steadyNow());
    Link.send(From, PayloadKind::Beliefs, Answer);
  }
  Callbacks.Apply(fromWire(Message, steadyNow()),
                  BeliefSpread::passesOn(Others.Routers().size()));
}

void BeliefExchange::receiveAnswer(const HostId &From,
                                   const wire::BeliefMessage &Message) {
  std::vector<HostId> Keepers = Others.Keepers();
  if (std::find(Keepers.begin(), Keepers.end(), From) != Keepers.end())
    Spread.noteKeeperAnswer(From);
  else
    Spread.noteAnswer();
  observe::logEvent(observe::Severity::Info, "routed", "beliefs_answered",
                    {{"from", From},
                     {"crashes", Message.Crashes.size()},
                     {"quarantined", Message.Quarantined.size()},
                     {"limits", Message.Limits.size()}});
}

void BeliefExchange::receiveCaps(const HostId &From,
                                 const wire::BeliefMessage &Message) {
  std::vector<wire::CapReply> Replies;
  for (const wire::CapQuestion &Fields : Message.CapQuestions)
    Replies.push_back(toWire(Callbacks.Caps.Answer(fromWire(Fields))));
  if (!Replies.empty()) {
    wire::BeliefMessage Answer;
    Answer.__set_CapReplies(std::move(Replies));
    Link.send(From, PayloadKind::Beliefs, Answer);
  }
  for (const wire::CapReply &Fields : Message.CapReplies)
    Callbacks.Caps.Apply(From, fromWire(Fields));
  if (!Message.CapReplies.empty())
    sendCapQuestions();
}

void BeliefExchange::sendCapQuestions() {
  Loop.cancel(CapTimer);
  std::map<HostId, std::vector<wire::CapQuestion>> Questions;
  for (const CapHolder::Outgoing &Each : Callbacks.Caps.TakeQuestions())
    Questions[Each.To].push_back(toWire(Each.Question));
  for (auto &[To, Asked] : Questions) {
    wire::BeliefMessage Message;
    Message.__set_CapQuestions(std::move(Asked));
    Link.send(To, PayloadKind::Beliefs, Message);
  }
  Timestamp Due = Callbacks.Caps.NextDue();
  if (Due != NeverExpires)
    CapTimer = Loop.at(std::max(Due, steadyNow() + MinCapInterval),
                       [this] { sendCapQuestions(); });
}

} // namespace ferry::daemon
