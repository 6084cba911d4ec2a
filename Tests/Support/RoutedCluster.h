/// \file
/// ferryd processes with the routed interface on loopback addresses, and the
/// calls of the users' platform to them.
#ifndef FERRY_TESTS_SUPPORT_ROUTEDCLUSTER_H
#define FERRY_TESTS_SUPPORT_ROUTEDCLUSTER_H

#include "Support/TestCluster.h"

namespace ferry::test {

/// Whether a control host may form a new log out of an empty disk.
enum class Formation : uint8_t { Allowed, Forbidden };

/// What a target says of itself.
struct Announcement {
  std::string Id;
  std::string Service;
  std::string Address;
  int Sequence = 1;
  std::string State = "ready";
  /// 0 for a plain service.
  int Weights = 0;
  /// The start of its incarnation, in milliseconds since the Unix epoch.
  int64_t IncarnationMillis = 1777919335160;
};

/// How the hosts reach each other.
enum class PeerLinks : uint8_t { Direct, ByProxies };

/// Control hosts 1 to 3 are seeds; further numbers are as they are started.
class RoutedCluster {
public:
  static constexpr int SeedCount = 3;

  /// Ports at which hosts are reached and, behind proxies, listen.
  static constexpr int PeerPort = 7340;
  static constexpr int HiddenPeerPort = 7341;

  explicit RoutedCluster(PeerLinks Links = PeerLinks::Direct);
  ~RoutedCluster();

  void startControl(int Host, Formation MayForm = Formation::Allowed);
  void startRouter(int Host);
  /// Starts the seeds and the routers 11 and 12.
  void startAll();
  TestProcess &host(int Host) { return *Hosts.at(Host); }
  void kill(int Host);
  void wipeDisk(int Host);

  /// "IP:port" for other hosts, and where the host listens if that is hidden.
  std::string peers(int Host) const;
  std::string hiddenPeers(int Host) const;
  std::string callers(int Host) const { return address(Host) + ":8080"; }
  std::string directory(int Host) const { return address(Host) + ":8081"; }
  std::string control(int Host) const { return address(Host) + ":8083"; }
  std::string figures(int Host) const { return address(Host) + ":9464"; }
  std::string readiness(int Host) const { return address(Host) + ":8089"; }

  /// Sends routes with this number: one that may run once for each number up to
  /// it, and "/many/", which may run twice.
  Answer putRoutes(int Host, int Number);
  /// Sends routes to control hosts 1 to 4 until one takes them.
  /// \returns whether one did.
  bool accepts(int Number);
  /// \returns whether the routers 11 and 12 serve the newest of these routes.
  bool serves(int Number);
  /// \returns the number of the routes that the host reads back, 0 for none.
  int routesAt(int Host);
  /// \returns the number of the routes that were \p Read back, 0 for none.
  static int routesIn(const Answer &Read);
  /// \returns whether the control host votes in the log.
  bool votes(int Host);
  /// \returns whether the directory of a router names the routers 11 and 12.
  bool namesRouters(int Host);
  Answer announce(int Host, const Announcement &Said);
  Answer nameWeights(int Host, int Weights);
  /// Calls the route that came with routes \p Number.
  Answer call(int Host, int Number, const std::string &Id = "r1");

private:
  std::string address(int Host) const;
  void start(int Host, const std::string &Settings);
  std::string common(int Host, const std::string &Role,
                     Formation MayForm) const;

  PeerLinks Links;
  std::string Network;
  std::filesystem::path Folder;
  std::map<int, std::unique_ptr<TestProcess>> Hosts;
};

} // namespace ferry::test

#endif
