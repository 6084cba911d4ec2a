// A head that the router and a target could read differently hides a body or
// another request: the hidden request ran although no caller had sent it.
#include "LibTraffic/HttpListener.h"
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

static const std::string Hidden =
    RoutedBed::request("/once/x", "", "X-A: b\r\n");
static const std::string HiddenBytes = std::to_string(Hidden.size());

/// Lines of a head that is malformed or ambiguous. A recipient that takes one
/// of them for the length or the coding of the body reads on behind it.
static const std::vector<std::string> OddLines = {
    "Content-Length : " + HiddenBytes,
    "Content-Length\t: " + HiddenBytes,
    " Content-Length: " + HiddenBytes,
    "\tContent-Length: " + HiddenBytes,
    "X-A: b\r\n Content-Length: " + HiddenBytes,
    "Content-Length " + HiddenBytes,
    "Content-Length",
    ": " + HiddenBytes,
    "Content Length: " + HiddenBytes,
    "Content-Length\r: " + HiddenBytes,
    "\rContent-Length: " + HiddenBytes,
    "Content-Length\v: " + HiddenBytes,
    "Content-Length\x7f: " + HiddenBytes,
    "Content-Length\xc2\xa0: " + HiddenBytes,
    "\xef\xbb\xbf"
    "Content-Length: " +
        HiddenBytes,
    "Content-Length;: " + HiddenBytes,
    "(Content-Length): " + HiddenBytes,
    std::string("Content-Length\0: ", 17) + HiddenBytes,
    "X-A: b\rContent-Length: " + HiddenBytes,
    "X-A: b" + std::string(1, '\0') + "c",
    "X-A: \x01",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\t: chunked",
    "Transfer-Encoding\x0b: chunked",
    "X-Tenant : other",
    "Host: b.example"};

static std::string head(const std::string &Lines) {
  return "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n"
         "Authorization: Bearer k1\r\n" +
         Lines + "\r\n\r\n";
}

static void addApp(RoutedBed &Bed) {
  Bed.add("app", [](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(wholeAnswer(200, "done"));
  });
}

