/// \file
/// Compression of large texts between hosts.
#ifndef FERRY_LIBWIRE_PACKING_H
#define FERRY_LIBWIRE_PACKING_H

#include "LibCore/Error.h"
#include "LibWire/WireError.h"
#include <string>

namespace ferry::wire {

/// \returns \p Text compressed in the zlib format. The fastest level is used:
/// hosts have a small part of a processor core.
std::string packText(const std::string &Text);

/// \returns the text that \p Packed was made of; WireErrorKind::Malformed if it
/// was not made by packText(), TooLarge if the text has more than \p MaxBytes.
Result<std::string, WireError> tryUnpackText(const std::string &Packed,
                                             size_t MaxBytes);

} // namespace ferry::wire

#endif
