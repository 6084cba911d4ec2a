/// \file
/// Takes newer descriptions over from other hosts, one piece at a time.
#ifndef FERRY_LIBMEMBERSHIP_DESCRIPTIONTRANSFER_H
#define FERRY_LIBMEMBERSHIP_DESCRIPTIONTRANSFER_H

#include "LibCore/Ids.h"
#include "LibCore/Time.h"
#include "LibWire/Generated/Host_types.h"
#include <optional>
#include <string>
#include <vector>

namespace ferry::membership {

/// The transfer of a newer description to one host. A state machine without
/// I/O.
///
/// Answers the load of a description of a megabyte that changes while every
/// other host mentions its number several times a second, at a host whose link
/// carries that text in a second: a copy from each of them would fill the link
/// for seconds. So one host at a time is asked for one piece of the packed text
/// at a time, and other messages pass between the pieces. Another host is asked
/// only once that one has nothing newer or has been silent for PieceTimeout.
class DescriptionTransfer {
public:
  static constexpr size_t PieceBytes = 64 * 1024;
  static constexpr Duration PieceTimeout = std::chrono::milliseconds(700);
  static constexpr size_t MaxPackedBytes = 32ULL << 20;
  static constexpr size_t MaxTextBytes = 64ULL << 20;

  /// Send \p Fetch to \p To.
  struct Request {
    HostId To;
    wire::DescriptionFetch Fetch;
  };
  /// What follows from a message: a request, a whole description, or neither.
  struct Step {
    std::optional<Request> Send;
    std::optional<wire::DescriptionCopy> Whole;
  };

  /// Host \p From may have a greater number than \p Have, which is in force
  /// here.
  Step noteNewer(const HostId &From, DescriptionNumber Have, Timestamp Now);

  /// Handles a copy or a piece from \p From.
  Step receive(const HostId &From, const wire::DescriptionCopy &Copy,
               DescriptionNumber Have, Timestamp Now);

  /// Asks the next host if the one that was asked is silent. Called several
  /// times a second.
  Step tick(DescriptionNumber Have, Timestamp Now);

private:
  struct Transfer {
    HostId From;
    /// Silent from then on.
    Timestamp DeadlineAt;
    /// Of the first piece; the number is 0 before it.
    int64_t Number = 0;
    std::string Operation;
    int64_t SharedCacheSince = 0;
    std::string Packed;
  };

  Step startWith(const HostId &From, DescriptionNumber Have, Timestamp Now);
  /// Ends the transfer and begins one from the host that was named last.
  Step startWithNext(DescriptionNumber Have, Timestamp Now);
  Step continueWith(const wire::DescriptionCopy &Copy, DescriptionNumber Have,
                    Timestamp Now);
  Step takeWhole(DescriptionNumber Have, Timestamp Now);

  std::optional<Transfer> Active;
  /// The host that was named last while another one was asked.
  std::optional<HostId> Next;
};

/// \returns the piece of the packed text of \p InForce that \p Fetch asks for.
wire::DescriptionCopy pieceFor(const wire::DescriptionFetch &Fetch,
                               const wire::DescriptionCopy &InForce,
                               const std::string &Packed);

} // namespace ferry::membership

#endif
