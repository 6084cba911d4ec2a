#include "Support/TestProcess.h"
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <sys/wait.h>

namespace ferry::test {

TestProcess::TestProcess(const std::string &Program,
                         const std::vector<std::string> &Arguments)
    : Handle(std::make_unique<Poco::ProcessHandle>(
          Poco::Process::launch(Program, Arguments))) {}

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

/// \returns the inode of the open TCP connection between two local ports; 0 if
/// there is none.
static uint64_t inodeOf(uint16_t Port, uint16_t PeerPort) {
  static constexpr int HexBase = 16;
  auto PortOf = [](const std::string &Address) {
    return std::stoul(Address.substr(Address.find(':') + 1), nullptr, HexBase);
  };
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  std::getline(Table, Line);
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Number;
    std::string Local;
    std::string Remote;
    std::string Skipped;
    uint64_t Inode = 0;
    Fields >> Number >> Local >> Remote;
    for (int Field = 0; Field < 6; ++Field)
      Fields >> Skipped;
    Fields >> Inode;
    if (Inode != 0 && PortOf(Local) == Port && PortOf(Remote) == PeerPort)
      return Inode;
  }
  return 0;
}

bool TestProcess::hasConnection(uint16_t Port, uint16_t PeerPort) const {
  uint64_t Inode = inodeOf(Port, PeerPort);
  std::string Wanted = "socket:[" + std::to_string(Inode) + "]";
  std::filesystem::path Folder = "/proc/" + std::to_string(id()) + "/fd";
  std::error_code Ended;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder, Ended)) {
    std::error_code Closed;
    if (std::filesystem::read_symlink(Entry.path(), Closed) == Wanted)
      return Inode != 0;
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
