/// \file
/// Checks the invariants of the replicated log across all replicas of a
/// simulation.
#ifndef FERRY_TESTS_LIBCONSENSUS_ORACLE_H
#define FERRY_TESTS_LIBCONSENSUS_ORACLE_H

#include "LibConsensus/Replica.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ferry::consensus {

/// The application state in the simulation: the number of commands and a hash
/// over their sequence.
struct ChainState {
  uint64_t Count = 0;
  uint64_t Chain = 0;

  void apply(std::string_view Command) {
    ++Count;
    Chain = Chain * 1099511628211U + std::hash<std::string_view>()(Command);
  }
  /// \returns the state as text, long enough for several snapshot chunks.
  std::string text() const {
    return std::to_string(Count) + ":" + std::to_string(Chain) + ":" +
           std::string(60, '.');
  }
  static ChainState parse(std::string_view Text) {
    ChainState State;
    std::string Copy(Text);
    State.Count = std::stoull(Copy);
    State.Chain = std::stoull(Copy.substr(Copy.find(':') + 1));
    return State;
  }
  bool operator==(const ChainState &) const = default;
};

/// Collects observations of the replicas, and records the first violated
/// invariant.
class Oracle {
public:
  /// \returns the first violation, or an empty string.
  const std::string &violation() const { return Violation; }
  const std::map<uint64_t, Entry> &committed() const { return Committed; }
  uint64_t committedMembersIndex() const { return MembersIndex; }
  uint64_t acknowledged() const { return Acknowledged; }
  uint64_t highestTerm() const {
    return Leaders.empty() ? 0 : Leaders.rbegin()->first;
  }

  /// Checks \p Stepped after a step; its commit index was \p Before.
  void observe(const Replica &Stepped, uint64_t Before) {
    ReplicaStatus Status = Stepped.status();
    if (Status.IsLeader) {
      auto [Leader, New] = Leaders.emplace(Status.Term, Status.Replica);
      require(Leader->second == Status.Replica, "two leaders in one term");
      requireOneChangeInFlight(Stepped);
    }
    const EntryLog &Log = Stepped.log();
    uint64_t From = std::max(Before, Log.baseIndex());
    for (uint64_t Index = From + 1; Index <= Stepped.commitIndex(); ++Index)
      observeCommitted(Log.at(Index));
  }

  void applied(uint64_t Index, std::string_view Command) {
    auto Other = Committed.find(Index);
    bool Same = Other == Committed.end() || Other->second.Payload == Command;
    require(Same, "another command applied at an index");
  }

  /// A replica that has applied the log up to \p Index has \p State.
  void state(uint64_t Index, const ChainState &State) {
    auto [Existing, New] = States.emplace(Index, State);
    require(Existing->second == State, "states differ at one index");
  }

  void proposalDone(const std::string &Command,
                    const Result<uint64_t, ProposeError> &Outcome) {
    if (!Outcome) {
      if (Outcome.error().certainlyNotProposed())
        NotProposed.insert(Command);
      return;
    }
    Acknowledged = std::max(Acknowledged, *Outcome);
    Confirmed[*Outcome] = Command;
  }

  /// \returns the least applied index that a read which begins now may return.
  uint64_t requiredReadIndex() const {
    return std::max(Acknowledged, SeenByReads);
  }
  void readDone(uint64_t Required, uint64_t AppliedIndex) {
    require(AppliedIndex >= Required, "a read saw an old state");
    SeenByReads = std::max(SeenByReads, AppliedIndex);
  }

  void voteGranted(ReplicaId Sender, const HostId &Host) {
    require(LostIdentities.count(Sender) == 0,
            "a lost identity answers from " + Host.Value);
  }
  void identityLost(ReplicaId Replica) { LostIdentities.insert(Replica); }
  void identityReturned(ReplicaId Replica) { LostIdentities.erase(Replica); }

  /// Checks the log matching property: two logs are equal up to every index at
  /// which their terms are equal.
  void match(const EntryLog &Left, const EntryLog &Right) {
    uint64_t Base = std::max(Left.baseIndex(), Right.baseIndex());
    uint64_t Index = std::min(Left.lastIndex(), Right.lastIndex());
    while (Index > Base && Left.termAt(Index) != Right.termAt(Index))
      --Index;
    for (; Index > Base; --Index)
      require(Left.at(Index) == Right.at(Index), "logs do not match");
  }

  /// Checks the answers to the proposals, at the end of a simulation.
  void finish() {
    for (const auto &[Index, Command] : Confirmed) {
      auto Other = Committed.find(Index);
      bool Present =
          Other != Committed.end() && Other->second.Payload == Command;
      require(Present, "an accepted command is lost");
    }
    for (const auto &[Index, Stored] : Committed)
      require(NotProposed.count(Stored.Payload) == 0,
              "a command that was refused is committed");
  }

  void require(bool Condition, const std::string &What) {
    if (!Condition && Violation.empty())
      Violation = What;
  }

private:
  void observeCommitted(const Entry &NewEntry) {
    auto [Existing, New] = Committed.emplace(NewEntry.Index, NewEntry);
    require(Existing->second == NewEntry, "committed entries differ");
    if (!New || NewEntry.Kind != EntryKind::Configuration)
      return;
    auto Members = decodeConfiguration(NewEntry.Payload);
    if (NewEntry.Index > MembersIndex) {
      require(MembersIndex == 0 || distance(*Members, LastMembers) <= 1,
              "more than one member changed at once");
      MembersIndex = NewEntry.Index;
      LastMembers = *Members;
    }
  }

  void requireOneChangeInFlight(const Replica &Leader) {
    size_t Changes = 0;
    const EntryLog &Log = Leader.log();
    for (uint64_t Index = Leader.commitIndex() + 1; Index <= Log.lastIndex();
         ++Index)
      Changes += Log.at(Index).Kind == EntryKind::Configuration &&
                 Log.at(Index).Term == Leader.status().Term;
    require(Changes <= 1, "two membership changes in flight");
  }

  static size_t distance(const Configuration &Left,
                         const Configuration &Right) {
    size_t Count = 0;
    for (const Member &Voter : Left.Voters)
      Count += !Right.contains(Voter.Replica);
    for (const Member &Voter : Right.Voters)
      Count += !Left.contains(Voter.Replica);
    return Count;
  }

  std::string Violation;
  std::map<uint64_t, ReplicaId> Leaders;
  std::map<uint64_t, Entry> Committed;
  std::map<uint64_t, ChainState> States;
  /// Commands that were confirmed as committed, by index.
  std::map<uint64_t, std::string> Confirmed;
  std::set<std::string> NotProposed;
  /// Identities whose disks are lost.
  std::set<ReplicaId> LostIdentities;
  uint64_t MembersIndex = 0;
  Configuration LastMembers;
  /// Greatest index that was confirmed as committed.
  uint64_t Acknowledged = 0;
  /// Greatest applied index that a read has returned.
  uint64_t SeenByReads = 0;
};

} // namespace ferry::consensus

#endif
