/// \file
/// ferryd processes with the routed interface on loopback addresses, and the
/// calls of the users' platform to them.
#ifndef FERRY_TESTS_SUPPORT_ROUTEDCLUSTER_H
#define FERRY_TESTS_SUPPORT_ROUTEDCLUSTER_H

#include "Support/TestCluster.h"

namespace ferry::test {

/// Whether a control host with an empty disk may form a new log.
enum class LogFormation : uint8_t { Allowed, Forbidden };

/// The contents of a target's announcement.
struct Announcement {
  std::string Id;
  std::string Service;
  std::string Address;
  int Sequence = 1;
  std::string State = "ready";
  std::string Build = "v1";
  /// 0 for a plain service.
  int Weights = 0;
  /// The start of its incarnation, in milliseconds since the Unix epoch.
  int64_t IncarnationMillis = 1777919335160;
  int Slots = 4;
};

/// How the hosts reach each other.
enum class PeerLinks : uint8_t { Direct, ThroughProxies };

/// Control hosts 1 to 3 are the seeds. Other numbers have the role with which a
/// test starts them.
class RoutedCluster {
public:
  static constexpr int SeedCount = 3;

  /// The port at which peers reach a host, and the port on which it listens if
  /// the links go through proxies.
  static constexpr int PeerPort = 7340;
  static constexpr int ProxiedPeerPort = 7341;

  /// \param Seeds how many of the control hosts 1 to 3 there are. One alone
  /// tolerates no loss.
  explicit RoutedCluster(PeerLinks Links = PeerLinks::Direct,
                         int Seeds = SeedCount);
  ~RoutedCluster();

  /// Adds lines to the section "routed" of processes started from now on.
  void addRoutedSettings(const std::string &Lines) { RoutedSettings += Lines; }
  /// Adds sections to the settings of processes started from now on.
  void addSettings(const std::string &Lines) { Sections += Lines; }
  /// Sets the program of processes started from now on, and their variables.
  void setProgram(std::string Name, TestProcess::Environment Variables) {
    Program = std::move(Name);
    Environment = std::move(Variables);
  }
  void startControl(int Host, LogFormation MayForm = LogFormation::Allowed);
  void startRouter(int Host);
  /// Starts the seeds and the routers 11 and 12.
  void startAll();
  TestProcess &host(int Host) { return *Hosts.at(Host); }
  void kill(int Host);
  void wipeDisk(int Host);

  /// \returns "IP:port" at which peers reach the host, and on which it listens
  /// if the links go through proxies.
  std::string peers(int Host) const;
  std::string proxiedPeers(int Host) const;
  std::string callers(int Host) const { return address(Host) + ":8080"; }
  std::string directory(int Host) const { return address(Host) + ":8081"; }
  std::string control(int Host) const { return address(Host) + ":8083"; }
  std::string operators(int Host) const { return address(Host) + ":9464"; }
  std::string readiness(int Host) const { return address(Host) + ":8089"; }

  /// Sends routes of version \p Number: for each number up to it one whose
  /// requests may run once, "/many/", whose requests may run twice, and
  /// "/stream/", whose streams may be resumed, and "/flow/", whose streams may
  /// not.
  /// \param Extra how many further routes there are.
  Answer putRoutes(int Host, int Number, int Extra = 0);
  /// Sends a whole description.
  Answer putDescription(int Host, const std::string &Text);
  /// Sends routes to control hosts 1 to 4 until one accepts them.
  /// \returns whether one did.
  bool putRoutesAnywhere(int Number);
  /// \returns whether the routers 11 and 12 serve the newest of these routes.
  bool routersServe(int Number);
  /// Reads the routes from a control host.
  /// \returns their version; 0 for none.
  int routesVersionAt(int Host);
  /// \returns the version of the routes in the answer; 0 for none.
  static int routesVersionIn(const Answer &RoutesAnswer);
  /// \returns whether the control host is a voter of the log.
  bool isVoter(int Host);
  /// \returns whether the directory of a router lists the routers 11 and 12.
  bool directoryListsRouters(int Host);
  Answer announce(int Host, const Announcement &Details);
  /// Tells a control host that the target \p Id leaves, without its
  /// incarnation.
  Answer leave(int Host, const std::string &Id);
  /// Names the version of the weights that the engines are to load.
  Answer nameWeights(int Host, int Weights);
  /// Calls the route that was added by the routes of version \p Number.
  Answer call(int Host, int Number, const std::string &Id = "r1");

private:
  std::string address(int Host) const;
  void start(int Host, const std::string &Settings);
  std::string commonSettings(int Host, const std::string &Role,
                             LogFormation MayForm) const;

  PeerLinks Links;
  int Seeds;
  std::string RoutedSettings;
  std::string Sections;
  std::string Program = "ferryd";
  TestProcess::Environment Environment;
  std::string Network;
  std::filesystem::path Folder;
  std::map<int, std::unique_ptr<TestProcess>> Hosts;
};

} // namespace ferry::test

#endif
