// Requests from traffic threads to the control plane.
#include "LibCore/Visit.h"
#include "LibObserve/Log.h"
#include "ferryd/ControlPlane.h"
#include <algorithm>

namespace ferry::daemon {

using namespace registry;
using observe::Severity;
using traffic::RegistryResult;

using ClaimCallback = std::function<void(RegistryResult<ClaimOutcome>)>;

traffic::ControlPort ControlPlane::port() {
  traffic::ControlPort Port;
  auto SubmitClaim = [this](Command Request, Timestamp Deadline,
                            ClaimCallback Done) {
    Loop.post(
        [this, Request = std::move(Request), Deadline, Done = std::move(Done)] {
          Gateway->submitFor<ClaimOutcome>(Request, Deadline, Done);
        });
  };
  Port.Claim = [SubmitClaim](ClaimKey Key, ClaimAttempt Attempt,
                             uint64_t Digest, Timestamp Deadline,
                             ClaimCallback Done) {
    SubmitClaim(Claim{Key, Attempt, Digest, unixNow()}, Deadline, Done);
  };
  Port.Complete = [SubmitClaim](ClaimKey Key, ClaimAttempt Attempt,
                                ClaimCompleted Answer, Timestamp Deadline,
                                ClaimCallback Done) {
    SubmitClaim(Complete{Key, Attempt, std::move(Answer)}, Deadline, Done);
  };
  Port.Release = [SubmitClaim](ClaimKey Key, ClaimAttempt Attempt,
                               Timestamp Deadline, ClaimCallback Done) {
    SubmitClaim(Release{Key, Attempt}, Deadline, Done);
  };
  Port.MarkUnknown = [SubmitClaim](ClaimKey Key, ClaimAttempt Holder,
                                   Timestamp Deadline, ClaimCallback Done) {
    SubmitClaim(MarkUnknown{Key, Holder}, Deadline, Done);
  };
  Port.Change = [this](traffic::ChangeRequest Request, auto Done) {
    Loop.post([this, Request = std::move(Request), Done = std::move(Done)] {
      change(Request, Done);
    });
  };
  Port.Replace = [this](ReplaceDescription Replacement, Timestamp Deadline,
                        auto Done) {
    Loop.post([this, Replacement = std::move(Replacement), Deadline,
               Done = std::move(Done)] {
      submitUnlessSettled<ChangeOutcome>(Replacement, Deadline, Done);
    });
  };
  Port.NameWeights = [this](ModelId Model, WeightsVersion Weights,
                            Timestamp Deadline, auto Done) {
    Loop.post([this, Model = std::move(Model), Weights, Deadline,
               Done = std::move(Done)] {
      submitUnlessSettled<WeightsNamed>(registry::NameWeights{Model, Weights},
                                        Deadline, Done);
    });
  };
  Port.ReadDescription = [this](Timestamp Deadline, auto Done) {
    Loop.post([this, Deadline, Done = std::move(Done)] {
      readDescription(Deadline, Done);
    });
  };
  Port.ReadSpread = [this](DescriptionNumber Number, auto Done) {
    Loop.post(
        [this, Number, Done = std::move(Done)] { Done(spreadStatus(Number)); });
  };
  Port.ReadHistory = [this](auto Done) {
    Loop.post([this, Done = std::move(Done)] { Done(pastChanges()); });
  };
  Port.NoticeLeave = [this](TargetId Target, ferry::Incarnation Left) {
    Loop.post([this, Target = std::move(Target), Left] {
      stepMembership(membership::TargetLeaveNoticed{Target, Left});
    });
  };
  Port.TellStream = [this](routing::BegunStream Stream) {
    Loop.post([this, Stream = std::move(Stream)] { Streams->tell(Stream); });
  };
  Port.AskStream = [this](routing::StreamKey Key, Timestamp Deadline,
                          auto Done) {
    Loop.post([this, Key, Deadline, Done = std::move(Done)] {
      Streams->ask(Key, Deadline, Done);
    });
  };
  Port.AskSlot = [this](const routing::SlotLoan &Loan, Timestamp ExpiresAt,
                        Timestamp Deadline, auto Done) {
    Loop.post([this, Loan, ExpiresAt, Deadline, Done = std::move(Done)] {
      Slots->ask(Loan, ExpiresAt, Deadline, Done);
    });
  };
  Port.GiveBackSlot = [this](const HostId &Lender, uint64_t Number) {
    Loop.post([this, Lender, Number] { Slots->giveBack(Lender, Number); });
  };
  Port.TellBeliefs = [this] { Loop.post([this] { Beliefs->newsReady(); }); };
  Port.SendCapQuestions = [this] {
    Loop.post([this] { Beliefs->sendCapQuestions(); });
  };
  Port.Announce = [this](TargetRecord Record, Timestamp Deadline, auto Done) {
    Loop.post(
        [this, Record = std::move(Record), Deadline, Done = std::move(Done)] {
          if (Record.Phase == TargetPhase::Leaving)
            announceLeave(Record, Deadline, Done);
          else
            announce(Record, Done);
        });
  };
  Port.Dump = [this](auto Done) {
    Loop.post([this, Done = std::move(Done)] { Done(Dump.render()); });
  };
  Port.Drain = [this] { Loop.post([this] { Callbacks.DrainRequested(); }); };
  return Port;
}

void ControlPlane::change(
    traffic::ChangeRequest Request,
    std::function<void(RegistryResult<ChangeOutcome>)> Done) {
  ChangeDescription Change{Request.Base, std::move(Request.Operation),
                           std::move(Request.Text)};
  submitUnlessSettled<ChangeOutcome>(std::move(Change), Request.Deadline,
                                     std::move(Done));
}

template <typename OutcomeType>
void ControlPlane::submitUnlessSettled(
    Command Request, Timestamp Deadline,
    std::function<void(RegistryResult<OutcomeType>)> Done) {
  auto Settled = Node ? Node->state().settledReply(Request) : std::nullopt;
  if (Settled)
    return Done(tryOutcome<OutcomeType>(*Settled));
  Gateway->submitFor<OutcomeType>(std::move(Request), Deadline,
                                  std::move(Done));
}

void ControlPlane::readDescription(
    Timestamp Deadline,
    std::function<void(RegistryResult<traffic::CurrentDescription>)> Done) {
  Gateway->submit(ReadDescription{}, Deadline,
                  [Done = std::move(Done)](auto Reply) {
                    if (!Reply)
                      return Done(makeError(Reply.error()));
                    auto Stored = tryOutcome<StoredDescription>(*Reply);
                    if (!Stored)
                      return Done(makeError(Stored.error()));
                    Done(traffic::CurrentDescription{
                        Stored->Number, Stored->Operation, Stored->Text});
                  });
}

void ControlPlane::announce(
    const TargetRecord &Record,
    const std::function<void(traffic::AnnounceReply)> &Done) {
  AnnouncementRefused = false;
  stepMembership(membership::TargetAnnounced{Record});
  traffic::AnnounceReply Reply;
  if (AnnouncementRefused)
    Reply.Status = traffic::AnnounceReply::Verdict::StaleIncarnation;
  for (const config::PeerHost &Host : Settings.Hosts)
    if (!Host.TargetAddress.empty())
      Reply.EventAddresses.push_back(Host.TargetAddress);
  Done(std::move(Reply));
}

void ControlPlane::announceLeave(
    const TargetRecord &Record, Timestamp Deadline,
    std::function<void(traffic::AnnounceReply)> Done) {
  auto Leaving = Members.leavingIncarnation(Record, steadyNow());
  stepMembership(membership::TargetAnnounced{Record});
  auto Acknowledge = [Done = std::move(Done)](bool IsRecorded) {
    traffic::AnnounceReply Reply;
    if (!IsRecorded)
      Reply.Status = traffic::AnnounceReply::Verdict::LeaveNotRecorded;
    Done(std::move(Reply));
  };
  if (!Leaving) {
    observe::logEvent(Severity::Warning, "control", "leave_not_attributed",
                      {{"target", Record.Id},
                       {"newest", Members.newestIncarnation(Record.Id)}});
    return Acknowledge(false);
  }
  if (Members.recordedLeaves().hasLeft(Record.Id, *Leaving))
    return Acknowledge(true);
  recordLeave(Record.Id, *Leaving, Deadline, std::move(Acknowledge));
}

void ControlPlane::recordLeave(const TargetId &Target, ferry::Incarnation Left,
                               Timestamp Deadline,
                               std::function<void(bool IsRecorded)> Done) {
  submitUnlessSettled<RecordedLeave>(
      RecordLeave{Target, Left}, Deadline,
      [Target, Left, SubmittedAt = steadyNow(),
       Done = std::move(Done)](RegistryResult<RecordedLeave> Outcome) {
        int64_t ElapsedMillis = (steadyNow() - SubmittedAt).count() / 1000;
        if (Outcome)
          observe::logEvent(Severity::Info, "control", "leave_recorded",
                            {{"target", Target},
                             {"incarnation", Left},
                             {"number", Outcome->Number},
                             {"ms", ElapsedMillis}});
        else
          observe::logEvent(Severity::Warning, "control", "leave_not_recorded",
                            {{"target", Target},
                             {"incarnation", Left},
                             {"ms", ElapsedMillis},
                             {"reason", Outcome.error().message()}});
        Done(Outcome.has_value());
      });
}

std::vector<traffic::PastChange> ControlPlane::pastChanges() const {
  return {Holder.history().begin(), Holder.history().end()};
}

traffic::SpreadStatus
ControlPlane::spreadStatus(DescriptionNumber Number) const {
  traffic::SpreadStatus Status;
  Status.Number = Holder.number();
  for (const membership::HostState &Host : Members.hosts(steadyNow())) {
    // A silent host is not counted: without the number, its confirmation has
    // expired, so that it refuses requests.
    if (Host.Standing == membership::Standing::Silent)
      continue;
    ++Status.HostsKnown;
    bool Refuses = Host.Standing == membership::Standing::Unconfirmed;
    if (Host.Number >= Number || Refuses)
      ++Status.HostsInForce;
  }
  return Status;
}

} // namespace ferry::daemon
