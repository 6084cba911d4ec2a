/// \file
/// Parses the heads of HTTP/1.1 messages by the grammar of RFC 9112. The HTTP
/// library's parser is more lenient: it drops lines without a colon, keeps
/// whitespace before a colon as part of the name, decodes the encoded words of
/// RFC 2047 and takes the end of the connection for the end of the head. A
/// recipient that reads such a head differently finds another body or other
/// fields in it.
#ifndef FERRY_LIBTRAFFIC_MESSAGEHEAD_H
#define FERRY_LIBTRAFFIC_MESSAGEHEAD_H

#include "LibCore/Result.h"
#include "LibTraffic/BodyFraming.h"
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <string>
#include <string_view>

namespace ferry::traffic {

/// Why a head could not be parsed.
struct MalformedHead {
  std::string Reason;
};

/// Parses the head of a request. A line ends with a line feed, and a carriage
/// return before it belongs to the end.
/// \param Text the request line and the fields, up to and including the empty
/// line.
/// \param Head receives the request line and the fields; unspecified after an
/// error.
Result<void, MalformedHead> tryParseRequestHead(std::string_view Text,
                                                Poco::Net::HTTPRequest &Head);

/// Parses the head of an answer. As RFC 9112 asks of a gateway, whitespace
/// before a colon is removed, and a folded line becomes part of the value
/// before it.
/// \param Text the status line and the fields, up to and including the empty
/// line.
/// \param Head receives the status line and the fields; unspecified after an
/// error.
Result<void, MalformedHead> tryParseAnswerHead(std::string_view Text,
                                               Poco::Net::HTTPResponse &Head);

/// \returns how the body of the answer with the head \p Head is framed, or an
/// error if its length or its coding is ambiguous or unknown.
Result<BodyFraming, MalformedHead>
tryReadFraming(const Poco::Net::HTTPResponse &Head);

} // namespace ferry::traffic

#endif
