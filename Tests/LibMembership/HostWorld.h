/// \file
/// Simulates hosts with Membership and Confirmation, control hosts with an
/// abstract log, and targets that announce themselves, on a lossy network in
/// virtual time.
#ifndef FERRY_TESTS_LIBMEMBERSHIP_HOSTWORLD_H
#define FERRY_TESTS_LIBMEMBERSHIP_HOSTWORLD_H

#include "LibMembership/Confirmation.h"
#include "LibMembership/Membership.h"
#include "LibWire/Codec.h"
#include "LibWire/FrameReader.h"
#include "LibWire/Generated/Peer_types.h"
#include <algorithm>
#include <functional>
#include <memory>
#include <string>

namespace ferry::test {

using namespace ferry::membership;

/// Probabilities of faults in thousandths: of a message, of a tick of a host,
/// or of an announcement of a target.
struct HostFaults {
  uint32_t Lost = 0;
  uint32_t Duplicated = 0;
  uint32_t Delayed = 0;
  uint32_t Freeze = 0;
  uint32_t Restart = 0;
  uint32_t Isolate = 0;
  uint32_t LostDisk = 0;
  uint32_t TargetFault = 0;
};

struct HostWorldOptions {
  size_t Hosts = 7;
  size_t Controls = 3;
  size_t DataCentres = 4;
  size_t Targets = 12;
  uint64_t Seed = 1;
  HostFaults Faults;
  Duration MaxIsolation = std::chrono::seconds(20);
  /// Probability of a change of the description in each step, in thousandths.
  uint32_t Change = 30;
  membership::QueryPolicy QueryPolicy = membership::QueryPolicy::Always;
  /// Adjusts each host's options.
  std::function<void(Membership::Options &)> Adjust;
  /// Whether bytes and processor time are counted.
  bool Measure = false;
};

class HostWorld {
public:
  static constexpr Duration StepLength = std::chrono::milliseconds(50);

  struct Host {
    HostId Id;
    DataCentreId DataCentre;
    std::unique_ptr<Membership> Members;
    std::unique_ptr<Confirmation> Confirm;
    uint64_t Incarnation = 0;
    Timestamp FrozenUntil;
    Timestamp DownUntil;
    Timestamp IsolatedUntil;
    std::vector<std::function<void()>> Buffered;
    /// Greatest number that was in force and confirmed on this host.
    uint64_t Used = 0;
    /// Greatest incarnation of each target that this incarnation of the host
    /// has used.
    std::map<TargetId, uint64_t> SeenIncarnations;
    // A control host's disk.
    uint64_t Logged = 0;
    uint64_t Applied = 0;
    bool Voter = true;
    // Counted only with HostWorldOptions::Measure.
    uint64_t Bytes = 0;
    uint64_t Messages = 0;
    std::chrono::nanoseconds Busy{0};
  };

  struct Target {
    TargetRecord Record;
    size_t Home = 0;
    Timestamp AnnounceAt;
    Timestamp AnnouncedAt;
    /// When it left, and until when it sends no announcements.
    Timestamp LeftAt = NeverExpires;
    Timestamp AwayUntil;
  };

  explicit HostWorld(HostWorldOptions Opts)
      : Opts(std::move(Opts)), Random(this->Opts.Seed) {
    Hosts.resize(this->Opts.Hosts);
    for (size_t Index = 0; Index < Hosts.size(); ++Index) {
      Hosts[Index].Id = {"host-" + std::to_string(Index)};
      Hosts[Index].DataCentre = {
          "dc-" + std::to_string(Index % this->Opts.DataCentres)};
    }
    for (size_t Index = 0; Index < Hosts.size(); ++Index)
      start(Index);
    Targets.resize(this->Opts.Targets);
    for (size_t Index = 0; Index < Targets.size(); ++Index)
      makeTarget(Index);
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End;) {
      Timestamp StepEnd = Now + StepLength;
      while (!Scheduled.empty() && Scheduled.begin()->first < StepEnd) {
        auto Due = Scheduled.extract(Scheduled.begin());
        Now = std::max(Now, Due.key());
        Due.mapped()();
      }
      Now = StepEnd;
      stepOnce();
    }
  }

