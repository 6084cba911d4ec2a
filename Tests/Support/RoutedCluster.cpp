#include "Support/RoutedCluster.h"
#include <fstream>
#include <unistd.h>

namespace ferry::test {

static constexpr int CallTimeoutMillis = 1500;

RoutedCluster::RoutedCluster(PeerLinks Links, int Seeds)
    : Links(Links), Seeds(Seeds) {
  int Process = getpid();
  Network = "127." + std::to_string(64 + (Process >> 8) % 64) + "." +
            std::to_string(Process & 255) + ".";
  Folder = std::filesystem::temp_directory_path() /
           ("ferry-routed-" + std::to_string(Process));
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
}

RoutedCluster::~RoutedCluster() {
  Hosts.clear();
  std::filesystem::remove_all(Folder);
}

std::string RoutedCluster::peers(int Host) const {
  return address(Host) + ":" + std::to_string(PeerPort);
}

std::string RoutedCluster::proxiedPeers(int Host) const {
  return address(Host) + ":" + std::to_string(ProxiedPeerPort);
}

std::string RoutedCluster::address(int Host) const {
  return Network + std::to_string(Host);
}

std::string RoutedCluster::commonSettings(int Host, const std::string &Role,
                                          LogFormation MayForm) const {
  std::string Text = "cluster: test\ncluster_key: test\nhost: \"" +
                     address(Host) + "\"\ndata_centre: dc-" +
                     std::to_string(Host % 2) + "\nrole: " + Role +
                     "\ninterface: routed\ndiscovery:\n  seeds: [";
  for (int Seed = 1; Seed <= Seeds; ++Seed)
    Text += (Seed > 1 ? ", \"" : "\"") + control(Seed) + "\"";
  Text += "]\n  may_form_log: ";
  Text += MayForm == LogFormation::Allowed ? "true\n" : "false\n";
  if (Seeds == 1)
    Text += "  tolerable_losses: 0\n";
  if (Links == PeerLinks::ThroughProxies)
    Text += "  peer_port: " + std::to_string(PeerPort) + "\n";
  Text += "routed:\n  announce_interval_ms: 400\n  grace_ms: 3000\n"
          "  directory_lifetime_ms: 200\n  targets_check_fencing: true\n" +
          RoutedSettings + Sections;
  Text +=
      "listen:\n  operators: \"" + operators(Host) + "\"\n  peers: \"" +
      (Links == PeerLinks::ThroughProxies ? proxiedPeers(Host) : peers(Host)) +
      "\"\n";
  return Text;
}

void RoutedCluster::start(int Host, const std::string &Settings) {
  std::filesystem::path File = Folder / (std::to_string(Host) + ".yaml");
  std::ofstream(File) << Settings;
  Hosts[Host] = std::make_unique<TestProcess>(
      FERRY_BINARY_DIR "/" + Program,
      std::vector<std::string>{"--settings", File.string()}, Environment);
}

void RoutedCluster::startControl(int Host, LogFormation MayForm) {
  start(Host, commonSettings(Host, "control", MayForm) + "  control: \"" +
                  control(Host) + "\"\ndata_folder: \"" +
                  (Folder / std::to_string(Host)).string() + "\"\n");
}

void RoutedCluster::startRouter(int Host) {
  start(Host, commonSettings(Host, "router", LogFormation::Forbidden) +
                  "  callers: \"" + callers(Host) + "\"\n  directory: \"" +
                  directory(Host) + "\"\n  readiness: \"" + readiness(Host) +
                  "\"\n");
}

void RoutedCluster::startAll() {
  for (int Host = 1; Host <= Seeds; ++Host)
    startControl(Host);
  startRouter(11);
  startRouter(12);
}

void RoutedCluster::kill(int Host) {
  Hosts.at(Host)->kill();
  Hosts.erase(Host);
}

void RoutedCluster::wipeDisk(int Host) {
  std::filesystem::remove_all(Folder / std::to_string(Host));
}

Answer RoutedCluster::putRoutes(int Host, int Number, int Extra) {
  std::string Routes =
      R"({"name":"many","host":"a.example","path_prefix":"/many/",)"
      R"("route_kind":"idempotent","timeout_ms":2000,"service":"app",)"
      R"("max_attempts":2},)"
      R"({"name":"stream","host":"a.example","path_prefix":"/stream/",)"
      R"("route_kind":"stream","timeout_ms":4000,"service":"lm",)"
      R"("max_attempts":2,"resumable":true},)"
      R"({"name":"flow","host":"a.example","path_prefix":"/flow/",)"
      R"("route_kind":"stream","timeout_ms":4000,"service":"lm"})";
  for (int Each = 1; Each <= Number; ++Each)
    Routes += R"(,{"name":"r)" + std::to_string(Each) +
              R"(","host":"a.example","path_prefix":"/)" +
              std::to_string(Each) +
              R"(/","route_kind":"non_idempotent","timeout_ms":2000,)"
              R"("service":"app"})";
  for (int Each = 1; Each <= Extra; ++Each)
    Routes += R"(,{"name":"extra-)" + std::to_string(Each) +
              R"(","host":"host-)" + std::to_string(Each % 97) +
              R"(.example","path_prefix":"/extra/)" + std::to_string(Each) +
              R"(/","route_kind":"idempotent","timeout_ms":2000,)"
              R"("target_latency_ms":300,"priority":2,"max_attempts":2,)"
              R"("public":false,"sticky":false,"resumable":false,)"
              R"("traffic_split":[{"service":"app","weight":100}]})";
  std::string Text = R"({"version":)" + std::to_string(Number) +
                     R"(,"routes":[)" + Routes +
                     R"(],"services":[{"name":"app"},{"name":"lm","engine":)"
                     R"({"slots":4,"kv_capacity":1000,"kv_token_bytes":1,)"
                     R"("link_mbps":1,"models":[{"name":"m0"}]}}]})";
  return putDescription(Host, Text);
}

