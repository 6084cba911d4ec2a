/// \file
/// Routers that admit requests of workspaces with caps, in virtual time.
#ifndef FERRY_LIBADMISSION_CAPFLEET_H
#define FERRY_LIBADMISSION_CAPFLEET_H

#include "LibAdmission/CapHolder.h"
#include "LibAdmission/CapOwner.h"
#include "LibCore/Random.h"
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace ferry::admission {

/// How the routers of a fleet share the caps.
enum class CapWay : uint8_t {
  /// As built: leases from one owner.
  Leases,
  /// Each router has a bucket with an equal share, for comparison.
  EqualShares,
  /// Each router has a bucket with the whole cap, from which it takes the use
  /// of
  /// all others as told each 100 ms; for comparison. No message is lost or
  /// late.
  DigestedUse,
};

/// Messages take 1 to 10 ms, and 3 of 100 are lost.
class CapFleet {
public:
  static constexpr Timestamp Start{std::chrono::seconds(10'000)};
  static constexpr double WindowSeconds = 8;
  static constexpr double Overage = 0.1;
  static constexpr double Slack = 190'000;

  /// A workspace and the requests of its callers.
  struct Workspace {
    WorkspaceId Id;
    config::WorkspaceCap Cap;
    /// Tokens a second, now.
    double Load = 0;
    /// The routers that its callers use; empty for all.
    std::vector<size_t> Entries;
    /// A token bucket in one place, which decides what is owed.
    double ReferenceLevel = 0;
    Timestamp ReferenceFilledAt = Start;
    double Offered = 0;
    double Owed = 0;
    double AdmittedUnits = 0;
    /// What was admitted, for the check of windows.
    std::vector<std::pair<Timestamp, double>> Sent;
  };

  /// All routers start together and know nothing.
  CapFleet(size_t RouterCount, size_t WorkspaceCount, uint64_t Seed,
           CapWay Way = CapWay::Leases)
      : Way(Way), Random(Seed) {
    CapsByWorkspace Caps;
    for (size_t Index = 0; Index < WorkspaceCount; ++Index) {
      // Few large workspaces, many small ones.
      double Rate = Index == 0 ? 1'900'000
                    : Index <= 2
                        ? 600'000
                        : 47'000 + double(randomBelow(Random, 100'000));
      Workspace New{{"workspace-" + std::to_string(Index)},
                    {Rate, Rate, config::CapUnit::Tokens, 383},
                    0,
                    {},
                    // As much as a new owner has.
                    Rate / 4,
                    Start,
                    0,
                    0,
                    0,
                    {}};
      // A workspace may request 7.5 times its usual load, above its cap.
      New.Load = Rate * 0.2;
      Caps[New.Id] = New.Cap;
      Workspaces.push_back(std::move(New));
    }
    for (size_t Index = 0; Index < RouterCount; ++Index)
      Hosts.push_back({"10.0.0." + std::to_string(Index)});
    for (size_t Index = 0; Index < RouterCount; ++Index) {
      Numbers[Hosts[Index]] = Index;
      Routers.push_back(std::make_unique<Router>());
      AllCaps = Caps;
      begin(Index);
    }
    for (size_t Index = 0; Index < WorkspaceCount; ++Index)
      scheduleRequest(Index);
    if (Way == CapWay::DigestedUse)
      at(Start, [this] { exchangeDigests(); });
  }

  void at(Timestamp When, std::function<void()> Work) {
    Scheduled.emplace(When, std::move(Work));
  }

  void runUntil(Timestamp End) {
    // Requests of the last moment would still wait for their decisions.
    ArrivalsEnd = End - std::chrono::milliseconds(200);
    while (!Scheduled.empty() && Scheduled.begin()->first <= End) {
      auto Due = Scheduled.extract(Scheduled.begin());
      Now = Due.key();
      Due.mapped()();
    }
    Now = End;
  }

  size_t ownerOf(size_t WorkspaceIndex) const {
    return Numbers.at(*capOwnerOf(Workspaces[WorkspaceIndex].Id, Hosts));
  }

  size_t randomRouter() { return randomBelow(Random, Routers.size()); }

  /// The callers of a workspace move to two routers that serve.
  void moveCallers(size_t WorkspaceIndex) {
    Workspaces[WorkspaceIndex].Entries = {servingRouter(), servingRouter()};
  }

  /// \p Units come in requests of the usual sizes within 100 ms.
  void burst(size_t WorkspaceIndex, double Units) {
    while (Units > 0) {
      double Size = randomSize();
      Units -= Size;
      at(Now + Duration(static_cast<int64_t>(randomBelow(Random, 100'000))),
         [this, WorkspaceIndex, Size] { request(WorkspaceIndex, Size); });
    }
  }

  void kill(size_t Index) {
    Routers[Index]->Alive = false;
    ++Routers[Index]->Life;
  }

  /// Starts a router that knows nothing.
  void begin(size_t Index) {
    uint64_t Life = Routers[Index]->Life;
    Routers[Index] = std::make_unique<Router>();
    Router &New = *Routers[Index];
    New.Life = Life + 1;
    New.Owner.setCaps(AllCaps, Now);
    New.Holder.setCaps(AllCaps, Now);
    New.Holder.setLocalOwner(&New.Owner);
    setView(Index, Hosts);
  }

  void setView(size_t Index, const std::vector<HostId> &Serving) {
    Routers[Index]->Owner.setRouters(Hosts[Index], Serving, Now);
    Routers[Index]->Holder.setRouters(Hosts[Index], Serving, Now);
    pump(Index);
  }

  void setViewAlone(size_t Index) { setView(Index, {Hosts[Index]}); }
  void setViewOfAll(size_t Index) { setView(Index, Hosts); }

  /// All other routers notice within a second from \p From that one is gone.
  void setViewsWithout(size_t Gone, Timestamp From) {
    setViews(Gone, hostsWithout(Gone), From);
  }
  void setViewsWithAll(size_t Back, Timestamp From) {
    setViews(Back, Hosts, From);
  }

  /// A router stops to serve and serves again; all routers, itself included,
  /// notice each within a second.
  void leave(size_t Index, Timestamp From, Timestamp Until) {
    setViews(Routers.size(), hostsWithout(Index), From);
    setViews(Routers.size(), Hosts, Until);
  }

  void setCutOff(size_t Index, bool IsCutOff) {
    Routers[Index]->CutOff = IsCutOff;
  }

  /// Messages and requests that arrive in the meantime are read at the end.
  void freeze(size_t Index, Duration Span) {
    Routers[Index]->FrozenUntil = Now + Span;
  }

  /// \returns the greatest share of the allowed units of any window that a
  /// workspace used.
  double worstWindow() const {
    double Worst = 0;
    for (const Workspace &Each : Workspaces) {
      double Allowed = (Each.Cap.PerSecond * WindowSeconds + Each.Cap.Burst) *
                           (1 + Overage) +
                       Slack;
      double Sum = 0;
      auto First = Each.Sent.begin();
      for (const auto &[Time, Units] : Each.Sent) {
        Sum += Units;
        for (; Time - First->first > std::chrono::seconds(8); ++First)
          Sum -= First->second;
        Worst = std::max(Worst, Sum / Allowed);
      }
    }
    return Worst;
  }

  static bool isBelowCap(const Workspace &Subject) {
    return Subject.Owed >= Subject.Offered;
  }

  /// \returns the share of what is owed to the workspaces below their caps, all
  /// together, that was admitted.
  double admittedBelowCaps() const {
    double Owed = 0;
    double AdmittedUnits = 0;
    for (const Workspace &Each : Workspaces)
      if (isBelowCap(Each)) {
        Owed += Each.Owed;
        AdmittedUnits += Each.AdmittedUnits;
      }
    return Owed > 0 ? AdmittedUnits / Owed : 1;
  }

  /// \returns the share of what is owed that a workspace got.
  double admittedOf(size_t WorkspaceIndex) const {
    const Workspace &Subject = Workspaces[WorkspaceIndex];
    return Subject.Owed > 0 ? Subject.AdmittedUnits / Subject.Owed : 1;
  }

  double meanBytesPerSecond() const {
    double Sum = 0;
    for (const auto &Each : Routers)
      Sum += double(Each->Bytes);
    return Sum / double(Routers.size()) / secondsSinceStart();
  }
  double greatestBytesPerSecond() const {
    uint64_t Greatest = 0;
    for (const auto &Each : Routers)
      Greatest = std::max(Greatest, Each->Bytes);
    return double(Greatest) / secondsSinceStart();
  }
  uint64_t fallbacks() const {
    uint64_t Sum = 0;
    for (const auto &Each : Routers)
      for (const CapStatus &Status : Each->Holder.status(Now))
        Sum += Status.Fallbacks;
    return Sum;
  }

  std::vector<Workspace> Workspaces;
  Timestamp Now = Start;
  uint64_t Requests = 0;
  /// The longest time that a request waited for a decision.
  Duration LongestWait{};

private:
  struct Pending {
    size_t WorkspaceIndex = 0;
    double Units = 0;
    Timestamp Since;
  };
  struct Router {
    CapTolerance Tolerance{WindowSeconds, Overage, Slack};
    CapOwner Owner{Tolerance};
    CapHolder Holder{Tolerance};
    std::unordered_map<uint64_t, Pending> Waiting;
    bool Alive = true;
    bool CutOff = false;
    Timestamp FrozenUntil = Start;
    Timestamp DueAt = NeverExpires;
    uint64_t Life = 0;
    uint64_t Bytes = 0;
    struct Share {
      double Level = 0;
      Timestamp FilledAt = Start;
      bool Known = false;
      double Use = 0;
    };
    std::map<size_t, Share> Shares;
  };

  double secondsSinceStart() const {
    return double((Now - Start).count()) / 1e6;
  }

  bool serves(size_t Index) const {
    return Routers[Index]->Alive && Routers[Index]->FrozenUntil <= Now;
  }

  size_t servingRouter() {
    size_t Index = randomRouter();
    while (!serves(Index))
      Index = randomRouter();
    return Index;
  }

  /// A tenth of the prompts is long.
  double randomSize() { return randomBelow(Random, 10) == 0 ? 17'044 : 392; }

  void scheduleRequest(size_t WorkspaceIndex) {
    static constexpr double MeanSize = 0.1 * 17'044 + 0.9 * 392;
    double Load = Workspaces[WorkspaceIndex].Load;
    double PerSecond = std::max(0.05, Load / MeanSize);
    double Gap = std::exponential_distribution<double>(PerSecond)(Random);
    at(Now + Duration(1 + static_cast<int64_t>(Gap * 1e6)),
       [this, WorkspaceIndex] {
         if (Workspaces[WorkspaceIndex].Load > 0)
           request(WorkspaceIndex, randomSize());
         scheduleRequest(WorkspaceIndex);
       });
  }

  void request(size_t WorkspaceIndex, double Units) {
    if (Now > ArrivalsEnd)
      return;
    ++Requests;
    const Workspace &Subject = Workspaces[WorkspaceIndex];
    size_t Index =
        Subject.Entries.empty()
            ? servingRouter()
            : Subject.Entries[randomBelow(Random, Subject.Entries.size())];
    if (!Routers[Index]->Alive)
      Index = servingRouter();
    arrive(Index, WorkspaceIndex, Units);
  }

  void arrive(size_t Index, size_t WorkspaceIndex, double Units) {
    Router &Entry = *Routers[Index];
    if (Entry.FrozenUntil > Now) {
      at(Entry.FrozenUntil, [this, Index, WorkspaceIndex, Units] {
        arrive(Index, WorkspaceIndex, Units);
      });
      return;
    }
    offerReference(Workspaces[WorkspaceIndex], Units);
    if (Way != CapWay::Leases) {
      if (admitByShare(Entry, WorkspaceIndex, Units))
        noteSent(WorkspaceIndex, Units);
      return;
    }
    CapAnswer Answer =
        Entry.Holder.admit(Workspaces[WorkspaceIndex].Id, Units, Now);
    if (Answer.Decision == CapDecision::Admitted)
      noteSent(WorkspaceIndex, Units);
    if (Answer.Decision == CapDecision::Awaiting)
      Entry.Waiting[Answer.Ticket] = {WorkspaceIndex, Units, Now};
    pump(Index);
  }

  std::vector<HostId> hostsWithout(size_t Index) const {
    std::vector<HostId> Others = Hosts;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Index));
    return Others;
  }

  /// Counts what a bucket in one place would admit.
  void offerReference(Workspace &Subject, double Units) {
    double Since = double((Now - Subject.ReferenceFilledAt).count()) / 1e6;
    Subject.ReferenceFilledAt = Now;
    Subject.ReferenceLevel =
        std::min(Subject.Cap.Burst,
                 Subject.ReferenceLevel + Since * Subject.Cap.PerSecond);
    Subject.Offered += Units;
    if (Subject.ReferenceLevel >= Units) {
      Subject.ReferenceLevel -= Units;
      Subject.Owed += Units;
    }
  }

  bool admitByShare(Router &Entry, size_t WorkspaceIndex, double Units) {
    const config::WorkspaceCap &Cap = Workspaces[WorkspaceIndex].Cap;
    double Part = Way == CapWay::EqualShares ? 1 / double(Routers.size()) : 1;
    double Depth = (Cap.Burst * (1 + Overage / 2) + Slack / 2) * Part;
    Router::Share &Share = Entry.Shares[WorkspaceIndex];
    double Since = double((Now - Share.FilledAt).count()) / 1e6;
    Share.FilledAt = Now;
    if (!std::exchange(Share.Known, true))
      Share.Level = Depth;
    Share.Level =
        std::min(Depth, Share.Level + Since * Cap.PerSecond * 1.05 * Part);
    if (Share.Level <= 0)
      return false;
    Share.Level -= Units;
    Share.Use += Units;
    return true;
  }

  /// Takes the use of all other routers from the bucket of each one. A message
  /// counts 20 bytes and 24 for each workspace that was used.
  void exchangeDigests() {
    std::map<size_t, double> Total;
    for (auto &Each : Routers)
      for (auto &[Index, Share] : Each->Shares)
        Total[Index] += Share.Use;
    for (auto &Each : Routers) {
      size_t Used = 0;
      for (auto &[Index, Sum] : Total) {
        Router::Share &Share = Each->Shares[Index];
        Share.Level -= Sum - Share.Use;
        Used += Share.Use > 0;
        Share.Use = 0;
      }
      // To a relay, which sends the sums to all.
      Each->Bytes += 20 + Used * 24;
    }
    at(Now + std::chrono::milliseconds(100), [this] { exchangeDigests(); });
  }

  void noteSent(size_t WorkspaceIndex, double Units) {
    Workspaces[WorkspaceIndex].AdmittedUnits += Units;
    Workspaces[WorkspaceIndex].Sent.emplace_back(Now, Units);
  }

  /// Sends what is due and notes what is decided.
  void pump(size_t Index) {
    Router &Subject = *Routers[Index];
    if (!serves(Index))
      return;
    for (const CapHolder::Outgoing &Due : Subject.Holder.takeQuestions(Now))
      post(Index, Numbers.at(Due.To), Due.Question.Workspace,
           [this, Index, To = Numbers.at(Due.To), Question = Due.Question] {
             CapReply Reply = Routers[To]->Owner.answer(Question, Now);
             post(To, Index, Reply.Workspace, [this, Index, To, Reply] {
               Routers[Index]->Holder.apply(Hosts[To], Reply, Now);
               pump(Index);
             });
           });
    for (const auto &[Ticket, Answer] : Subject.Holder.takeSettled(Now)) {
      auto Found = Subject.Waiting.find(Ticket);
      // A frozen router decides nothing.
      if (Subject.FrozenUntil < Found->second.Since)
        LongestWait = std::max(LongestWait, Now - Found->second.Since);
      if (Answer.Decision == CapDecision::Admitted)
        noteSent(Found->second.WorkspaceIndex, Found->second.Units);
      Subject.Waiting.erase(Found);
    }
    Timestamp Due = std::max(Subject.Holder.nextDue(), Now + Duration(1));
    if (Due >= Subject.DueAt || Due == NeverExpires)
      return;
    Subject.DueAt = Due;
    at(Due, [this, Index, Due, Life = Subject.Life] {
      Router &Woken = *Routers[Index];
      if (Woken.Life != Life || Woken.DueAt != Due)
        return;
      Woken.DueAt = NeverExpires;
      if (Woken.FrozenUntil > Now)
        at(Woken.FrozenUntil, [this, Index] { pump(Index); });
      else
        pump(Index);
    });
  }

  void post(size_t From, size_t To, const WorkspaceId &Id,
            std::function<void()> Receive) {
    Routers[From]->Bytes += 48 + Id.Value.size();
    bool IsLost = randomBelow(Random, 100) < 3;
    if (IsLost || Routers[From]->CutOff)
      return;
    auto Delay = std::chrono::microseconds(1000 + randomBelow(Random, 9000));
    at(Now + Delay,
       [this, To, Life = Routers[To]->Life, Receive = std::move(Receive)] {
         deliver(To, Life, Receive);
       });
  }

  void deliver(size_t To, uint64_t Life, const std::function<void()> &Receive) {
    Router &Receiver = *Routers[To];
    if (!Receiver.Alive || Receiver.Life != Life || Receiver.CutOff)
      return;
    if (Receiver.FrozenUntil > Now)
      at(Receiver.FrozenUntil,
         [this, To, Life, Receive] { deliver(To, Life, Receive); });
    else
      Receive();
  }

  void setViews(size_t Except, const std::vector<HostId> &Serving,
                Timestamp From) {
    for (size_t Index = 0; Index < Routers.size(); ++Index)
      if (Index != Except)
        at(From +
               Duration(static_cast<int64_t>(randomBelow(Random, 1'000'000))),
           [this, Index, Serving] { setView(Index, Serving); });
  }

  CapWay Way;
  Timestamp ArrivalsEnd = NeverExpires;
  RandomGenerator Random;
  CapsByWorkspace AllCaps;
  std::vector<HostId> Hosts;
  std::map<HostId, size_t> Numbers;
  std::vector<std::unique_ptr<Router>> Routers;
  std::multimap<Timestamp, std::function<void()>> Scheduled;
};

} // namespace ferry::admission

#endif
