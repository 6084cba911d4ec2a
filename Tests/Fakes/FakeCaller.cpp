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

/// How many directories a caller asks before it gives up, and how long each
/// may take; so the users' pages say.
static constexpr size_t DirectoriesAsked = 3;
static constexpr std::chrono::milliseconds DirectoryPatience = 1s;
/// How long a new connection may take, by the same pages.
static constexpr std::chrono::milliseconds ConnectPatience = 1s;
/// The part of the time left that a caller waits at most when it is told to.
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

FakeCaller::FakeCaller(CallerHabits Habits)
    : Habits(std::move(Habits)), Random(this->Habits.Seed) {}

bool FakeCaller::tryResolve(const std::string &Directory) {
  try {
    auto Session = openSession(Directory);
    Session->setTimeout(span(DirectoryPatience));
    HTTPRequest Asked("GET",
                      "/resolve?name=" + Habits.Name +
                          "&region=r&zone=" + Habits.DataCentre,
                      "HTTP/1.1");
    Session->sendRequest(Asked);
    Response Answered;
    std::string Text;
    Poco::StreamCopier::copyToString(Session->receiveResponse(Answered), Text);
    if (Answered.getStatus() != Response::HTTP_OK)
      return false;
    auto Read =
        Poco::JSON::Parser().parse(Text).extract<Poco::JSON::Object::Ptr>();
    std::set<std::string> Named;
    for (const auto &Each : *Read->getArray("addrs"))
      Named.insert(Each.toString());
    auto Lifetime = std::chrono::milliseconds(static_cast<int64_t>(
        Read->getValue<double>("ttl_s") * Habits.Lifetimes * 1000));
    if (Named.empty())
      return false;
    Known = std::move(Named);
    Failed.clear();
    KnownUntil = steadyNow() + Lifetime;
    return true;
  } catch (const std::exception &) {
    // An answer that can't be had or read counts as a failure.
    return false;
  }
}

void FakeCaller::resolve() {
  if (steadyNow() < KnownUntil)
    return;
  size_t Asked = std::min(Habits.Directories.size(), DirectoriesAsked);
  for (size_t Place = 0; Place < Asked; ++Place)
    if (tryResolve(Habits.Directories[Place]))
      break;
  // A connection to who is no longer named is not used again.
  if (!Known.contains(KeptAddress))
    Kept.reset();
}

std::string FakeCaller::pickAddress() {
  std::vector<std::string> Usable;
  std::ranges::set_difference(Known, Failed, std::back_inserter(Usable));
  if (Usable.empty())
    Usable.assign(Known.begin(), Known.end());
  if (Usable.empty())
    return "";
  return Usable[randomBelow(Random, Usable.size())];
}

HTTPClientSession &FakeCaller::connection(const std::string &Address) {
  if (!Kept || KeptAddress != Address) {
    Kept = openSession(Address);
    KeptAddress = Address;
  }
  return *Kept;
}

CallerAttempt FakeCaller::attempt(const std::string &Method,
                                  const std::string &Path,
                                  const std::string &Body,
                                  std::chrono::milliseconds Left,
                                  Response &Answered) {
  CallerAttempt Made;
  Made.Id = Habits.Prefix + "-" + std::to_string(++Attempts);
  Made.Address = Kept ? KeptAddress : pickAddress();
  HTTPClientSession &Session = connection(Made.Address);
  auto Wait = std::min(Left, Habits.LeavesAfter.value_or(Left));
  Session.setTimeout(span(ConnectPatience), span(Wait), span(Wait));
  HTTPRequest Sent(Method, Path, "HTTP/1.1");
  Sent.setHost(Habits.Name);
  Sent.set("X-Request-Id", Made.Id);
  Sent.set("X-Deadline-Ms", std::to_string(Left.count()));
  for (const auto &[Name, Value] : Habits.Fields)
    Sent.set(Name, Value);
  if (!Body.empty())
    Sent.setContentLength(static_cast<std::streamsize>(Body.size()));
  try {
    Session.sendRequest(Sent) << Body;
    std::istream &Stream = Session.receiveResponse(Answered);
    Made.Status = Answered.getStatus();
    Poco::StreamCopier::copyToString(Stream, Made.Body);
    Made.Whole = !Answered.hasContentLength() ||
                 Answered.getContentLength64() ==
                     static_cast<Poco::Int64>(Made.Body.size());
  } catch (const Poco::Exception &) {
    // Refused, cut or too late: the record says how far it came.
  }
  bool Ends = !Made.Whole || !Answered.getKeepAlive() ||
              Habits.Connections == CallerConnections::NewEachTime;
  if (Ends)
    Kept.reset();
  if (Made.Status == 0)
    Failed.insert(Made.Address);
  return Made;
}

bool FakeCaller::mayComeBack(const CallerAttempt &Made) const {
  static const std::set<int> Final{400, 401, 404, 413, 431};
  static const std::set<int> Promises{408, 421, 429, 503};
  if (Final.contains(Made.Status) || (Made.Status / 100 == 2 && Made.Whole))
    return false;
  return Habits.Repeats == CallerRepeats::Always ||
         Promises.contains(Made.Status);
}

/// \returns how long the answer asks to wait; none if it does not say.
static std::chrono::milliseconds
toldWait(const Poco::Net::HTTPResponse &Answered) {
  double Seconds = 0;
  if (!Poco::NumberParser::tryParseFloat(Answered.get("Retry-After", "0"),
                                         Seconds))
    return 0ms;
  return std::chrono::milliseconds(static_cast<int64_t>(Seconds * 1000));
}

std::vector<CallerAttempt> FakeCaller::call(const std::string &Method,
                                            const std::string &Path,
                                            const std::string &Body) {
  std::vector<CallerAttempt> Made;
  Timestamp Deadline = steadyNow() + Habits.Budget;
  while (Made.size() < MaxAttempts) {
    auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - steadyNow());
    resolve();
    if (Left <= 0ms || Known.empty())
      break;
    Response Answered;
    Made.push_back(attempt(Method, Path, Body, Left, Answered));
    if (!mayComeBack(Made.back()))
      break;
    // Each retry takes a new connection.
    Kept.reset();
    std::this_thread::sleep_for(
        std::min(toldWait(Answered), Left / WaitDivisor));
  }
  return Made;
}

} // namespace ferry::fakes
