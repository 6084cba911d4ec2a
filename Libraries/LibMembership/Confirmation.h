/// \file
/// Confirms with a quorum of control hosts that this host's description number
/// is the current one.
#ifndef FERRY_LIBMEMBERSHIP_CONFIRMATION_H
#define FERRY_LIBMEMBERSHIP_CONFIRMATION_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibWire/Generated/Membership_types.h"
#include <deque>
#include <map>
#include <set>
#include <variant>
#include <vector>

namespace ferry::membership {

/// A timer tick, which is needed at least once per Confirmation::TickInterval.
struct ConfirmationTick {};

/// Control host \p From answered a query.
struct ConfirmationAnswered {
  HostId From;
  wire::ConfirmationAnswer Answer;
};

/// The committed description \p Number is in force on this host.
struct ConfirmationApplied {
  DescriptionNumber Number;
};

/// Host \p From has \p Number in force, or has it in its log and may still
/// commit it.
struct ConfirmationNumberSeen {
  DescriptionNumber Number;
  HostId From;
};

/// Peer \p From has confirmed that no number above \p Number had been accepted
/// at \p AsOf, which is a time of this host's clock.
struct ConfirmationRelayed {
  DescriptionNumber Number;
  Timestamp AsOf;
  HostId From;
};

/// The control hosts have changed to \p ControlHosts. Not all of them need to
/// vote: their answers report the number of voters.
struct ControlHostsChanged {
  std::vector<HostId> ControlHosts;
};

using ConfirmationEvent =
    std::variant<ConfirmationTick, ConfirmationAnswered, ConfirmationApplied,
                 ConfirmationNumberSeen, ConfirmationRelayed,
                 ControlHostsChanged>;

/// When a host queries the control hosts: in each interval, or only once the
/// newest confirmation that it has is older than Confirmation::MaxRelayAge.
enum class QueryPolicy : uint8_t { Always, WhenStale };

/// Send \p Query to control host \p To, which may be this host.
struct ConfirmationSend {
  HostId To;
  wire::ConfirmationQuery Query;
};

/// Fetch the newest committed description from \p From, which reported
/// \p Number. That number need not be committed. Pass ConfirmationApplied once
/// a fetched description is in force.
struct FetchDescription {
  DescriptionNumber Number;
  HostId From;
};

using ConfirmationEffect = std::variant<ConfirmationSend, FetchDescription>;

/// Confirms the number of the description on one router. A state machine
/// without I/O: step() takes events and returns effects.
///
/// A change is accepted once a quorum of control hosts has synced it to their
/// logs. When a quorum of voters answers a query that was sent at time T, and
/// their logs hold no number above this host's, no greater number had been
/// accepted at T. The host then misses a change that is accepted later for at
/// most Validity after T. This needs neither a leader nor the clock of another
/// host.
class Confirmation {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Time between queries.
  static constexpr Duration QueryInterval = std::chrono::milliseconds(500);
  /// How long a confirmation is valid, counted from the sending of its query.
  static constexpr Duration Validity = std::chrono::seconds(2);

  /// With QueryPolicy::WhenStale no query is sent while the newest confirmation
  /// is younger than this.
  static constexpr Duration MaxRelayAge = std::chrono::milliseconds(1300);

  struct Options {
    /// The control hosts. A quorum is more than half of the voters, or of these
    /// hosts as long as no answer has reported the number of voters.
    std::vector<HostId> ControlHosts;
    /// The number in force according to the host's own disk, or 0.
    DescriptionNumber Number;
    /// Random. It sets the first query number, so that answers to queries of an
    /// earlier incarnation match none of this one.
    uint64_t Seed = 1;
    /// WhenStale suits deployments of many hosts: only a few hosts of each data
    /// centre then query the control hosts, and relay the confirmation to the
    /// others.
    membership::QueryPolicy QueryPolicy = membership::QueryPolicy::Always;
  };

  explicit Confirmation(Options Settings);

  /// Handles one event at \p Now. \returns the effects to carry out, in order.
  std::vector<ConfirmationEffect> step(const ConfirmationEvent &Event,
                                       Timestamp Now);

  /// \returns the number in force; it never decreases.
  DescriptionNumber number() const { return Number; }

  /// \returns the time until which new work may be accepted. Callers compare it
  /// with the clock at each use, so that a host that was frozen notices that it
  /// has passed.
  Timestamp confirmedUntil() const { return ConfirmedUntil; }

  /// \returns the time of the newest confirmation: no number above number() had
  /// been accepted then.
  Timestamp confirmedAsOf() const { return ConfirmedUntil - Validity; }

  bool isConfirmed(Timestamp Now) const { return Now < ConfirmedUntil; }

  /// \returns the newest time at which a quorum of control hosts that know of a
  /// leader is known to have worked, whatever numbers it had. Without a leader
  /// none can change anything.
  Timestamp answeredAsOf() const { return AnsweredAsOf; }

private:
  struct PendingQuery {
    int64_t QueryNumber = 0;
    Timestamp SentAt;
    /// The greatest number of each voter that answered.
    std::map<HostId, DescriptionNumber> Answers;
    /// The voters among them that know of a leader.
    std::set<HostId> Led;
    /// The greatest number of voters that an answer reported; 0 if none did.
    size_t Voters = 0;
  };
  using Effects = std::vector<ConfirmationEffect>;

  void tick(Timestamp Now, Effects &Out);
  void sendQueries(Timestamp Now, Effects &Out);
  void handleAnswer(const ConfirmationAnswered &Event, Timestamp Now,
                    Effects &Out);
  void fetchIfNewer(DescriptionNumber Reported, const HostId &From,
                    Timestamp Now, Effects &Out);
  void confirm(const PendingQuery &Query);
  void handleRelayed(const ConfirmationRelayed &Event, Timestamp Now,
                     Effects &Out);
  bool isControlHost(const HostId &Host) const;

  Options Settings;
  DescriptionNumber Number;
  Timestamp ConfirmedUntil;
  Timestamp AnsweredAsOf;
  Timestamp NextQueryAt;
  Timestamp NextFetchAt;
  int64_t NextQueryNumber;
  /// The newest queries, oldest first.
  std::deque<PendingQuery> PendingQueries;
};

/// \returns the answer of a control host to \p Query. \p Greatest is the
/// greatest number that its log may commit, committed or not. \p Voter states
/// whether its log counts towards a quorum, and \p VoterCount is the number of
/// voters, or 0 if all hosts of the settings vote. \p KnowsLeader states
/// whether the host knows of a leader of its log.
wire::ConfirmationAnswer answerQuery(const wire::ConfirmationQuery &Query,
                                     DescriptionNumber Greatest, bool Voter,
                                     size_t VoterCount = 0,
                                     bool KnowsLeader = true);

} // namespace ferry::membership

#endif
