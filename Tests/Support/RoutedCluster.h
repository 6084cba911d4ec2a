/// \file
/// ferryd processes with the routed interface on loopback addresses, and the
/// calls of the users' platform to them.
#ifndef FERRY_TESTS_SUPPORT_ROUTEDCLUSTER_H
#define FERRY_TESTS_SUPPORT_ROUTEDCLUSTER_H

#include "Support/TestCluster.h"

namespace ferry::test {

/// Whether a control host may form a new log out of an empty disk.
enum class Formation : uint8_t { Allowed, Forbidden };

/// Control hosts 1 to 3 are seeds; further numbers are as they are started.
class RoutedCluster {
public:
  static constexpr int SeedCount = 3;

  RoutedCluster();
  ~RoutedCluster();

  void startControl(int Host, Formation MayForm = Formation::Allowed);
  void startRouter(int Host);
  /// Starts the seeds and the routers 11 and 12.
  void startAll();
  TestProcess &host(int Host) { return *Hosts.at(Host); }
  void kill(int Host);
  void wipeDisk(int Host);

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
  Answer announce(int Host, const std::string &Id, const std::string &Service,
                  const std::string &Address, int Sequence,
                  const std::string &State, int Weights = 0);
  Answer nameWeights(int Host, int Weights);
  /// Calls the route that came with routes \p Number.
  Answer call(int Host, int Number, const std::string &Id = "r1");

private:
  std::string address(int Host) const;
  void start(int Host, const std::string &Settings);
  std::string common(int Host, const std::string &Role,
                     Formation MayForm) const;

  std::string Network;
  std::filesystem::path Folder;
  std::map<int, std::unique_ptr<TestProcess>> Hosts;
};

} // namespace ferry::test

#endif
