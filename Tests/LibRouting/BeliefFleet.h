/// \file
/// Routers that tell each other what they learn of prompts and targets, in
/// virtual time.
#ifndef FERRY_LIBROUTING_BELIEFFLEET_H
#define FERRY_LIBROUTING_BELIEFFLEET_H

#include "LibRouting/BeliefSpread.h"
#include "LibRouting/Beliefs.h"
#include <functional>
#include <map>
#include <memory>

namespace ferry::routing {

/// Messages take 1 to 10 ms, and some are lost. Control hosts keep what is
/// quarantined.
class BeliefFleet {
public:
  static constexpr Timestamp Start{std::chrono::seconds(10'000)};

  BeliefFleet(size_t Count, uint64_t Seed) : Random(Seed) {
    for (size_t Index = 0; Index < Count; ++Index) {
      Hosts.push_back({"10.0.0." + std::to_string(Index)});
      Numbers[Hosts.back()] = Index;
      Routers.push_back(std::make_unique<Router>(Random()));
      at(Start + Duration(static_cast<int64_t>(
                     randomBelow(Random, BeliefSpread::TickInterval.count()))),
         [this, Index] { tick(Index); });
    }
    for (size_t Index = 0; Index < Count; ++Index)
      setRouters(Index);
  }

  void addKeepers(size_t Count) {
    for (size_t Index = 0; Index < Count; ++Index) {
      KeeperIds.push_back({"10.0.1." + std::to_string(Index)});
      Numbers[KeeperIds.back()] = Index;
      Keepers.emplace_back();
    }
  }

  void at(Timestamp When, std::function<void()> Work) {
    Scheduled.emplace(When, std::move(Work));
  }

  void runUntil(Timestamp End) {
    while (!Scheduled.empty() && Scheduled.begin()->first <= End) {
      auto Due = Scheduled.extract(Scheduled.begin());
      Now = Due.key();
      Due.mapped()();
    }
    Now = End;
  }

  size_t randomRouter() { return randomBelow(Random, Routers.size()); }

  /// A request with \p Parts that crashes targets comes to a router.
  /// \returns whether it is sent to a target.
  bool crashAt(size_t Index, const PartSet &Parts) {
    PartQuarantine &Quarantine = Routers[Index]->Quarantine;
    if (Quarantine.check(Parts, Now) != PartAdmission::Admitted)
      return false;
    Quarantine.noteBroken({"i-" + std::to_string(++Crashes)}, {1},
                          {Parts, AnswerProgress::Begun, Now}, Now);
    sendNewsSoon(Index);
    return true;
  }

  /// The same request that crashes targets comes to a router, trials included.
  /// \returns whether it is sent to a target.
  bool crashByRequestAt(size_t Index, const PartSet &Ids) {
    PartQuarantine &Quarantine = Routers[Index]->Quarantine;
    PartAdmission Admission = Quarantine.check(Ids, Now);
    if (Admission == PartAdmission::Refused)
      return false;
    if (Admission == PartAdmission::Trial)
      Quarantine.beginTrial(Ids, Now);
    Quarantine.noteBroken({"i-" + std::to_string(++Crashes)}, {1},
                          {Ids, AnswerProgress::Waiting, Now}, Now);
    sendNewsSoon(Index);
    return true;
  }

  void serveAt(size_t Index, const PartSet &Parts) {
    Routers[Index]->Quarantine.noteServed(Parts, Now);
    sendNewsSoon(Index);
  }

  size_t refusing(const PartSet &Parts) {
    size_t Count = 0;
    for (auto &Each : Routers)
      Count += Each->Quarantine.check(Parts, Now) != PartAdmission::Admitted;
    return Count;
  }

  /// A router has a request for a target, which names \p PerSecond in its
  /// answer. \returns whether the request is sent.
  bool callAt(size_t Index, const TargetId &Target,
              std::optional<double> PerSecond) {
    TargetLimits &Limits = Routers[Index]->Limits;
    if (Limits.openFrom(Target, {1}, Now) > Now)
      return false;
    Limits.noteSent(Target, {1}, Now);
    at(Now + std::chrono::milliseconds(20),
       [this, Index, Target, PerSecond, SentAt = Now] {
         Routers[Index]->Limits.noteAnswer(Target, {1}, PerSecond, SentAt, Now);
         sendNewsSoon(Index);
       });
    return true;
  }

  /// \returns the number of routers that know of a limit of the target.
  size_t limiting(const TargetId &Target) const {
    size_t Count = 0;
    for (const auto &Each : Routers)
      Count += Each->Limits.isLimited(Target, {1});
    return Count;
  }

  /// A router takes \p Gone for ended; the others do not.
  void forgetRouterAt(size_t Index, size_t Gone) {
    std::vector<HostId> Known = Hosts;
    Known.erase(Known.begin() + static_cast<std::ptrdiff_t>(Gone));
    Routers[Index]->Limits.setRouters(Hosts[Index], Known, Now);
  }

  /// A router starts anew and knows nothing.
  void restart(size_t Index) {
    Routers[Index] = std::make_unique<Router>(Random());
    setRouters(Index);
  }

  /// A control host starts anew, with the sets that its disk has.
  void restartKeeper(size_t Index) {
    CrashNews OnDisk{{}, Keepers[Index].everything(Now).Quarantined};
    Keepers[Index] = PartQuarantine();
    Keepers[Index].apply(OnDisk, /*PassOn=*/false, Now);
  }

  void loseDisk(size_t Index) { Keepers[Index] = PartQuarantine(); }

  Timestamp Now = Start;
  size_t Crashes = 0;
  size_t Messages = 0;

private:
  struct Router {
    explicit Router(uint64_t Seed) : Spread(Seed) {}
    PartQuarantine Quarantine;
    TargetLimits Limits;
    BeliefSpread Spread;
    bool NewsPending = false;
  };

  void setRouters(size_t Index) {
    Routers[Index]->Quarantine.setRouters(Hosts[Index], Hosts);
    Routers[Index]->Limits.setRouters(Hosts[Index], Hosts, Now);
  }

  Beliefs beliefsOf(size_t Index) {
    Router &Subject = *Routers[Index];
    return {Subject.Quarantine.everything(Now), Subject.Limits.everything(Now)};
  }

  std::vector<HostId> others(size_t Index) const {
    std::vector<HostId> Others = Hosts;
    Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Index));
    return Others;
  }