BOOST_DATA_TEST_CASE(nothing_behind_an_odd_head_runs, data::make(OddLines),
                     Lines) {
  RoutedBed Bed;
  addApp(Bed);
  std::string Received = Bed.exchangeUntilClosed(head(Lines) + Hidden);
  BOOST_TEST(answersIn(Received) == 1U);
  BOOST_TEST(Received.find("HTTP/1.1 400") == 0U);
  BOOST_TEST(Received.find("\"not_run\":true") != std::string::npos);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// The fields that follow the odd line have the length that counts.
BOOST_DATA_TEST_CASE(an_odd_line_before_a_sound_length_is_rejected,
                     data::make(OddLines), Lines) {
  RoutedBed Bed;
  addApp(Bed);
  std::string Received = Bed.exchangeUntilClosed(
      head(Lines + "\r\nContent-Length: " + HiddenBytes) + Hidden);
  BOOST_TEST(answersIn(Received) == 1U);
  BOOST_TEST(Received.find("HTTP/1.1 400") == 0U);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// The name of a field is made of the characters of a token, and of no others.
BOOST_AUTO_TEST_CASE(each_byte_in_a_name_is_judged) {
  static const std::string TokenMarks = "!#$%&'*+-.^_`|~";
  RoutedBed Bed;
  addApp(Bed);
  for (int Byte = 0; Byte < 256; ++Byte) {
    char Character = static_cast<char>(Byte);
    bool InToken =
        (Byte < 0x80 && std::isalnum(Byte) != 0) ||
        (Byte != 0 && TokenMarks.find(Character) != std::string::npos);
    // A line feed or a colon makes it a sound field of another name.
    if (Character == ':' || Character == '\n')
      continue;
    std::string Name = std::string("X-A") + Character;
    CallerAnswer Answer = Bed.send("/once/x", Name + ": b\r\n");
    BOOST_TEST(Answer.Status == (InToken ? 200 : 400), "byte " << Byte);
  }
}

static const std::vector<std::string> OddRequestLines = {
    "POST /once/x",
    "POST /once/x HTTP/1.1 Content-Length: 5",
    "POST  /once/x HTTP/1.1",
    "POST\t/once/x HTTP/1.1",
    "POST /once/x\tHTTP/1.1",
    "POST /once/x HTTP/2.0",
    "POST /once/x HTTP/1.1\r",
    "PO(ST /once/x HTTP/1.1",
    "POST /once/x\x01 HTTP/1.1",
    " POST /once/x HTTP/1.1"};

BOOST_DATA_TEST_CASE(an_odd_request_line_is_rejected,
                     data::make(OddRequestLines), Line) {
  RoutedBed Bed;
  addApp(Bed);
  std::string Sound = RoutedBed::request("/once/x");
  std::string Received =
      Bed.exchangeUntilClosed(Line + Sound.substr(Sound.find("\r\n")) + Hidden);
  BOOST_TEST(answersIn(Received) == 1U);
  BOOST_TEST(Received.find("HTTP/1.1 400") == 0U);
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// A head that ends with its connection lacks fields, or the rest of a value.
BOOST_AUTO_TEST_CASE(a_head_cut_at_any_byte_reaches_no_target) {
  RoutedBed Bed;
  addApp(Bed);
  std::string Whole = "GET /open/x HTTP/1.1\r\nHost: a.example\r\n"
                      "X-Request-Id: r12\r\n\r\n";
  for (size_t Size = 0; Size < Whole.size(); ++Size) {
    Poco::Net::StreamSocket Socket{
        Poco::Net::SocketAddress(Bed.Front->address())};
    Socket.setReceiveTimeout(Poco::Timespan(5, 0));
    Socket.sendBytes(Whole.data(), static_cast<int>(Size));
    Socket.shutdownSend();
    char Buffer[4096];
    while (Socket.receiveBytes(Buffer, sizeof Buffer) > 0) {
    }
  }
  BOOST_TEST(Bed.targetRequests() == 0U);
}

// Encoded words of RFC 2047 have no meaning in HTTP. One that was decoded put a
// line end, and with it a field, into the target's request.
BOOST_AUTO_TEST_CASE(encoded_words_reach_the_target_as_they_came) {
  RoutedBed Bed;
  addApp(Bed);
  const std::string Word = "=?UTF-8?Q?x=0D=0AX-Injected:_1?=";
  BOOST_TEST(Bed.send("/once/x", "X-A: " + Word + "\r\n").Status == 200);
  auto Requests = Bed.Targets.front()->requests();
  BOOST_REQUIRE(Requests.size() == 1U);
  BOOST_TEST(!Requests[0].Head.has("X-Injected"));
  // The stand-in's parser decodes the word itself, once it has found the
  // fields.
  BOOST_TEST(Requests[0].Head.get("X-A", "") == "x\r\nX-Injected: 1");
}

// Callers may use what the grammar allows.
BOOST_AUTO_TEST_CASE(sound_heads_pass) {
  for (const std::string &Lines :
       {std::string("X-A:b\r\n"), std::string("X-A: \t b \t\r\n"),
        std::string("X-A:\r\n"), std::string("x-!#$%&'*+-.^_`|~9: b\r\n"),
        std::string("X-A: caf\xc3\xa9\tb\r\n"), std::string("X-A: b\n")}) {
    RoutedBed Bed;
    addApp(Bed);
    // Empty lines before a request are skipped.
    std::string Received = Bed.exchangeUntilClosed(
        "\r\n" + RoutedBed::request("/once/x", "first", Lines) + "\r\n\n" +
        RoutedBed::request("/once/x", "second"));
    BOOST_TEST(answersIn(Received) == 2U);
    auto Requests = Bed.Targets.front()->requests();
    BOOST_REQUIRE(Requests.size() == 2U);
    BOOST_TEST(Requests[0].Body == "first");
    BOOST_TEST(Requests[1].Body == "second");
  }
}

// All listeners read heads in the same way: those of operators, targets,
// readiness and metrics too.
BOOST_AUTO_TEST_CASE(each_listener_rejects_odd_heads) {
  HttpListener::Options Options;
  Options.Address = "127.0.0.1:0";
  Options.MaxHeaderBytes = 1 << 14;
  Options.BodyBudgetBytes = 1 << 20;
  std::atomic<int> Handled = 0;
  auto Listener = HttpListener::tryStart(Options, [&](HttpExchange &Exchange) {
    ++Handled;
    Exchange.sendJson(200, "{}");
  });
  BOOST_REQUIRE(Listener.has_value());
  for (const std::string &Lines : OddLines)
    BOOST_TEST(
        RoutedBed::sendRawTo((*Listener)->address(), head(Lines)).Status ==
        400);
  BOOST_TEST(Handled == 0);
}