Answer RoutedCluster::putDescription(int Host, const std::string &Text) {
  return request(control(Host), "PUT", "/config", Text, {}, CallTimeoutMillis);
}

bool RoutedCluster::putRoutesAnywhere(int Number) {
  for (int Host = 1; Host <= SeedCount + 1; ++Host)
    if (putRoutes(Host, Number).Status == 200)
      return true;
  return false;
}

bool RoutedCluster::routersServe(int Number) {
  return call(11, Number).Status == 200 && call(12, Number).Status == 200;
}

int RoutedCluster::routesVersionAt(int Host) {
  return routesVersionIn(
      request(control(Host), "GET", "/config", "", {}, CallTimeoutMillis));
}

int RoutedCluster::routesVersionIn(const Answer &RoutesAnswer) {
  size_t VersionAt = RoutesAnswer.Body.find("\"version\":");
  if (RoutesAnswer.Status != 200 || VersionAt == std::string::npos)
    return 0;
  return std::stoi(RoutesAnswer.Body.substr(VersionAt + 10));
}

bool RoutedCluster::isVoter(int Host) {
  std::string Dump = request(operators(Host), "GET", "/v1/dump").Body;
  return Dump.find("\"standing\" : \"voter\"") != std::string::npos ||
         Dump.find("\"standing\": \"voter\"") != std::string::npos;
}

bool RoutedCluster::directoryListsRouters(int Host) {
  std::string Body = request(directory(Host), "GET",
                             "/resolve?name=a.example&region=r&zone=dc-1")
                         .Body;
  return Body.find(callers(11)) != std::string::npos &&
         Body.find(callers(12)) != std::string::npos;
}

Answer RoutedCluster::announce(int Host, const Announcement &Details) {
  std::string Models;
  if (Details.Weights > 0)
    Models = R"("models":[{"name":"m0","version":)" +
             std::to_string(Details.Weights) + R"(,"adapters":[]}],)";
  return request(control(Host), "PUT", "/instances/" + Details.Id,
                 R"({"service":")" + Details.Service + R"(","addr":")" +
                     Details.Address + R"(","zone":"dc-0","version":")" +
                     Details.Build + R"(","slots":)" +
                     std::to_string(Details.Slots) + R"(,"state":")" +
                     Details.State + R"(","cold_left_ms":0,)" + Models +
                     R"("born":)" + std::to_string(Details.IncarnationMillis) +
                     R"(,"seq":)" + std::to_string(Details.Sequence) + "}",
                 {}, CallTimeoutMillis);
}

Answer RoutedCluster::leave(int Host, const std::string &Id) {
  return request(control(Host), "DELETE", "/instances/" + Id, "", {},
                 CallTimeoutMillis);
}

Answer RoutedCluster::nameWeights(int Host, int Weights) {
  return request(control(Host), "POST", "/version-put",
                 R"({"model":"m0","version":)" + std::to_string(Weights) + "}",
                 {}, CallTimeoutMillis);
}

Answer RoutedCluster::call(int Host, int Number, const std::string &Id) {
  return request(callers(Host), "POST", "/" + std::to_string(Number) + "/x",
                 "b", {{"Host", "a.example"}, {"X-Request-Id", Id}},
                 CallTimeoutMillis);
}

} // namespace ferry::test
