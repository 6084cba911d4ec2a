#include "LibRegistry/LeaseHolder.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <limits>

namespace ferry::registry {

/// Names no lease that can stand, so that the answer only shows the lease.
static constexpr uint64_t NoFencing = std::numeric_limits<uint64_t>::max();

LeaseHolder::LeaseHolder(Options Settings) : Settings(std::move(Settings)) {}

std::vector<LeaseEffect> LeaseHolder::step(const LeaseEvent &Event,
                                           Timestamp Now) {
  Effects Out;
  match(
      Event, [&](const LeaseTick &) { tick(Now, Out); },
      [&](const LeaseWished &E) { wish(E.Wish, Now, Out); },
      [&](const LeaseAnswered &E) { receive(E, Now, Out); });
  return Out;
}

void LeaseHolder::wish(LeaseWish Wish, Timestamp Now, Effects &Out) {
  if (Wish == LeaseWish::Hold) {
    if (Step == Stage::Idle)
      Step = Stage::Watching;
    return;
  }
  bool Owned = Step == Stage::Owning;
  Step = Stage::Idle;
  LeaseSeen = false;
  lose(Out);
  if (Owned)
    propose(ReleaseOrderLease{Settings.Name, Settings.Host,
                              Settings.Incarnation, Lease.Fencing},
            false, Now, Out);
}

void LeaseHolder::lose(Effects &Out) {
  HeldUntil = {};
  if (Reported)
    Out.emplace_back(LeaseLost{});
  Reported = false;
}

void LeaseHolder::tick(Timestamp Now, Effects &Out) {
  if (Reported && !isHeld(Now))
    lose(Out);
  if (Step == Stage::Idle || Pending || ProposeAt > Now)
    return;
  proposeNext(Now, Out);
}

void LeaseHolder::propose(Command Request, bool Renewal, Timestamp Now,
                          Effects &Out) {
  Pending = Proposal{NextToken++, Now, Renewal};
  ProposeAt = Now + Settings.RenewInterval;
  Out.emplace_back(LeasePropose{Pending->Token, std::move(Request), ProposeAt});
}

void LeaseHolder::proposeNext(Timestamp Now, Effects &Out) {
  if (Step == Stage::Owning) {
    // A fresh count for each try: the answer to it shows that the log applied
    // it after this moment.
    propose(RenewOrderLease{Settings.Name, Settings.Host, Settings.Incarnation,
                            Lease.Fencing, NextRenewal++},
            true, Now, Out);
    return;
  }
  AcquireOrderLease Acquire{
      Settings.Name, Settings.Host, Settings.Incarnation, {NoFencing}, 0};
  bool Free = Lease.Host.empty() || TakeoverAt <= Now;
  if (LeaseSeen && Free) {
    Acquire.SeenFencing = Lease.Fencing;
    Acquire.SeenRenewals = Lease.Renewals;
  }
  propose(Acquire, false, Now, Out);
}

void LeaseHolder::watch(const OrderLease &Current, Timestamp Now) {
  if (Step == Stage::Owning)
    Step = Stage::Watching;
  if (LeaseSeen && Lease == Current)
    return;
  Lease = Current;
  LeaseSeen = true;
  // A quarter more than the lease, for clocks of different rates.
  TakeoverAt = Now + Settings.Length * 5 / 4;
  // The process that held it on this host has ended.
  if (Lease.Host == Settings.Host)
    TakeoverAt = Now;
  // A free lease needs no wait.
  if (Lease.Host.empty() || Lease.Host == Settings.Host)
    ProposeAt = Now;
}

void LeaseHolder::receive(const LeaseAnswered &Received, Timestamp Now,
                          Effects &Out) {
  if (!Pending || Pending->Token != Received.Token)
    return;
  Proposal Ended = *Pending;
  Pending.reset();
  if (!Received.Answer || Step == Stage::Idle)
    return;
  if (const auto *Refused = std::get_if<LeaseRefused>(&*Received.Answer)) {
    watch(Refused->Lease, Now);
    lose(Out);
    return;
  }
  Lease = std::get<LeaseGranted>(*Received.Answer).Lease;
  LeaseSeen = true;
  if (!Ended.Renewal) {
    // The answer may be that of an earlier try of the same acquisition, long
    // applied: only a renewal with a fresh count dates the lease.
    Step = Stage::Owning;
    NextRenewal = Lease.Renewals + 1;
    proposeNext(Now, Out);
    return;
  }
  HeldUntil = std::max(HeldUntil, Ended.SentAt + Settings.Length);
  if (!Reported && isHeld(Now)) {
    Reported = true;
    Out.emplace_back(LeaseGained{Lease.Fencing});
  }
}

} // namespace ferry::registry
