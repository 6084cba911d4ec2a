#include "LibRegistry/LeaseHolder.h"
#include "LibCore/Visit.h"
#include <algorithm>
#include <limits>

namespace ferry::registry {

/// Fencing number that no lease has. An acquisition with it is refused, and the
/// refusal shows the current lease.
static constexpr uint64_t NoFencing = std::numeric_limits<uint64_t>::max();

LeaseHolder::LeaseHolder(Options Settings) : Settings(std::move(Settings)) {}

std::vector<LeaseEffect> LeaseHolder::step(const LeaseEvent &Event,
                                           Timestamp Now) {
  Effects Out;
  match(
      Event, [&](const LeaseTick &) { tick(Now, Out); },
      [&](const LeaseIntentChanged &E) { changeIntent(E.Intent, Now, Out); },
      [&](const LeaseProposalEnded &E) { receive(E, Now, Out); });
  return Out;
}

void LeaseHolder::changeIntent(LeaseIntent Intent, Timestamp Now,
                               Effects &Out) {
  if (Intent == LeaseIntent::Hold) {
    if (CurrentStage == Stage::Idle)
      CurrentStage = Stage::Watching;
    return;
  }
  bool WasOwner = CurrentStage == Stage::Owning;
  CurrentStage = Stage::Idle;
  LeaseSeen = false;
  loseLease(Out);
  if (WasOwner)
    propose(ReleaseOrderLease{Settings.Name, Settings.Host,
                              Settings.Incarnation, Lease.Fencing},
            false, Now, Out);
}

void LeaseHolder::loseLease(Effects &Out) {
  HeldUntil = {};
  if (GainReported)
    Out.emplace_back(LeaseLost{});
  GainReported = false;
}

void LeaseHolder::tick(Timestamp Now, Effects &Out) {
  if (GainReported && !isHeld(Now))
    loseLease(Out);
  if (CurrentStage == Stage::Idle || Pending || ProposeAt > Now)
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
  if (CurrentStage == Stage::Owning) {
    // Each try has a new count, so its answer shows that the log applied it
    // after it was sent.
    propose(RenewOrderLease{Settings.Name, Settings.Host, Settings.Incarnation,
                            Lease.Fencing, NextRenewal++},
            true, Now, Out);
    return;
  }
  AcquireOrderLease Acquire{
      Settings.Name, Settings.Host, Settings.Incarnation, {NoFencing}, 0};
  bool MayTake = Lease.Host.empty() || TakeoverAt <= Now;
  if (LeaseSeen && MayTake) {
    Acquire.SeenFencing = Lease.Fencing;
    Acquire.SeenRenewals = Lease.Renewals;
  }
  propose(Acquire, false, Now, Out);
}

void LeaseHolder::observeLease(const OrderLease &Current, Timestamp Now) {
  if (CurrentStage == Stage::Owning)
    CurrentStage = Stage::Watching;
  if (LeaseSeen && Lease == Current)
    return;
  Lease = Current;
  LeaseSeen = true;
  // A quarter longer than the lease, because clocks run at different rates.
  TakeoverAt = Now + Settings.Length * 5 / 4;
  // An earlier incarnation of this host, which has ended, held the lease.
  if (Lease.Host == Settings.Host)
    TakeoverAt = Now;
  // A free lease may be taken at once.
  if (Lease.Host.empty() || Lease.Host == Settings.Host)
    ProposeAt = Now;
}

void LeaseHolder::receive(const LeaseProposalEnded &Received, Timestamp Now,
                          Effects &Out) {
  if (!Pending || Pending->Token != Received.Token)
    return;
  Proposal EndedProposal = *Pending;
  Pending.reset();
  if (!Received.Outcome || CurrentStage == Stage::Idle)
    return;
  if (const auto *Refused = std::get_if<LeaseRefused>(&*Received.Outcome)) {
    observeLease(Refused->Lease, Now);
    loseLease(Out);
    return;
  }
  Lease = std::get<LeaseGranted>(*Received.Outcome).Lease;
  LeaseSeen = true;
  if (!EndedProposal.Renewal) {
    // An earlier copy of the same acquisition may have been applied long ago.
    // Only a renewal with a new count shows when the lease began.
    CurrentStage = Stage::Owning;
    NextRenewal = Lease.Renewals + 1;
    proposeNext(Now, Out);
    return;
  }
  HeldUntil = std::max(HeldUntil, EndedProposal.SentAt + Settings.Length);
  if (!GainReported && isHeld(Now)) {
    GainReported = true;
    Out.emplace_back(LeaseGained{Lease.Fencing});
  }
}

} // namespace ferry::registry
