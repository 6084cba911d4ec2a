#include "Support/ForkedTarget.h"
#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ferry::test {

static constexpr int Backlog = 64;

ForkedTarget::ForkedTarget(std::string Answer) {
  int Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Bound{};
  Bound.sin_family = AF_INET;
  Bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Bytes = sizeof Bound;
  auto *Generic = reinterpret_cast<sockaddr *>(&Bound);
  if (Listener < 0 || ::bind(Listener, Generic, sizeof Bound) != 0 ||
      ::listen(Listener, Backlog) != 0 ||
      ::getsockname(Listener, Generic, &Bytes) != 0)
    throw std::runtime_error("cannot listen");
  Address = "127.0.0.1:" + std::to_string(ntohs(Bound.sin_port));
  Child = ::fork();
  if (Child == 0)
    serve(Listener, Answer);
  ::close(Listener);
  if (Child < 0)
    throw std::runtime_error("cannot fork");
}

ForkedTarget::~ForkedTarget() { kill(); }

void ForkedTarget::kill() {
  if (Child <= 0)
    return;
  ::kill(Child, SIGKILL);
  ::waitpid(Child, nullptr, 0);
  Child = 0;
}

void ForkedTarget::serve(int Listener, const std::string &Answer) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  while (true) {
    int Connection = ::accept(Listener, nullptr, nullptr);
    std::string Head;
    char Byte = 0;
    while (!Head.ends_with("\r\n\r\n") && ::recv(Connection, &Byte, 1, 0) == 1)
      Head += Byte;
    // A request has a body of one byte.
    if (Head.ends_with("\r\n\r\n") && ::recv(Connection, &Byte, 1, 0) == 1)
      ::send(Connection, Answer.data(), Answer.size(), MSG_NOSIGNAL);
    else
      ::close(Connection);
  }
}

} // namespace ferry::test
