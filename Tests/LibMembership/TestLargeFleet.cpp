/// \file
/// Guards against hosts of a large fleet that call control hosts silent in
/// calm, and lose sight of the targets that these list.
#include "LibMembership/Membership.h"
#include <boost/test/unit_test.hpp>
#include <map>

using namespace ferry;
using namespace ferry::membership;
using namespace std::chrono_literals;

namespace {

constexpr size_t ControlHosts = 6;
constexpr size_t DataCentres = 6;
constexpr size_t TargetsOfControlHost = 27;
constexpr Duration Step = 20ms;

/// Hosts that know all control hosts as seeds. Messages take some milliseconds.
class LargeFleet {
public:
  explicit LargeFleet(size_t Count) : Random(Count) {
    for (size_t Index = 0; Index < Count; ++Index) {
      HostId Id{"10." + std::to_string(Index % DataCentres) + ".0." +
                std::to_string(Index)};
      Ids.push_back(Id);
      Membership::Options Opts;
      Opts.Self = Id;
      Opts.DataCentre = {"dc-" + std::to_string(Index % DataCentres)};
      Opts.Incarnation = {100};
      Opts.Seed = Index + 1;
      Opts.Source = HostSource::Discovered;
      Opts.Duty = Index < ControlHosts ? HostDuty::Control : HostDuty::Router;
      if (Index >= ControlHosts)
        Opts.CallerAddress = Id.Value + ":80";
      Members.emplace(Id, Membership(Opts));
    }
    for (const HostId &Id : Ids) {
      for (size_t Seed = 0; Seed < ControlHosts; ++Seed)
        if (Ids[Seed] != Id)
          deliver(Id, SeedAdded{Ids[Seed]});
      deliver(Id, LocalStanding{Standing::Serving});
    }
  }

  void run(Duration Span) {
    for (Timestamp End = Now + Span; Now < End; Now += Step) {
      while (!Scheduled.empty() && Scheduled.begin()->first <= Now) {
        auto Due = Scheduled.extract(Scheduled.begin());
        deliver(Due.mapped().To, Due.mapped().Event);
      }
      for (size_t Index = 0; Index < Ids.size(); ++Index) {
        if (Now < TickAt[Index])
          continue;
        TickAt[Index] = Now + Membership::TickInterval;
        deliver(Ids[Index], MembershipTick{});
      }
      announceTargets();
    }
  }

  /// \returns how many hosts call a control host silent now.
  size_t hostsThatMissControlHosts() const {
    size_t Count = 0;
    for (const auto &[Id, Member] : Members) {
      size_t Alive = 0;
      for (const HostState &Host : Member.hosts(Now))
        Alive +=
            Host.Duty == HostDuty::Control && Host.Standing != Standing::Silent;
      Count += Alive < ControlHosts;
    }
    return Count;
  }

  /// \returns how many of the targets a host trusts at least, of all hosts.
  size_t fewestTargets() const {
    size_t Fewest = ControlHosts * TargetsOfControlHost;
    for (const auto &[Id, Member] : Members)
      Fewest = std::min(Fewest, Member.targets(Now).size());
    return Fewest;
  }

private:
  struct Pending {
    HostId To;
    MembershipEvent Event;
  };

  void announceTargets() {
    if (Now < AnnounceAt)
      return;
    AnnounceAt = Now + 500ms;
    ++Sequence;
    for (size_t Index = 0; Index < ControlHosts * TargetsOfControlHost;
         ++Index) {
      TargetRecord Record;
      Record.Id = {"i-" + std::to_string(Index)};
      Record.Address = "10.9.0.1:80";
      Record.DataCentre = {"dc-" + std::to_string(Index % DataCentres)};
      Record.Incarnation = {1};
      Record.Service = {"lm"};
      Record.Phase = TargetPhase::Ready;
      Record.Sequence = Sequence;
      deliver(Ids[Index % ControlHosts], TargetAnnounced{Record});
    }
  }

  void deliver(const HostId &To, const MembershipEvent &Event) {
    for (auto &Effect : Members.at(To).step(Event, Now))
      if (auto *Send = std::get_if<MembershipSend>(&Effect))
        if (Members.count(Send->To) != 0)
          Scheduled.emplace(
              Now + std::chrono::milliseconds(1 + randomBelow(Random, 60)),
              Pending{Send->To, MembershipReceived{To, Send->Message}});
  }

  RandomGenerator Random;
  std::vector<HostId> Ids;
  std::map<HostId, Membership> Members;
  std::multimap<Timestamp, Pending> Scheduled;
  std::map<size_t, Timestamp> TickAt;
  Timestamp AnnounceAt;
  uint64_t Sequence = 0;
  Timestamp Now{100s};
};

} // namespace

// The first hosts that a host heard of were near, of whichever data centre, and
// took the place of near ones in the heartbeats that it told others.
BOOST_AUTO_TEST_CASE(control_hosts_are_not_called_silent_in_calm) {
  LargeFleet Fleet(297);
  Fleet.run(10s);
  size_t Missed = 0;
  size_t Fewest = ControlHosts * TargetsOfControlHost;
  for (int Round = 0; Round < 20; ++Round) {
    Fleet.run(500ms);
    Missed += Fleet.hostsThatMissControlHosts();
    Fewest = std::min(Fewest, Fleet.fewestTargets());
  }
  BOOST_TEST(Missed == 0U);
  BOOST_TEST(Fewest == ControlHosts * TargetsOfControlHost);
}
