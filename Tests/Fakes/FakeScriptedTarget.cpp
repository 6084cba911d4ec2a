#include "Fakes/FakeScriptedTarget.h"
#include <Poco/Exception.h>
#include <Poco/Net/SocketStream.h>
#include <Poco/StreamCopier.h>
#include <array>
#include <chrono>
#include <poll.h>
#include <sys/socket.h>

namespace ferry::fakes {

using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

bool ScriptedConnection::write(const std::string &Bytes) {
  try {
    return Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()),
                            MSG_NOSIGNAL) == static_cast<int>(Bytes.size());
  } catch (const Poco::Exception &) {
    return false;
  }
}

void ScriptedConnection::reset() {
  Socket.setLinger(true, 0);
  Socket.close();
}

bool ScriptedConnection::awaitPeerClosed(std::chrono::milliseconds Limit) {
  pollfd Polled{Socket.impl()->sockfd(), POLLRDHUP, 0};
  return ::poll(&Polled, 1, static_cast<int>(Limit.count())) > 0;
}

FakeScriptedTarget::FakeScriptedTarget(Script Answer, Gate IsReset)
    : Answer(std::move(Answer)), IsReset(std::move(IsReset)),
      Listener(SocketAddress("127.0.0.1", 0)),
      Address(Listener.address().toString()), Acceptor([this] { accept(); }) {}

FakeScriptedTarget::~FakeScriptedTarget() {
  Stopping = true;
  Acceptor.join();
  for (ConnectionThread &Thread : ConnectionThreads)
    Thread.Runner.join();
}

void FakeScriptedTarget::joinEnded() {
  ConnectionThreads.remove_if([](ConnectionThread &Thread) {
    if (!Thread.Ended)
      return false;
    Thread.Runner.join();
    return true;
  });
}

std::vector<ReceivedRequest> FakeScriptedTarget::requests() const {
  std::lock_guard Lock(Mutex);
  return Requests;
}

void FakeScriptedTarget::accept() {
  static constexpr long PollMicros = 20'000;
  while (!Stopping)
    if (Listener.poll(Poco::Timespan(PollMicros),
                      Poco::Net::Socket::SELECT_READ)) {
      joinEnded();
      ConnectionThread &Added = ConnectionThreads.emplace_back();
      Added.Runner =
          std::thread([this, &Added, Socket = Listener.acceptConnection()] {
            serve(Socket);
            Added.Ended = true;
          });
    }
}

void FakeScriptedTarget::serve(StreamSocket Socket) {
  static constexpr long IdleSeconds = 20;
  try {
    if (IsReset(Socket.peerAddress().port())) {
      ScriptedConnection(Socket).reset();
      return;
    }
    Socket.setReceiveTimeout(Poco::Timespan(IdleSeconds, 0));
    Poco::Net::SocketStream Stream(Socket);
    ReceivedRequest Received;
    Received.Head.read(Stream);
    std::streamsize BodyBytes =
        Received.Head.hasContentLength()
            ? static_cast<std::streamsize>(Received.Head.getContentLength64())
            : 0;
    Received.Body.resize(static_cast<size_t>(BodyBytes));
    Stream.read(Received.Body.data(), BodyBytes);
    Received.Body.resize(static_cast<size_t>(Stream.gcount()));
    {
      std::lock_guard Lock(Mutex);
      Requests.push_back(Received);
    }
    ScriptedConnection Connection(Socket);
    Answer(Received, Connection);
  } catch (const Poco::Exception &) {
    // The peer closed the connection before its request was complete.
  }
}

} // namespace ferry::fakes
