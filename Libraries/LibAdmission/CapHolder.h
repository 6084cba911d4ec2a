/// \file
/// The admission of the requests of workspaces with caps at one router.
#ifndef FERRY_LIBADMISSION_CAPHOLDER_H
#define FERRY_LIBADMISSION_CAPHOLDER_H

#include "LibAdmission/CapMessages.h"
#include "LibAdmission/RecentSum.h"
#include "LibAdmission/ServingRouters.h"
#include "LibCore/EnumNames.h"
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace ferry::admission {

class CapOwner;

enum class CapDecision : uint8_t { Admitted, Awaiting, Rejected };

struct CapAnswer {
  CapDecision Decision = CapDecision::Admitted;
  /// When a rejected request can be served; nothing if it is too large for the
  /// cap.
  std::optional<Timestamp> RetryAt = {};
  /// Identifies an awaiting request in takeSettled(); 0 for others.
  uint64_t Ticket = 0;
};

/// The cap of a workspace as this router sees it, for metrics and the state
/// dump.
struct CapStatus {
  WorkspaceId Workspace;
  config::WorkspaceCap Cap;
  /// Nothing while no router is known to serve.
  std::optional<HostId> Owner;
  /// Units that this router may use without asking.
  double Balance = 0;
  /// When the owner granted units last.
  std::optional<Timestamp> GrantedAt;
  /// Whether requests are decided without the owner.
  bool InFallback = false;
  /// Numbers of requests.
  uint64_t Admitted = 0;
  uint64_t Rejected = 0;
  /// Number of questions, repeated ones included.
  uint64_t Questions = 0;
  /// Number of requests that were decided without the owner.
  uint64_t Fallbacks = 0;
};

/// What this router may use of the caps. Owns no clock; callers serialise all
/// calls.
///
/// Answers the load of requests of many workspaces that may come to this router
/// in any share: it keeps a small balance for each of them, which one question
/// to the owner renews for many requests. Requests that arrive during a
/// question wait for its reply and share the next one, so that the number of
/// messages is bounded by time and not by load.
class CapHolder {
public:
  /// How long a request may wait for the owner.
  static constexpr Duration LongestWait = std::chrono::milliseconds(150);
  /// A question without reply is sent again after this time; messages take up
  /// to 10 ms each way, so three are sent before a request stops waiting.
  static constexpr Duration RepeatInterval = std::chrono::milliseconds(45);
  /// The same after a request has stopped waiting.
  static constexpr Duration SlowRepeatInterval = std::chrono::milliseconds(500);
  /// Demand over this time is asked for in advance, or more if the owner makes
  /// longer grants.
  static constexpr Duration WantedSpan = std::chrono::seconds(1);
  /// Demand over this time tells what a longer grant needs.
  static constexpr Duration LongWantedSpan = std::chrono::seconds(4);
  /// Questions about one workspace are at least this far apart.
  static constexpr Duration QuestionGap = std::chrono::milliseconds(60);
  /// Without the owner, the rate over this time is kept.
  static constexpr Duration FallbackSpan = std::chrono::seconds(2);
  /// Depth of the bucket that is used without the owner, at its rate.
  static constexpr Duration FallbackDepth = std::chrono::milliseconds(500);
  /// If no router has replied for this time, this router may be cut off while
  /// the owner grants the whole rate to others. It then keeps to an equal
  /// share.
  static constexpr Duration CutOffAfter = std::chrono::milliseconds(500);
  /// Questions of this router per second, and how many of them at once. They
  /// take half of the 4 KB per second that a router may send.
  static constexpr double QuestionsPerSecond = 28;
  static constexpr double QuestionBurst = 15;
  /// Waiting requests of one workspace; further ones are rejected.
  static constexpr size_t MaxWaiting = 1024;

  explicit CapHolder(CapTolerance Tolerance) : Tolerance(Tolerance) {}

  /// Sets the caps of all workspaces; see CapOwner::setCaps.
  void setCaps(const CapsByWorkspace &Caps, Timestamp Now);

  /// Sets the routers that serve, this one included if it does.
  void setRouters(const HostId &Self, const std::vector<HostId> &Serving,
                  Timestamp Now);

  /// Sets the owner in this process, which is then asked directly about the
  /// workspaces that this router owns. Without it, takeQuestions() also returns
  /// questions to this router. \p Local outlives the holder.
  void setLocalOwner(CapOwner *Local) { LocalOwner = Local; }

  /// Decides on a request that counts \p Units. Workspaces without cap are
  /// admitted. After Awaiting, the caller calls takeQuestions(), and
  /// takeSettled() returns the ticket within LongestWait.
  CapAnswer admit(const WorkspaceId &Workspace, double Units, Timestamp Now);

  /// Returns the units of an admitted request that no target has run.
  void giveBack(const WorkspaceId &Workspace, double Units, Timestamp Now);

  struct Outgoing {
    HostId To;
    CapQuestion Question;
  };
  /// \returns the questions to be sent now.
  std::vector<Outgoing> takeQuestions(Timestamp Now);

  /// Applies a reply. One that is invalid, of another router than the one
  /// asked, or to a question that is not in flight changes nothing.
  void apply(const HostId &From, const CapReply &Reply, Timestamp Now);

  struct Settled {
    uint64_t Ticket = 0;
    CapAnswer Answer;
  };
  /// \returns the tickets decided since the last call, also by time-out.
  std::vector<Settled> takeSettled(Timestamp Now);

  /// \returns when takeQuestions() and takeSettled() have to be called again;
  /// NeverExpires if only an event can bring about work.
  Timestamp nextDue() const;

  /// \returns the figures of all workspaces with a cap.
  std::vector<CapStatus> status(Timestamp Now) const;
  /// \returns the number of replies that were invalid.
  uint64_t invalidReplies() const { return Invalid; }

private:
  struct Lease {
    double Units = 0;
    Timestamp ExpiresAt;
    /// The owner's number in Account::OwnerCount.
    uint32_t GrantedBy = 0;
  };
  struct Waiter {
    uint64_t Ticket = 0;
    double Units = 0;
    Timestamp Deadline;
  };
  struct InFlight {
    CapQuestion Question;
    Timestamp FirstSentAt;
    Timestamp NextSendAt;
  };
  struct Account {
    config::WorkspaceCap Cap;
    std::optional<HostId> Owner;
    /// Rises with each change of the owner.
    uint32_t OwnerCount = 0;
    std::deque<Lease> Leases;
    /// Units of the last grant beyond the needed ones.
    double LastAhead = 0;
    /// Unused units of expired grants, for the next question.
    double Unused = 0;
    /// Units admitted without a grant while the owner's bucket went on filling.
    double Debt = 0;
    std::deque<Waiter> Waiting;
    std::optional<InFlight> Asked;
    /// When the owner may be asked again.
    Timestamp NextQuestionAt;
    /// Whether a question without waiting requests is due.
    bool WantsMore = false;
    /// Earliest time of such a question.
    Timestamp WantsMoreAt;
    /// Until when requests are rejected without a question.
    Timestamp RejectUntil;
    /// The time that the next rejected request is given.
    Timestamp NextRetryAt;
    /// Set while the owner does not reply.
    std::optional<Timestamp> FallbackSince;
    double FallbackRate = 0;
    double FallbackLevel = 0;
    Timestamp FallbackFilledAt;
    /// Units of admitted and rejected requests.
    RecentSum<10> Demand{WantedSpan};
    RecentSum<10> LongDemand{LongWantedSpan};
    /// Of the last grant.
    Duration GrantLifetime = WantedSpan;
    RecentSum<10> UsedLong{FallbackSpan};
    CapStatus Figures;
  };

  using AccountMap = std::map<WorkspaceId, Account>;

  bool asksLocally(const Account &Subject) const;
  static double balance(const Account &Subject);
  static void expire(Account &Subject, Timestamp Now);
  static void spend(Account &Subject, double Units);
  CapAnswer admitFromBalance(Account &Subject, double Units, Timestamp Now);
  static CapAnswer reject(Account &Subject, double Units, Timestamp Now);
  CapAnswer askLocally(const WorkspaceId &Workspace, Account &Subject,
                       double Units, Timestamp Now);
  void beginFallback(Account &Subject, Timestamp Now);
  double fallbackRate(const Account &Subject, Timestamp Now) const;
  CapAnswer decideByFallback(Account &Subject, double Units, Timestamp Now);
  void decideWaitingByFallback(Account &Subject, Timestamp Now);
  void serveWaiting(Account &Subject, Timestamp Now);
  static double wanted(const Account &Subject, Timestamp Now);
  CapQuestion ask(const WorkspaceId &Workspace, Account &Subject, double Needed,
                  double Wanted);
  void applyGrant(Account &Subject, const CapReply &Reply, Timestamp AskedAt,
                  Timestamp Now);
  void updateOwner(const WorkspaceId &Workspace, Account &Subject,
                   Timestamp Now);
  void changeCap(Account &Subject, const config::WorkspaceCap &Cap,
                 Timestamp Now);
  bool repeatQuestion(Account &Subject, Timestamp Now);
  bool beginQuestion(const WorkspaceId &Workspace, Account &Subject,
                     Timestamp Now);
  bool mayAsk(const Account &Subject) const;
  bool takeBudget(Timestamp Now, double Reserve);

  CapTolerance Tolerance;
  CapOwner *LocalOwner = nullptr;
  ServingRouters Routers;
  AccountMap Accounts;
  std::vector<Settled> SettledTickets;
  uint64_t LastTicket = 0;
  /// The upper half of this router's question numbers.
  uint64_t NumberBase = 0;
  uint32_t LastNumber = 0;
  /// When any router replied last.
  std::optional<Timestamp> RepliedAt;
  double Budget = QuestionBurst;
  Timestamp BudgetAt;
  uint64_t Invalid = 0;
};

} // namespace ferry::admission

namespace ferry {

template <> struct EnumNames<admission::CapDecision> {
  using Decision = admission::CapDecision;
  static constexpr EnumName<Decision> Table[] = {
      {Decision::Admitted, "admitted"},
      {Decision::Awaiting, "awaiting"},
      {Decision::Rejected, "rejected"}};
};

} // namespace ferry

#endif
