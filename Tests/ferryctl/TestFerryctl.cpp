/// \file
/// Runs the commands of ferryctl against fake hosts. Guards the exit codes and
/// messages that scripts depend on, and against repeating a change or a call
/// that may have run: a change may be resent only under the same operation id,
/// a call only if the first host says that it did not run.
#include "ferryctl/Commands.h"
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <memory>
#include <mutex>
#include <sstream>

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
namespace data = boost::unit_test::data;

namespace {

/// A request that a fake host received.
struct ReceivedRequest {
  std::string Method;
  std::string Path;
  std::string IfMatch;
  std::string Operation;
  std::string Authorization;
  std::string Body;
};

/// The answer of a fake host.
struct FakeAnswer {
  int Status = 200;
  std::string Body;
  /// Closes the connection instead of answering.
  bool Cut = false;
  std::string EntityTag = {};
  std::string Operation = {};
};

using Responder = std::function<FakeAnswer(const ReceivedRequest &)>;

/// An HTTP server in the place of a host; the test supplies its answers.
class FakeHost {
public:
  explicit FakeHost(Responder Answer) : Answer(std::move(Answer)) {
    Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    Address = Socket.address().toString();
    Poco::Net::HTTPServerParams::Ptr Params = new Poco::Net::HTTPServerParams;
    Params->setKeepAlive(false);
    Server = std::make_unique<Poco::Net::HTTPServer>(new Factory(*this), Socket,
                                                     Params);
    Server->start();
  }
  ~FakeHost() { Server->stopAll(true); }

  std::string Address;
  std::vector<ReceivedRequest> Received;

private:
  class Handler final : public Poco::Net::HTTPRequestHandler {
  public:
    explicit Handler(FakeHost &Host) : Host(Host) {}
    void handleRequest(HTTPServerRequest &Request,
                       HTTPServerResponse &Response) override {
      ReceivedRequest Received{Request.getMethod(),
                               Request.getURI(),
                               Request.get("If-Match", ""),
                               Request.get("X-Operation-Id", ""),
                               Request.get("Authorization", ""),
                               ""};
      Poco::StreamCopier::copyToString(Request.stream(), Received.Body);
      std::lock_guard Lock(Host.Mutex);
      Host.Received.push_back(Received);
      FakeAnswer Answer = Host.Answer(Received);
      if (Answer.Cut) {
        auto &RequestImpl =
            static_cast<Poco::Net::HTTPServerRequestImpl &>(Request);
        RequestImpl.detachSocket().close();
        return;
      }
      Response.setStatus(static_cast<HTTPResponse::HTTPStatus>(Answer.Status));
      Response.set("ETag", Answer.EntityTag);
      Response.set("X-Operation-Id", Answer.Operation);
      Response.sendBuffer(Answer.Body.data(), Answer.Body.size());
    }

  private:
    FakeHost &Host;
  };

  class Factory final : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit Factory(FakeHost &Host) : Host(Host) {}
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const HTTPServerRequest &) override {
      return new Handler(Host);
    }

  private:
    FakeHost &Host;
  };

  std::mutex Mutex;
  Responder Answer;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

/// The exit code and the output of a run of ferryctl.
struct RunResult {
  int Code = -1;
  std::string Out;
  std::string Errors;
};

/// Captures the output to a stream during its own lifetime.
class CapturedStream {
public:
  explicit CapturedStream(std::ostream &Stream)
      : Stream(Stream), Original(Stream.rdbuf(Text.rdbuf())) {}
  ~CapturedStream() { Stream.rdbuf(Original); }
  std::string text() const { return Text.str(); }

private:
  std::ostream &Stream;
  std::ostringstream Text;
  std::streambuf *Original;
};

} // namespace

static RunResult run(const std::vector<std::string> &Words) {
  CapturedStream Out(std::cout);
  CapturedStream Errors(std::cerr);
  auto Code = ferry::ctl::runCommand({Words, "0.0.0"});
  return {static_cast<int>(Code), Out.text(), Errors.text()};
}

static std::string example(const std::string &Name) {
  return std::string(FERRY_SOURCE_DIR) + "/Examples/" + Name;
}

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// Answers as a host that accepts each change and has it in force at once.
static FakeAnswer acceptAll(const ReceivedRequest &Request) {
  if (Request.Method == "PUT")
    return {200, R"({"number":5,"operation":"op"})"};
  if (Request.Path.starts_with("/v1/description/spread"))
    return {200, R"({"number":5,"hosts_in_force":7,"hosts_known":7})"};
  if (Request.Path == "/v1/description")
    return {200, "a: 1\nb: 2\n", false, "\"4\"", "o4"};
  if (Request.Path == "/v1/dump")
    return {200, R"({"control":{"hosts":{"h1":{"data_centre":"a",)"
                 R"("standing":"serving","description_number":5}}}})"};
  return {404, R"({"error":{"type":"not_found","message":"no"}})"};
}

