#include "Fakes/FakeProxy.h"
#include <Poco/Exception.h>
#include <algorithm>
#include <array>
#include <poll.h>
#include <vector>

namespace ferry::fakes {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

static constexpr int PollMillis = 10;
static constexpr Duration DelayTime = std::chrono::milliseconds(60);
static constexpr int ConnectMillis = 1000;

FakeProxy::FakeProxy(const std::string &Address, std::string Upstream)
    : Upstream(std::move(Upstream)), Listener(SocketAddress(Address)),
      Address(Listener.address().toString()), Runner([this] { run(); }) {}

FakeProxy::~FakeProxy() {
  Stopping = true;
  Runner.join();
}

void FakeProxy::run() {
  while (!Stopping) {
    std::vector<pollfd> Polled{{Listener.impl()->sockfd(), POLLIN, 0}};
    for (Connection &Link : Links)
      for (StreamSocket *Socket : {&Link.Caller, &Link.Server})
        Polled.push_back({Socket->impl()->sockfd(), POLLIN, 0});
    // Sockets whose bytes are held back stay readable; the sleep keeps the loop
    // from spinning on them.
    if (Mode != ProxyMode::Pass || RequestRate > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
    ::poll(Polled.data(), Polled.size(), PollMillis);
    acceptPending();
    if (Mode == ProxyMode::Reset)
      resetAll();
    for (Connection &Link : Links)
      forwardBoth(Link);
    std::erase_if(Links, [](const Connection &Link) { return Link.Broken; });
  }
}

void FakeProxy::acceptPending() {
  while (Listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    StreamSocket Caller = Listener.acceptConnection();
    try {
      if (isReset(Caller.peerAddress().port())) {
        Caller.setLinger(true, 0);
        continue;
      }
      StreamSocket Server;
      Server.connect(
          SocketAddress(Upstream),
          Poco::Timespan(ConnectMillis * Poco::Timespan::MILLISECONDS));
      for (StreamSocket *Socket : {&Caller, &Server}) {
        Socket->setBlocking(false);
        Socket->setNoDelay(true);
      }
      Links.push_back({Caller, Server, {}, {}, false});
    } catch (const Poco::Exception &) {
      // Nothing listens upstream: resets the caller's connection.
      Caller.setLinger(true, 0);
    }
  }
}

void FakeProxy::resetAll() {
  for (Connection &Link : Links) {
    Link.Caller.setLinger(true, 0);
    Link.Server.setLinger(true, 0);
  }
  Links.clear();
}

bool FakeProxy::isHeld(const Connection &Link, const Direction &Flow) const {
  bool FromCaller = &Flow == &Link.Requests;
  switch (Mode.load()) {
  case ProxyMode::HoldAll:
    return true;
  case ProxyMode::HoldRequests:
    return FromCaller;
  case ProxyMode::HoldAnswers:
    return !FromCaller;
  case ProxyMode::Pass:
  case ProxyMode::Delay:
  case ProxyMode::Reset:
    return false;
  }
  return false;
}

void FakeProxy::forwardBoth(Connection &Link) {
  try {
    forward(Link, Link.Caller, Link.Server, Link.Requests);
    forward(Link, Link.Server, Link.Caller, Link.Answers);
  } catch (const Poco::Exception &) {
    // One side was reset: resets the other one.
    Link.Caller.setLinger(true, 0);
    Link.Server.setLinger(true, 0);
    Link.Broken = true;
  }
  Link.Broken |= Link.Requests.Ended && Link.Answers.Ended;
}

void FakeProxy::forward(Connection &Link, StreamSocket &From, StreamSocket &To,
                        Direction &Flow) {
  static constexpr size_t BufferBytes = 64 * 1024;
  std::array<char, BufferBytes> Buffer;
  if (Flow.Ended || isHeld(Link, Flow))
    return;
  if (Flow.Bytes.empty() &&
      From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    int Count = From.receiveBytes(Buffer.data(), int(Buffer.size()));
    if (Count == 0) {
      To.shutdownSend();
      Flow.Ended = true;
      return;
    }
    if (Count > 0)
      Flow.Bytes.assign(Buffer.data(), static_cast<size_t>(Count));
    Flow.DueAt = steadyNow();
    if (Mode == ProxyMode::Delay)
      Flow.DueAt += DelayTime;
  }
  if (Flow.Bytes.empty() || steadyNow() < Flow.DueAt)
    return;
  bool IsRequest = &Flow == &Link.Requests;
  size_t Allowed = Flow.Bytes.size();
  if (IsRequest)
    Allowed = allowedRequestBytes(Allowed);
  if (Allowed == 0)
    return;
  int Sent = To.sendBytes(Flow.Bytes.data(), int(Allowed), MSG_NOSIGNAL);
  if (Sent <= 0)
    return;
  Flow.Bytes.erase(0, static_cast<size_t>(Sent));
  if (IsRequest) {
    RequestBudget -= Sent;
    RequestBytes += static_cast<uint64_t>(Sent);
  }
}

size_t FakeProxy::allowedRequestBytes(size_t Wanted) {
  int64_t Rate = RequestRate;
  if (Rate == 0)
    return Wanted;
  // Up to a tenth of a second's bytes may be sent at once.
  Timestamp Now = steadyNow();
  static constexpr int64_t MicrosInSecond = 1'000'000;
  Duration Since = std::min<Duration>(Now - BudgetAt, std::chrono::seconds(1));
  RequestBudget = std::min(
      RequestBudget + Since.count() * Rate / MicrosInSecond, Rate / 10);
  BudgetAt = Now;
  return static_cast<size_t>(
      std::clamp<int64_t>(RequestBudget, 0, static_cast<int64_t>(Wanted)));
}

} // namespace ferry::fakes
