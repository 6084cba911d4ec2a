#include "Fakes/FakeCaller.h"
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <algorithm>
#include <thread>

namespace ferry::fakes {

using namespace std::chrono_literals;
using Poco::Net::HTTPClientSession;
using Poco::Net::HTTPRequest;

/// How many directories a caller tries before it gives up, and the timeout of
/// each, as the users' pages prescribe.
static constexpr size_t MaxDirectories = 3;
static constexpr std::chrono::milliseconds DirectoryTimeout = 1s;
/// Timeout of a new connection, by the same pages.
static constexpr std::chrono::milliseconds ConnectTimeout = 1s;
/// A caller waits at most for this part of the remaining time before it
/// resends.
static constexpr int WaitDivisor = 3;
/// Attempts of one call; the pages say "a few".
static constexpr int MaxAttempts = 4;

static Poco::Timespan span(std::chrono::milliseconds Length) {
  return {Length.count() * Poco::Timespan::MILLISECONDS};
}

static std::unique_ptr<HTTPClientSession>
openSession(const std::string &Address) {
  Poco::Net::SocketAddress Parsed(Address);
  auto Session = std::make_unique<HTTPClientSession>(Parsed.host().toString(),
                                                     Parsed.port());
  Session->setKeepAlive(true);
  return Session;
}

FakeCaller::FakeCaller(CallerOptions Options)
    : Options(std::move(Options)), Random(this->Options.Seed) {}

bool FakeCaller::tryResolve(const std::string &Directory) {
  try {
    auto Session = openSession(Directory);
    Session->setTimeout(span(DirectoryTimeout));
    HTTPRequest Query("GET",
                      "/resolve?name=" + Options.Name +
                          "&region=r&zone=" + Options.DataCentre,
                      "HTTP/1.1");
    Session->sendRequest(Query);
    Response Reply;
    std::string Text;
    Poco::StreamCopier::copyToString(Session->receiveResponse(Reply), Text);
    if (Reply.getStatus() != Response::HTTP_OK)
      return false;
    auto Answer =
        Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
    std::set<std::string> Resolved;
    for (const auto &Each : *Answer->getArray("addrs"))
      Resolved.insert(Each.toString());
    auto Lifetime = std::chrono::milliseconds(static_cast<int64_t>(
        Answer->getValue<double>("ttl_s") * Options.LifetimeFactor * 1000));
    if (Resolved.empty())
      return false;
    Addresses = std::move(Resolved);
    FailedAddresses.clear();
    AddressesExpireAt = steadyNow() + Lifetime;
    return true;
  } catch (const std::exception &) {
    // The directory did not answer, or not with valid JSON.
    return false;
  }
}

void FakeCaller::resolve() {
  if (steadyNow() < AddressesExpireAt)
    return;
  size_t Count = std::min(Options.Directories.size(), MaxDirectories);
  for (size_t Index = 0; Index < Count; ++Index)
    if (tryResolve(Options.Directories[Index]))
      break;
  // Does not use a connection to a router that the directory no longer lists.
  if (!Addresses.contains(KeptAddress))
    KeptSession.reset();
}

std::string FakeCaller::pickAddress() {
  std::vector<std::string> Usable;
  std::ranges::set_difference(Addresses, FailedAddresses,
                              std::back_inserter(Usable));
  if (Usable.empty())
    Usable.assign(Addresses.begin(), Addresses.end());
  if (Usable.empty())
    return "";
  return Usable[randomBelow(Random, Usable.size())];
}

HTTPClientSession &FakeCaller::connection(const std::string &Address) {
  if (!KeptSession || KeptAddress != Address) {
    KeptSession = openSession(Address);
    KeptAddress = Address;
  }
  return *KeptSession;
}

/// Whether the peer has closed the connection. The HTTP library reads chunks
/// that are cut off like whole ones, so that only an open connection shows the
/// last chunk.
static bool isClosed(HTTPClientSession &Session) {
  return !Session.connected() ||
         (Session.socket().poll(0, Poco::Net::Socket::SELECT_READ) &&
          Session.socket().available() == 0);
}

CallerAttempt FakeCaller::attempt(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body,
                                  std::chrono::milliseconds Remaining,
                                  Response &Reply) {
  CallerAttempt Attempt;
  Attempt.Id = Options.Prefix + "-" + std::to_string(++AttemptCount);
  Attempt.Address = KeptSession ? KeptAddress : pickAddress();
  HTTPClientSession &Session = connection(Attempt.Address);
  auto Wait = std::min(Remaining, Options.AbandonsAfter.value_or(Remaining));
  Session.setTimeout(span(ConnectTimeout), span(Wait), span(Wait));
  HTTPRequest Sent(Method, Path, "HTTP/1.1");
  Sent.setHost(Options.Name);
  Sent.set("X-Request-Id", Attempt.Id);
  Sent.set("X-Deadline-Ms", std::to_string(Remaining.count()));
  for (const auto &[Name, Value] : Options.Fields)
    Sent.set(Name, Value);
  if (!Body.empty())
    Sent.setContentLength(static_cast<std::streamsize>(Body.size()));
  try {
    Session.sendRequest(Sent) << Body;
    std::istream &Stream = Session.receiveResponse(Reply);
    Attempt.Status = Reply.getStatus();
    Poco::StreamCopier::copyToString(Stream, Attempt.Body);
    Attempt.Whole = Reply.hasContentLength()
                        ? Reply.getContentLength64() ==
                              static_cast<Poco::Int64>(Attempt.Body.size())
                        : !isClosed(Session);
  } catch (const Poco::Exception &) {
    // The connection was refused or cut, or timed out; the attempt holds what
    // was received until then.
  }
  bool Closes = !Attempt.Whole || !Reply.getKeepAlive() ||
                Options.Connections == CallerConnections::NewEachTime;
  if (Closes)
    KeptSession.reset();
  if (Attempt.Status == 0)
    FailedAddresses.insert(Attempt.Address);
  return Attempt;
}

bool FakeCaller::mayResend(const CallerAttempt &Attempt) const {
  static const std::set<int> Final{400, 401, 404, 413, 431};
  static const std::set<int> NotRun{408, 421, 429, 503};
  if (Final.contains(Attempt.Status) ||
      (Attempt.Status / 100 == 2 && Attempt.Whole))
    return false;
  return Options.Resends == CallerResends::Always ||
         NotRun.contains(Attempt.Status);
}

/// \returns the wait that the answer asks for; zero if it asks for none.
static std::chrono::milliseconds
retryAfter(const Poco::Net::HTTPResponse &Reply) {
  double Seconds = 0;
  if (!Poco::NumberParser::tryParseFloat(Reply.get("Retry-After", "0"),
                                         Seconds))
    return 0ms;
  return std::chrono::milliseconds(static_cast<int64_t>(Seconds * 1000));
}

std::vector<CallerAttempt> FakeCaller::call(const std::string &Method,
                                            const std::string &Path,
                                            const std::string &Body) {
  std::vector<CallerAttempt> Attempts;
  Timestamp Deadline = steadyNow() + Options.CallTimeout;
  while (Attempts.size() < MaxAttempts) {
    auto Remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - steadyNow());
    resolve();
    if (Remaining <= 0ms || Addresses.empty())
      break;
    Response Reply;
    Attempts.push_back(attempt(Method, Path, Body, Remaining, Reply));
    if (!mayResend(Attempts.back()))
      break;
    // Each resend uses a new connection.
    KeptSession.reset();
    std::this_thread::sleep_for(
        std::min(retryAfter(Reply), Remaining / WaitDivisor));
  }
  return Attempts;
}

} // namespace ferry::fakes
