/// \file
/// A stand-in for a caller of the users' platform. It resolves router addresses
/// at the directory, keeps connections, resends after refusals, and can abandon
/// its attempts.
#ifndef FERRY_TESTS_FAKES_FAKECALLER_H
#define FERRY_TESTS_FAKES_FAKECALLER_H

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ferry::fakes {

/// After which attempts a caller may resend.
enum class CallerResends : uint8_t {
  /// Only after those whose status says that they were not run.
  IfNotRun,
  /// After any that failed.
  Always
};

/// How a caller treats its connections.
enum class CallerConnections : uint8_t { KeepAlive, NewEachTime };

/// How a caller behaves.
struct CallerOptions {
  /// Addresses of directories, nearest first; at most three are tried.
  std::vector<std::string> Directories;
  /// The name that the caller resolves and calls.
  std::string Name = "a.example";
  std::string DataCentre = "dc-0";
  CallerResends Resends = CallerResends::IfNotRun;
  CallerConnections Connections = CallerConnections::KeepAlive;
  /// Multiplies the lifetime of a directory answer; some callers use answers
  /// three times as long as they should.
  int LifetimeFactor = 1;
  /// Limit for one call with all its attempts.
  std::chrono::milliseconds CallTimeout{8000};
  /// The time after which an attempt is abandoned, if any.
  std::optional<std::chrono::milliseconds> AbandonsAfter;
  /// Additional headers of each request.
  std::map<std::string, std::string> Fields;
  /// The ids of its attempts begin with it.
  std::string Prefix = "caller";
  /// Seed for the choice of addresses.
  uint64_t Seed = 1;
};

/// The result of one attempt.
struct CallerAttempt {
  std::string Id;
  std::string Address;
  /// 0 if the connection ended or the caller abandoned it before an answer.
  int Status = 0;
  std::string Body;
  /// Whether the answer is known to have arrived completely.
  bool Whole = false;
};

/// One caller. Not thread-safe: each thread has its own.
class FakeCaller {
public:
  explicit FakeCaller(CallerOptions Options);

  /// Makes one call, with the resends that its options allow.
  /// \returns the attempts in order; none if no router address is known.
  std::vector<CallerAttempt> call(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body = "b");

  /// \returns the addresses in the directory's last answer.
  const std::set<std::string> &addresses() const { return Addresses; }

private:
  using Response = Poco::Net::HTTPResponse;

  void resolve();
  bool tryResolve(const std::string &Directory);
  std::string pickAddress();
  Poco::Net::HTTPClientSession &connection(const std::string &Address);
  CallerAttempt attempt(const std::string &Method, const std::string &Path,
                        const std::string &Body,
                        std::chrono::milliseconds Remaining, Response &Reply);
  bool mayResend(const CallerAttempt &Attempt) const;

  CallerOptions Options;
  RandomGenerator Random;
  int AttemptCount = 0;
  std::set<std::string> Addresses;
  /// Addresses at which an attempt of this caller failed since the directory's
  /// last answer.
  std::set<std::string> FailedAddresses;
  Timestamp AddressesExpireAt{};
  std::string KeptAddress;
  std::unique_ptr<Poco::Net::HTTPClientSession> KeptSession;
};

} // namespace ferry::fakes

#endif