  /// Ends all faults, so that a test can check the recovery.
  void endFaults() {
    Opts.Faults = {};
    for (Host &Each : Hosts) {
      Each.IsolatedUntil = Now;
      Each.FrozenUntil = std::min(Each.FrozenUntil, Now);
      Each.DownUntil = std::min(Each.DownUntil, Now);
    }
    for (Target &Each : Targets)
      Each.AwayUntil = std::min(Each.AwayUntil, Now);
  }

  /// Accepts a change if a quorum of voters is connected.
  /// \returns the number, or 0.
  uint64_t change() {
    std::vector<size_t> Quorum;
    size_t Leader = randomBelow(Random, Opts.Controls);
    for (size_t Index = 0; Index < Opts.Controls; ++Index)
      if (reaches(Leader, Index) && Hosts[Index].Voter &&
          Quorum.size() < quorum())
        Quorum.push_back(Index);
    bool Behind = std::any_of(Quorum.begin(), Quorum.end(), [&](size_t Index) {
      return Hosts[Index].Logged < AcceptedAt.size();
    });
    if (Quorum.size() < quorum() || Behind)
      return 0;
    uint64_t Number = AcceptedAt.size() + 1;
    if (Opts.Faults.Lost != 0 && randomBelow(Random, 5) == 0) {
      // One control host logs the change, and it is never committed.
      Hosts[Quorum.front()].Logged = Number;
      return 0;
    }
    for (size_t Index : Quorum)
      Hosts[Index].Logged = Number;
    AcceptedAt.push_back(Now);
    return Number;
  }

  /// Restarts host \p Index at once; a control host keeps its disk.
  void restart(size_t Index) { start(Index); }

  bool isUp(size_t Index) const {
    return Hosts[Index].DownUntil <= Now && Hosts[Index].FrozenUntil <= Now;
  }

  /// \returns how many hosts have \p Number in force.
  size_t inForce(uint64_t Number) const {
    return std::count_if(Hosts.begin(), Hosts.end(), [&](const Host &Each) {
      return Each.Confirm->number().Value >= Number;
    });
  }

  std::vector<std::string> Violations;
  std::vector<Host> Hosts;
  std::vector<Target> Targets;
  std::vector<Timestamp> AcceptedAt;
  Timestamp Now{std::chrono::seconds(1000)};
  size_t Uses = 0;

private:
  size_t quorum() const { return Opts.Controls / 2 + 1; }
  bool chance(uint32_t Thousandths) {
    return Thousandths != 0 && randomBelow(Random, 1000) < Thousandths;
  }

  void start(size_t Index) {
    Host &Each = Hosts[Index];
    ++Each.Incarnation;
    Each.Buffered.clear();
    Each.SeenIncarnations.clear();
    auto Options = Membership::Options::forSize(Hosts.size());
    Options.Self = Each.Id;
    Options.DataCentre = Each.DataCentre;
    Options.Incarnation = {Each.Incarnation};
    Options.Seed = Random();
    for (const Host &Other : Hosts)
      Options.Peers.push_back({Other.Id, Other.DataCentre});
    if (Opts.Adjust)
      Opts.Adjust(Options);
    Each.Members = std::make_unique<Membership>(Options);
    Confirmation::Options ConfirmOpts;
    for (size_t Control = 0; Control < Opts.Controls; ++Control)
      ConfirmOpts.ControlHosts.push_back(Hosts[Control].Id);
    ConfirmOpts.Number = {Index < Opts.Controls ? Each.Applied : 0};
    ConfirmOpts.Seed = Random();
    ConfirmOpts.QueryPolicy = Opts.QueryPolicy;
    Each.Confirm = std::make_unique<Confirmation>(ConfirmOpts);
    deliver(Index, DescriptionApplied{ConfirmOpts.Number});
    deliver(Index, LocalStanding{Standing::Serving});
  }

  void makeTarget(size_t Index) {
    Target &Each = Targets[Index];
    Each.Record.Id = {"asistente-lm-" + std::to_string(Index)};
    Each.Record.Address = "127.0.0.50:9000";
    Each.Record.DataCentre = {"dc-" + std::to_string(Index % Opts.DataCentres)};
    Each.Record.Incarnation = {1};
    Each.Record.Service = {"asistente-lm"};
    Each.Record.Model = {"asistente"};
    Each.Record.Phase = TargetPhase::Ready;
    Each.Home = randomHome(Each);
    Each.AnnounceAt = Now + std::chrono::milliseconds(randomBelow(Random, 500));
  }

