#include "Support/TestProcess.h"
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstring>
#include <filesystem>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ferry::test {

TestProcess::TestProcess(const std::string &Program,
                         const std::vector<std::string> &Arguments,
                         const Environment &Extra)
    : Handle(std::make_unique<Poco::ProcessHandle>(Poco::Process::launch(
          Program, Arguments, nullptr, nullptr, nullptr, Extra))) {}

TestProcess::~TestProcess() { kill(); }

void TestProcess::signal(int Number) const {
  if (Handle)
    ::kill(Handle->id(), Number);
}

void TestProcess::kill() {
  if (!Handle)
    return;
  signal(SIGKILL);
  wait();
}

int TestProcess::wait() {
  int Code = Handle->wait();
  Handle.reset();
  return Code;
}

/// \returns the inode of the open TCP connection between two ports of
/// 127.0.0.1, asked of the kernel; 0 if there is none.
static uint64_t inodeOf(uint16_t Port, uint16_t PeerPort) {
  struct {
    nlmsghdr Header;
    inet_diag_req_v2 Wanted;
  } Question{};
  Question.Header.nlmsg_len = sizeof(Question);
  Question.Header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  Question.Header.nlmsg_flags = NLM_F_REQUEST;
  Question.Wanted.sdiag_family = AF_INET;
  Question.Wanted.sdiag_protocol = IPPROTO_TCP;
  Question.Wanted.idiag_states = ~0U;
  Question.Wanted.id.idiag_sport = htons(Port);
  Question.Wanted.id.idiag_dport = htons(PeerPort);
  Question.Wanted.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  Question.Wanted.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  Question.Wanted.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  Question.Wanted.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  int Socket =
      ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  alignas(nlmsghdr) std::array<char, 4096> Buffer{};
  ssize_t Received = -1;
  if (::send(Socket, &Question, sizeof(Question), 0) == sizeof(Question))
    Received = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  ::close(Socket);
  nlmsghdr Header{};
  inet_diag_msg Found{};
  if (Received < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(Found)))
    return 0;
  std::memcpy(&Header, Buffer.data(), sizeof(Header));
  if (Header.nlmsg_type != SOCK_DIAG_BY_FAMILY)
    return 0;
  std::memcpy(&Found, Buffer.data() + NLMSG_HDRLEN, sizeof(Found));
  return Found.idiag_inode;
}

bool hasConnection(int Id, uint16_t Port, uint16_t PeerPort) {
  uint64_t Inode = inodeOf(Port, PeerPort);
  if (Inode == 0)
    return false;
  std::string Wanted = "socket:[" + std::to_string(Inode) + "]";
  std::filesystem::path Folder = "/proc/" + std::to_string(Id) + "/fd";
  std::error_code Ended;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder, Ended)) {
    std::error_code Closed;
    if (std::filesystem::read_symlink(Entry.path(), Closed) == Wanted)
      return true;
  }
  return false;
}

bool TestProcess::isRunning() const { return Handle && endStatus().empty(); }

std::string TestProcess::endStatus() const {
  // WNOWAIT leaves an ended process unreaped, so that its id stays valid for
  // signals until wait().
  siginfo_t Ended{};
  bool Queried = Handle && ::waitid(P_PID, static_cast<id_t>(Handle->id()),
                                    &Ended, WEXITED | WNOHANG | WNOWAIT) == 0;
  if (!Queried || Ended.si_pid == 0)
    return "";
  return (Ended.si_code == CLD_EXITED ? "code " : "signal ") +
         std::to_string(Ended.si_status);
}

static void setFileSizeLimit(int Process, rlim_t Bytes) {
  rlimit Limit{};
  prlimit(Process, RLIMIT_FSIZE, nullptr, &Limit);
  Limit.rlim_cur = std::min(Bytes, Limit.rlim_max);
  prlimit(Process, RLIMIT_FSIZE, &Limit, nullptr);
}

void TestProcess::limitFileSize(uint64_t Bytes) const {
  setFileSizeLimit(static_cast<int>(Handle->id()), Bytes);
}

void TestProcess::liftFileSizeLimit() const {
  setFileSizeLimit(static_cast<int>(Handle->id()), RLIM_INFINITY);
}

} // namespace ferry::test
