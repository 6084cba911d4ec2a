/// \file
/// The bearer tokens of operators and workspaces.
#ifndef FERRY_LIBTRAFFIC_TOKENSTORE_H
#define FERRY_LIBTRAFFIC_TOKENSTORE_H

#include "LibCore/Result.h"
#include "LibTraffic/TrafficError.h"
#include <filesystem>
#include <map>
#include <string>
#include <string_view>

namespace ferry::traffic {

/// The tokens of a key file, by name. Offers no way to print a token.
class TokenStore {
public:
  /// Reads "name: token" lines. Empty lines and lines that start with '#' are
  /// skipped. An empty path results in an empty store, which grants nothing.
  static Result<TokenStore, TrafficError>
  tryLoad(const std::filesystem::path &Path);

  /// Parses the text of a key file.
  static Result<TokenStore, TrafficError> tryParse(const std::string &Text);

  /// \returns whether \p Authorization is "Bearer " followed by the token that
  /// is named \p Name.
  bool grants(const std::string &Name, std::string_view Authorization) const;

private:
  std::map<std::string, std::string> Tokens;
};

} // namespace ferry::traffic

#endif
