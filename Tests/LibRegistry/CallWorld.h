/// \file
/// Seven routers and three control hosts in virtual time, with an abstract
/// log, a lossy network, freezes and restarts, and an oracle of what callers
/// were told against what ran.
#ifndef FERRY_TESTS_LIBREGISTRY_CALLWORLD_H
#define FERRY_TESTS_LIBREGISTRY_CALLWORLD_H

#include "LibCore/Random.h"
#include "LibRegistry/RegistryClient.h"
#include "LibRegistry/RegistryServer.h"
#include <algorithm>
#include <functional>
#include <memory>
#include <set>

namespace ferry::test {

using namespace ferry::registry;

/// Chances of faults, in thousandths.
struct CallFaults {
  uint32_t Lost = 50;
  uint32_t Doubled = 100;
  uint32_t Slow = 100;
  uint32_t Freeze = 2;
  uint32_t Restart = 2;
  uint32_t ControlRestart = 3;
  uint32_t LeaderChange = 10;
};

class CallWorld {
public:
  static constexpr size_t Routers = 7;
  static constexpr size_t Controls = 3;

  CallWorld(uint64_t Seed, CallFaults Faults, LedgerLimits Limits)
      : Random(Seed), Faults(Faults), Limits(Limits) {
    for (size_t Index = 0; Index < Controls; ++Index)
      ControlHosts.push_back({"c" + std::to_string(Index)});
    Replicas.resize(Controls);
    for (Replica &Each : Replicas)
      start(Each, std::string());
    Hosts.resize(Routers);
    for (size_t Index = 0; Index < Routers; ++Index)
      startRouter(Index);
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End;
         Now += std::chrono::milliseconds(10))
      stepOnce();
    for (const std::string &Command : NotProposed)
      if (std::find(Log.begin(), Log.end(), Command) != Log.end())
        Violations.emplace_back("told 'not proposed' of a logged change");
  }

  /// Violations of the invariants, in words; empty is a pass.
  std::vector<std::string> Violations;
  size_t Ran = 0;
  size_t ToldNotRun = 0;
  size_t ToldUnknown = 0;
  size_t ToldAnswer = 0;
  size_t Changes = 0;

private:
  /// One try of a caller to have its call run through one router.
  struct Try {
    size_t Call = 0;
    ClaimAttempt Attempt;
    enum class Stage {
      Claiming,
      Sending,
      Ending,
      Marking
    } Now = Stage::Claiming;
    Timestamp ActAt;
    bool Sent = false;
  };
  struct Call {
    ClaimKey Key;
    uint64_t Body = 1;
    size_t Runs = 0;
    size_t Tries = 0;
    std::string Answer;
    std::set<ClaimAttempt> RanBy;
    std::set<ClaimAttempt> NotRunBy;
    bool RefusedForAll = false;
  };
  struct Router {
    std::unique_ptr<RegistryClient> Client;
    uint64_t Incarnation = 0;
    uint64_t NextAttempt = 1;
    uint64_t NextRequest = 1;
    Timestamp FrozenUntil;
    std::map<uint64_t, Try> Tries;
    std::map<uint64_t, ChangeDescription> Changes;
    std::vector<ClientReplyReceived> Buffered;
  };
  struct Replica {
    std::unique_ptr<Registry> State;
    std::unique_ptr<RegistryServer> Server;
    std::map<uint64_t, std::pair<uint64_t, uint64_t>> Proposed;
    std::string Snapshot;
  };

  bool chance(uint32_t Thousandths) {
    return randomBelow(Random, 1000) < Thousandths;
  }

  Duration delay() {
    uint64_t Most = chance(Faults.Slow) ? 3000 : 20;
    return std::chrono::milliseconds(1 + randomBelow(Random, Most));
  }

  /// Runs \p Deliver later, perhaps never, perhaps twice.
  void post(const std::function<void()> &Deliver) {
    if (chance(Faults.Lost))
      return;
    Later.emplace(Now + delay(), Deliver);
    if (chance(Faults.Doubled))
      Later.emplace(Now + delay(), Deliver);
  }

