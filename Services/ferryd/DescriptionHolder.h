/// \file
/// The description that is in force on this host.
#ifndef FERRY_FERRYD_DESCRIPTIONHOLDER_H
#define FERRY_FERRYD_DESCRIPTIONHOLDER_H

#include "LibConfig/Parse.h"
#include "LibConfig/RouteTable.h"
#include "LibTraffic/ControlPort.h"
#include "ferryd/HostStore.h"
#include <deque>
#include <functional>
#include <memory>

namespace ferry::daemon {

enum class ApplyErrorKind : uint8_t {
  /// The number is not greater than the number in force.
  NotNewer,
  /// This version of the daemon cannot read the text.
  Unreadable,
  /// The description could not be stored and is not in force.
  Storage
};

using ApplyError = TypedError<ApplyErrorKind>;

/// The parsed text of a description.
struct DescriptionContent {
  /// nullptr for a description of the routed interface.
  std::shared_ptr<const config::Description> Description;
  /// nullptr for a description of the native interface.
  std::shared_ptr<const config::RouteTable> Routes;
};

/// Parses the text of an accepted description; fails with the first fault.
using DescriptionReader =
    std::function<Result<DescriptionContent, ApplyError>(const std::string &)>;

/// Parses the YAML \p Text of the native interface.
Result<DescriptionContent, ApplyError>
readNativeDescription(const std::string &Text);

/// Puts accepted descriptions with rising numbers in force, and stores each
/// before it is in force.
class DescriptionHolder {
public:
  /// Puts the stored description in force, if there is one.
  explicit DescriptionHolder(HostStore &Store,
                             DescriptionReader Read = readNativeDescription);

  /// Stores \p Copy and puts it in force. The registry has accepted the text,
  /// so a failure to parse it means that it needs another version of the
  /// daemon.
  Result<void, ApplyError> tryApply(const wire::DescriptionCopy &Copy);

  DescriptionNumber number() const;
  /// \returns the copy in force; number 0 before the first.
  const wire::DescriptionCopy &copy() const { return InForce; }
  /// \returns the number of the description with which the cache that
  /// workspaces share began; 0 if it is not known.
  DescriptionNumber sharedCacheSince() const;
  /// \returns the text in force, packed for other hosts.
  const std::string &packedText();
  /// nullptr before the first description, and for the routed interface.
  std::shared_ptr<const config::Description> description() const {
    return Content.Description;
  }
  /// nullptr before the first description, and for the native interface.
  std::shared_ptr<const config::RouteTable> routes() const {
    return Content.Routes;
  }

  /// \returns the newest changes put in force since the start, the oldest
  /// first.
  const std::deque<traffic::PastChange> &history() const { return History; }

private:
  Result<void, ApplyError> tryParse(const wire::DescriptionCopy &Copy);

  HostStore &Store;
  wire::DescriptionCopy InForce;
  /// Made when another host first asks for it; empty before.
  std::string PackedText;
  DescriptionReader Read;
  DescriptionContent Content;
  std::deque<traffic::PastChange> History;
};

} // namespace ferry::daemon

namespace ferry {

template <> struct EnumNames<daemon::ApplyErrorKind> {
  using Kind = daemon::ApplyErrorKind;
  static constexpr EnumName<Kind> Table[] = {{Kind::NotNewer, "not_newer"},
                                             {Kind::Unreadable, "unreadable"},
                                             {Kind::Storage, "storage"}};
};

} // namespace ferry

#endif
