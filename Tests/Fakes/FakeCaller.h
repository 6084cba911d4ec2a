/// \file
/// A stand-in for callers of the users' platform: it asks the directory, keeps
/// connections, comes back after refusals and leaves early.
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

/// Which of its attempts a caller may make again.
enum class CallerRepeats : uint8_t {
  /// Only those that a promise says were not run.
  IfNotRun,
  /// Any that failed.
  Always
};

/// How a caller treats its connections.
enum class CallerConnections : uint8_t { Kept, NewEachTime };

/// How a caller behaves.
struct CallerHabits {
  /// Directories, nearest first; at most three are asked in turn.
  std::vector<std::string> Directories;
  std::string Name = "a.example";
  std::string DataCentre = "dc-0";
  CallerRepeats Repeats = CallerRepeats::IfNotRun;
  CallerConnections Connections = CallerConnections::Kept;
  /// For how many lifetimes an answer of the directory is used; some callers
  /// use it three times as long as they should.
  int Lifetimes = 1;
  /// How long one call may take in all.
  std::chrono::milliseconds Budget{8000};
  /// When an attempt is abandoned, if before its end.
  std::optional<std::chrono::milliseconds> LeavesAfter;
  /// Further headers of each request.
  std::map<std::string, std::string> Fields;
  /// Begins the ids of its attempts and draws its choices.
  std::string Prefix = "caller";
  uint64_t Seed = 1;
};

/// What became of one attempt.
struct CallerAttempt {
  std::string Id;
  std::string Address;
  /// 0 if the connection ended, or the caller left, without an answer.
  int Status = 0;
  std::string Body;
  /// Whether the answer came whole.
  bool Whole = false;
};

/// One caller. Not thread-safe: each thread has its own.
class FakeCaller {
public:
  explicit FakeCaller(CallerHabits Habits);

  /// Makes one call, with the attempts that its habits allow.
  /// \returns the attempts in order; none if the directory named nobody.
  std::vector<CallerAttempt> call(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body = "b");

  /// \returns the addresses that the directory gave last.
  const std::set<std::string> &known() const { return Known; }

private:
  using Response = Poco::Net::HTTPResponse;

  void resolve();
  bool tryResolve(const std::string &Directory);
  std::string pickAddress();
  Poco::Net::HTTPClientSession &connection(const std::string &Address);
  CallerAttempt attempt(const std::string &Method, const std::string &Path,
                        const std::string &Body, std::chrono::milliseconds Left,
                        Response &Answered);
  bool mayComeBack(const CallerAttempt &Made) const;

  CallerHabits Habits;
  RandomGenerator Random;
  int Attempts = 0;
  std::set<std::string> Known;
  /// Addresses that failed this caller since the directory's last answer.
  std::set<std::string> Failed;
  Timestamp KnownUntil{};
  std::string KeptAddress;
  std::unique_ptr<Poco::Net::HTTPClientSession> Kept;
};

} // namespace ferry::fakes

#endif
