// The gateway calls back with the registry's replies, unless the owner of the
// request has been destroyed.
#include "LibCore/ControlLoop.h"
#include "LibRegistry/Commands.h"
#include "ferryd/OrderSender.h"
#include "ferryd/RegistryGateway.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::daemon;
using namespace ferry::registry;

namespace {

/// A gateway to one control host, whose replies the test sends.
struct GatewayFixture {
  GatewayFixture() {
    RegistryClient::Options Options;
    Options.ControlHosts = {{"c1"}};
    Options.Seed = 1;
    Gateway = std::make_unique<RegistryGateway>(
        Options, Loop,
        [this](const HostId &, const wire::RegistryRequest &Request) {
          RequestNumbers.push_back(Request.RequestNumber);
        });
  }

  void answer() {
    wire::RegistryReply Reply;
    Reply.RequestNumber = RequestNumbers.back();
    Reply.Status = wire::ReplyStatus::Answered;
    Reply.Answer = encodeReply(WeightsNamed{{"m"}, {2}});
    Gateway->receiveReply({"c1"}, Reply);
  }

  ControlLoop Loop;
  std::vector<int64_t> RequestNumbers;
  std::unique_ptr<RegistryGateway> Gateway;
};

} // namespace

// When a full disk stops the log, the OrderDispatcher is destroyed while
// replies to it are outstanding; a callback into it would use freed memory.
BOOST_FIXTURE_TEST_CASE(a_reply_is_dropped_once_its_owner_is_destroyed,
                        GatewayFixture) {
  for (bool Destroyed : {false, true}) {
    auto Owner = std::make_shared<char>();
    bool Answered = false;
    Gateway->submitFor<WeightsNamed>(
        Owner, NameWeights{{"m"}, {2}}, steadyNow() + std::chrono::seconds(9),
        [&Answered](auto Outcome) { Answered = Outcome.has_value(); });
    if (Destroyed)
      Owner.reset();
    answer();
    BOOST_TEST(Answered == !Destroyed);
  }
}
