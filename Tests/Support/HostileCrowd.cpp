#include "Support/HostileCrowd.h"
#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/socket.h>

namespace ferry::test {

using namespace std::chrono_literals;
using Poco::Net::IPAddress;
using Poco::Net::SocketAddress;

static constexpr auto SamplePause = 50ms;
static constexpr auto RoundPause = 1ms;

HostileCrowd::HostileCrowd(std::string Address, size_t Count,
                           HostileBytes Bytes)
    : Address(std::move(Address)), Bytes(std::move(Bytes)), Callers(Count),
      Runner([this] { run(); }) {}

HostileCrowd::~HostileCrowd() {
  Stopping = true;
  Runner.join();
}

void HostileCrowd::run() {
  while (!Stopping) {
    for (Caller &Each : Callers) {
      if (!Each.Socket)
        connect(Each);
      else
        send(Each);
    }
    std::this_thread::sleep_for(RoundPause);
  }
}

void HostileCrowd::connect(Caller &Connecting) const {
  try {
    Connecting.Socket.emplace();
    Connecting.Socket->connectNB(SocketAddress(Address));
    Connecting.Sent = 0;
  } catch (const Poco::Exception &) {
    Connecting.Socket.reset();
  }
}

void HostileCrowd::send(Caller &Sending) const {
  int Descriptor = Sending.Socket->impl()->sockfd();
  bool Starts = Sending.Sent < Bytes.Start.size();
  const std::string &Next = Starts ? Bytes.Start : Bytes.Rest;
  size_t From = Starts ? Sending.Sent : 0;
  ssize_t Count = 0;
  if (Next.empty()) {
    std::array<char, 1> Byte;
    Count = ::recv(Descriptor, Byte.data(), Byte.size(), MSG_DONTWAIT);
    Count = Count == 0 ? -1 : Count;
  } else {
    Count = ::send(Descriptor, Next.data() + From, Next.size() - From,
                   MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  if (Count > 0 && Starts)
    Sending.Sent += static_cast<size_t>(Count);
  bool Waits = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK ||
                             errno == ENOTCONN || errno == EINPROGRESS);
  if (Count < 0 && !Waits)
    Sending.Socket.reset();
}

/// \returns the address as /proc/net/tcp has it.
static std::string procHex(const std::string &Address) {
  const IPAddress Parsed(Address);
  const auto *Octets = static_cast<const unsigned char *>(Parsed.addr());
  std::array<char, 16> Text;
  std::snprintf(Text.data(), Text.size(), "%02X%02X%02X%02X", Octets[3],
                Octets[2], Octets[1], Octets[0]);
  return Text.data();
}

ProcessUsage::ProcessUsage(int Process, const std::string &Address)
    : Process(Process),
      AddressHex(procHex(Address.substr(0, Address.find(':')))),
      Sampler([this] {
        while (!Stopping) {
          sample();
          std::this_thread::sleep_for(SamplePause);
        }
      }) {}

void ProcessUsage::stop() {
  Stopping = true;
  if (Sampler.joinable())
    Sampler.join();
}

void ProcessUsage::sample() {
  std::error_code Ended;
  size_t Open = 0;
  for (std::filesystem::directory_iterator
           Each("/proc/" + std::to_string(Process) + "/fd", Ended),
       End;
       !Ended && Each != End; Each.increment(Ended))
    ++Open;
  Descriptors = std::max(Descriptors.load(), Open);
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  uint64_t Unread = 0;
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Number;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues;
    Fields >> Number >> Local >> Remote >> State >> Queues;
    static const std::string Listening = "0A";
    if (Local.starts_with(AddressHex) && State != Listening)
      Unread += std::stoull(Queues.substr(Queues.find(':') + 1), nullptr, 16);
  }
  UnreadBytes = std::max(UnreadBytes.load(), Unread);
}

/// \returns a field of the process's status in bytes; 0 if it has ended.
static uint64_t statusBytes(int Process, const std::string &Field) {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with(Field + ":"))
      return std::stoull(Line.substr(Field.size() + 1)) << 10;
  return 0;
}

uint64_t ProcessUsage::peakBytes() const {
  return statusBytes(Process, "VmHWM") + UnreadBytes;
}

uint64_t ProcessUsage::residentBytes(int Process) {
  return statusBytes(Process, "VmRSS");
}

} // namespace ferry::test
