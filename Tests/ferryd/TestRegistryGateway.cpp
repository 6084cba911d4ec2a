// Answers of the log and those that asked for them.
#include "LibCore/ControlLoop.h"
#include "LibRegistry/Commands.h"
#include "ferryd/OrderSender.h"
#include "ferryd/RegistryGateway.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::daemon;
using namespace ferry::registry;

namespace {

/// A gateway to one control host, whose answers a test gives.
struct GatewayBed {
  GatewayBed() {
    RegistryClient::Options Options;
    Options.ControlHosts = {{"c1"}};
    Options.Seed = 1;
    Gateway = std::make_unique<RegistryGateway>(
        Options, Loop,
        [this](const HostId &, const wire::RegistryRequest &Request) {
          Asked.push_back(Request.RequestNumber);
        });
  }

  void answer() {
    wire::RegistryReply Reply;
    Reply.RequestNumber = Asked.back();
    Reply.Status = wire::ReplyStatus::Answered;
    Reply.Answer = encodeReply(WeightsNamed{{"m"}, {2}});
    Gateway->receiveReply({"c1"}, Reply);
  }

  ControlLoop Loop;
  std::vector<int64_t> Asked;
  std::unique_ptr<RegistryGateway> Gateway;
};

} // namespace

// A log that a full disk stops ends those that ask it, while answers are due.
BOOST_FIXTURE_TEST_CASE(an_answer_does_not_reach_who_is_gone, GatewayBed) {
  for (bool Gone : {false, true}) {
    auto Owner = std::make_shared<char>();
    bool Answered = false;
    Gateway->submitFor<WeightsNamed>(
        Owner, NameWeights{{"m"}, {2}}, steadyNow() + std::chrono::seconds(9),
        [&Answered](auto Outcome) { Answered = Outcome.has_value(); });
    if (Gone)
      Owner.reset();
    answer();
    BOOST_TEST(Answered == !Gone);
  }
}
