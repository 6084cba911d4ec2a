/// \file
/// The owner's side of the caps of workspaces.
#ifndef FERRY_LIBADMISSION_CAPOWNER_H
#define FERRY_LIBADMISSION_CAPOWNER_H

#include "LibAdmission/CapMessages.h"
#include "LibAdmission/RecentSum.h"
#include "LibAdmission/ServingRouters.h"
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace ferry::admission {

/// The token buckets of the workspaces that this router owns. Owns no clock;
/// callers serialise all calls.
///
/// Answers the load of one workspace whose requests reach any number of
/// routers, a few or all of them, and change between these within seconds: one
/// bucket for all routers admits the rate whatever the distribution, where a
/// share for each router admits a part of it.
class CapOwner {
public:
  static constexpr Duration GrantLifetime = std::chrono::seconds(1);
  /// A workspace whose requests reach many routers gets longer grants: with 1 s
  /// each, the owner of a workspace at 71 routers sent 6 KB/s and more.
  static constexpr Duration LongestGrantLifetime = std::chrono::seconds(4);
  /// Replies per second and workspace that the owner aims at; they take a third
  /// of the 4 KB per second that a router may send.
  static constexpr double AnswersPerSecond = 25;
  /// What the bucket of a new owner holds, in time at the rate: the former
  /// owner may just have granted a whole burst.
  static constexpr Duration FirstFill = std::chrono::milliseconds(250);
  /// After this time with little in the bucket, the load is above the cap, and
  /// routers take turns. Before, turns would keep routers waiting for a bucket
  /// that fills again soon.
  static constexpr Duration TurnsAfter = std::chrono::milliseconds(500);
  /// A router that becomes the owner while it serves fills the bucket at half
  /// of the rate for this time, in which others may still ask the former one.
  static constexpr Duration HandoverSpan = std::chrono::milliseconds(500);
  /// If a workspace that was asked for at least BusyAnswers times in a second
  /// is not asked for during this time, another owner may have granted the
  /// rate, or this router was frozen. Its bucket then begins anew. Longer than
  /// the lifetime of a grant, within which routers may have no need to ask.
  static constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);
  static constexpr double BusyAnswers = 10;
  /// Answers that are remembered, so that a repeated question gets the same one
  /// and is not counted twice; the oldest are dropped first.
  static constexpr size_t MaxRememberedAnswers = 4096;

  explicit CapOwner(CapTolerance Tolerance) : Tolerance(Tolerance) {}

  /// Sets the caps of all workspaces. A cap whose rate is not a positive number
  /// is none. A lowered cap takes effect at once.
  void setCaps(const CapsByWorkspace &Caps, Timestamp Now);

  /// Sets the routers that serve. Questions about workspaces that another
  /// router owns are answered as CapReply says. Without this call, this router
  /// owns all workspaces.
  void setRouters(const HostId &Self, const std::vector<HostId> &Serving,
                  Timestamp Now);

  /// \returns the reply to a question of any router. One that is invalid or
  /// about a workspace without cap is answered as by a router that is not the
  /// owner, and changes nothing.
  CapReply answer(const CapQuestion &Question, Timestamp Now);

  /// \returns the units that the workspace may still use, which may be below 0;
  /// nothing if this router does not own it.
  std::optional<double> level(const WorkspaceId &Workspace,
                              Timestamp Now) const;
  /// \returns the number of workspaces with a cap that this router owns.
  size_t ownedWorkspaces() const { return Buckets.size(); }
  /// \returns the number of questions answered.
  uint64_t answered() const { return Answered; }
  /// \returns the number of invalid questions.
  uint64_t invalidQuestions() const { return Invalid; }

private:
  struct Answer {
    uint32_t Count = 0;
    CapReply Reply;
    Timestamp At;
    /// Units that the router may hold, and until when.
    double Ahead = 0;
    Timestamp AheadUntil;
  };
  struct Bucket {
    config::WorkspaceCap Cap;
    double Level = 0;
    Timestamp FilledAt;
    Timestamp HandoverEnd;
    Timestamp AnsweredAt;
    /// Whether BusyAnswers was reached when the last question came.
    bool WasBusy = false;
    /// Until when the rate is spoken for by requests that were rejected.
    Timestamp ReservedUntil;
    /// Sum of Answer::Ahead. These units may still be used, so the bucket holds
    /// that much less.
    double AheadSum = 0;
    /// Since when the bucket has been less than a quarter full.
    std::optional<Timestamp> ScarceSince;
    RecentSum<10> AnswerCount{std::chrono::seconds(1)};
    /// By the upper half of their numbers, which stands for a router.
    std::map<uint32_t, Answer> Answers;
  };

  bool owns(const WorkspaceId &Workspace, Timestamp Now) const;
  void updateBuckets(bool IsHandover, Timestamp Now);
  double depthOf(const Bucket &Subject) const;
  double levelAt(const Bucket &Subject, Timestamp Now) const;
  double aheadFor(const Bucket &Subject, const CapQuestion &Question,
                  double Held, size_t Askers) const;
  static size_t askers(const Bucket &Subject, Timestamp Now);
  void fill(Bucket &Subject, Timestamp Now) const;
  void begin(Bucket &Subject, bool IsHandover, Timestamp Now) const;
  static void updateAhead(Bucket &Subject, Timestamp Now);
  CapReply decide(Bucket &Subject, const CapQuestion &Question, Answer &Asker,
                  Timestamp Now);
  static Answer &answerFor(Bucket &Subject, uint64_t Number, Timestamp Now);

  CapTolerance Tolerance;
  CapsByWorkspace Caps;
  ServingRouters Routers;
  std::map<WorkspaceId, Bucket> Buckets;
  uint64_t Answered = 0;
  uint64_t Invalid = 0;
};

} // namespace ferry::admission

#endif
