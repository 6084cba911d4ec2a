#include "LibTraffic/RouteDialect.h"
#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <string_view>

namespace ferry::traffic {

/// In lower case. The framing of a body is made anew for each connection.
static constexpr std::array<std::string_view, 11> ConnectionHeaders = {
    "connection", "keep-alive",          "proxy-authenticate",
    "te",         "proxy-authorization", "proxy-connection",
    "trailer",    "transfer-encoding",   "upgrade",
    "expect",     "content-length"};

bool isConnectionHeader(const std::string &Name) {
  std::string Lower = Poco::toLower(Name);
  return std::find(ConnectionHeaders.begin(), ConnectionHeaders.end(), Lower) !=
         ConnectionHeaders.end();
}

} // namespace ferry::traffic
