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

FakeProxy::FakeProxy(const std::string &Address, std::string Behind)
    : Behind(std::move(Behind)), Listener(SocketAddress(Address)),
      Address(Listener.address().toString()), Runner([this] { run(); }) {}

FakeProxy::~FakeProxy() {
  Stopping = true;
  Runner.join();
}

void FakeProxy::run() {
  while (!Stopping) {
    std::vector<pollfd> Polled{{Listener.impl()->sockfd(), POLLIN, 0}};
    for (Link &Passing : Links)
      for (StreamSocket *Socket : {&Passing.Caller, &Passing.Server})
        Polled.push_back({Socket->impl()->sockfd(), POLLIN, 0});
    // Held bytes stay readable: a pause keeps the loop from spinning on them.
    if (Mode != ProxyMode::Pass)
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
    ::poll(Polled.data(), Polled.size(), PollMillis);
    acceptSome();
    if (Mode == ProxyMode::Reset)
      resetAll();
    for (Link &Passing : Links)
      serve(Passing);
    std::erase_if(Links, [](const Link &Passing) { return Passing.Broken; });
  }
}

void FakeProxy::acceptSome() {
  while (Listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    StreamSocket Caller = Listener.acceptConnection();
    try {
      StreamSocket Server;
      Server.connect(
          SocketAddress(Behind),
          Poco::Timespan(ConnectMillis * Poco::Timespan::MILLISECONDS));
      for (StreamSocket *Socket : {&Caller, &Server}) {
        Socket->setBlocking(false);
        Socket->setNoDelay(true);
      }
      Links.push_back({Caller, Server, {}, {}, false});
    } catch (const Poco::Exception &) {
      // Nobody listens behind: the caller sees its connection reset.
      Caller.setLinger(true, 0);
    }
  }
}

void FakeProxy::resetAll() {
  for (Link &Passing : Links) {
    Passing.Caller.setLinger(true, 0);
    Passing.Server.setLinger(true, 0);
  }
  Links.clear();
}

bool FakeProxy::isHeld(const Link &Of, const Direction &Way) const {
  bool OfCaller = &Way == &Of.Requests;
  switch (Mode.load()) {
  case ProxyMode::HoldAll:
    return true;
  case ProxyMode::HoldRequests:
    return OfCaller;
  case ProxyMode::HoldAnswers:
    return !OfCaller;
  case ProxyMode::Pass:
  case ProxyMode::Delay:
  case ProxyMode::Reset:
    return false;
  }
  return false;
}

void FakeProxy::serve(Link &Passing) {
  try {
    move(Passing, Passing.Caller, Passing.Server, Passing.Requests);
    move(Passing, Passing.Server, Passing.Caller, Passing.Answers);
  } catch (const Poco::Exception &) {
    // One side was reset: so is the other.
    Passing.Caller.setLinger(true, 0);
    Passing.Server.setLinger(true, 0);
    Passing.Broken = true;
  }
  Passing.Broken |= Passing.Requests.Ended && Passing.Answers.Ended;
}

void FakeProxy::move(Link &Of, StreamSocket &From, StreamSocket &To,
                     Direction &Way) {
  static constexpr size_t BufferBytes = 64 * 1024;
  std::array<char, BufferBytes> Buffer;
  if (Way.Ended || isHeld(Of, Way))
    return;
  if (Way.Bytes.empty() &&
      From.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    int Count = From.receiveBytes(Buffer.data(), int(Buffer.size()));
    if (Count == 0) {
      To.shutdownSend();
      Way.Ended = true;
      return;
    }
    if (Count > 0)
      Way.Bytes.assign(Buffer.data(), static_cast<size_t>(Count));
    Way.DueAt = steadyNow();
    if (Mode == ProxyMode::Delay)
      Way.DueAt += DelayTime;
  }
  if (Way.Bytes.empty() || steadyNow() < Way.DueAt)
    return;
  int Sent =
      To.sendBytes(Way.Bytes.data(), int(Way.Bytes.size()), MSG_NOSIGNAL);
  if (Sent > 0)
    Way.Bytes.erase(0, static_cast<size_t>(Sent));
}

} // namespace ferry::fakes
