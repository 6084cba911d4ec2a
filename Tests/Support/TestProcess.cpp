#include "Support/TestProcess.h"
#include <algorithm>
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

bool TestProcess::isRunning() const { return Handle && ending().empty(); }

std::string TestProcess::ending() const {
  // One that has ended can be sent signals until it is waited for.
  siginfo_t Ended{};
  bool Known = Handle && ::waitid(P_PID, static_cast<id_t>(Handle->id()),
                                  &Ended, WEXITED | WNOHANG | WNOWAIT) == 0;
  if (!Known || Ended.si_pid == 0)
    return "";
  return (Ended.si_code == CLD_EXITED ? "code " : "signal ") +
         std::to_string(Ended.si_status);
}

static void setFileLimit(int Process, rlim_t Bytes) {
  rlimit Limit{};
  prlimit(Process, RLIMIT_FSIZE, nullptr, &Limit);
  Limit.rlim_cur = std::min(Bytes, Limit.rlim_max);
  prlimit(Process, RLIMIT_FSIZE, &Limit, nullptr);
}

void TestProcess::limitFiles(uint64_t Bytes) const {
  setFileLimit(static_cast<int>(Handle->id()), Bytes);
}

void TestProcess::liftFileLimit() const {
  setFileLimit(static_cast<int>(Handle->id()), RLIM_INFINITY);
}

} // namespace ferry::test
