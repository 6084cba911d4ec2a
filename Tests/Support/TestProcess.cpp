#include "Support/TestProcess.h"
#include <algorithm>
#include <sys/resource.h>
#include <sys/wait.h>

namespace ferry::test {

TestProcess::TestProcess(const std::string &Program,
                         const std::vector<std::string> &Arguments,
                         const std::map<std::string, std::string> &Variables)
    : Handle(std::make_unique<Poco::ProcessHandle>(Poco::Process::launch(
          Program, Arguments, nullptr, nullptr, nullptr, Variables))) {}

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