  void start(Replica &Each, const std::string &Snapshot) {
    Each.State = std::make_unique<Registry>(Limits);
    if (!Snapshot.empty() && !Each.State->tryRestore(Snapshot))
      Violations.emplace_back("a snapshot was refused");
    Each.Server = std::make_unique<RegistryServer>(*Each.State);
    Each.Proposed.clear();
    Each.Snapshot = Snapshot;
  }

  void startRouter(size_t Index) {
    Router &Each = Hosts[Index];
    ++Each.Incarnation;
    Each.Client = std::make_unique<RegistryClient>(
        RegistryClient::Options{ControlHosts, Random()});
    // Callers whose router went away were told nothing.
    Each.Tries.clear();
    Each.Changes.clear();
    Each.Buffered.clear();
  }

  void stepOnce() {
    while (!Later.empty() && Later.begin()->first <= Now) {
      auto Due = Later.extract(Later.begin());
      Due.mapped()();
    }
    if (chance(Faults.LeaderChange))
      Leader = randomBelow(Random, Controls);
    for (Replica &Each : Replicas)
      stepReplica(Each);
    for (size_t Index = 0; Index < Routers; ++Index)
      stepRouter(Index);
    if (chance(60))
      startTry();
    if (chance(10))
      startChange();
  }

  void stepReplica(Replica &Each) {
    if (chance(Faults.ControlRestart)) {
      // All but the newest commands may come from the snapshot.
      std::string From = chance(500) ? Each.State->snapshot() : Each.Snapshot;
      start(Each, From);
    }
    while (Each.State->appliedIndex() < Committed && !chance(200))
      applyNext(Each);
  }

  void applyNext(Replica &Each) {
    uint64_t Index = Each.State->appliedIndex() + 1;
    std::string Answer = Each.State->apply(Index, Log[Index - 1]);
    checkReplicas(Index, Answer);
    Each.Server->step(ServerCommandApplied{Index, std::move(Answer)});
    auto Found = Each.Proposed.find(Index);
    if (Found == Each.Proposed.end())
      return;
    uint64_t Token = Found->second.first;
    Each.Proposed.erase(Found);
    // The lead may be lost before the proposer hears of its commit.
    ServerEvent Result = ServerProposalCommitted{Token, Index};
    if (chance(50))
      Result = ServerProposalFailed{Token, ControlHosts[Leader]};
    take(Each, Each.Server->step(std::move(Result)));
  }

  void checkReplicas(uint64_t Index, const std::string &Answer) {
    auto [Place, Added] = AnswerAt.emplace(Index, Answer);
    if (!Added && Place->second != Answer)
      Violations.emplace_back("replicas differ");
  }

  void take(Replica &Each, std::vector<ServerEffect> Effects) {
    for (ServerEffect &Effect : Effects) {
      if (auto *Propose = std::get_if<ServerPropose>(&Effect))
        propose(Each, *Propose);
      if (auto *Reply = std::get_if<ServerReply>(&Effect))
        sendReply(Each, std::move(*Reply));
    }
  }

  void propose(Replica &Each, const ServerPropose &Proposal) {
    if (&Each != &Replicas[Leader]) {
      take(Each, Each.Server->step(ServerProposalFailed{Proposal.Token,
                                                        ControlHosts[Leader]}));
      return;
    }
    Log.push_back(Proposal.Command);
    Each.Proposed[Log.size()] = {Proposal.Token, Log.size()};
    // A commit takes a quorum's time.
    Later.emplace(Now + std::chrono::milliseconds(5),
                  [this, Size = Log.size()] {
                    Committed = std::max<uint64_t>(Committed, Size);
                  });
  }

  void sendReply(const Replica &Each, ServerReply Reply) {
    HostId From = ControlHosts[&Each - Replicas.data()];
    size_t To = std::stoul(Reply.To.Value);
    post([this, To, From, Message = Reply.Reply] {
      Router &Target = Hosts[To];
      if (Target.FrozenUntil > Now)
        Target.Buffered.push_back({From, Message});
      else
        giveClient(To, ClientReplyReceived{From, Message});
    });
  }

