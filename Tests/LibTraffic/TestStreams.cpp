#include "LibTraffic/EventSplitter.h"
#include "LibTraffic/TrafficBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <thread>

using namespace ferry;
using namespace ferry::traffic;
using namespace ferry::fakes;

namespace {

/// What a caller reads out of an event stream.
struct StreamRead {
  std::string Text;
  std::vector<uint64_t> Tokens;
  bool Done = false;
  std::string ErrorType;
};

StreamRead readStream(const std::string &Body) {
  EventSplitter Splitter;
  BOOST_TEST(Splitter.push(Body));
  StreamRead Read;
  while (auto Event = Splitter.next()) {
    if (Event->Data == "[DONE]") {
      Read.Done = true;
      continue;
    }
    auto Object = parseObject(Event->Data);
    BOOST_REQUIRE(Object);
    if (Object->has("error")) {
      Read.ErrorType =
          Object->getObject("error")->getValue<std::string>("type");
      continue;
    }
    Read.Tokens.push_back(Event->Token.value_or(9999));
    auto Delta = Object->getArray("choices")->getObject(0)->getObject("delta");
    Read.Text += Delta->optValue<std::string>("content", "");
  }
  return Read;
}

std::string prompt(bool Streams, uint64_t Tokens = 12,
                   const std::string &Question = "how many loans") {
  return std::string(R"({"model":"m","stream":)") +
         (Streams ? "true" : "false") +
         ",\"max_tokens\":" + std::to_string(Tokens) +
         R"(,"messages":[{"role":"user","content":")" + Question + "\"}]}";
}

/// Two engines of equal weights; both show the fault a limited number of times.
struct TwoEngines {
  explicit TwoEngines(TrafficLimits Limits = {}, uint64_t SecondWeights = 1)
      : Second(fakeOptions("e2", SecondWeights), EngineOptions()),
        Bed(Ledger, "host-1", 1, Limits) {
    Bed.add(First);
    Bed.add(Second);
  }
  LedgerStub Ledger;
  FakeEngine First{fakeOptions("e1"), EngineOptions()};
  FakeEngine Second;
  TrafficBed Bed;
};

/// A fault that is shown once by whichever engine is asked first.
struct FaultCase {
  const char *Fault;
  bool Streams;
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) {
  return Out << Case.Fault << (Case.Streams ? " streamed" : " whole");
}

const FaultCase MendedCases[] = {{"crash_after_tokens=1*1", true},
                                 {"crash_after_tokens=5*1", true},
                                 {"crash_after_tokens=12*1", true},
                                 {"crash_after_tokens=13*1", true},
                                 {"stall_after_tokens=4*1", true},
                                 {"early_done=1*1", true},
                                 {"skip_token=3*1", true},
                                 {"repeat_token=3*1", true},
                                 {"wrong_echo=1*1", true},
                                 {"close_before_answer=1*1", true},
                                 {"refuse=1*1", true},
                                 {"garbage=1*1", true},
                                 {"wrong_echo=1*1", false},
                                 {"close_before_answer=1*1", false},
                                 {"close_mid_answer=1*1", false},
                                 {"refuse=1*1", false},
                                 {"garbage=1*1", false}};

} // namespace

BOOST_DATA_TEST_CASE(a_fault_is_mended_and_the_answer_is_whole,
                     boost::unit_test::data::make(MendedCases), Case) {
  TrafficLimits Limits;
  Limits.StallLimit = std::chrono::milliseconds(300);
  TwoEngines Pair(Limits);
  Pair.First.faults().set(Case.Fault);
  // Placement is not this test's matter: ask until the first engine was tried.
  for (int Try = 0; Try < 100 && Pair.First.faults().active() > 0; ++Try) {
    std::string Body =
        prompt(Case.Streams, 12, "question " + std::to_string(Try));
    Reply Answer = Pair.Bed.chat(Body);
    BOOST_TEST(Answer.Status == 200);
    if (!Case.Streams) {
      auto Object = parseObject(Answer.Body);
      BOOST_REQUIRE(Object);
      BOOST_TEST(Object->getArray("choices")
                     ->getObject(0)
                     ->getObject("message")
                     ->getValue<std::string>("content") ==
                 fakeAnswer(Body, 12));
      continue;
    }
    StreamRead Read = readStream(Answer.Body);
    BOOST_TEST(Read.Text == fakeAnswer(Body, 12));
    BOOST_TEST(Read.Done);
    BOOST_TEST(Read.ErrorType == "");
    for (size_t I = 0; I < Read.Tokens.size(); ++I)
      BOOST_TEST(Read.Tokens[I] == I);
  }
  BOOST_TEST(Pair.First.faults().active() == 0);
}
