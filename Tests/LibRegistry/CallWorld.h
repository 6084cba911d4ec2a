/// \file
/// Simulates seven routers and three control hosts in virtual time, with an
/// abstract log, a lossy network, freezes and restarts. It compares what
/// callers were answered with what ran.
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

/// Probabilities of faults, in thousandths: of a message (Lost, Duplicated,
/// Slow), or of a host or the leader in one step of the simulation (the
/// others).
struct CallFaults {
  uint32_t Lost = 50;
  uint32_t Duplicated = 100;
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
    for (Replica &Member : Replicas)
      start(Member, std::string());
    RouterHosts.resize(Routers);
    for (size_t Index = 0; Index < Routers; ++Index)
      startRouter(Index);
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End;
         Now += std::chrono::milliseconds(10))
      stepOnce();
    for (const std::string &Command : NotProposed)
      if (std::find(Log.begin(), Log.end(), Command) != Log.end())
        Violations.emplace_back(
            "a change reported as not proposed is in the log");
  }

  /// Texts of violated invariants; the test passes if there are none.
  std::vector<std::string> Violations;
  size_t TotalRuns = 0;
  size_t AnswersNotRun = 0;
  size_t AnswersUnknown = 0;
  size_t AnswersCompleted = 0;
  size_t Changes = 0;

