/// \file
/// A child process of a test, ended with it.
#ifndef FERRY_TESTS_SUPPORT_TESTPROCESS_H
#define FERRY_TESTS_SUPPORT_TESTPROCESS_H

#include <Poco/Process.h>
#include <csignal>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ferry::test {

/// Runs a program until the object goes; signals go to that process only.
class TestProcess {
public:
  TestProcess(const std::string &Program,
              const std::vector<std::string> &Arguments);
  ~TestProcess();
  TestProcess(const TestProcess &) = delete;
  TestProcess &operator=(const TestProcess &) = delete;

  void signal(int Number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// Waits for the end. \returns the exit code.
  int wait();
  bool isRunning() const;
  /// \returns how a process ended that was not waited for, as "signal 9" or
  /// "code 1"; empty while it runs.
  std::string ending() const;
  /// Bounds the size of the files that the process writes, as a full disk does.
  void limitFiles(uint64_t Bytes) const;
  void liftFileLimit() const;

private:
  std::unique_ptr<Poco::ProcessHandle> Handle;
};

} // namespace ferry::test

#endif
