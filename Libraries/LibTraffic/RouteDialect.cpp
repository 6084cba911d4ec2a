#include "LibTraffic/RouteDialect.h"
#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <string_view>

namespace ferry::traffic {

/// Headers that concern one connection, in lower case. The framing headers are
/// among them, because each connection frames the body itself.
static constexpr std::array<std::string_view, 11> ConnectionHeaders = {
    "connection", "keep-alive",          "proxy-authenticate",
    "te",         "proxy-authorization", "proxy-connection",
    "trailer",    "transfer-encoding",   "upgrade",
    "expect",     "content-length"};

bool isConnectionHeader(const std::string &Name) {
  std::string LowerName = Poco::toLower(Name);
  return std::find(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                   LowerName) != ConnectionHeaders.end();
}

} // namespace ferry::traffic
