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
#include <variant>
#include <vector>

namespace ferry::membership {

/// Time has passed; due at least each Confirmation::TickInterval.
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

/// Host \p From has \p Number in force, or its log can lead to it.
struct ConfirmationNumberHeard {
  DescriptionNumber Number;
  HostId From;
};

/// Peer \p From knows that at \p AsOf, by this host's clock, no number above
/// \p Number was accepted.
struct ConfirmationRelayed {
  DescriptionNumber Number;
  Timestamp AsOf;
  HostId From;
};

/// The control hosts are now these. Not all of them need to vote: the answers
/// tell how many voters there are.
struct ConfirmationHosts {
  std::vector<HostId> ControlHosts;
};

using ConfirmationEvent =
    std::variant<ConfirmationTick, ConfirmationAnswered, ConfirmationApplied,
                 ConfirmationNumberHeard, ConfirmationRelayed,
                 ConfirmationHosts>;

/// Whether a host asks the control hosts in each interval, or only once what
/// its peers relay is older than Confirmation::RelayPatience.
enum class Asking : uint8_t { Always, WhenOld };

/// Send \p Query to control host \p To; it may be this host itself.
struct ConfirmationAsk {
  HostId To;
  wire::ConfirmationQuery Query;
};

/// Fetch the newest committed description; \p From named \p Number, which
/// need not be committed. Give ConfirmationApplied with what came.
struct FetchDescription {
  DescriptionNumber Number;
  HostId From;
};

using ConfirmationEffect = std::variant<ConfirmationAsk, FetchDescription>;

/// Step machine of one router.
///
/// A change is accepted once a quorum of control hosts has it in its synced
/// logs. So when a quorum of voters answers, to a query sent at time T, that
/// their logs lead to no number above this host's, then no greater number had
/// been accepted at T, and none accepted later may be missed for longer than
/// Validity after T. No leader and no clock of another host is involved.
class Confirmation {
public:
  static constexpr Duration TickInterval = std::chrono::milliseconds(100);
  /// Time between queries.
  static constexpr Duration QueryInterval = std::chrono::milliseconds(500);
  /// How long a confirmed number may be used, from the sending of the query.
  static constexpr Duration Validity = std::chrono::seconds(2);

  /// A relayed confirmation younger than this needs no query of its own.
  static constexpr Duration RelayPatience = std::chrono::milliseconds(1300);

  struct Options {
    /// All control hosts of the settings; a quorum is more than half of them.
    std::vector<HostId> ControlHosts;
    /// The number in force from the host's own disk, or 0.
    DescriptionNumber Number;
    /// Random; keeps answers to earlier incarnations apart.
    uint64_t Seed = 1;
    /// WhenOld suits deployments of many hosts: the control hosts then answer
    /// a few hosts of each data centre only.
    membership::Asking Asking = membership::Asking::Always;
  };

  explicit Confirmation(Options Settings);

  /// Takes one event at \p Now. \returns what is to be done, in order.
  std::vector<ConfirmationEffect> step(const ConfirmationEvent &Event,
                                       Timestamp Now);

  /// \returns the number in force; it only rises.
  DescriptionNumber number() const { return Number; }

  /// \returns until when new work may be taken. To be compared with the clock
  /// at each use: a host that was frozen finds its deadline passed.
  Timestamp confirmedUntil() const { return ConfirmedUntil; }

  /// \returns the moment at which no number above number() was accepted.
  Timestamp confirmedAsOf() const { return ConfirmedUntil - Validity; }

  bool isConfirmed(Timestamp Now) const { return Now < ConfirmedUntil; }

private:
  struct Query {
    int64_t QueryNumber = 0;
    Timestamp AskedAt;
    /// The greatest number of each voter that answered.
    std::map<HostId, DescriptionNumber> Answers;
    /// The most voters that an answer told of; 0 if none did.
    size_t Voters = 0;
  };
  using Effects = std::vector<ConfirmationEffect>;

  void tick(Timestamp Now, Effects &Out);
  void ask(Timestamp Now, Effects &Out);
  void receive(const ConfirmationAnswered &Received, Timestamp Now,
               Effects &Out);
  void hear(DescriptionNumber Heard, const HostId &From, Timestamp Now,
            Effects &Out);
  void confirm(const Query &Asked);
  void relay(const ConfirmationRelayed &Relayed, Timestamp Now, Effects &Out);
  bool isControlHost(const HostId &Host) const;

  Options Settings;
  DescriptionNumber Number;
  Timestamp ConfirmedUntil;
  Timestamp AskAt;
  Timestamp FetchAt;
  int64_t NextQuery;
  /// The newest queries, the oldest first.
  std::deque<Query> Queries;
};

/// \returns a control host's answer. \p Greatest is the greatest number that
/// its log can lead to, committed or not; \p Voter tells whether its own log
/// counts for a quorum, \p VoterCount how many do; 0 where the settings list
/// them all.
wire::ConfirmationAnswer answerQuery(const wire::ConfirmationQuery &Query,
                                     DescriptionNumber Greatest, bool Voter,
                                     size_t VoterCount = 0);

} // namespace ferry::membership

#endif
