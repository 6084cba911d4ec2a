// Each answer of a target is below the bound for one, but together they would
// take the memory of a small host.
#include "Fakes/FakeScriptedTarget.h"
#include "LibTraffic/TrafficBed.h"

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;

BOOST_AUTO_TEST_CASE(the_sum_of_large_answers_is_bounded) {
  static constexpr int Requests = 8;
  static constexpr size_t AnswerBytes = 12 << 20;
  LedgerStub Ledger;
  TrafficBed Bed(Ledger);
  std::atomic<int> Started = 0;
  std::atomic<bool> Stopping = false;
  FakeScriptedTarget Target([&](const ReceivedRequest &Received,
                                ScriptedConnection &Link) {
    ++Started;
    if (Received.Head.getURI().find("small") != std::string::npos)
      return (void)Link.write("HTTP/1.1 200 OK\r\nContent-Length: "
                              "4\r\n\r\ndone");
    if (Link.write("HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n" +
                   std::string(AnswerBytes, 'a')))
      while (!Stopping && !Link.awaitPeerClosed(std::chrono::milliseconds(50)))
        ;
  });
  TargetRecord Record = fakeOptions("app-1").Record;
  Record.Address = Target.address();
  Record.Kind = TargetKind::PlainService;
  Record.Phase = TargetPhase::Ready;
  Record.Load.MaxConcurrent = 4 * Requests;
  Record.UsableUntil = NeverExpires;
  Bed.View.Targets.push_back(Record);
  Bed.publishView();
  auto Get = [&](const std::string &Name) {
    return ask(Bed.Front->callerAddress(), "GET", "/v1/services/app/" + Name,
               {{"X-Workspace", "w1"}, {"X-Deadline-Ms", "20000"}});
  };
  BOOST_TEST(waitFor([&] { return Get("small").Status == 200; }));
  std::atomic<int> Refused = 0;
  std::vector<std::thread> Callers;
  Callers.reserve(Requests);
  for (int Count = 0; Count < Requests; ++Count)
    Callers.emplace_back([&] {
      if (Get("large").Status != 200 && !Stopping)
        ++Refused;
    });
  constexpr auto Fitting =
      static_cast<int>(TrafficContext::MaxLargeAnswerBytes / AnswerBytes);
  Timestamp Limit = steadyNow() + std::chrono::seconds(10);
  while (Refused < Requests - Fitting && steadyNow() < Limit)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  BOOST_TEST(Refused >= Requests - Fitting);
  BOOST_TEST(Get("small").Body == "done");
  Stopping = true;
  for (std::thread &Caller : Callers)
    Caller.join();
}