  size_t randomHome(const Target &Each) {
    size_t Start = randomBelow(Random, Hosts.size());
    for (size_t Step = 0; Step < Hosts.size(); ++Step) {
      size_t Index = (Start + Step) % Hosts.size();
      if (Hosts[Index].DataCentre == Each.Record.DataCentre)
        return Index;
    }
    return Start;
  }

  bool reaches(size_t From, size_t To) const {
    if (!isUp(From) || Hosts[To].DownUntil > Now)
      return false;
    return From == To ||
           (Hosts[From].IsolatedUntil <= Now && Hosts[To].IsolatedUntil <= Now);
  }

  void post(size_t From, size_t To, const std::function<void()> &Deliver) {
    if (chance(Opts.Faults.Lost))
      return;
    size_t Copies = 1 + static_cast<size_t>(chance(Opts.Faults.Duplicated));
    for (size_t Copy = 0; Copy < Copies; ++Copy) {
      uint64_t MaxDelay = chance(Opts.Faults.Delayed) ? 6'000'000 : 3000;
      Duration Delay(500 + static_cast<int64_t>(randomBelow(Random, MaxDelay)));
      uint64_t ReceiverIncarnation = Hosts[To].Incarnation;
      Scheduled.emplace(Now + Delay,
                        [this, From, To, ReceiverIncarnation, Deliver] {
                          // A restart of the receiver ends the connection and
                          // drops the message.
                          if (Hosts[To].Incarnation != ReceiverIncarnation ||
                              Hosts[To].DownUntil > Now)
                            return;
                          bool Isolated = Hosts[From].IsolatedUntil > Now ||
                                          Hosts[To].IsolatedUntil > Now;
                          if (Isolated && From != To)
                            return;
                          if (Hosts[To].FrozenUntil > Now)
                            Hosts[To].Buffered.push_back(Deliver);
                          else
                            Deliver();
                        });
    }
  }

  template <typename MessageType>
  void count(size_t Index, const MessageType &Message) {
    if (!Opts.Measure)
      return;
    wire::Envelope Envelope;
    Envelope.ClusterId = "cluster";
    Envelope.GroupId = 1;
    Envelope.SenderIncarnation = 1'700'000'000'000;
    Envelope.Kind = wire::PayloadKind::Membership;
    Envelope.Payload = wire::encode(Message);
    Hosts[Index].Bytes += wire::frame(wire::encode(Envelope)).size();
    ++Hosts[Index].Messages;
  }

  size_t indexOf(const HostId &Id) const {
    return std::stoul(Id.Value.substr(5));
  }

  template <typename CallableType> auto timed(size_t Index, CallableType Call) {
    if (!Opts.Measure)
      return Call();
    auto Start = std::chrono::steady_clock::now();
    auto Result = Call();
    Hosts[Index].Busy += std::chrono::steady_clock::now() - Start;
    return Result;
  }

  void deliver(size_t Index, const MembershipEvent &Event) {
    Host &Each = Hosts[Index];
    auto Effects = timed(Index, [&] { return Each.Members->step(Event, Now); });
    for (auto &Effect : Effects) {
      if (auto *Send = std::get_if<MembershipSend>(&Effect)) {
        count(Index, Send->Message);
        size_t To = indexOf(Send->To);
        post(Index, To, [this, To, From = Each.Id, Message = Send->Message] {
          deliver(To, MembershipReceived{From, Message});
        });
      }
      if (auto *Newer = std::get_if<NewerDescriptionSeen>(&Effect))
        deliver(Index, ConfirmationNumberSeen{Newer->Number, Newer->From});
      if (auto *Received = std::get_if<ConfirmationReceived>(&Effect))
        deliver(Index, ConfirmationRelayed{Received->Number, Received->AsOf,
                                           Received->From});
    }
  }

  void deliver(size_t Index, const ConfirmationEvent &Event) {
    Host &Each = Hosts[Index];
    auto Effects = timed(Index, [&] { return Each.Confirm->step(Event, Now); });
    for (auto &Effect : Effects) {
      if (auto *Ask = std::get_if<ConfirmationSend>(&Effect))
        sendQuery(Index, indexOf(Ask->To), Ask->Query);
      if (auto *Fetch = std::get_if<FetchDescription>(&Effect))
        sendFetch(Index, indexOf(Fetch->From));
    }
  }

