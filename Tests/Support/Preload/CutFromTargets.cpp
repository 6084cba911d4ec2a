// Loaded into a router before its libraries: cuts its connections to targets
// while the file that FERRY_CUT_FILE names exists. Targets of tests are at
// 127.0.0.1, hosts at other addresses.
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using ConnectFunction = int (*)(int, const sockaddr *, socklen_t);

ConnectFunction realConnect() {
  static auto Real =
      reinterpret_cast<ConnectFunction>(dlsym(RTLD_NEXT, "connect"));
  return Real;
}

/// \returns how connections are cut, "" if they are not.
std::string cutMode() {
  const char *File = std::getenv("FERRY_CUT_FILE");
  std::string Mode;
  if (File != nullptr)
    std::ifstream(File) >> Mode;
  return Mode;
}

/// \returns an address at which connections hang: its queue is full.
sockaddr_in hangingAddress() {
  static std::once_flag Once;
  static sockaddr_in Address{};
  std::call_once(Once, [] {
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    int Listener = socket(AF_INET, SOCK_STREAM, 0);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    bind(Listener, Generic, Size);
    listen(Listener, 0);
    getsockname(Listener, Generic, &Size);
    for (int Filler = 0; Filler < 4; ++Filler) {
      int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      realConnect()(Socket, Generic, Size);
    }
  });
  return Address;
}

} // namespace

extern "C" int connect(int Socket, const sockaddr *Address, socklen_t Size) {
  const auto *Internet = reinterpret_cast<const sockaddr_in *>(Address);
  bool IsTarget = Address->sa_family == AF_INET &&
                  Internet->sin_addr.s_addr == htonl(INADDR_LOOPBACK);
  std::string Mode = IsTarget ? cutMode() : "";
  if (Mode == "refuse") {
    errno = ECONNREFUSED;
    return -1;
  }
  if (Mode != "hang")
    return realConnect()(Socket, Address, Size);
  sockaddr_in Hanging = hangingAddress();
  return realConnect()(Socket, reinterpret_cast<sockaddr *>(&Hanging),
                       sizeof(Hanging));
}
