// Routers whose connections to all targets are refused, hang or are reset pass
// the requests of their callers on to others, in one hop.
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/test_case.hpp>
#include <set>

using namespace ferry;
using namespace ferry::traffic;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr auto ContactTime = 3s;

/// What happens to the connections of a router that is cut off.
enum class CutKind : uint8_t { Refused, Hanging, Reset };

/// An address at which connections are never established, as its queue is full.
class HangingAddress {
public:
  HangingAddress() : Listener(Poco::Net::SocketAddress("127.0.0.1", 0), 1) {
    for (int Filler = 0; Filler < 4; ++Filler) {
      Fillers.emplace_back();
      Fillers.back().connectNB(Listener.address());
    }
  }
  std::string text() const { return Listener.address().toString(); }

private:
  Poco::Net::ServerSocket Listener;
  std::vector<Poco::Net::StreamSocket> Fillers;
};

/// \returns an address at which connections are refused.
std::string refusingAddress() {
  Poco::Net::ServerSocket Closed(Poco::Net::SocketAddress("127.0.0.1", 0), 1);
  return Closed.address().toString();
}

/// Routers with the same eight targets, in one process.
class Fleet {
public:
  static constexpr size_t Size = 3;
  static constexpr size_t TargetCount = 8;

  explicit Fleet(FakeScriptedTarget::Script Script) {
    for (size_t Number = 0; Number < TargetCount; ++Number)
      Targets.push_back(std::make_unique<FakeScriptedTarget>(Script));
    for (size_t Index = 0; Index < Size; ++Index) {
      config::Settings Settings;
      Settings.Interface = config::Interface::Routed;
      Settings.CallerAddress = "127.0.0.1:0";
      RoutedHooks Hooks;
      Hooks.BeliefsChanged = [this, Index] { askForReach(Index); };
      auto Started = RoutedFront::tryStart(Settings, platform::routeDialect(),
                                           Metrics[Index], {}, Hooks);
      BOOST_REQUIRE(Started);
      Fronts.push_back(std::move(*Started));
    }
    for (size_t Index = 0; Index < Size; ++Index)
      publish(Index);
    Asking = std::thread([this] {
      while (!Stopping) {
        for (size_t Index = 0; Index < Size; ++Index)
          askForReach(Index);
        std::this_thread::sleep_for(500ms);
      }
    });
  }
  ~Fleet() {
    Stopping = true;
    Asking.join();
    Fronts.clear();
  }

  void cut(size_t Index, CutKind Kind) {
    CutTo[Index] = Kind == CutKind::Refused   ? refusingAddress()
                   : Kind == CutKind::Hanging ? Hanging.text()
                                              : Resetting.address();
    publish(Index);
  }
  void heal(size_t Index) {
    CutTo[Index].clear();
    publish(Index);
  }
  /// Has the router notice that it is cut off.
  void cutAndNotice(size_t Index) {
    cut(Index, CutKind::Refused);
    BOOST_REQUIRE(waitFor([&] {
      send(Index, "/many/x");
      return Fronts[Index]->needsHelpers();
    }));
  }

  /// Sends a request to a router. \returns the answer, read by an empty bed's
  /// functions.
  CallerAnswer send(size_t Index, const std::string &Path,
                    const std::string &Fields = "") {
    return RoutedBed::sendRawTo(Fronts[Index]->address(),
                                RoutedBed::request(Path, "b", Fields));
  }

  size_t targetRequests() const {
    size_t Count = 0;
    for (const auto &Target : Targets)
      Count += Target->requestCount();
    return Count;
  }

  std::vector<std::unique_ptr<FakeScriptedTarget>> Targets;
  std::array<observe::Metrics, Size> Metrics;
  std::vector<std::unique_ptr<RoutedFront>> Fronts;

private:
  static HostId host(size_t Index) { return {"r" + std::to_string(Index)}; }