  /// Lets \p Arrive happen after the time of a message, if it isn't lost.
  void deliver(std::function<void()> Arrive) {
    ++Messages;
    if (randomBelow(Random, 50) == 0)
      return;
    auto Delay = std::chrono::microseconds(1000 + randomBelow(Random, 9000));
    at(Now + Delay, std::move(Arrive));
  }

  void sendToKeepers(const std::vector<HostId> &To, const CrashNews &News) {
    if (News.Quarantined.empty())
      return;
    for (const HostId &Each : To)
      deliver([this, Index = Numbers.at(Each), News] {
        PartQuarantine &Keeper = Keepers[Index];
        Keeper.apply({{}, News.Quarantined}, /*PassOn=*/true, Now);
        if (Keeper.hasNews())
          sendToKeepers(KeeperSpread.keepersOfNews(KeeperIds),
                        Keeper.takeNews(Now));
      });
  }

  void askKeeper(size_t Index, const HostId &Keeper) {
    deliver([this, Index, Keeper] {
      CrashNews Kept = Keepers[Numbers.at(Keeper)].everything(Now);
      deliver([this, Index, Keeper, Kept] {
        Routers[Index]->Spread.noteKeeperAnswer(Keeper);
        Routers[Index]->Quarantine.apply(Kept, /*PassOn=*/false, Now);
      });
    });
  }

  void send(const HostId &To, const Beliefs &News, bool Answers = false) {
    deliver([this, Index = Numbers.at(To), News, Answers] {
      if (Answers)
        Routers[Index]->Spread.noteAnswer();
      bool PassOn = BeliefSpread::passesOn(Hosts.size() - 1);
      Routers[Index]->Quarantine.apply(News.Crashes, PassOn, Now);
      for (const TargetLimit &Limit : News.Limits)
        Routers[Index]->Limits.apply(Limit, PassOn, Now);
      sendNewsSoon(Index);
    });
  }

  void sendNewsSoon(size_t Index) {
    Router &Sender = *Routers[Index];
    bool HasNews = Sender.Quarantine.hasNews() || Sender.Limits.hasNews();
    if (!HasNews || std::exchange(Sender.NewsPending, true))
      return;
    at(Now + BeliefSpread::NewsDelay, [this, Index] {
      Router &Sending = *Routers[Index];
      Sending.NewsPending = false;
      Beliefs News{Sending.Quarantine.takeNews(Now), Sending.Limits.takeNews()};
      if (News.empty())
        return;
      for (const HostId &To :
           Sending.Spread.receiversOfNews(others(Index), Now))
        send(To, News);
      sendToKeepers(Sending.Spread.keepersOfNews(KeeperIds), News.Crashes);
    });
  }

  void tick(size_t Index) {
    at(Now + BeliefSpread::TickInterval, [this, Index] { tick(Index); });
    Router &Ticking = *Routers[Index];
    Beliefs All = beliefsOf(Index);
    auto Due = Ticking.Spread.tick(others(Index), !All.empty(), Now, KeeperIds);
    for (const HostId &To : Due.Summary)
      send(To, All);
    sendToKeepers(Due.KeeperSummary, All.Crashes);
    for (const HostId &Keeper : Due.KeeperQuestion)
      askKeeper(Index, Keeper);
    for (const HostId &Asked : Due.Question)
      at(Now + std::chrono::milliseconds(2),
         [this, Index, Other = Numbers.at(Asked)] {
           send(Hosts[Index], beliefsOf(Other),
                /*Answers=*/Routers[Other]->Spread.isSettled(Now));
         });
  }

  RandomGenerator Random;
  std::vector<HostId> Hosts;
  std::map<HostId, size_t> Numbers;
  std::vector<std::unique_ptr<Router>> Routers;
  std::vector<HostId> KeeperIds;
  std::vector<PartQuarantine> Keepers;
  BeliefSpread KeeperSpread{0};
  std::multimap<Timestamp, std::function<void()>> Scheduled;
};

} // namespace ferry::routing

#endif