  void giveClient(size_t Index, ClientEvent Event) {
    for (ClientEffect &Effect :
         Hosts[Index].Client->step(std::move(Event), Now)) {
      if (auto *Send = std::get_if<ClientSend>(&Effect))
        sendRequest(Index, std::move(*Send));
      if (auto *End = std::get_if<ClientFinished>(&Effect))
        finish(Index, std::move(*End));
    }
  }

  void sendRequest(size_t Index, ClientSend Send) {
    size_t To = std::stoul(Send.To.Value.substr(1));
    post([this, To, Index, Request = std::move(Send.Request)] {
      take(Replicas[To], Replicas[To].Server->step(ServerRequestReceived{
                             {std::to_string(Index)}, Request}));
    });
  }

  void stepRouter(size_t Index) {
    Router &Each = Hosts[Index];
    if (Each.FrozenUntil > Now)
      return;
    if (chance(Faults.Freeze)) {
      Each.FrozenUntil =
          Now + std::chrono::milliseconds(randomBelow(Random, 10'000));
      return;
    }
    if (chance(Faults.Restart))
      startRouter(Index);
    for (auto &Waiting : std::exchange(Each.Buffered, {}))
      giveClient(Index, Waiting);
    giveClient(Index, ClientTick{});
    std::vector<uint64_t> Due;
    for (auto &[Id, Entry] : Each.Tries)
      if (Entry.Now == Try::Stage::Sending && Entry.ActAt <= Now)
        Due.push_back(Id);
    for (uint64_t Id : Due)
      act(Index, Id);
  }

  uint64_t submit(size_t Index, Command Value) {
    Router &Each = Hosts[Index];
    uint64_t Id = Each.NextRequest++;
    PendingSubmits.emplace_back(
        Index, ClientSubmit{Id, std::move(Value),
                            Now + std::chrono::milliseconds(1500)});
    // Not from within a step of the same client.
    Later.emplace(Now, [this, Incarnation = Each.Incarnation] {
      auto [Index, Event] = std::move(PendingSubmits.front());
      PendingSubmits.pop_front();
      if (Hosts[Index].Incarnation == Incarnation)
        giveClient(Index, std::move(Event));
    });
    return Id;
  }

  void startTry() {
    if (Calls.empty() || chance(300)) {
      Call Added;
      std::string Name = std::to_string(Calls.size());
      if (chance(700)) {
        // A few keys come back after the ledger may have forgotten them.
        int64_t Stamp = clock() - static_cast<int64_t>(chance(100) * 40'000);
        Name = "t" + std::to_string(Stamp) + "-" + Name;
      }
      Added.Key = {{"w"}, {"s"}, Name};
      Calls.push_back(std::move(Added));
    }
    size_t Recent = std::min<size_t>(Calls.size(), 12);
    size_t Which = chance(150) ? randomBelow(Random, Calls.size())
                               : Calls.size() - 1 - randomBelow(Random, Recent);
    size_t Index = randomBelow(Random, Routers);
    Router &Each = Hosts[Index];
    if (Each.FrozenUntil > Now)
      return;
    ++Calls[Which].Tries;
    Try Entry;
    Entry.Call = Which;
    Entry.Attempt = {
        {"r" + std::to_string(Index)}, {Each.Incarnation}, Each.NextAttempt++};
    uint64_t Id = submit(
        Index,
        Claim{Calls[Which].Key, Entry.Attempt, Calls[Which].Body, {clock()}});
    Each.Tries.emplace(Id, std::move(Entry));
  }

  int64_t clock() const {
    return 1'700'000'000'000 +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               Now.time_since_epoch())
               .count();
  }

  /// The router sends the call, or finds that it cannot.
  void act(size_t Index, uint64_t Id) {
    Try Entry = std::move(Hosts[Index].Tries.extract(Id).mapped());
    Call &Of = Calls[Entry.Call];
    Command Next = Release{Of.Key, Entry.Attempt};
    Entry.Now = Try::Stage::Ending;
    if (!chance(200)) {
      Entry.Sent = true;
      // The target runs what reaches it, whatever the router hears of it.
      ++Of.Runs;
      ++Ran;
      Of.RanBy.insert(Entry.Attempt);
      Of.Answer = "answer of " + std::to_string(Entry.Attempt.Number);
      if (Of.Runs > 1)
        Violations.push_back("ran twice: " + Of.Key.Key);
      if (Of.RefusedForAll)
        Violations.push_back("ran after it was told never to: " + Of.Key.Key);
      if (Of.NotRunBy.contains(Entry.Attempt))
        Violations.push_back("ran after 'not run': " + Of.Key.Key);
      Next = Complete{Of.Key, Entry.Attempt, {200, "text/plain", Of.Answer}};
      if (chance(200))
        Next = MarkUnknown{Of.Key, Entry.Attempt};
    }
    Hosts[Index].Tries.emplace(submit(Index, std::move(Next)), Entry);
  }

  void tellNotRun(const Try &Entry) {
    ++ToldNotRun;
    Call &Of = Calls[Entry.Call];
    Of.NotRunBy.insert(Entry.Attempt);
    if (Of.RanBy.contains(Entry.Attempt))
      Violations.push_back("told 'not run' of a run: " + Of.Key.Key);
  }

  void finish(size_t Index, ClientFinished End) {
    Router &Each = Hosts[Index];
    auto Change = Each.Changes.find(End.Id);
    if (Change != Each.Changes.end()) {
      checkChange(Change->second, End.Answer);
      Each.Changes.erase(Change);
      return;
    }
    auto Found = Each.Tries.find(End.Id);
    if (Found == Each.Tries.end())
      return;
    Try Entry = std::move(Found->second);
    Each.Tries.erase(Found);
    if (!End.Answer) {
      finishWithout(Index, std::move(Entry), End.Answer.error().Kind);
      return;
    }
    auto Outcome = tryOutcome<ClaimOutcome>(*End.Answer);
    if (!Outcome) {
      Violations.emplace_back("an answer of the wrong type");
      return;
    }
    finishWith(Index, std::move(Entry), *Outcome);
  }

  void finishWithout(size_t Index, Try Entry, RegistryErrorKind Kind) {
    if (Entry.Now != Try::Stage::Claiming) {
      ++ToldUnknown;
      return;
    }
    if (Kind == RegistryErrorKind::NotProposed) {
      tellNotRun(Entry);
      return;
    }
    // The claim may yet commit: it is ended before the caller hears anything.
    Entry.Now = Try::Stage::Ending;
    Release Ended{Calls[Entry.Call].Key, Entry.Attempt};
    uint64_t Id = submit(Index, Ended);
    Hosts[Index].Tries.emplace(Id, std::move(Entry));
  }

  void finishWith(size_t Index, Try Entry, const ClaimOutcome &Outcome) {
    Call &Of = Calls[Entry.Call];
    if (std::holds_alternative<ClaimGranted>(Outcome)) {
      if (Entry.Now == Try::Stage::Claiming) {
        Entry.Now = Try::Stage::Sending;
        Entry.ActAt = Now + std::chrono::milliseconds(randomBelow(Random, 60));
        Hosts[Index].Tries.emplace(Hosts[Index].NextRequest++, Entry);
      } else {
        tellNotRun(Entry);
      }
      return;
    }
    if (auto *Done = std::get_if<ClaimCompleted>(&Outcome)) {
      ++ToldAnswer;
      if (Of.Runs != 1 || Done->Body != Of.Answer)
        Violations.push_back("a wrong answer: " + Of.Key.Key);
      return;
    }
    if (auto *Held = std::get_if<ClaimHeld>(&Outcome)) {
      if (Entry.Now == Try::Stage::Claiming)
        askAboutHolder(Index, Entry, *Held);
      return;
    }
    if (std::holds_alternative<ClaimReleased>(Outcome)) {
      tellNotRun(Entry);
      return;
    }
    bool NeverRan = std::holds_alternative<ClaimLedgerFull>(Outcome) ||
                    std::holds_alternative<ClaimStampAhead>(Outcome);
    if (NeverRan && Of.Runs != 0)
      Violations.push_back("refused as not run after a run: " + Of.Key.Key);
    if (NeverRan && Entry.Now == Try::Stage::Claiming)
      tellNotRun(Entry);
    bool Never = std::holds_alternative<ClaimUnknown>(Outcome) ||
                 std::holds_alternative<ClaimExpired>(Outcome);
    // From here on it never runs, unless its one holder still does.
    if (Never && Of.Runs == 0 && std::holds_alternative<ClaimExpired>(Outcome))
      Of.RefusedForAll = true;
    ToldUnknown += Never;
  }

  void askAboutHolder(size_t Index, Try Entry, const ClaimHeld &Held) {
    const ClaimAttempt &Holder = Held.Holder;
    size_t Other = std::stoul(Holder.Host.Value.substr(1));
    if (Hosts[Other].Incarnation == Holder.Incarnation.Value)
      return;
    Entry.Now = Try::Stage::Marking;
    MarkUnknown Mark{Calls[Entry.Call].Key, Holder};
    Hosts[Index].Tries.emplace(submit(Index, Mark), Entry);
  }

  void startChange() {
    size_t Index = randomBelow(Random, Routers);
    if (Hosts[Index].FrozenUntil > Now)
      return;
    ChangeDescription Change;
    if (!Given.empty() && chance(400)) {
      Change = Given[randomBelow(Random, Given.size())];
    } else {
      uint64_t Current = Replicas[Leader].State->greatestNumber().Value;
      // Two operators often start from the same number, or a wrong one.
      Change.Base = {Current + chance(50)};
      Change.Operation = "op" + std::to_string(Given.size());
      Change.Text = "text" + std::to_string(Given.size());
      Given.push_back(Change);
    }
    ++Submissions[Change.Operation];
    Hosts[Index].Changes.emplace(submit(Index, Change), Change);
  }

  void checkChange(const ChangeDescription &Change,
                   const Result<std::string, RegistryError> &Answer) {
    if (!Answer) {
      if (Answer.error().Kind == RegistryErrorKind::NotProposed &&
          Submissions[Change.Operation] == 1)
        NotProposed.push_back(encodeCommand(Change));
      return;
    }
    auto Outcome = tryOutcome<ChangeOutcome>(*Answer);
    if (!Outcome) {
      Violations.emplace_back("a change's answer of the wrong type");
      return;
    }
    if (auto *Accepted = std::get_if<ChangeAccepted>(&*Outcome)) {
      ++Changes;
      if (Accepted->Number.Value != Change.Base.Value + 1)
        Violations.push_back("accepted out of turn: " + Change.Operation);
      auto [Place, Added] =
          Winners.emplace(Accepted->Number.Value, Change.Operation);
      if (Place->second != Change.Operation)
        Violations.push_back("two winners: " + Change.Operation);
      if (Refused.contains(Change.Operation))
        Violations.push_back("accepted after a conflict: " + Change.Operation);
      return;
    }
    Refused.insert(Change.Operation);
    for (auto &[Number, Operation] : Winners)
      if (Operation == Change.Operation)
        Violations.push_back("conflict after acceptance: " + Operation);
  }

  RandomGenerator Random;
  CallFaults Faults;
  LedgerLimits Limits;
  Timestamp Now{std::chrono::seconds(1000)};
  std::vector<HostId> ControlHosts;
  std::vector<Replica> Replicas;
  std::vector<Router> Hosts;
  size_t Leader = 0;
  std::vector<std::string> Log;
  uint64_t Committed = 0;
  std::map<uint64_t, std::string> AnswerAt;
  std::multimap<Timestamp, std::function<void()>> Later;
  std::deque<std::pair<size_t, ClientSubmit>> PendingSubmits;
  std::vector<Call> Calls;
  std::vector<ChangeDescription> Given;
  std::map<uint64_t, std::string> Winners;
  std::set<std::string> Refused;
  /// How often each operation was given to a client.
  std::map<std::string, size_t> Submissions;
  /// Changes given once, and told never to have been proposed.
  std::vector<std::string> NotProposed;
};

} // namespace ferry::test

#endif
