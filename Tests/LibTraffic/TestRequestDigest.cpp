// Requests that a caller repeats have equal digests; others do not.
#include "LibTraffic/RequestDigest.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry;
using namespace ferry::traffic;
using Poco::Net::HTTPRequest;

static RequestDigest digest(const std::string &Method, const std::string &Host,
                            const std::string &Uri, const std::string &Caller,
                            const std::string &Body,
                            const std::vector<routing::PromptPart> &Parts = {},
                            const std::string &Id = "r1") {
  HTTPRequest Head(Method, Uri, HTTPRequest::HTTP_1_1);
  Head.setHost(Host);
  Head.set("X-Request-Id", Id);
  return digestOf(Head, Caller, Parts, Body);
}

BOOST_AUTO_TEST_CASE(a_repeated_request_has_the_same_digest) {
  RequestDigest First = digest("POST", "a", "/x/", "t", "b", {{1, 2}}, "r1");
  RequestDigest Second = digest("POST", "a", "/x/", "t", "b", {{1, 2}}, "r2");
  BOOST_TEST(First.Whole == Second.Whole);
  BOOST_TEST(First.Outline == Second.Outline);
}

BOOST_AUTO_TEST_CASE(each_field_tells_requests_apart) {
  std::set<uint64_t> Seen = {
      digest("POST", "a", "/x/", "t", "b").Whole,
      digest("PUT", "a", "/x/", "t", "b").Whole,
      digest("POST", "b", "/x/", "t", "b").Whole,
      digest("POST", "a", "/x/?", "t", "b").Whole,
      digest("POST", "a", "/x/", "u", "b").Whole,
      digest("POST", "a", "/x/", "t", "c").Whole,
      digest("POST", "a", "/x/", "t", "").Whole,
      digest("POST", "a", "/x/", "tb", "").Whole,
      digest("POST", "a", "/x/t", "", "b").Whole,
      digest("POST", "a", "/x/", "t", "b", {{1, 2}}).Whole,
      digest("POST", "a", "/x/", "t", "b", {{2, 1}}).Whole,
      digest("POST", "a", "/x/", "t", "b", {{1, 2}, {3, 4}}).Whole};
  BOOST_TEST(Seen.size() == 12U);
  BOOST_TEST(digest("POST", "a", "/x/", "t", "b", {{1, 2}}).Outline ==
             digest("POST", "a", "/x/", "t", "b").Whole);
}
