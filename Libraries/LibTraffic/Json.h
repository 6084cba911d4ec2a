/// \file
/// Parses JSON objects of bounded depth without throwing.
#ifndef FERRY_LIBTRAFFIC_JSON_H
#define FERRY_LIBTRAFFIC_JSON_H

#include "LibTraffic/HttpExchange.h"
#include <Poco/JSON/Object.h>
#include <limits>
#include <optional>
#include <string>

namespace ferry::traffic {

/// Parses \p Text as one JSON object. \returns BadJson if it is not one.
AnswerResult<Poco::JSON::Object::Ptr> tryParseObject(const std::string &Text);

/// Whether \p Text is one whole JSON object or array. Builds no values: those
/// of a body can take many times its size.
bool isWholeJson(const HeldBody &Text);

/// Whether \p Text is one whole JSON object as tryParseObject() reads it.
/// Builds no values either.
bool isWholeObject(const HeldBody &Text);

/// \returns the member \p Name if it is a string.
std::optional<std::string> stringMember(const Poco::JSON::Object &Object,
                                        const std::string &Name);

/// \returns the member \p Name if it is a whole number from 0 to \p Max.
std::optional<uint64_t>
numberMember(const Poco::JSON::Object &Object, const std::string &Name,
             uint64_t Max = std::numeric_limits<int64_t>::max());

/// \returns the member \p Name if it is a boolean.
std::optional<bool> flagMember(const Poco::JSON::Object &Object,
                               const std::string &Name);

/// \returns a BadJson error about the member \p Name.
tl::unexpected<ErrorAnswer> badMember(const std::string &Name);

} // namespace ferry::traffic

#endif
