// Log lines, metrics and state dumps: their formats, their limits and their
// safety between threads.
#include "LibObserve/Log.h"
#include "LibObserve/Metrics.h"
#include "LibObserve/StateDump.h"
#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <thread>

using namespace ferry;
using namespace ferry::observe;

static std::string lineOf(LogFields Fields, const RequestId &Request = {}) {
  return formatEvent(Severity::Info, "m", "e", Fields, Request);
}

/// Captures the standard output stream during its lifetime.
class CapturedOutput {
public:
  CapturedOutput() : OriginalBuffer(std::cout.rdbuf(Text.rdbuf())) {}
  ~CapturedOutput() {
    flushLog();
    std::cout.rdbuf(OriginalBuffer);
  }
  std::string text() const {
    flushLog();
    return Text.str();
  }

private:
  std::ostringstream Text;
  std::streambuf *OriginalBuffer;
};

BOOST_AUTO_TEST_CASE(fields_are_formatted_by_type) {
  BOOST_TEST(lineOf({{"n", -3},
                     {"u", 4u},
                     {"b", true},
                     {"id", HostId{"h1"}},
                     {"number", FencingNumber{7}},
                     {"kind", Severity::Warning}},
                    {"r-1"}) ==
             "level=info module=m request=r-1 event=e n=-3 u=4 b=true id=h1 "
             "number=7 kind=warning");
}

BOOST_AUTO_TEST_CASE(a_field_without_a_value_is_left_out) {
  std::optional<int64_t> Left = 3;
  BOOST_TEST(lineOf({{"a", 1}, {"left_ms", Left}, {"b", 2}}) ==
             "level=info module=m event=e a=1 left_ms=3 b=2");
  Left.reset();
  BOOST_TEST(lineOf({{"a", 1}, {"left_ms", Left}, {"b", 2}}) ==
             "level=info module=m event=e a=1 b=2");
}

BOOST_AUTO_TEST_CASE(values_cannot_forge_fields_or_lines) {
  struct Case {
    std::string Value;
    std::string Expected;
  };
  const Case Cases[] = {
      {"plain-1.2:3", "plain-1.2:3"},
      {"", "\"\""},
      {"a b", "\"a b\""},
      {"x=1", "\"x=1\""},
      {"say \"hi\" \\", "\"say \\\"hi\\\" \\\\\""},
      {"one\nlevel=error", "\"one\\x0alevel=error\""},
      {"\x1b[2J", "\"\\x1b[2J\""},
      {"caf\xc3\xa9", "\"caf\\xc3\\xa9\""},
      {"%level %msg", "\"%level %msg\""},
      {std::string("a\0b", 3), "\"a\\x00b\""},
      {std::string(600, 'y'), "\"" + std::string(512, 'y') + "...\""}};
  for (const Case &Item : Cases)
    BOOST_TEST(lineOf({{"v", Item.Value}}) ==
               "level=info module=m event=e v=" + Item.Expected);
}

BOOST_AUTO_TEST_CASE(severity_filters_and_no_file_is_written) {
  CapturedOutput Output;
  setLogSeverity(Severity::Warning);
  logEvent(Severity::Info, "m", "dropped");
  logEvent(Severity::Error, "m", "kept", {{"v", "%level"}});
  setLogSeverity(Severity::Info);
  BOOST_TEST(Output.text().find("dropped") == std::string::npos);
  BOOST_TEST(Output.text().starts_with("time=20"));
  BOOST_TEST(Output.text().ends_with(
      "Z level=error module=m event=kept v=\"%level\"\n"));
  BOOST_TEST(!std::filesystem::exists("myeasylog.log"));
}

BOOST_AUTO_TEST_CASE(lines_of_concurrent_threads_are_not_mixed) {
  CapturedOutput Output;
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back([] {
      for (int Line = 0; Line < 200; ++Line)
        logEvent(Severity::Info, "m", "event-of-many", {{"line", Line}});
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::istringstream Lines(Output.text());
  std::string Line;
  int CompleteLines = 0;
  while (std::getline(Lines, Line))
    CompleteLines +=
        Line.starts_with("time=") &&
        Line.find(" event=event-of-many line=") != std::string::npos;
  BOOST_TEST(CompleteLines == 800);
}

BOOST_AUTO_TEST_CASE(metrics_are_rendered_for_prometheus) {
  Metrics Registry;
  Registry.counter("ferry_a_total", "Things.").add(3);
  Registry.gauge("ferry_b", "Level.").set(1.5);
  Registry.counters({"ferry_c_total", "By.", {"workspace", "kind"}})
      .with({"w\"1\n", "k"})
      .add();
  Family<Histogram> &Delays =
      Registry.histograms({"ferry_d_seconds", "Delay.", {}}, {0.1, 1});
  for (double Value : {0.05, 0.1, 0.5, 2.0})
    Delays.with({}).observe(Value);
  BOOST_TEST(Registry.render() ==
             "# HELP ferry_a_total Things.\n"
             "# TYPE ferry_a_total counter\n"
             "ferry_a_total 3\n"
             "# HELP ferry_c_total By.\n"
             "# TYPE ferry_c_total counter\n"
             "ferry_c_total{workspace=\"w\\\"1\\n\",kind=\"k\"} 1\n"
             "# HELP ferry_b Level.\n"
             "# TYPE ferry_b gauge\n"
             "ferry_b 1.5\n"
             "# HELP ferry_d_seconds Delay.\n"
             "# TYPE ferry_d_seconds histogram\n"
             "ferry_d_seconds_bucket{le=\"0.1\"} 2\n"
             "ferry_d_seconds_bucket{le=\"1\"} 3\n"
             "ferry_d_seconds_bucket{le=\"+Inf\"} 4\n"
             "ferry_d_seconds_sum 2.65\n"
             "ferry_d_seconds_count 4\n");
}

BOOST_AUTO_TEST_CASE(concurrent_updates_of_metrics_are_all_counted) {
  Metrics Registry;
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back([&] {
      for (int Round = 0; Round < 10'000; ++Round) {
        Registry.counter("c", "c").add();
        Registry.histogram("h", "h").observe(0.25);
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  BOOST_TEST(Registry.counter("c", "c").value() == 40'000u);
  BOOST_TEST(Registry.histogram("h", "h").snapshot().Sum == 10'000);
}

BOOST_AUTO_TEST_CASE(the_number_of_label_sets_is_limited) {
  Metrics Registry;
  Family<Counter> &Calls = Registry.counters({"c", "c", {"w"}});
  for (size_t Index = 0; Index < MaxSeriesPerFamily + 10; ++Index)
    Calls.with({std::to_string(Index)}).add();
  BOOST_TEST(Calls.with({"other"}).value() == 10u);
}

BOOST_AUTO_TEST_CASE(a_dump_contains_sections_and_their_errors) {
  StateDump Dump;
  Dump.add("good", [] {
    Poco::JSON::Object::Ptr Section = new Poco::JSON::Object;
    Section->set("value", 7);
    return Section;
  });
  Dump.add("bad", []() -> Poco::JSON::Object::Ptr {
    throw Poco::RuntimeException("gone");
  });
  Poco::JSON::Parser Parser;
  auto Root = Parser.parse(Dump.render()).extract<Poco::JSON::Object::Ptr>();
  BOOST_TEST(Root->getObject("good")->getValue<int>("value") == 7);
  BOOST_TEST(Root->getObject("bad")->has("error"));
}
