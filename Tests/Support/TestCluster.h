/// \file
/// ferryd processes and stand-ins for targets (ferryfake processes) on loopback
/// addresses.
#ifndef FERRY_TESTS_SUPPORT_TESTCLUSTER_H
#define FERRY_TESTS_SUPPORT_TESTCLUSTER_H

#include "Support/TestProcess.h"
#include <Poco/JSON/Object.h>
#include <filesystem>
#include <functional>
#include <map>
#include <string>

namespace ferry::test {

/// An HTTP answer. Status 0 means that there was none.
struct Answer {
  int Status = 0;
  std::string Body;

  /// \returns the "not_run" of the error in the body as text; "" if there is no
  /// error.
  std::string notRun() const;
};

/// Headers of a request, by name.
using Headers = std::map<std::string, std::string>;

/// Sends one request over a new connection.
Answer request(const std::string &Address, const std::string &Method,
               const std::string &Path, const std::string &Body = "",
               const Headers &Fields = {}, int TimeoutMillis = 8000);

/// Hosts 1 to HostCount. The first three have the role control, the others
/// router.
class TestCluster {
public:
  static constexpr int HostCount = 5;

  TestCluster();
  ~TestCluster();

  void startHost(int Host);
  void startAll();
  TestProcess &host(int Host) { return *Hosts.at(Host); }
  void killHost(int Host);
  /// Deletes the data folder of a host that does not run.
  void wipeDisk(int Host);
  /// Copies a host's data folder, and replaces the folder by the copy.
  void saveDisk(int Host);
  void restoreDisk(int Host);

  /// Starts a ferryfake with these \p Arguments in addition to the common ones.
  /// \p LastOctet is the last part of its address.
  void startFake(const std::string &Id, int LastOctet,
                 std::vector<std::string> Arguments);
  TestProcess &fake(const std::string &Id) { return *Fakes.at(Id); }
  std::string fakeAddress(int LastOctet) const;

  std::string callers(int Host) const { return hostAddress(Host) + ":8080"; }
  std::string operators(int Host) const { return hostAddress(Host) + ":8082"; }

  /// Sends a description that differs from others in \p MaxQueued, as a change
  /// of number \p Base.
  Answer apply(int Host, int Base, const std::string &Operation, int MaxQueued,
               int TimeoutMillis = 8000);
  /// \returns the number of the description in force on the host; -1 if it does
  /// not answer.
  int numberInForce(int Host);
  /// \returns a member of a section of the host's control dump as text; "" if
  /// there is none.
  std::string dumpValue(int Host, const std::string &Section,
                        const std::string &Name);
  /// \returns the number of callers' requests in progress on the host; -1 if it
  /// does not answer.
  int requestsInProgress(int Host);
  /// Calls the plain service to write a record. An empty key sends no
  /// Idempotency-Key.
  Answer writeRecord(int Host, const std::string &Key, const std::string &Body,
                     int TimeoutMillis = 8000);
  Answer chat(int Host, const std::string &Prompt);
  /// \returns how often the key was written, over the services at the addresses
  /// with these last parts.
  int writes(const std::string &Key, const std::vector<int> &LastOctets);

  /// Polls until \p Condition holds or a generous time limit passes.
  /// \returns whether it held.
  static bool eventually(const std::function<bool()> &Condition);

private:
  std::string hostAddress(int Host) const;
  std::string settingsText(int Host) const;
  std::string targetList() const;
  std::filesystem::path dataFolder(int Host) const;

  /// The first three parts of all addresses. They differ between test
  /// processes, so that several can run at once.
  std::string Network;
  std::filesystem::path Folder;
  std::map<int, std::unique_ptr<TestProcess>> Hosts;
  std::map<std::string, std::unique_ptr<TestProcess>> Fakes;
};

} // namespace ferry::test

#endif