  void publish(size_t Index) {
    auto View = std::make_shared<routing::RoutingView>();
    auto Routes = platform::tryDecodeRoutes(RoutedText);
    BOOST_REQUIRE(Routes);
    View->Routes = *Routes;
    View->Number = (*Routes)->number();
    View->Self = host(Index);
    for (size_t Each = 0; Each < Size; ++Each)
      View->Hosts.push_back({host(Each),
                             {},
                             Fronts[Each]->address(),
                             routing::HostStanding::Serving});
    for (size_t Number = 0; Number < TargetCount; ++Number) {
      TargetRecord Record;
      Record.Id = {"i-" + std::to_string(Number)};
      Record.Incarnation = {1};
      Record.Address =
          CutTo[Index].empty() ? Targets[Number]->address() : CutTo[Index];
      Record.Service = {Number % 2 == 0 ? "app" : "lm"};
      Record.Build = {"v1"};
      Record.Phase = TargetPhase::Ready;
      Record.Sequence = 1;
      Record.UsableUntil = steadyNow() + 1h;
      View->Targets.push_back(Record);
    }
    Fronts[Index]->setView(View);
  }

  void askForReach(size_t Index) {
    if (Index >= Fronts.size() || !Fronts[Index]->needsHelpers())
      return;
    for (size_t Other = 0; Other < Size; ++Other)
      if (Other != Index)
        Fronts[Index]->noteHelper(host(Other), Fronts[Other]->reach());
  }

  HangingAddress Hanging;
  FakeScriptedTarget Resetting{
      [](const ReceivedRequest &, ScriptedConnection &) {},
      [](uint16_t) { return true; }};
  std::array<std::string, Size> CutTo;
  std::atomic<bool> Stopping = false;
  std::thread Asking;
};

void answerDone(const ReceivedRequest &, ScriptedConnection &Link) {
  Link.write(wholeAnswer(200, "done"));
}

struct Played {
  const char *Name;
  std::set<size_t> Cut;
  CutKind Kind;
};
std::ostream &operator<<(std::ostream &Out, const Played &Subject) {
  return Out << Subject.Name;
}
const std::vector<Played> Cuts = {{"one, refused", {0}, CutKind::Refused},
                                  {"two, refused", {0, 1}, CutKind::Refused},
                                  {"one, hanging", {0}, CutKind::Hanging},
                                  {"two, hanging", {0, 1}, CutKind::Hanging},
                                  {"one, reset", {0}, CutKind::Reset},
                                  {"two, reset", {0, 1}, CutKind::Reset}};

} // namespace

BOOST_DATA_TEST_CASE(callers_of_cut_routers_are_served_through_others,
                     data::make(Cuts), Subject) {
  Fleet Routers(answerDone);
  for (size_t Index : Subject.Cut)
    Routers.cut(Index, Subject.Kind);
  Timestamp CutFrom = steadyNow();
  std::atomic<size_t> Sent = 0;
  std::atomic<size_t> Served = 0;
  std::vector<std::thread> Calls;
  for (int Number = 0; steadyNow() < CutFrom + 2 * ContactTime; ++Number) {
    // Half of the requests may run once only.
    std::string Path = Number % 2 == 0 ? "/many/x" : "/once/x";
    for (size_t Index : Subject.Cut)
      Calls.emplace_back([&, Index, Path] {
        bool Counts = steadyNow() >= CutFrom + ContactTime;
        bool Done = Routers.send(Index, Path).Status == 200;
        Sent += Counts ? 1 : 0;
        Served += Counts && Done ? 1 : 0;
      });
    std::this_thread::sleep_for(25ms);
  }
  for (std::thread &Call : Calls)
    Call.join();
  BOOST_TEST_MESSAGE(Subject.Name << ": " << Served << " of " << Sent);
  // The users' bounds, with the others served fully.
  BOOST_TEST(3 * Served >= 2 * Sent);
  BOOST_TEST(Sent - Served <= 10 + Sent / 50);
  for (size_t Index : Subject.Cut)
    Routers.heal(Index);
  for (size_t Index : Subject.Cut)
    BOOST_TEST(waitFor([&] { return !Routers.Fronts[Index]->needsHelpers(); }));
}