  void sendQuery(size_t From, size_t To, const wire::ConfirmationQuery &Query) {
    count(From, Query);
    post(From, To, [this, From, To, Query] {
      auto Answer = answerQuery(Query, {Hosts[To].Logged}, Hosts[To].Voter);
      count(To, Answer);
      post(To, From, [this, From, To, Answer] {
        deliver(From, ConfirmationAnswered{Hosts[To].Id, Answer});
      });
    });
  }

  void sendFetch(size_t From, size_t To) {
    post(From, To, [this, From, To] {
      // Hosts send committed descriptions only.
      uint64_t Number = To < Opts.Controls ? Hosts[To].Applied
                                           : Hosts[To].Confirm->number().Value;
      post(To, From, [this, From, Number] {
        if (Number <= Hosts[From].Confirm->number().Value)
          return;
        deliver(From, ConfirmationApplied{{Number}});
        deliver(From, DescriptionApplied{{Number}});
      });
    });
  }

  void stepOnce() {
    if (chance(Opts.Change))
      change();
    for (size_t Index = 0; Index < Opts.Controls; ++Index)
      syncLog(Index);
    for (size_t Index = 0; Index < Hosts.size(); ++Index)
      stepHost(Index);
    for (Target &Each : Targets)
      stepTarget(Each);
    for (size_t Index = 0; Index < Hosts.size(); ++Index)
      if (isUp(Index))
        check(Index);
  }

  /// Updates a control host's log from a connected quorum.
  void syncLog(size_t Index) {
    Host &Each = Hosts[Index];
    size_t Connected = 0;
    uint64_t Greatest = 0;
    for (size_t Other = 0; Other < Opts.Controls; ++Other) {
      if (!reaches(Index, Other) || !isUp(Other) || !Hosts[Other].Voter)
        continue;
      ++Connected;
      Greatest = std::max(Greatest, Hosts[Other].Logged);
    }
    // A learner needs longer, because it fetches the whole log.
    if (!isUp(Index) || Connected < quorum() || chance(Each.Voter ? 300 : 980))
      return;
    // Entries that no quorum has were never committed and are truncated.
    Greatest = std::min<uint64_t>(Greatest, AcceptedAt.size());
    Each.Logged = Greatest;
    Each.Voter = true;
    if (Each.Applied < Greatest) {
      Each.Applied = Greatest;
      deliver(Index, ConfirmationApplied{{Greatest}});
      deliver(Index, DescriptionApplied{{Greatest}});
    }
  }

  Duration span(Duration Longest) {
    return Duration(static_cast<int64_t>(
        randomBelow(Random, static_cast<uint64_t>(Longest.count()))));
  }

  void stepHost(size_t Index) {
    Host &Each = Hosts[Index];
    const HostFaults &Faults = Opts.Faults;
    if (chance(Faults.Isolate))
      Each.IsolatedUntil = Now + span(Opts.MaxIsolation);
    if (!isUp(Index))
      return;
    if (chance(Faults.Freeze))
      Each.FrozenUntil = Now + span(std::chrono::seconds(10));
    if (chance(Faults.Restart)) {
      Each.DownUntil = Now + span(std::chrono::seconds(3));
      start(Index);
    }
    if (Index < Opts.Controls && chance(Faults.LostDisk))
      loseDisk(Index);
    if (!isUp(Index))
      return;
    for (auto &Deliver : std::exchange(Each.Buffered, {}))
      Deliver();
    deliver(Index, ConfirmationTick{});
    deliver(Index, LocalConfirmed{Each.Confirm->number(),
                                  Each.Confirm->confirmedAsOf()});
    deliver(Index, MembershipTick{});
  }

  /// Loses the disk of a control host, if the other voters still form a quorum
  /// that has all accepted changes.
  void loseDisk(size_t Index) {
    size_t Complete = 0;
    for (size_t Other = 0; Other < Opts.Controls; ++Other)
      Complete += Other != Index && Hosts[Other].Voter &&
                  Hosts[Other].Logged >= AcceptedAt.size();
    if (Complete < quorum())
      return;
    Hosts[Index].Logged = 0;
    Hosts[Index].Applied = 0;
    Hosts[Index].Voter = false;
    start(Index);
  }

