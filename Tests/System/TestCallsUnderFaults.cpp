// Guards against requests of a service that run twice, or whose outcome is
// reported wrongly, when callers resend a key through several hosts while hosts
// are killed or frozen or an answer is lost.
#include "Support/TestCluster.h"
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace ferry::test;

static const std::vector<int> Services = {101, 102};

/// A cluster with two services that count their writes by key.
struct ServiceCluster : TestCluster {
  ServiceCluster() {
    startAll();
    BOOST_REQUIRE(
        eventually([&] { return apply(4, 0, "first", 100).Status == 200; }));
    startFake("app-1", 101, {"--kind", "service", "--service", "app"});
    startFake("app-2", 102, {"--kind", "service", "--service", "app"});
    for (int Host = 1; Host <= HostCount; ++Host)
      BOOST_REQUIRE(eventually([&] {
        return writeRecord(Host, "warm-" + std::to_string(Host), "{}").Status ==
               201;
      }));
  }
};

/// Sends one key through several hosts at once, while \p Meanwhile runs.
static std::vector<Answer>
sendEverywhere(ServiceCluster &Cluster, const std::string &Key,
               const std::function<void()> &Meanwhile) {
  std::vector<int> Hosts = {1, 2, 4, 5};
  std::vector<Answer> Answers(Hosts.size());
  std::vector<std::thread> Callers;
  for (size_t Index = 0; Index < Hosts.size(); ++Index)
    Callers.emplace_back([&, Index] {
      Answers[Index] =
          Cluster.writeRecord(Hosts[Index], Key, "{\"title\":1}", 4000);
    });
  Meanwhile();
  for (std::thread &Caller : Callers)
    Caller.join();
  return Answers;
}

/// Checks the answers to one key against the counted writes.
static void checkAnswers(ServiceCluster &Cluster, const std::string &Key,
                         const std::vector<Answer> &Answers) {
  int Writes = Cluster.writes(Key, Services);
  BOOST_TEST(Writes <= 1, Key << " was written " << Writes << " times");
  for (const Answer &Each : Answers)
    if (Each.Status == 201)
      BOOST_TEST(Writes == 1, Key);
}

BOOST_FIXTURE_TEST_CASE(crossed_resends_write_once_and_agree, ServiceCluster) {
  auto Answers = sendEverywhere(*this, "crossed", [] {});
  checkAnswers(*this, "crossed", Answers);
  for (const Answer &Each : Answers) {
    BOOST_TEST(Each.Status == 201);
    BOOST_TEST(Each.Body == Answers.front().Body);
  }
  BOOST_TEST(writeRecord(5, "crossed", "{\"title\":2}").Status >= 400);
  BOOST_TEST(writeRecord(5, "", "{}").Status == 400);
}

BOOST_FIXTURE_TEST_CASE(kills_and_freezes_never_write_twice, ServiceCluster) {
  struct FaultCase {
    const char *Name;
    int Host;
    int Signal;
  };
  const FaultCase Cases[] = {{"router-killed", 4, SIGKILL},
                             {"router-frozen", 5, SIGSTOP},
                             {"control-killed", 1, SIGKILL},
                             {"control-frozen", 2, SIGSTOP}};
  for (const FaultCase &Case : Cases)
    for (int Round = 0; Round < 3; ++Round) {
      std::string Key = std::string(Case.Name) + "-" + std::to_string(Round);
      auto Answers = sendEverywhere(*this, Key, [&] {
        // The delay differs by round, so that the signal meets the requests in
        // different states. The result must be the same in all.
        std::this_thread::sleep_for(std::chrono::milliseconds(2 * Round));
        host(Case.Host).signal(Case.Signal);
      });
      if (Case.Signal == SIGKILL)
        startHost(Case.Host);
      else
        host(Case.Host).signal(SIGCONT);
      // A resend through a host without faults is always answered.
      Answer Last;
      BOOST_REQUIRE(eventually([&] {
        Last = writeRecord(3, Key, "{\"title\":1}", 4000);
        return Last.Status == 201 || Last.notRun() == "unknown";
      }));
      Answers.push_back(Last);
      checkAnswers(*this, Key, Answers);
    }
}

BOOST_FIXTURE_TEST_CASE(answer_lost_after_the_write_has_unknown_outcome,
                        ServiceCluster) {
  fake("app-2").kill();
  Answer FaultSet =
      request(fakeAddress(101), "POST", "/faults", "close_before_answer=1*1");
  BOOST_REQUIRE(FaultSet.Status == 200);
  Answer First = writeRecord(4, "lost-answer", "{}", 4000);
  BOOST_TEST(First.notRun() == "unknown", First.Body);
  Answer Resent = writeRecord(5, "lost-answer", "{}", 4000);
  BOOST_TEST(Resent.notRun() == "unknown", Resent.Body);
  BOOST_TEST(writes("lost-answer", {101}) == 1);
}
