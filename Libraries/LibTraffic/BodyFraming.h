/// \file
/// Finds the end of a message body, and whether it is proved to be whole.
#ifndef FERRY_LIBTRAFFIC_BODYFRAMING_H
#define FERRY_LIBTRAFFIC_BODYFRAMING_H

#include "LibCore/Result.h"
#include "LibTraffic/TargetConnection.h"
#include <string>
#include <string_view>
#include <variant>

namespace ferry::traffic {

/// The body has this many bytes.
struct LengthFraming {
  uint64_t Left = 0;
};
/// The body comes in chunks; the last one has no bytes.
struct ChunkFraming {
  enum class Expect : uint8_t { Size, Data, DataEnd, Trailer, Nothing };
  Expect Next = Expect::Size;
  uint64_t Left = 0;
  /// The line that is being read.
  std::string Line;
};
/// The body ends with its connection.
struct CloseFraming {};

/// Takes the raw bytes of a body piece by piece. The HTTP library's chunked
/// stream ends in the same way after the last chunk and after a lost
/// connection; here the two differ.
class BodyFraming {
public:
  using Kind = std::variant<LengthFraming, ChunkFraming, CloseFraming>;

  explicit BodyFraming(Kind Chosen) : Form(std::move(Chosen)) {}

  /// Appends the body bytes in \p Raw to \p Body. Bytes behind the end of the
  /// body belong to nothing and are dropped.
  /// \returns LinkErrorKind::Broken if the framing makes no sense.
  LinkResult<void> take(std::string_view Raw, std::string &Body);

  /// Whether the whole body has come.
  bool isComplete() const;
  /// Whether the end of the connection now is the end of the body.
  bool mayEndHere() const;

private:
  LinkResult<void> takeChunked(ChunkFraming &Form, std::string_view Raw,
                               std::string &Body);
  static LinkResult<void> takeLine(ChunkFraming &Form);

  Kind Form;
};

} // namespace ferry::traffic

#endif
