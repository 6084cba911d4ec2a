/// \file
/// Errors of the replicated log.
#ifndef FERRY_LIBCONSENSUS_ERRORS_H
#define FERRY_LIBCONSENSUS_ERRORS_H

#include "LibCore/Error.h"
#include "LibCore/Ids.h"
#include <optional>

namespace ferry::consensus {

/// Why a command was not confirmed as committed.
enum class ProposeErrorKind : uint8_t {
  /// This replica does not lead; the command was not proposed.
  NotLeader,
  /// Too many commands wait for a quorum; the command was not proposed.
  Overloaded,
  /// The command is larger than the limit and was not proposed.
  TooLarge,
  /// Leadership ended before the command committed; it may still commit.
  LeadershipLost,
  /// The log was closed before the command committed; it may still commit.
  Closed
};

/// A failed proposal.
struct ProposeError {
  ProposeErrorKind Kind;
  /// The leader to send the request to, where one is known.
  std::optional<HostId> Leader;

  /// \returns true if the command will never commit.
  bool certainlyNotProposed() const {
    return Kind == ProposeErrorKind::NotLeader ||
           Kind == ProposeErrorKind::Overloaded ||
           Kind == ProposeErrorKind::TooLarge;
  }
};

/// Why a linearizable read was not confirmed.
enum class ReadErrorKind : uint8_t {
  /// This replica does not lead.
  NotLeader,
  /// Leadership ended before a quorum confirmed the read.
  LeadershipLost,
  /// The log was closed.
  Closed
};

/// A failed read confirmation.
struct ReadError {
  ReadErrorKind Kind;
  /// The leader to send the request to, where one is known.
  std::optional<HostId> Leader;
};

/// What is wrong with the files of a log.
enum class StorageErrorKind : uint8_t {
  /// A system call failed.
  Io,
  /// A record or snapshot that had been synced is corrupt.
  Damaged,
  /// The files belong to another cluster or group.
  Foreign,
  /// Another process holds the lock of the folder.
  Locked,
  /// This host is not among the listed members.
  BadOptions
};

using StorageError = TypedError<StorageErrorKind>;

} // namespace ferry::consensus

namespace ferry {

template <> struct EnumNames<consensus::ProposeErrorKind> {
  using Kind = consensus::ProposeErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::NotLeader, "not_leader"},
      {Kind::Overloaded, "overloaded"},
      {Kind::TooLarge, "too_large"},
      {Kind::LeadershipLost, "leadership_lost"},
      {Kind::Closed, "closed"}};
};

template <> struct EnumNames<consensus::ReadErrorKind> {
  using Kind = consensus::ReadErrorKind;
  static constexpr EnumName<Kind> Table[] = {
      {Kind::NotLeader, "not_leader"},
      {Kind::LeadershipLost, "leadership_lost"},
      {Kind::Closed, "closed"}};
};

template <> struct EnumNames<consensus::StorageErrorKind> {
  using Kind = consensus::StorageErrorKind;
  static constexpr EnumName<Kind> Table[] = {{Kind::Io, "io"},
                                             {Kind::Damaged, "damaged"},
                                             {Kind::Foreign, "foreign"},
                                             {Kind::Locked, "locked"},
                                             {Kind::BadOptions, "bad_options"}};
};

} // namespace ferry

#endif