BOOST_AUTO_TEST_CASE(help_version_and_usage_errors_return_their_exit_codes) {
  BOOST_TEST(run({"--help"}).Code == 0);
  BOOST_TEST(contains(run({"--version"}).Out, "ferryctl 0."));
  BOOST_TEST(contains(run({"apply", "--help"}).Out, "--deadline-ms"));
  BOOST_TEST(run({"apply", "--version"}).Code == 0);
  for (const std::vector<std::string> &Words :
       {std::vector<std::string>{},
        {"fly"},
        {"apply"},
        {"check"},
        {"apply", "--no-such"},
        {"show", "--hosts", "localhost:1"},
        {"show"}})
    BOOST_TEST(run(Words).Code == 2);
}

BOOST_AUTO_TEST_CASE(check_reports_all_errors_offline) {
  RunResult Valid = run({"check", "--settings", example("hosts/host-1.yaml"),
                         example("prestamos-austral.yaml"),
                         example("bridge-permit-desk.yaml")});
  BOOST_TEST(Valid.Code == 0);
  BOOST_TEST(Valid.Out == "3 files checked, no errors\n");
  RunResult Invalid =
      run({"check", example("hosts/host-1.yaml"), "no-such-file"});
  BOOST_TEST(Invalid.Code == 3);
  BOOST_TEST(
      contains(Invalid.Out, "host-1.yaml:2:1: missing_key: deployment\n"));
  BOOST_TEST(contains(Invalid.Out, "no-such-file:0:0: unreadable"));
  RunResult Json = run({"check", "--json", example("hosts/host-1.yaml")});
  BOOST_TEST(contains(Json.Out, "\"kind\":\"missing_key\""));
}

BOOST_AUTO_TEST_CASE(apply_sends_base_operation_and_token) {
  FakeHost Host(acceptAll);
  RunResult Run =
      run({"apply", "--hosts", Host.Address, "--token-file",
           example("hosts/tokens"), example("prestamos-austral.yaml")});
  BOOST_TEST(Run.Code == 0, Run.Errors);
  BOOST_TEST(Run.Out == "number 5 is in force on all 7 hosts\n");
  BOOST_REQUIRE(Host.Received.size() >= 3u);
  BOOST_TEST(Host.Received[1].IfMatch == "\"4\"");
  BOOST_TEST(Host.Received[1].Operation.size() == 36u);
  BOOST_TEST(Host.Received[1].Authorization ==
             "Bearer sample-operator-token-for-trials-only");
  BOOST_TEST(contains(Host.Received[1].Body, "deployment: prestamos-austral"));
}

BOOST_AUTO_TEST_CASE(apply_resends_the_same_operation_after_a_lost_answer) {
  FakeHost Lossy([](const ReceivedRequest &) {
    return FakeAnswer{0, "", true};
  });
  FakeHost Host(acceptAll);
  RunResult Run = run({"apply", "--json", "--base", "4", "--hosts",
                       Lossy.Address + "," + Host.Address,
                       example("prestamos-austral.yaml")});
  BOOST_TEST(Run.Code == 0, Run.Out);
  BOOST_TEST(contains(Run.Out, "\"hosts_in_force\":7"));
  BOOST_REQUIRE(!Lossy.Received.empty());
  BOOST_TEST(!Lossy.Received[0].Operation.empty());
  BOOST_TEST(Lossy.Received[0].Operation == Host.Received[0].Operation);
}

namespace {

/// The host's answer to the change, and the exit code and part of the message
/// that ferryctl must derive from it.
struct OutcomeCase {
  FakeAnswer Put;
  int Code;
  const char *MessagePart;
};

std::ostream &operator<<(std::ostream &Out, const OutcomeCase &Case) {
  return Out << Case.MessagePart;
}

const OutcomeCase Outcomes[] = {
    {{409, R"({"error":{"type":"conflict","message":"m","current_number":6,)"
           R"("current_operation":"o6","current_text":""}})"},
     6,
     "number 6 by operation o6"},
    {{401, R"({"error":{"type":"unauthorized","message":"m"}})"},
     5,
     "unauthorized: m"},
    {{503, R"({"error":{"type":"unconfirmed","message":"m","not_run":true}})"},
     5,
     "unconfirmed: m"},
    {{503, R"({"error":{"type":"timeout","message":"m","not_run":"unknown"}})"},
     8,
     "timeout: m"},
    {{500, "not JSON"}, 8, "status 500"},
    {{0, "", true}, 8, "no_answer"}};

} // namespace

