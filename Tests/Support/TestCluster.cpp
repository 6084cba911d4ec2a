#include "Support/TestCluster.h"
#include "LibCore/Time.h"
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <cstdio>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace ferry::test {

using namespace std::chrono_literals;

static constexpr int ControlHosts = 3;
/// Long enough that only a condition that never holds reaches it.
static constexpr Duration PollLimit = 40s;
static constexpr Duration PollPause = 20ms;
static constexpr int DumpTimeoutMillis = 2000;
static constexpr const char *OperatorToken = "test-operator-token";

static Poco::JSON::Object::Ptr parseObject(const std::string &Text) {
  try {
    Poco::JSON::Parser Parser;
    return Parser.parse(Text).extract<Poco::JSON::Object::Ptr>();
  } catch (const std::exception &) {
    return nullptr;
  }
}

std::string Answer::notRun() const {
  auto Object = parseObject(Body);
  if (!Object || !Object->isObject("error"))
    return "";
  return Object->getObject("error")->getValue<std::string>("not_run");
}

Answer request(const std::string &Address, const std::string &Method,
               const std::string &Path, const std::string &Body,
               const Headers &Fields, int TimeoutMillis) {
  Answer Result;
  try {
    Poco::Net::SocketAddress Parsed(Address);
    Poco::Net::HTTPClientSession Session(Parsed.host().toString(),
                                         Parsed.port());
    Session.setTimeout(
        Poco::Timespan(TimeoutMillis * Poco::Timespan::MILLISECONDS));
    Poco::Net::HTTPRequest Request(Method, Path, "HTTP/1.1");
    for (const auto &[Name, Value] : Fields)
      Request.set(Name, Value);
    Request.setContentLength(static_cast<std::streamsize>(Body.size()));
    Session.sendRequest(Request) << Body;
    Poco::Net::HTTPResponse Response;
    Poco::StreamCopier::copyToString(Session.receiveResponse(Response),
                                     Result.Body);
    Result.Status = Response.getStatus();
  } catch (const std::exception &) {
    Result.Status = 0;
  }
  return Result;
}

TestCluster::TestCluster() {
  int Process = getpid();
  Network = "127." + std::to_string(64 + (Process >> 8) % 64) + "." +
            std::to_string(Process & 255) + ".";
  Folder = std::filesystem::temp_directory_path() /
           ("ferry-system-" + std::to_string(Process));
  std::filesystem::remove_all(Folder);
  std::filesystem::create_directories(Folder);
  std::ofstream(Folder / "key") << "test-cluster-key\n";
  std::ofstream(Folder / "tokens") << "operator: " << OperatorToken << "\n";
  for (int Host = 1; Host <= HostCount; ++Host)
    std::ofstream(Folder / ("host-" + std::to_string(Host) + ".yaml"))
        << settingsText(Host);
}

TestCluster::~TestCluster() {
  Fakes.clear();
  Hosts.clear();
  std::filesystem::remove_all(Folder);
}

std::string TestCluster::hostAddress(int Host) const {
  return Network + std::to_string(10 + Host);
}

std::string TestCluster::fakeAddress(int LastOctet) const {
  return Network + std::to_string(LastOctet) + ":9000";
}

std::filesystem::path TestCluster::dataFolder(int Host) const {
  return Folder / ("data-" + std::to_string(Host));
}

std::string TestCluster::targetList() const {
  std::string List;
  for (int Host = 1; Host <= HostCount; ++Host)
    List += (Host > 1 ? "," : "") + hostAddress(Host) + ":8081";
  return List;
}

static std::string hostName(int Host) { return "host-" + std::to_string(Host); }

static std::string roleOf(int Host) {
  return Host <= ControlHosts ? "control" : "router";
}

std::string TestCluster::settingsText(int Host) const {
  std::string OwnAddress = hostAddress(Host);
  std::string Text = "cluster: test\nhost: " + hostName(Host) +
                     "\ndata_centre: a\nrole: " + roleOf(Host) + "\n";
  Text += "listen: {callers: " + OwnAddress + ":8080, targets: " + OwnAddress +
          ":8081, operators: " + OwnAddress + ":8082, peers: " + OwnAddress +
          ":8083}\n";
  Text += "hosts:\n";
  for (int Other = 1; Other <= HostCount; ++Other) {
    std::string Address = hostAddress(Other);
    Text += "  - {id: " + hostName(Other) + ", data_centre: a, role: ";
    Text += roleOf(Other) + ", peers: " + Address + ":8083, callers: ";
    Text += Address + ":8080, targets: " + Address + ":8081}\n";
  }
  if (Host <= ControlHosts)
    Text += "data_folder: " + dataFolder(Host).string() + "\n";
  Text += "cluster_key_file: key\ntoken_file: tokens\nlog_level: error\n";
  Text += "entry_lifetime_ms: 500\n";
  return Text;
}

void TestCluster::startHost(int Host) {
  std::string Settings = (Folder / (hostName(Host) + ".yaml")).string();
  Hosts[Host] = std::make_unique<TestProcess>(
      std::string(FERRY_BINARY_DIR) + "/ferryd",
      std::vector<std::string>{"--settings", Settings});
}

void TestCluster::startAll() {
  for (int Host = 1; Host <= HostCount; ++Host)
    startHost(Host);
}

void TestCluster::killHost(int Host) { Hosts.erase(Host); }

void TestCluster::wipeDisk(int Host) {
  std::filesystem::remove_all(dataFolder(Host));
}

void TestCluster::saveDisk(int Host) {
  std::filesystem::path Copy = dataFolder(Host).string() + "-saved";
  std::filesystem::remove_all(Copy);
  std::filesystem::copy(dataFolder(Host), Copy,
                        std::filesystem::copy_options::recursive);
}

void TestCluster::restoreDisk(int Host) {
  wipeDisk(Host);
  std::filesystem::rename(dataFolder(Host).string() + "-saved",
                          dataFolder(Host));
}

void TestCluster::startFake(const std::string &Id, int LastOctet,
                            std::vector<std::string> Arguments) {
  std::vector<std::string> AllArguments = {
      "--id",          Id,  "--listen", fakeAddress(LastOctet),
      "--data-centre", "a", "--hosts",  targetList()};
  AllArguments.insert(AllArguments.end(), Arguments.begin(), Arguments.end());
  Fakes[Id] = std::make_unique<TestProcess>(
      std::string(FERRY_BINARY_DIR) + "/ferryfake", AllArguments);
}

Answer TestCluster::apply(int Host, int Base, const std::string &Operation,
                          int MaxQueued, int TimeoutMillis) {
  std::string Text = "deployment: test\nregion: r\ndata_centres: [a]\n"
                     "workspaces: [{id: w, share: 1}]\nservices:\n"
                     "  - {id: lm, kind: engine, model: lm, weights: 1}\n"
                     "  - {id: app, kind: service, non_idempotent: "
                     "[{method: POST, path: /holds}]}\n"
                     "limits: {max_queued: ";
  Text += std::to_string(MaxQueued) + "}\n";
  Headers Fields = {{"Authorization", std::string("Bearer ") + OperatorToken},
                    {"If-Match", "\"" + std::to_string(Base) + "\""},
                    {"X-Operation-Id", Operation}};
  return request(operators(Host), "PUT", "/v1/description", Text, Fields,
                 TimeoutMillis);
}

std::string TestCluster::dumpValue(int Host, const std::string &Section,
                                   const std::string &Name) {
  Headers Fields = {{"Authorization", std::string("Bearer ") + OperatorToken}};
  Answer Dump = request(operators(Host), "GET", "/v1/dump", "", Fields,
                        DumpTimeoutMillis);
  auto DumpObject = parseObject(Dump.Body);
  if (!DumpObject || !DumpObject->isObject("control"))
    return "";
  auto SectionObject = DumpObject->getObject("control")->getObject(Section);
  return SectionObject && SectionObject->has(Name)
             ? SectionObject->get(Name).convert<std::string>()
             : "";
}

int TestCluster::numberInForce(int Host) {
  std::string Number = dumpValue(Host, "host", "description_number");
  return Number.empty() ? -1 : std::stoi(Number);
}

int TestCluster::requestsInProgress(int Host) {
  Headers Fields = {{"Authorization", std::string("Bearer ") + OperatorToken}};
  Answer Dump = request(operators(Host), "GET", "/v1/dump", "", Fields,
                        DumpTimeoutMillis);
  auto DumpObject = parseObject(Dump.Body);
  if (!DumpObject || !DumpObject->isObject("traffic"))
    return -1;
  return DumpObject->getObject("traffic")->optValue<int>("in_hand", -1);
}

Answer TestCluster::writeRecord(int Host, const std::string &Key,
                                const std::string &Body, int TimeoutMillis) {
  Headers Fields = {{"X-Workspace", "w"},
                    {"X-Deadline-Ms", std::to_string(TimeoutMillis)}};
  if (!Key.empty())
    Fields["Idempotency-Key"] = Key;
  return request(callers(Host), "POST", "/v1/services/app/holds", Body, Fields,
                 TimeoutMillis + 2000);
}

Answer TestCluster::chat(int Host, const std::string &Prompt) {
  std::string Body =
      "{\"model\":\"lm\",\"max_tokens\":3,\"messages\":[{\"role\":"
      "\"user\",\"content\":\"" +
      Prompt + "\"}]}";
  return request(callers(Host), "POST", "/v1/chat/completions", Body,
                 {{"X-Workspace", "w"}});
}

int TestCluster::writes(const std::string &Key,
                        const std::vector<int> &LastOctets) {
  int Total = 0;
  for (int LastOctet : LastOctets) {
    auto Object =
        parseObject(request(fakeAddress(LastOctet), "GET", "/counts").Body);
    if (Object && Object->isObject("counts"))
      Total += Object->getObject("counts")->optValue<int>(Key, 0);
  }
  return Total;
}

bool TestCluster::eventually(const std::function<bool()> &Condition) {
  Timestamp Limit = steadyNow() + PollLimit;
  while (steadyNow() < Limit) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(PollPause);
  }
  return false;
}

} // namespace ferry::test
