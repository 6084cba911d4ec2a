/// \file
/// Which routers hear what one of them has learnt of targets and prompts.
#ifndef FERRY_LIBROUTING_BELIEFSPREAD_H
#define FERRY_LIBROUTING_BELIEFSPREAD_H

#include "LibCore/Ids.h"
#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include <set>
#include <vector>

namespace ferry::routing {

/// The spread of rare news among routers, as one of them sees it. Owns no
/// clock, thread or socket; callers serialise all calls.
///
/// Answers the load of a few targets that fail or are in need at a time, in
/// fleets of any size. Of up to MaxDirectRouters, the one that has news tells
/// all others. Of more, it tells NewsFanout others, chosen at random, and each
/// that learns something new does the same, so that a router sends a number of
/// messages that does not grow with the fleet. Those that were missed hear it
/// with the summaries that routers send to others while news are fresh, and at
/// longer intervals as long as there is something to tell. A router that has
/// started asks until one has answered that is settled: one that started a
/// moment before knows as little.
///
/// Control hosts keep the quarantined sets on their disks, as all routers may
/// end at one moment. Routers tell KeeperFanout of them, which pass on what is
/// new to them. A router that has started asks each of them once.
class BeliefSpread {
public:
  static constexpr size_t MaxDirectRouters = 16;
  static constexpr size_t NewsFanout = 5;
  /// Time for which news wait for others, so that they leave together.
  static constexpr Duration NewsDelay = std::chrono::milliseconds(20);
  /// Longest time between two calls of tick().
  static constexpr Duration TickInterval = std::chrono::milliseconds(500);
  /// News are fresh for this long.
  static constexpr Duration FreshSpan = std::chrono::seconds(5);
  static constexpr size_t FreshFanout = 2;
  static constexpr Duration SummaryInterval = std::chrono::seconds(10);
  static constexpr size_t AskFanout = 3;
  /// A router that no settled one has answered for this long counts as settled
  /// itself: all may have started together.
  static constexpr Duration SettleSpan = std::chrono::seconds(5);
  /// Control hosts that are told of changed sets; one more with each summary.
  static constexpr size_t KeeperFanout = 2;
  /// Routers that one which reaches no target asks whether they do.
  static constexpr size_t ReachFanout = 8;

  explicit BeliefSpread(uint64_t Seed) : Random(Seed) {}

  /// Whether a router that learns something tells others, because its sender
  /// does not reach all.
  static bool passesOn(size_t OtherRouters) {
    return OtherRouters >= MaxDirectRouters;
  }

  /// \returns whom to tell of news.
  std::vector<HostId> receiversOfNews(std::vector<HostId> Others,
                                      Timestamp Now);

  /// \returns the control hosts to tell of sets that have changed.
  std::vector<HostId> keepersOfNews(std::vector<HostId> Keepers) {
    return choose(std::move(Keepers), KeeperFanout);
  }

  /// \returns whom a router that reaches no target asks for their reach, at
  /// once and at each tick.
  std::vector<HostId> askedForReach(std::vector<HostId> Others) {
    return choose(std::move(Others), ReachFanout);
  }

  /// What is due at a tick.
  struct Due {
    std::vector<HostId> Summary;
    std::vector<HostId> Question;
    /// Control hosts.
    std::vector<HostId> KeeperSummary;
    std::vector<HostId> KeeperQuestion;
  };
  /// \param HasBeliefs whether there is something to tell.
  /// \param Keepers the control hosts.
  Due tick(std::vector<HostId> Others, bool HasBeliefs, Timestamp Now,
           const std::vector<HostId> &Keepers = {});

  /// Notes that a settled router has answered the question of this one.
  void noteAnswer() { Answered = true; }

  /// Notes that a control host has told all it keeps.
  void noteKeeperAnswer(const HostId &Keeper) {
    AnsweredKeepers.insert(Keeper);
  }

  /// Whether this router knows what the others know, as far as it can tell.
  bool isSettled(Timestamp Now) const { return Answered || Now >= SettledFrom; }

private:
  std::vector<HostId> choose(std::vector<HostId> Others, size_t Count);

  RandomGenerator Random;
  bool Answered = false;
  std::set<HostId> AnsweredKeepers;
  /// Set by the first tick.
  Timestamp SettledFrom = NeverExpires;
  Timestamp FreshUntil;
  Timestamp SummaryAt;
};

} // namespace ferry::routing

#endif
