#include "LibMembership/Confirmation.h"
#include "LibCore/Random.h"
#include "LibCore/Visit.h"
#include <algorithm>

namespace ferry::membership {

/// Queries whose answers may still come; with one each QueryInterval these
/// cover Validity, after which an answer confirms nothing.
static constexpr size_t MaxQueries = 5;
/// A description that did not come is fetched again after this.
static constexpr Duration FetchInterval = std::chrono::milliseconds(250);

Confirmation::Confirmation(Options Settings)
    : Settings(std::move(Settings)), Number(this->Settings.Number) {
  RandomGenerator Generator(this->Settings.Seed);
  NextQuery = static_cast<int64_t>(randomBelow(Generator, uint64_t{1} << 62));
}

std::vector<ConfirmationEffect>
Confirmation::step(const ConfirmationEvent &Event, Timestamp Now) {
  Effects Out;
  match(
      Event, [&](const ConfirmationTick &) { tick(Now, Out); },
      [&](const ConfirmationAnswered &E) { receive(E, Now, Out); },
      [&](const ConfirmationApplied &E) {
        Number = std::max(Number, E.Number);
        // Answers that came while the description was on its way.
        for (const Query &Asked : Queries)
          confirm(Asked);
      },
      [&](const ConfirmationNumberHeard &E) {
        hear(E.Number, E.From, Now, Out);
      },
      [&](const ConfirmationRelayed &E) { relay(E, Now, Out); },
      [&](const ConfirmationHosts &E) {
        Settings.ControlHosts = E.ControlHosts;
      });
  return Out;
}

void Confirmation::tick(Timestamp Now, Effects &Out) {
  if (AskAt > Now)
    return;
  bool Fresh = Now < confirmedAsOf() + RelayPatience;
  if (Settings.Asking == Asking::Always || !Fresh)
    ask(Now, Out);
}

void Confirmation::ask(Timestamp Now, Effects &Out) {
  AskAt = Now + QueryInterval;
  Queries.push_back({NextQuery++, Now, {}});
  if (Queries.size() > MaxQueries)
    Queries.pop_front();
  wire::ConfirmationQuery Message;
  Message.QueryNumber = Queries.back().QueryNumber;
  for (const HostId &Host : Settings.ControlHosts)
    Out.push_back(ConfirmationAsk{Host, Message});
}

bool Confirmation::isControlHost(const HostId &Host) const {
  return std::find(Settings.ControlHosts.begin(), Settings.ControlHosts.end(),
                   Host) != Settings.ControlHosts.end();
}

void Confirmation::receive(const ConfirmationAnswered &Received, Timestamp Now,
                           Effects &Out) {
  const wire::ConfirmationAnswer &Answer = Received.Answer;
  if (!isControlHost(Received.From))
    return;
  DescriptionNumber Greatest{static_cast<uint64_t>(Answer.GreatestNumber)};
  hear(Greatest, Received.From, Now, Out);
  auto Asked =
      std::find_if(Queries.begin(), Queries.end(), [&](const Query &Q) {
        return Q.QueryNumber == Answer.QueryNumber;
      });
  if (Asked == Queries.end() || !Answer.Voter)
    return;
  // Two answers of one host to one query, as across its restart: the greater
  // one counts, and the host counts once.
  DescriptionNumber &Known = Asked->Answers[Received.From];
  Known = std::max(Known, Greatest);
  if (Answer.__isset.VoterCount && Answer.VoterCount > 0)
    Asked->Voters =
        std::max(Asked->Voters, static_cast<size_t>(Answer.VoterCount));
  confirm(*Asked);
}

void Confirmation::confirm(const Query &Asked) {
  auto Current = std::count_if(
      Asked.Answers.begin(), Asked.Answers.end(),
      [&](const auto &Answer) { return Answer.second <= Number; });
  // Any quorum that is not above will do: a host with a greater number that
  // never commits must not hold up the others.
  // Configurations change by one member at a time, so that the majority of
  // the larger one meets that of the other.
  size_t Voters = Asked.Voters ? Asked.Voters : Settings.ControlHosts.size();
  size_t Quorum = Voters / 2 + 1;
  if (static_cast<size_t>(Current) >= Quorum)
    ConfirmedUntil = std::max(ConfirmedUntil, Asked.AskedAt + Validity);
}

void Confirmation::relay(const ConfirmationRelayed &Relayed, Timestamp Now,
                         Effects &Out) {
  hear(Relayed.Number, Relayed.From, Now, Out);
  if (Relayed.Number <= Number && Relayed.AsOf <= Now)
    ConfirmedUntil = std::max(ConfirmedUntil, Relayed.AsOf + Validity);
}

void Confirmation::hear(DescriptionNumber Heard, const HostId &From,
                        Timestamp Now, Effects &Out) {
  if (Heard <= Number || FetchAt > Now)
    return;
  FetchAt = Now + FetchInterval;
  Out.push_back(FetchDescription{Heard, From});
}

wire::ConfirmationAnswer answerQuery(const wire::ConfirmationQuery &Query,
                                     DescriptionNumber Greatest, bool Voter,
                                     size_t VoterCount) {
  wire::ConfirmationAnswer Answer;
  Answer.QueryNumber = Query.QueryNumber;
  Answer.GreatestNumber = static_cast<int64_t>(Greatest.Value);
  Answer.Voter = Voter;
  if (VoterCount > 0)
    Answer.__set_VoterCount(static_cast<int32_t>(VoterCount));
  return Answer;
}

} // namespace ferry::membership
