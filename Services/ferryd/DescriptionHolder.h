/// \file
/// The description that is in force on this host.
#ifndef FERRY_FERRYD_DESCRIPTIONHOLDER_H
#define FERRY_FERRYD_DESCRIPTIONHOLDER_H

#include "LibConfig/Parse.h"
#include "ferryd/HostStore.h"
#include <deque>
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

/// Takes accepted descriptions with rising numbers and stores each before it
/// is in force.
class DescriptionHolder {
public:
  /// Puts the stored description in force, if there is one.
  explicit DescriptionHolder(HostStore &Store);

  /// Puts \p Copy in force. The text was accepted, so a failure to read it
  /// means that another version of the daemon wrote it.
  Result<void, TakeError> tryTake(const wire::DescriptionCopy &Copy);

  DescriptionNumber number() const;
  /// The copy in force; number 0 before the first.
  const wire::DescriptionCopy &copy() const { return InForce; }
  /// nullptr before the first description.
  std::shared_ptr<const config::Description> description() const {
    return Parsed;
  }

  /// The newest copies that came in force since the start, without their
  /// texts, the oldest first.
  const std::deque<wire::DescriptionCopy> &history() const { return History; }

private:
  Result<void, TakeError> tryParse(const wire::DescriptionCopy &Copy);

  HostStore &Store;
  wire::DescriptionCopy InForce;
  std::shared_ptr<const config::Description> Parsed;
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
