/// \file
/// A target that is a process of its own, so that its kernel ends its
/// connections when it is killed.
#ifndef FERRY_TESTS_SUPPORT_FORKEDTARGET_H
#define FERRY_TESTS_SUPPORT_FORKEDTARGET_H

#include <string>
#include <sys/types.h>

namespace ferry::test {

/// Writes the same bytes to each connection, once it has the head of a request,
/// and keeps the connection open. Must be made before the test starts threads.
class ForkedTarget {
public:
  explicit ForkedTarget(std::string Answer);
  ~ForkedTarget();
  ForkedTarget(const ForkedTarget &) = delete;
  ForkedTarget &operator=(const ForkedTarget &) = delete;

  /// "IP:port".
  std::string address() const { return Address; }
  /// Sends SIGKILL and waits for the end.
  void kill();

private:
  [[noreturn]] static void serve(int Listener, const std::string &Answer);

  std::string Address;
  pid_t Child = 0;
};

} // namespace ferry::test

#endif