private:
  /// One try of a caller to run its call through one router.
  struct Try {
    size_t Call = 0;
    ClaimAttempt Attempt;
    enum class Stage {
      Claiming,
      Sending,
      Ending,
      Marking
    } CurrentStage = Stage::Claiming;
    Timestamp ActAt;
    bool Sent = false;
  };
  struct Call {
    ClaimKey Key;
    uint64_t Body = 1;
    size_t Runs = 0;
    size_t Tries = 0;
    std::string Answer;
    std::set<ClaimAttempt> RunBy;
    std::set<ClaimAttempt> NotRunBy;
    bool NeverMayRun = false;
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

  /// Runs \p Deliver after a delay; by chance never or twice.
  void sendOverNetwork(const std::function<void()> &Deliver) {
    if (chance(Faults.Lost))
      return;
    Scheduled.emplace(Now + delay(), Deliver);
    if (chance(Faults.Duplicated))
      Scheduled.emplace(Now + delay(), Deliver);
  }

  void start(Replica &Member, const std::string &Snapshot) {
    Member.State = std::make_unique<Registry>(Limits);
    if (!Snapshot.empty() && !Member.State->tryRestore(Snapshot))
      Violations.emplace_back("a snapshot could not be restored");
    Member.Server = std::make_unique<RegistryServer>(*Member.State);
    Member.Proposed.clear();
    Member.Snapshot = Snapshot;
  }

  void startRouter(size_t Index) {
    Router &Host = RouterHosts[Index];
    ++Host.Incarnation;
    Host.Client = std::make_unique<RegistryClient>(
        RegistryClient::Options{ControlHosts, Random()});
    // Callers of the earlier incarnation get no answer.
    Host.Tries.clear();
    Host.Changes.clear();
    Host.Buffered.clear();
  }

  void stepOnce() {
    while (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
      auto Due = Scheduled.extract(Scheduled.begin());
      Due.mapped()();
    }
    if (chance(Faults.LeaderChange))
      Leader = randomBelow(Random, Controls);
    for (Replica &Member : Replicas)
      stepReplica(Member);
    for (size_t Index = 0; Index < Routers; ++Index)
      stepRouter(Index);
    if (chance(60))
      startTry();
    if (chance(10))
      startChange();
  }

  void stepReplica(Replica &Member) {
    if (chance(Faults.ControlRestart)) {
      // Restarts from a new snapshot or from the one of its last restart.
      std::string Start =
          chance(500) ? Member.State->snapshot() : Member.Snapshot;
      start(Member, Start);
    }
    while (Member.State->appliedIndex() < Committed && !chance(200))
      applyNext(Member);
  }

  void applyNext(Replica &Member) {
    uint64_t Index = Member.State->appliedIndex() + 1;
    std::string Answer = Member.State->apply(Index, Log[Index - 1]);
    checkReplicas(Index, Answer);
    Member.Server->step(ServerCommandApplied{Index, std::move(Answer)});
    auto ProposalIt = Member.Proposed.find(Index);
    if (ProposalIt == Member.Proposed.end())
      return;
    uint64_t Token = ProposalIt->second.first;
    Member.Proposed.erase(ProposalIt);
    // The host may lose its leadership before it learns of the commit.
    ServerEvent Result = ServerProposalCommitted{Token, Index};
    if (chance(50))
      Result = ServerProposalFailed{Token, ControlHosts[Leader]};
    handleServerEffects(Member, Member.Server->step(std::move(Result)));
  }

  void checkReplicas(uint64_t Index, const std::string &Answer) {
    auto [AnswerIt, Inserted] = AnswerAt.emplace(Index, Answer);
    if (!Inserted && AnswerIt->second != Answer)
      Violations.emplace_back("replicas gave different replies to one command");
  }

  void handleServerEffects(Replica &Member, std::vector<ServerEffect> Effects) {
    for (ServerEffect &Effect : Effects) {
      if (auto *Propose = std::get_if<ServerPropose>(&Effect))
        propose(Member, *Propose);
      if (auto *Reply = std::get_if<ServerReply>(&Effect))
        sendReply(Member, std::move(*Reply));
    }
  }

  void propose(Replica &Member, const ServerPropose &Proposal) {
    if (&Member != &Replicas[Leader]) {
      handleServerEffects(Member, Member.Server->step(ServerProposalFailed{
                                      Proposal.Token, ControlHosts[Leader]}));
      return;
    }
    Log.push_back(Proposal.Command);
    Member.Proposed[Log.size()] = {Proposal.Token, Log.size()};
    // A quorum takes 5 ms to commit.
    Scheduled.emplace(Now + std::chrono::milliseconds(5),
                      [this, Size = Log.size()] {
                        Committed = std::max<uint64_t>(Committed, Size);
                      });
  }

  void sendReply(const Replica &Member, ServerReply Reply) {
    HostId From = ControlHosts[&Member - Replicas.data()];
    size_t To = std::stoul(Reply.To.Value);
    sendOverNetwork([this, To, From, Message = Reply.Reply] {
      Router &Receiver = RouterHosts[To];
      if (Receiver.FrozenUntil > Now)
        Receiver.Buffered.push_back({From, Message});
      else
        stepClient(To, ClientReplyReceived{From, Message});
    });
  }

  void stepClient(size_t Index, ClientEvent Event) {
    for (ClientEffect &Effect :
         RouterHosts[Index].Client->step(std::move(Event), Now)) {
      if (auto *Send = std::get_if<ClientSend>(&Effect))
        sendRequest(Index, std::move(*Send));
      if (auto *End = std::get_if<ClientFinished>(&Effect))
        finish(Index, std::move(*End));
    }
  }

  void sendRequest(size_t Index, ClientSend Send) {
    size_t To = std::stoul(Send.To.Value.substr(1));
    sendOverNetwork([this, To, Index, Request = std::move(Send.Request)] {
      handleServerEffects(Replicas[To],
                          Replicas[To].Server->step(ServerRequestReceived{
                              {std::to_string(Index)}, Request}));
    });
  }

  void stepRouter(size_t Index) {
    Router &Host = RouterHosts[Index];
    if (Host.FrozenUntil > Now)
      return;
    if (chance(Faults.Freeze)) {
      Host.FrozenUntil =
          Now + std::chrono::milliseconds(randomBelow(Random, 10'000));
      return;
    }
    if (chance(Faults.Restart))
      startRouter(Index);
    for (auto &Waiting : std::exchange(Host.Buffered, {}))
      stepClient(Index, Waiting);
    stepClient(Index, ClientTick{});
    std::vector<uint64_t> Due;
    for (auto &[Id, CallerTry] : Host.Tries)
      if (CallerTry.CurrentStage == Try::Stage::Sending &&
          CallerTry.ActAt <= Now)
        Due.push_back(Id);
    for (uint64_t Id : Due)
      sendOrRelease(Index, Id);
  }

  uint64_t submit(size_t Index, Command Value) {
    Router &Host = RouterHosts[Index];
    uint64_t Id = Host.NextRequest++;
    PendingSubmits.emplace_back(
        Index, ClientSubmit{Id, std::move(Value),
                            Now + std::chrono::milliseconds(1500)});
    // Scheduled, because a step of the same client may be running now.
    Scheduled.emplace(Now, [this, Incarnation = Host.Incarnation] {
      auto [Index, Event] = std::move(PendingSubmits.front());
      PendingSubmits.pop_front();
      if (RouterHosts[Index].Incarnation == Incarnation)
        stepClient(Index, std::move(Event));
    });
    return Id;
  }

  void startTry() {
    if (Calls.empty() || chance(300)) {
      Call NewCall;
      std::string Name = std::to_string(Calls.size());
      if (chance(700)) {
        // A few keys have stamps that may be below the low-water mark already.
        int64_t Stamp =
            wallClockMillis() - static_cast<int64_t>(chance(100) * 40'000);
        Name = "t" + std::to_string(Stamp) + "-" + Name;
      }
      NewCall.Key = {{"w"}, {"s"}, Name};
      Calls.push_back(std::move(NewCall));
    }
    size_t Recent = std::min<size_t>(Calls.size(), 12);
    size_t CallIndex = chance(150)
                           ? randomBelow(Random, Calls.size())
                           : Calls.size() - 1 - randomBelow(Random, Recent);
    size_t Index = randomBelow(Random, Routers);
    Router &Host = RouterHosts[Index];
    if (Host.FrozenUntil > Now)
      return;
    ++Calls[CallIndex].Tries;
    Try NewTry;
    NewTry.Call = CallIndex;
    NewTry.Attempt = {
        {"r" + std::to_string(Index)}, {Host.Incarnation}, Host.NextAttempt++};
    uint64_t Id = submit(Index, Claim{Calls[CallIndex].Key,
                                      NewTry.Attempt,
                                      Calls[CallIndex].Body,
                                      {wallClockMillis()}});
    Host.Tries.emplace(Id, std::move(NewTry));
  }

  int64_t wallClockMillis() const {
    return 1'700'000'000'000 +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               Now.time_since_epoch())
               .count();
  }

  /// The router sends the call, or releases the claim because it cannot send.
  void sendOrRelease(size_t Index, uint64_t Id) {
    Try CallerTry = std::move(RouterHosts[Index].Tries.extract(Id).mapped());
    Call &TriedCall = Calls[CallerTry.Call];
    Command End = Release{TriedCall.Key, CallerTry.Attempt};
    CallerTry.CurrentStage = Try::Stage::Ending;
    if (!chance(200)) {
      CallerTry.Sent = true;
      // The target runs the call, whether or not the router gets the answer.
      ++TriedCall.Runs;
      ++TotalRuns;
      TriedCall.RunBy.insert(CallerTry.Attempt);
      TriedCall.Answer =
          "answer of " + std::to_string(CallerTry.Attempt.Number);
      if (TriedCall.Runs > 1)
        Violations.push_back("call ran twice: " + TriedCall.Key.Key);
      if (TriedCall.NeverMayRun)
        Violations.push_back("call ran after it was reported as expired: " +
                             TriedCall.Key.Key);
      if (TriedCall.NotRunBy.contains(CallerTry.Attempt))
        Violations.push_back(
            "call ran after its attempt was reported as not run: " +
            TriedCall.Key.Key);
      End = Complete{TriedCall.Key,
                     CallerTry.Attempt,
                     {200, "text/plain", TriedCall.Answer}};
      if (chance(200))
        End = MarkUnknown{TriedCall.Key, CallerTry.Attempt};
    }
    RouterHosts[Index].Tries.emplace(submit(Index, std::move(End)), CallerTry);
  }

  void recordNotRun(const Try &CallerTry) {
    ++AnswersNotRun;
    Call &TriedCall = Calls[CallerTry.Call];
    TriedCall.NotRunBy.insert(CallerTry.Attempt);
    if (TriedCall.RunBy.contains(CallerTry.Attempt))
      Violations.push_back("attempt reported as not run has run: " +
                           TriedCall.Key.Key);
  }

  void finish(size_t Index, ClientFinished End) {
    Router &Host = RouterHosts[Index];
    auto ChangeIt = Host.Changes.find(End.Id);
    if (ChangeIt != Host.Changes.end()) {
      checkChange(ChangeIt->second, End.Answer);
      Host.Changes.erase(ChangeIt);
      return;
    }
    auto TryIt = Host.Tries.find(End.Id);
    if (TryIt == Host.Tries.end())
      return;
    Try EndedTry = std::move(TryIt->second);
    Host.Tries.erase(TryIt);
    if (!End.Answer) {
      finishWithError(Index, std::move(EndedTry), End.Answer.error().Kind);
      return;
    }
    auto Outcome = tryOutcome<ClaimOutcome>(*End.Answer);
    if (!Outcome) {
      Violations.emplace_back("reply to a claim has the wrong type");
      return;
    }
    finishWithOutcome(Index, std::move(EndedTry), *Outcome);
  }

  void finishWithError(size_t Index, Try CallerTry, RegistryErrorKind Kind) {
    if (CallerTry.CurrentStage != Try::Stage::Claiming) {
      ++AnswersUnknown;
      return;
    }
    if (Kind == RegistryErrorKind::NotProposed) {
      recordNotRun(CallerTry);
      return;
    }
    // The claim may still commit, so the attempt is ended before the caller
    // gets an answer.
    CallerTry.CurrentStage = Try::Stage::Ending;
    Release EndAttempt{Calls[CallerTry.Call].Key, CallerTry.Attempt};
    uint64_t Id = submit(Index, EndAttempt);
    RouterHosts[Index].Tries.emplace(Id, std::move(CallerTry));
  }

  void finishWithOutcome(size_t Index, Try CallerTry,
                         const ClaimOutcome &Outcome) {
    Call &TriedCall = Calls[CallerTry.Call];
    if (std::holds_alternative<ClaimGranted>(Outcome)) {
      if (CallerTry.CurrentStage == Try::Stage::Claiming) {
        CallerTry.CurrentStage = Try::Stage::Sending;
        CallerTry.ActAt =
            Now + std::chrono::milliseconds(randomBelow(Random, 60));
        RouterHosts[Index].Tries.emplace(RouterHosts[Index].NextRequest++,
                                         CallerTry);
      } else {
        recordNotRun(CallerTry);
      }
      return;
    }
    if (auto *Completed = std::get_if<ClaimCompleted>(&Outcome)) {
      ++AnswersCompleted;
      if (TriedCall.Runs != 1 || Completed->Body != TriedCall.Answer)
        Violations.push_back("completed call has a wrong answer: " +
                             TriedCall.Key.Key);
      return;
    }
    if (auto *Held = std::get_if<ClaimHeld>(&Outcome)) {
      if (CallerTry.CurrentStage == Try::Stage::Claiming)
        markIfHolderRestarted(Index, CallerTry, *Held);
      return;
    }
    if (std::holds_alternative<ClaimReleased>(Outcome)) {
      recordNotRun(CallerTry);
      return;
    }
    bool HasNotRun = std::holds_alternative<ClaimLedgerFull>(Outcome) ||
                     std::holds_alternative<ClaimStampAhead>(Outcome);
    if (HasNotRun && TriedCall.Runs != 0)
      Violations.push_back("call refused as not run has run: " +
                           TriedCall.Key.Key);
    if (HasNotRun && CallerTry.CurrentStage == Try::Stage::Claiming)
      recordNotRun(CallerTry);
    bool NeverRunsAgain = std::holds_alternative<ClaimUnknown>(Outcome) ||
                          std::holds_alternative<ClaimExpired>(Outcome);
    // An expired call must never run from here on. An unknown one may still be
    // run by its holder.
    if (NeverRunsAgain && TriedCall.Runs == 0 &&
        std::holds_alternative<ClaimExpired>(Outcome))
      TriedCall.NeverMayRun = true;
    AnswersUnknown += NeverRunsAgain;
  }

  void markIfHolderRestarted(size_t Index, Try CallerTry,
                             const ClaimHeld &Held) {
    const ClaimAttempt &Holder = Held.Holder;
    size_t Other = std::stoul(Holder.Host.Value.substr(1));
    if (RouterHosts[Other].Incarnation == Holder.Incarnation.Value)
      return;
    CallerTry.CurrentStage = Try::Stage::Marking;
    MarkUnknown Mark{Calls[CallerTry.Call].Key, Holder};
    RouterHosts[Index].Tries.emplace(submit(Index, Mark), CallerTry);
  }

  void startChange() {
    size_t Index = randomBelow(Random, Routers);
    if (RouterHosts[Index].FrozenUntil > Now)
      return;
    ChangeDescription Change;
    if (!SubmittedChanges.empty() && chance(400)) {
      Change = SubmittedChanges[randomBelow(Random, SubmittedChanges.size())];
    } else {
      uint64_t Current = Replicas[Leader].State->greatestNumber().Value;
      // Several operators often start from the same number; some use a number
      // that does not exist yet.
      Change.Base = {Current + chance(50)};
      Change.Operation = "op" + std::to_string(SubmittedChanges.size());
      Change.Text = "text" + std::to_string(SubmittedChanges.size());
      SubmittedChanges.push_back(Change);
    }
    ++Submissions[Change.Operation];
    RouterHosts[Index].Changes.emplace(submit(Index, Change), Change);
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
      Violations.emplace_back("reply to a change has the wrong type");
      return;
    }
    if (auto *Accepted = std::get_if<ChangeAccepted>(&*Outcome)) {
      ++Changes;
      if (Accepted->Number.Value != Change.Base.Value + 1)
        Violations.push_back(
            "change accepted with a number that does not follow its base: " +
            Change.Operation);
      auto [WinnerIt, Inserted] =
          Winners.emplace(Accepted->Number.Value, Change.Operation);
      if (WinnerIt->second != Change.Operation)
        Violations.push_back("two changes accepted with one number: " +
                             Change.Operation);
      if (Refused.contains(Change.Operation))
        Violations.push_back("change accepted after a conflict: " +
                             Change.Operation);
      return;
    }
    Refused.insert(Change.Operation);
    for (auto &[Number, Operation] : Winners)
      if (Operation == Change.Operation)
        Violations.push_back("change refused after its acceptance: " +
                             Operation);
  }

  RandomGenerator Random;
  CallFaults Faults;
  LedgerLimits Limits;
  Timestamp Now{std::chrono::seconds(1000)};
  std::vector<HostId> ControlHosts;
  std::vector<Replica> Replicas;
  std::vector<Router> RouterHosts;
  size_t Leader = 0;
  std::vector<std::string> Log;
  uint64_t Committed = 0;
  std::map<uint64_t, std::string> AnswerAt;
  std::multimap<Timestamp, std::function<void()>> Scheduled;
  std::deque<std::pair<size_t, ClientSubmit>> PendingSubmits;
  std::vector<Call> Calls;
  std::vector<ChangeDescription> SubmittedChanges;
  std::map<uint64_t, std::string> Winners;
  std::set<std::string> Refused;
  /// How often each operation was submitted to a client.
  std::map<std::string, size_t> Submissions;
  /// Changes that were submitted once and reported as not proposed.
  std::vector<std::string> NotProposed;
};

} // namespace ferry::test

#endif
