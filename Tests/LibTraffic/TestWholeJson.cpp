// The check that an answer is one whole JSON object, which keeps no values,
// must agree with the parser that keeps them. Without a handler the parser took
// each null for an error.
#include "LibTraffic/HeldBody.h"
#include "LibTraffic/Json.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static std::string nested(int Levels) {
  std::string Text;
  for (int Level = 0; Level < Levels; ++Level)
    Text += "{\"a\":";
  return Text + "1" + std::string(Levels, '}');
}

static const std::vector<std::string> Texts = {
    "",
    "{}",
    "{",
    "[1]",
    R"({"a":null})",
    R"({"choices":[{"finish_reason":null}]})",
    R"({"a":[1,2,{"b":null}]})",
    R"({"a":true,"b":false,"c":null})",
    R"({"a":1})",
    R"( {"a":1} )",
    R"({"a":tru)",
    R"({"a":1}x)",
    R"({"a":1}{})",
    R"({"a":1e999})",
    R"({"a":99999999999999999999999})",
    R"({"a":1,"a":2})",
    R"({"a":-})",
    R"({"a":01})",
    R"({"a":0x1})",
    R"({"a":1.5.2})",
    R"({"a":")",
    R"({"a" 1})",
    R"({a:1})",
    R"({"a":1,})",
    R"({"":1})",
    "{\"a\":\"\n\"}",
    "{\"a\":\"\xff\"}",
    "\xef\xbb\xbf{\"a\":1}",
    "//c\n{}",
    R"({"a":")" + std::string(40'000, 'x') + R"("})",
    nested(10),
    nested(100),
    std::string("{\"a\":1}\0", 8),
    std::string("{\"a\":\"x\0y\"}", 11)};

BOOST_DATA_TEST_CASE(an_object_is_whole_where_it_can_be_parsed,
                     data::make(Texts), Text) {
  HeldBody Body;
  for (size_t Start = 0; Start < Text.size(); Start += 7)
    Body.append(std::string_view(Text).substr(Start, 7));
  BOOST_TEST(isWholeObject(Body) == tryParseObject(Text).has_value());
}
