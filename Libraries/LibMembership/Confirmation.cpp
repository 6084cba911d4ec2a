#include "LibMembership/Confirmation.h"
#include "LibCore/Random.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::membership {

/// Number of the newest queries that answers are matched with. With one per
/// QueryInterval they cover Validity; an answer to an older query confirms
/// nothing.
static constexpr size_t MaxPendingQueries = 5;
/// A description that has not arrived is fetched again after this time.
static constexpr Duration FetchInterval = std::chrono::milliseconds(250);

Confirmation::Confirmation(Options Settings)
    : Settings(std::move(Settings)), Number(this->Settings.Number) {
  RandomGenerator Generator(this->Settings.Seed);
  NextQueryNumber =
      static_cast<int64_t>(randomBelow(Generator, uint64_t{1} << 62));
}

std::vector<ConfirmationEffect>
Confirmation::step(const ConfirmationEvent &Event, Timestamp Now) {
  Effects Out;
  match(
      Event, [&](const ConfirmationTick &) { tick(Now, Out); },
      [&](const ConfirmationAnswered &E) { handleAnswer(E, Now, Out); },
      [&](const ConfirmationApplied &E) {
        Number = std::max(Number, E.Number);
        // Count the answers that arrived while the description was being
        // fetched.
        for (const PendingQuery &Query : PendingQueries)
          confirm(Query);
      },
      [&](const ConfirmationNumberSeen &E) {
        fetchIfNewer(E.Number, E.From, Now, Out);
      },
      [&](const ConfirmationRelayed &E) { handleRelayed(E, Now, Out); },
      [&](const ControlHostsChanged &E) {
        Settings.ControlHosts = E.ControlHosts;
      });
  return Out;
}

void Confirmation::tick(Timestamp Now, Effects &Out) {
  if (NextQueryAt > Now)
    return;
  bool Fresh = Now < confirmedAsOf() + MaxRelayAge;
  if (Settings.QueryPolicy == QueryPolicy::Always || !Fresh)
    sendQueries(Now, Out);
}

void Confirmation::sendQueries(Timestamp Now, Effects &Out) {
  NextQueryAt = Now + QueryInterval;
  PendingQueries.push_back({NextQueryNumber++, Now, {}, {}});
  if (PendingQueries.size() > MaxPendingQueries)
    PendingQueries.pop_front();
  wire::ConfirmationQuery Message;
  Message.QueryNumber = PendingQueries.back().QueryNumber;
  for (const HostId &Host : Settings.ControlHosts)
    Out.push_back(ConfirmationSend{Host, Message});
}

bool Confirmation::isControlHost(const HostId &Host) const {
  return std::find(Settings.ControlHosts.begin(), Settings.ControlHosts.end(),
                   Host) != Settings.ControlHosts.end();
}

void Confirmation::handleAnswer(const ConfirmationAnswered &Event,
                                Timestamp Now, Effects &Out) {
  const wire::ConfirmationAnswer &Answer = Event.Answer;
  if (!isControlHost(Event.From))
    return;
  DescriptionNumber Greatest{static_cast<uint64_t>(Answer.GreatestNumber)};
  fetchIfNewer(Greatest, Event.From, Now, Out);
  auto Query = std::find_if(PendingQueries.begin(), PendingQueries.end(),
                            [&](const PendingQuery &Q) {
                              return Q.QueryNumber == Answer.QueryNumber;
                            });
  if (Query == PendingQueries.end() || !Answer.Voter)
    return;
  // A host may answer one query twice, for example across its restart. It
  // counts once, with the greater number.
  DescriptionNumber &AnsweredNumber = Query->Answers[Event.From];
  AnsweredNumber = std::max(AnsweredNumber, Greatest);
  if (!Answer.__isset.KnowsLeader || Answer.KnowsLeader)
    Query->Led.insert(Event.From);
  if (Answer.__isset.VoterCount && Answer.VoterCount > 0)
    Query->Voters =
        std::max(Query->Voters, static_cast<size_t>(Answer.VoterCount));
  confirm(*Query);
}

void Confirmation::confirm(const PendingQuery &Query) {
  auto Agreeing = std::count_if(
      Query.Answers.begin(), Query.Answers.end(),
      [&](const auto &Answer) { return Answer.second <= Number; });
  // Any quorum without a greater number suffices: a host with a greater number
  // that never commits must not block the others. Configurations change by one
  // member at a time, so a majority of the larger one overlaps every majority
  // of the other.
  size_t Voters = Query.Voters ? Query.Voters : Settings.ControlHosts.size();
  size_t Quorum = Voters / 2 + 1;
  if (Query.Led.size() >= Quorum)
    AnsweredAsOf = std::max(AnsweredAsOf, Query.SentAt);
  if (static_cast<size_t>(Agreeing) >= Quorum)
    ConfirmedUntil = std::max(ConfirmedUntil, Query.SentAt + Validity);
}

void Confirmation::handleRelayed(const ConfirmationRelayed &Event,
                                 Timestamp Now, Effects &Out) {
  fetchIfNewer(Event.Number, Event.From, Now, Out);
  if (Event.Number <= Number && Event.AsOf <= Now)
    ConfirmedUntil = std::max(ConfirmedUntil, Event.AsOf + Validity);
}

void Confirmation::fetchIfNewer(DescriptionNumber Reported, const HostId &From,
                                Timestamp Now, Effects &Out) {
  if (Reported <= Number || NextFetchAt > Now)
    return;
  NextFetchAt = Now + FetchInterval;
  Out.push_back(FetchDescription{Reported, From});
}

wire::ConfirmationAnswer answerQuery(const wire::ConfirmationQuery &Query,
                                     DescriptionNumber Greatest, bool Voter,
                                     size_t VoterCount, bool KnowsLeader) {
  wire::ConfirmationAnswer Answer;
  Answer.QueryNumber = Query.QueryNumber;
  Answer.GreatestNumber = static_cast<int64_t>(Greatest.Value);
  Answer.Voter = Voter;
  if (VoterCount > 0)
    Answer.__set_VoterCount(static_cast<int32_t>(VoterCount));
  Answer.__set_KnowsLeader(KnowsLeader);
  return Answer;
}

} // namespace ferry::membership
