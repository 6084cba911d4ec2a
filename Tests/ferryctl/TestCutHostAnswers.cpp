// A host that stops inside the head of its answer has not answered: the HTTP
// library's client takes the rest of the head for empty, and a change looked
// accepted although fields of the answer were missing.
#include "Fakes/FakeScriptedTarget.h"
#include "ferryctl/HttpClient.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::ctl;

BOOST_AUTO_TEST_CASE(an_answer_cut_inside_its_head_is_no_answer) {
  const std::string Whole =
      "HTTP/1.1 200 OK\r\nETag: \"12\"\r\nX-Operation-Id: operation-1\r\n"
      "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}";
  std::atomic<size_t> Size = 0;
  fakes::FakeScriptedTarget Host(
      [&](const fakes::ReceivedRequest &, fakes::ScriptedConnection &Link) {
        Link.write(Whole.substr(0, Size));
      });
  HttpRequest Request;
  Request.Method = "PUT";
  Request.Path = "/v1/description";
  auto Ask = [&] {
    return tryExchange(Host.address(), Request,
                       steadyNow() + std::chrono::seconds(10));
  };
  for (Size = 0; Size < Whole.size(); ++Size) {
    auto Answer = Ask();
    BOOST_TEST(!Answer.has_value(), Size);
  }
  auto Answer = Ask();
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(Answer->EntityTag == "\"12\"");
  BOOST_TEST(Answer->Body == "{}");
}