BOOST_AUTO_TEST_CASE(a_passed_request_arrives_unchanged_and_once) {
  Fleet Routers(answerDone);
  Routers.cutAndNotice(0);
  size_t Before = Routers.targetRequests();
  CallerAnswer Answer =
      Routers.send(0, "/once/x?y=1", "X-Deadline-Ms: 900\r\nX-Other: z\r\n");
  BOOST_TEST(Answer.Status == 200);
  BOOST_TEST(Answer.Body == "done");
  BOOST_TEST(Answer.Head.get("X-Server-Seal", "") == "seal");
  BOOST_TEST(Routers.targetRequests() == Before + 1);
  for (const auto &Target : Routers.Targets)
    for (const ReceivedRequest &Read : Target->requests()) {
      BOOST_TEST(!Read.Head.has("X-Ferry-Pass-Key"));
      BOOST_TEST(!Read.Head.has("Authorization"));
      if (Read.Head.getURI() != "/once/x?y=1")
        continue;
      BOOST_TEST(Read.Head.get("X-Request-Id", "") == "r1");
      BOOST_TEST(Read.Head.get("X-Tenant", "") == "t1");
      BOOST_TEST(Read.Head.get("X-Other", "") == "z");
      BOOST_TEST(std::stoi(Read.Head.get("X-Deadline-Ms", "0")) <= 900);
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_of_the_other_router_stays_not_run) {
  Fleet Routers([](const ReceivedRequest &, ScriptedConnection &Link) {
    Link.write(notRunRefusal());
  });
  Routers.cutAndNotice(0);
  CallerAnswer Answer = Routers.send(0, "/once/x");
  BOOST_TEST(Answer.Status == 503);
  BOOST_TEST(Answer.Head.has("Retry-After"));
}

// Two routers are cut, and each may take the other for well.
BOOST_AUTO_TEST_CASE(a_passed_request_is_not_passed_on_again) {
  Fleet Routers(answerDone);
  for (size_t Index = 0; Index < Fleet::Size; ++Index)
    Routers.cutAndNotice(Index);
  routing::RouterReach Well = Routers.Fronts[1]->reach();
  Well.ReachesTargets = true;
  Routers.Fronts[0]->noteHelper({"r1"}, Well);
  size_t Before = Routers.targetRequests();
  Timestamp SentAt = steadyNow();
  BOOST_TEST(Routers.send(0, "/once/x").Status == 503);
  BOOST_TEST((steadyNow() - SentAt).count() < 200'000);
  BOOST_TEST(Routers.targetRequests() == Before);
}

BOOST_AUTO_TEST_CASE(a_forged_key_changes_nothing) {
  Fleet Routers(answerDone);
  Routers.cutAndNotice(0);
  BOOST_TEST(Routers.send(0, "/once/x", "X-Ferry-Pass-Key: 0123\r\n").Status ==
             200);
  BOOST_TEST(Routers.send(0, "/once/x", "X-Ferry-Pass-Key:\r\n").Status == 200);
}

// Events are relayed as they come, and a caller that leaves ends the call at
// its target.
BOOST_AUTO_TEST_CASE(a_passed_stream_is_relayed_and_cancelled) {
  std::atomic<bool> Ended = false;
  Fleet Routers([&](const ReceivedRequest &Read, ScriptedConnection &Link) {
    if (Read.Head.getURI().find("/flow/") != 0)
      return answerDone(Read, Link);
    Link.write(streamHead() + chunk(event(1)));
    Ended = Link.awaitPeerClosed(MaxWait);
  });
  Routers.cutAndNotice(0);
  {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress(Routers.Fronts[0]->address()));
    Socket.setReceiveTimeout(Poco::Timespan(MaxWait.count(), 0));
    std::string Raw = RoutedBed::request("/flow/x");
    Socket.sendBytes(Raw.data(), static_cast<int>(Raw.size()));
    std::string Got;
    std::array<char, 1024> Buffer;
    while (Got.find("data: x1") == std::string::npos) {
      int Count = Socket.receiveBytes(Buffer.data(), Buffer.size());
      BOOST_REQUIRE(Count > 0);
      Got.append(Buffer.data(), static_cast<size_t>(Count));
    }
  }
  BOOST_TEST(waitFor([&] { return Ended.load(); }));
}

BOOST_AUTO_TEST_CASE(a_stream_that_breaks_at_the_other_router_looks_broken) {
  Fleet Routers([](const ReceivedRequest &Read, ScriptedConnection &Link) {
    if (Read.Head.getURI().find("/flow/") != 0)
      return answerDone(Read, Link);
    Link.write(streamHead() + chunk(event(1)));
    Link.reset();
  });
  Routers.cutAndNotice(0);
  CallerAnswer Answer = Routers.send(0, "/flow/x");
  BOOST_TEST(!Answer.Whole);
}