BOOST_DATA_TEST_CASE(apply_returns_a_separate_exit_code_for_each_outcome,
                     data::make(Outcomes)) {
  FakeHost Host([&](const ReceivedRequest &) { return sample.Put; });
  RunResult Run =
      run({"apply", "--base", "4", "--operation", "op", "--deadline-ms", "400",
           "--hosts", Host.Address, example("prestamos-austral.yaml")});
  BOOST_TEST(Run.Code == sample.Code, Run.Errors);
  BOOST_TEST(contains(Run.Errors, sample.MessagePart), Run.Errors);
}

BOOST_AUTO_TEST_CASE(
    apply_reports_a_number_not_in_force_everywhere_at_its_deadline) {
  FakeHost Host([](const ReceivedRequest &Request) {
    if (Request.Method == "PUT")
      return acceptAll(Request);
    return FakeAnswer{200,
                      R"({"number":5,"hosts_in_force":6,"hosts_known":7})"};
  });
  RunResult Run =
      run({"apply", "--base", "4", "--deadline-ms", "400", "--hosts",
           Host.Address, example("prestamos-austral.yaml")});
  BOOST_TEST(Run.Code == 7);
  BOOST_TEST(contains(Run.Errors, "in force on 6 of 7 hosts"));
}

BOOST_AUTO_TEST_CASE(show_returns_the_exit_code_for_unreachable_hosts) {
  std::string UnusedAddress;
  {
    FakeHost Host(acceptAll);
    UnusedAddress = Host.Address;
  }
  RunResult Run =
      run({"show", "--deadline-ms", "300", "--hosts", UnusedAddress});
  BOOST_TEST(Run.Code == 4, Run.Errors);
}

BOOST_AUTO_TEST_CASE(show_diff_and_status_read_the_description) {
  FakeHost Host(acceptAll);
  BOOST_TEST(run({"show", "--hosts", Host.Address}).Out == "a: 1\nb: 2\n");
  RunResult Diff =
      run({"diff", "--hosts", Host.Address, example("prestamos-austral.yaml")});
  BOOST_TEST(Diff.Code == 9);
  BOOST_TEST(contains(Diff.Out, "-a: 1\n"));
  BOOST_TEST(contains(Diff.Out, "+deployment: prestamos-austral\n"));
  RunResult Status = run({"status", "--hosts", Host.Address});
  BOOST_TEST(Status.Code == 0);
  RunResult Hosts = run({"hosts", "--hosts", Host.Address});
  BOOST_TEST(contains(Hosts.Out, "h1    a            serving   5\n"));
  BOOST_TEST(contains(Status.Out, "answers  5       7         7\n"));
}

BOOST_AUTO_TEST_CASE(
    call_tries_the_next_entry_only_after_a_refusal_marked_not_run) {
  FakeHost Serving([](const ReceivedRequest &) {
    return FakeAnswer{200, "done"};
  });
  FakeHost Draining([](const ReceivedRequest &) {
    return FakeAnswer{
        503, R"({"error":{"type":"draining","message":"m","not_run":true}})"};
  });
  FakeHost Ambiguous([](const ReceivedRequest &) {
    return FakeAnswer{
        502, R"({"error":{"type":"lost","message":"m","not_run":"unknown"}})"};
  });
  auto CallWith = [&](const FakeHost &First) {
    FakeHost EntryHost([&](const ReceivedRequest &) {
      return FakeAnswer{200, R"({"entries":[{"address":")" + First.Address +
                                 R"("},{"address":")" + Serving.Address +
                                 R"("}]})"};
    });
    return run({"call", "--hosts", EntryHost.Address, "--workspace", "w",
                "--service", "app", "--method", "POST", "--path", "/holds",
                "--body", "{}"});
  };
  BOOST_TEST(CallWith(Draining).Code == 0);
  BOOST_TEST(Serving.Received.size() == 1u);
  BOOST_TEST(CallWith(Ambiguous).Code == 5);
  BOOST_TEST(Serving.Received.size() == 1u);
}
