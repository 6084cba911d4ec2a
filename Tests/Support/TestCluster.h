/// \file
/// A few ferryd processes and stand-ins for targets on loopback addresses.
#ifndef FERRY_TESTS_SUPPORT_TESTCLUSTER_H
#define FERRY_TESTS_SUPPORT_TESTCLUSTER_H

#include "Support/TestProcess.h"
#include <Poco/JSON/Object.h>
#include <filesystem>
#include <functional>
#include <map>
#include <string>

namespace ferry::test {

/// An HTTP answer; status 0 if there was none.
struct Answer {
  int Status = 0;
  std::string Body;

  /// \returns the error's "not_run" as text, or "" if there is none.
  std::string notRun() const;
};

/// Headers of a request, by name.
using Headers = std::map<std::string, std::string>;

/// Sends one request over a connection of its own.
Answer request(const std::string &Address, const std::string &Method,
               const std::string &Path, const std::string &Body = "",
               const Headers &Fields = {}, int TimeoutMillis = 8000);

/// Hosts 1 to HostCount, the first three with the role control.
class TestCluster {
public:
  static constexpr int HostCount = 5;

  TestCluster();
  ~TestCluster();

  void startHost(int Host);
  void startAll();
  TestProcess &host(int Host) { return *Hosts.at(Host); }
  void killHost(int Host);
  /// Empties the data folder of a host that does not run.
  void wipeDisk(int Host);
  /// Keeps a copy of a host's data folder, or puts the copy back.
  void saveDisk(int Host);
  void restoreDisk(int Host);

  /// Starts a stand-in; \p Place is the last part of its address.
  void startFake(const std::string &Id, int Place,
                 std::vector<std::string> More);
  TestProcess &fake(const std::string &Id) { return *Fakes.at(Id); }
  std::string fakeAddress(int Place) const;

  std::string callers(int Host) const { return hostAddress(Host) + ":8080"; }
  std::string operators(int Host) const { return hostAddress(Host) + ":8082"; }

  /// Proposes a description that differs by \p MaxQueued.
  Answer apply(int Host, int Base, const std::string &Operation, int MaxQueued,
               int TimeoutMillis = 8000);
  /// \returns the number in force on the host, or -1 if it does not answer.
  int numberInForce(int Host);
  /// \returns a member of a section of the host's dump as text, or "".
  std::string dumpValue(int Host, const std::string &Section,
                        const std::string &Name);
  /// \returns the callers' requests in work on the host, or -1.
  int requestsInHand(int Host);
  /// Calls the plain service; an empty key sends none.
  Answer record(int Host, const std::string &Key, const std::string &Body,
                int TimeoutMillis = 8000);
  Answer chat(int Host, const std::string &Prompt);
  /// \returns how often the key was written, over all services.
  int writes(const std::string &Key, const std::vector<int> &Places);

  /// Polls until \p Done holds; gives up after a generous bound.
  /// \returns whether it held.
  static bool eventually(const std::function<bool()> &Done);

private:
  std::string hostAddress(int Host) const;
  std::string settingsText(int Host) const;
  std::string targetList() const;
  std::filesystem::path dataFolder(int Host) const;

  /// First three parts of all addresses, the process's own.
  std::string Network;
  std::filesystem::path Folder;
  std::map<int, std::unique_ptr<TestProcess>> Hosts;
  std::map<std::string, std::unique_ptr<TestProcess>> Fakes;
};

} // namespace ferry::test

#endif
