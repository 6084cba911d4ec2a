/// \file
/// The description that is in force on this host.
#ifndef FERRY_FERRYD_DESCRIPTIONHOLDER_H
#define FERRY_FERRYD_DESCRIPTIONHOLDER_H

#include "LibConfig/Parse.h"
#include "LibConfig/RouteTable.h"
#include "ferryd/HostStore.h"
#include <deque>
#include <functional>
#include <memory>

namespace ferry::daemon {

enum class TakeErrorKind : uint8_t {
  /// The number is not greater than the one in force.
  NotNewer,
  /// This version of the daemon cannot read the text.
  Unreadable,
  /// The disk refused it; it is not in force.
  Storage
};

using TakeError = TypedError<TakeErrorKind>;

/// What a description's text says.
struct DescriptionContent {
  /// nullptr for a text that describes routes.
  std::shared_ptr<const config::Description> Description;
  /// nullptr for a text of the native interface.
  std::shared_ptr<const config::RouteTable> Routes;
};

/// Reads the text of an accepted description; fails with the first fault.
using DescriptionReader =
    std::function<Result<DescriptionContent, TakeError>(const std::string &)>;

/// \returns the description in the YAML \p Text.
Result<DescriptionContent, TakeError> readNative(const std::string &Text);

/// Takes accepted descriptions with rising numbers and stores each before it
/// is in force.
class DescriptionHolder {
public:
  /// Puts the stored description in force, if there is one.
  explicit DescriptionHolder(HostStore &Store,
                             DescriptionReader Read = readNative);

  /// Puts \p Copy in force. The text was accepted, so a failure to read it
  /// means that another version of the daemon wrote it.
  Result<void, TakeError> tryTake(const wire::DescriptionCopy &Copy);

  DescriptionNumber number() const;
  /// The copy in force; number 0 before the first.
  const wire::DescriptionCopy &copy() const { return InForce; }
  /// nullptr before the first description.
  std::shared_ptr<const config::Description> description() const {
    return Content.Description;
  }
  /// nullptr before the first description, and for the native interface.
  std::shared_ptr<const config::RouteTable> routes() const {
    return Content.Routes;
  }

  /// The newest copies that came in force since the start, without their
  /// texts, the oldest first.
  const std::deque<wire::DescriptionCopy> &history() const { return History; }

private:
  Result<void, TakeError> tryParse(const wire::DescriptionCopy &Copy);

  HostStore &Store;
  wire::DescriptionCopy InForce;
  DescriptionReader Read;
  DescriptionContent Content;
  std::deque<wire::DescriptionCopy> History;
};

} // namespace ferry::daemon

namespace ferry {

template <> struct EnumNames<daemon::TakeErrorKind> {
  using Kind = daemon::TakeErrorKind;
  static constexpr EnumName<Kind> Table[] = {{Kind::NotNewer, "not_newer"},
                                             {Kind::Unreadable, "unreadable"},
                                             {Kind::Storage, "storage"}};
};

} // namespace ferry

#endif
