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

/// Tokens by name, as read from the key file. Has no way to print one.
class TokenStore {
public:
  /// Reads "name: token" lines; empty lines and lines with '#' first are
  /// skipped. An empty path gives an empty store, which grants nothing.
  static Result<TokenStore, TrafficError>
  tryLoad(const std::filesystem::path &Path);

  /// Parses the text of a key file.
  static Result<TokenStore, TrafficError> tryParse(const std::string &Text);

  /// \returns whether \p Authorization is "Bearer " and the token \p Name.
  bool grants(const std::string &Name, std::string_view Authorization) const;

private:
  std::map<std::string, std::string> Tokens;
};

} // namespace ferry::traffic

#endif
