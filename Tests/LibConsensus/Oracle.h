/// \file
/// Checks the invariants of a replicated log over all replicas of a run.
#ifndef FERRY_TESTS_LIBCONSENSUS_ORACLE_H
#define FERRY_TESTS_LIBCONSENSUS_ORACLE_H

#include "LibConsensus/Replica.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ferry::consensus {

/// The application of the runs: counts and chains its commands.
struct ChainState {
  uint64_t Count = 0;
  uint64_t Chain = 0;

  void apply(std::string_view Command) {
    ++Count;
    Chain = Chain * 1099511628211U + std::hash<std::string_view>()(Command);
  }
  /// Long enough for several chunks.
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

/// Collects what replicas show, and what is wrong with it.
class Oracle {
public:
  /// What was violated first; empty if nothing.
  const std::string &violation() const { return Violation; }
  const std::map<uint64_t, Entry> &committed() const { return Committed; }
  uint64_t committedMembersIndex() const { return MembersIndex; }
  uint64_t acknowledged() const { return Acknowledged; }
  uint64_t highestTerm() const {
    return Leaders.empty() ? 0 : Leaders.rbegin()->first;
  }

  /// After each step of \p Shown, whose commit index was \p Before.
  void observe(const Replica &Shown, uint64_t Before) {
    ReplicaStatus Status = Shown.status();
    if (Status.Leads) {
      auto [Known, New] = Leaders.emplace(Status.Term, Status.Replica);
      require(Known->second == Status.Replica, "two leaders in one term");
      oneChangeInFlight(Shown);
    }
    const EntryLog &Log = Shown.log();
    uint64_t From = std::max(Before, Log.baseIndex());
    for (uint64_t Index = From + 1; Index <= Shown.commitIndex(); ++Index)
      observeCommitted(Log.at(Index));
  }

  void applied(uint64_t Index, std::string_view Command) {
    auto Found = Committed.find(Index);
    bool Same = Found == Committed.end() || Found->second.Payload == Command;
    require(Same, "another command applied at an index");
  }

  /// \p State is what a replica has at \p Index.
  void state(uint64_t Index, const ChainState &State) {
    auto [Known, New] = States.emplace(Index, State);
    require(Known->second == State, "states differ at one index");
  }

  void proposalDone(const std::string &Command,
                    const Result<uint64_t, ProposeError> &Outcome) {
    if (!Outcome) {
      if (Outcome.error().certainlyNotProposed())
        NotProposed.insert(Command);
      return;
    }
    Acknowledged = std::max(Acknowledged, *Outcome);
    Accepted[*Outcome] = Command;
  }

  /// \returns what a read that begins now must see at least.
  uint64_t readBegins() const { return std::max(Acknowledged, SeenByReads); }
  void readDone(uint64_t Required, uint64_t AppliedIndex) {
    require(AppliedIndex >= Required, "a read saw an old state");
    SeenByReads = std::max(SeenByReads, AppliedIndex);
  }

  void promised(ReplicaId Sender, const HostId &Host) {
    require(Lost.count(Sender) == 0,
            "a lost identity answers from " + Host.Value);
  }
  void identityLost(ReplicaId Replica) { Lost.insert(Replica); }
  void identityReturned(ReplicaId Replica) { Lost.erase(Replica); }

  /// Two logs agree up to every index at which their terms are equal.
  void match(const EntryLog &Left, const EntryLog &Right) {
    uint64_t Base = std::max(Left.baseIndex(), Right.baseIndex());
    uint64_t Index = std::min(Left.lastIndex(), Right.lastIndex());
    while (Index > Base && Left.termAt(Index) != Right.termAt(Index))
      --Index;
    for (; Index > Base; --Index)
      require(Left.at(Index) == Right.at(Index), "logs do not match");
  }

  /// At the end of a run, when all replicas agree.
  void finish() {
    for (const auto &[Index, Command] : Accepted) {
      auto Found = Committed.find(Index);
      bool Kept = Found != Committed.end() && Found->second.Payload == Command;
      require(Kept, "an accepted command is lost");
    }
    for (const auto &[Index, Held] : Committed)
      require(NotProposed.count(Held.Payload) == 0,
              "a command that was refused is committed");
  }

  void require(bool Holds, const std::string &What) {
    if (!Holds && Violation.empty())
      Violation = What;
  }

private:
  void observeCommitted(const Entry &Held) {
    auto [Known, New] = Committed.emplace(Held.Index, Held);
    require(Known->second == Held, "committed entries differ");
    if (!New || Held.Kind != EntryKind::Configuration)
      return;
    auto Members = decodeConfiguration(Held.Payload);
    if (Held.Index > MembersIndex) {
      require(MembersIndex == 0 || distance(*Members, LastMembers) <= 1,
              "more than one member changed at once");
      MembersIndex = Held.Index;
      LastMembers = *Members;
    }
  }

  void oneChangeInFlight(const Replica &Leader) {
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
  std::map<uint64_t, std::string> Accepted;
  std::set<std::string> NotProposed;
  std::set<ReplicaId> Lost;
  uint64_t MembersIndex = 0;
  Configuration LastMembers;
  uint64_t Acknowledged = 0;
  uint64_t SeenByReads = 0;
};

} // namespace ferry::consensus

#endif
