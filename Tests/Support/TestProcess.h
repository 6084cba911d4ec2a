/// \file
/// A child process of a test.
#ifndef FERRY_TESTS_SUPPORT_TESTPROCESS_H
#define FERRY_TESTS_SUPPORT_TESTPROCESS_H

#include <Poco/Process.h>
#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ferry::test {

/// Runs a program, and kills it when the object is destroyed. Signals are sent
/// to this process only.
class TestProcess {
public:
  using Environment = std::map<std::string, std::string>;

  /// \param Extra variables beside those of this process.
  TestProcess(const std::string &Program,
              const std::vector<std::string> &Arguments,
              const Environment &Extra = {});
  ~TestProcess();
  TestProcess(const TestProcess &) = delete;
  TestProcess &operator=(const TestProcess &) = delete;

  int id() const { return Handle->id(); }
  void signal(int Number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// Waits for the end of the process. \returns the exit code.
  int wait();
  bool isRunning() const;
  /// \returns how the process ended, as "signal 9" or "code 1"; empty while it
  /// runs and after wait().
  std::string endStatus() const;
  /// Limits the size of the files that the process writes. Its writes then
  /// fail, as on a full disk.
  void limitFileSize(uint64_t Bytes) const;
  void liftFileSizeLimit() const;

private:
  std::unique_ptr<Poco::ProcessHandle> Handle;
};

/// Whether the process \p Id has the connection from \p Port of this machine to
/// \p PeerPort open.
bool hasConnection(int Id, uint16_t Port, uint16_t PeerPort);

} // namespace ferry::test

#endif
