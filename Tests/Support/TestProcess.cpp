#include "Support/TestProcess.h"

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

bool TestProcess::isRunning() const {
  return Handle && ::kill(Handle->id(), 0) == 0;
}

} // namespace ferry::test