  void stepTarget(Target &Each) {
    if (Each.AwayUntil > Now || Each.AnnounceAt > Now)
      return;
    TargetRecord &Record = Each.Record;
    if (Record.Phase == TargetPhase::Leaving ||
        Each.AwayUntil > Each.AnnouncedAt)
      restartTarget(Each);
    Each.AnnounceAt = Now + std::chrono::milliseconds(500);
    if (chance(Opts.Faults.TargetFault))
      injectFault(Each);
    if (Each.AwayUntil > Now && Record.Phase != TargetPhase::Leaving)
      return;
    ++Record.Sequence;
    Record.Load.RunningRequests = static_cast<uint32_t>(randomBelow(Random, 8));
    announce(Each);
  }

  void announce(Target &Each) {
    Host &Home = Hosts[Each.Home];
    size_t Index = Each.Home;
    if (!isUp(Index) || Home.IsolatedUntil > Now) {
      // A target that gets no answer tries another host.
      Each.Home = randomBelow(Random, Hosts.size());
      Each.AnnounceAt = Now + std::chrono::milliseconds(100);
    }
    if (Home.DownUntil > Now || Home.IsolatedUntil > Now)
      return;
    Each.AnnouncedAt = Now;
    auto Deliver = [this, Index, Record = Each.Record] {
      deliver(Index, TargetAnnounced{Record});
    };
    if (isUp(Index))
      Deliver();
    else
      Home.Buffered.push_back(Deliver);
  }

  void restartTarget(Target &Each) {
    Each.Record.Phase = TargetPhase::Ready;
    Each.LeftAt = NeverExpires;
    Each.Record.Incarnation.Value += 1;
    Each.Record.Sequence = 0;
  }

  void injectFault(Target &Each) {
    switch (randomBelow(Random, 4)) {
    case 0:
      Each.Record.Phase = TargetPhase::Leaving;
      Each.LeftAt = Now;
      Each.AwayUntil = Now + std::chrono::seconds(5);
      break;
    case 1:
      Each.AwayUntil = Now + span(std::chrono::seconds(8));
      break;
    case 2:
      Each.Home = randomBelow(Random, Hosts.size());
      break;
    default:
      restartTarget(Each);
    }
  }

  void check(size_t Index) {
    Host &Each = Hosts[Index];
    if (Each.Confirm->isConfirmed(Now)) {
      uint64_t Number = Each.Confirm->number().Value;
      ++Uses;
      bool Old = AcceptedAt.size() > Number &&
                 AcceptedAt[Number] + std::chrono::seconds(3) <= Now;
      if (Old)
        Violations.push_back(Each.Id.Value + " uses an old number");
      if (Number < Each.Used)
        Violations.push_back(Each.Id.Value + " returned to an older number");
      Each.Used = std::max(Each.Used, Number);
    }
    if (Opts.Measure)
      return;
    for (const TargetRecord &Record : Each.Members->targets(Now))
      checkTarget(Each, Record);
  }

  void checkTarget(Host &Each, const TargetRecord &Record) {
    static constexpr Duration Slack = std::chrono::milliseconds(5);
    const Target &Actual = Targets[std::stoul(Record.Id.Value.substr(13))];
    ++Uses;
    auto AddViolation = [&](const char *What) {
      Violations.push_back(Each.Id.Value + " uses a target that " + What);
    };
    Timestamp Oldest = Now - std::chrono::seconds(3) - Slack;
    bool SameIncarnation = Record.Incarnation == Actual.Record.Incarnation;
    if (SameIncarnation && Actual.AnnouncedAt < Oldest)
      AddViolation("is silent");
    if (SameIncarnation && Actual.LeftAt < Oldest)
      AddViolation("left");
    if (!SameIncarnation && Actual.Record.Sequence > 0 &&
        Actual.AnnouncedAt < Oldest)
      AddViolation("has restarted");
    uint64_t &Seen = Each.SeenIncarnations[Record.Id];
    if (Record.Incarnation.Value < Seen)
      AddViolation("is of an earlier incarnation than before");
    Seen = std::max(Seen, Record.Incarnation.Value);
  }

  HostWorldOptions Opts;
  RandomGenerator Random;
  std::multimap<Timestamp, std::function<void()>> Scheduled;
};

} // namespace ferry::test

#endif
