/// \file
/// Starts the project's daemons as processes on loopback addresses, with the
/// templates of the deploy file, and plays the platform, targets and callers
/// around them. Used by the cases 6 to 10.
#ifndef FERRY_REVIEW_STAGE_H
#define FERRY_REVIEW_STAGE_H

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// Exit codes of a script.
inline constexpr int Held = 0;
inline constexpr int Broken = 1;
inline constexpr int CouldNotRun = 2;

/// \returns the milliseconds since the program started.
inline int64_t nowMillis() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration_cast<Millis>(Clock::now() - Start).count();
}

inline void sleepUntil(int64_t Moment) {
  int64_t Left = Moment - nowMillis();
  if (Left > 0)
    std::this_thread::sleep_for(Millis(Left));
}

inline void sleepFor(int64_t Span) { sleepUntil(nowMillis() + Span); }

/// Writes lines with their times to the record of the case.
class Record {
public:
  explicit Record(const std::string &Path) : File(Path) {}

  void line(const std::string &Text) {
    std::lock_guard Lock(Mutex);
    File << nowMillis() << " ms  " << Text << "\n" << std::flush;
  }

private:
  std::mutex Mutex;
  std::ofstream File;
};

/// \returns whether the environment asks for the run with the disruption.
inline bool withTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// The start line, the fields and the body of an HTTP message.
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  /// Whether the message came to its end.
  bool Whole = false;

  std::string field(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  /// The status of an answer; 0 without one.
  int status() const {
    return Start.size() < 12 ? 0 : std::atoi(Start.c_str() + 9);
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string path() const {
    size_t From = Start.find(' ');
    if (From == std::string::npos)
      return "";
    size_t End = Start.find(' ', From + 1);
    return Start.substr(From + 1, End - From - 1);
  }
};

/// One end of a TCP connection.
class Link {
public:
  explicit Link(int Descriptor) : Descriptor(Descriptor) {}
  ~Link() { close(); }
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  void close() {
    if (Descriptor >= 0)
      ::close(std::exchange(Descriptor, -1));
  }

  bool send(const std::string &Bytes) const {
    size_t Sent = 0;
    while (Sent < Bytes.size()) {
      ssize_t Count = ::send(Descriptor, Bytes.data() + Sent,
                             Bytes.size() - Sent, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Sent += static_cast<size_t>(Count);
    }
    return true;
  }

  /// Reads one message. \returns nothing if no head came until \p Deadline.
  std::optional<Message> receive(int64_t Deadline, bool IsAnswer) {
    size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more(Deadline))
        return std::nullopt;
    Message Received = parseHead(Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    readBody(Received, Deadline, IsAnswer);
    return Received;
  }

private:
  bool more(int64_t Deadline) {
    int64_t Left = Deadline - nowMillis();
    pollfd Polled{Descriptor, POLLIN, 0};
    if (Left <= 0 || ::poll(&Polled, 1, static_cast<int>(Left)) <= 0)
      return false;
    char Bytes[16384];
    ssize_t Count = ::recv(Descriptor, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }

  static Message parseHead(const std::string &Text) {
    Message Parsed;
    std::istringstream In(Text);
    std::string Line;
    std::getline(In, Parsed.Start);
    if (!Parsed.Start.empty() && Parsed.Start.back() == '\r')
      Parsed.Start.pop_back();
    while (std::getline(In, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Parsed.Fields.emplace_back(
          Line.substr(0, Colon),
          Value == std::string::npos ? "" : Line.substr(Value));
    }
    return Parsed;
  }

  bool take(size_t Count, std::string &To, int64_t Deadline) {
    while (Buffer.size() < Count)
      if (!more(Deadline))
        return false;
    To.append(Buffer, 0, Count);
    Buffer.erase(0, Count);
    return true;
  }

  std::optional<std::string> takeLine(int64_t Deadline) {
    size_t End = 0;
    while ((End = Buffer.find("\r\n")) == std::string::npos)
      if (!more(Deadline))
        return std::nullopt;
    std::string Line = Buffer.substr(0, End);
    Buffer.erase(0, End + 2);
    return Line;
  }

  void readBody(Message &Received, int64_t Deadline, bool IsAnswer) {
    if (Received.field("Transfer-Encoding") == "chunked") {
      while (auto Size = takeLine(Deadline)) {
        size_t Count = std::strtoul(Size->c_str(), nullptr, 16);
        if (Count == 0) {
          Received.Whole = takeLine(Deadline).has_value();
          return;
        }
        std::string LineEnd;
        if (!take(Count, Received.Body, Deadline) ||
            !take(2, LineEnd, Deadline))
          return;
      }
      return;
    }
    std::string Length = Received.field("Content-Length");
    if (Length.empty() && IsAnswer) {
      while (more(Deadline)) {
      }
      Received.Body = Buffer;
      Buffer.clear();
      Received.Whole = true;
      return;
    }
    Received.Whole = take(std::strtoul(Length.c_str(), nullptr, 10),
                          Received.Body, Deadline);
  }

  int Descriptor;
  std::string Buffer;
};

inline sockaddr_in addressOf(const std::string &Text) {
  sockaddr_in Address{};
  size_t Colon = Text.find(':');
  Address.sin_family = AF_INET;
  Address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(Text.c_str() + Colon + 1)));
  ::inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  return Address;
}

/// \returns a connection to \p Address, or nothing.
inline std::unique_ptr<Link> connectTo(const std::string &Address,
                                       int64_t Limit = 1000) {
  int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return nullptr;
  auto Connected = std::make_unique<Link>(Descriptor);
  ::fcntl(Descriptor, F_SETFL, O_NONBLOCK);
  sockaddr_in To = addressOf(Address);
  int Result =
      ::connect(Descriptor, reinterpret_cast<sockaddr *>(&To), sizeof(To));
  if (Result != 0) {
    pollfd Polled{Descriptor, POLLOUT, 0};
    int Failure = 0;
    socklen_t Size = sizeof(Failure);
    if (errno != EINPROGRESS ||
        ::poll(&Polled, 1, static_cast<int>(Limit)) <= 0 ||
        ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Failure, &Size) != 0 ||
        Failure != 0)
      return nullptr;
  }
  ::fcntl(Descriptor, F_SETFL, 0);
  int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Connected;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Sends one request on a new connection. \returns the answer, with status 0 if
/// none came.
inline Message call(const std::string &Address, const std::string &Method,
                    const std::string &Path, const std::string &Body,
                    const Fields &Extra = {}, int64_t Limit = 1000) {
  int64_t Deadline = nowMillis() + Limit;
  auto Connected = connectTo(Address, std::min<int64_t>(Limit, 1000));
  if (!Connected)
    return {};
  std::string Text = Method + " " + Path + " HTTP/1.1\r\n";
  bool HasHost = false;
  for (const auto &[Name, Value] : Extra) {
    Text += Name + ": " + Value + "\r\n";
    HasHost |= Name == "Host";
  }
  if (!HasHost)
    Text += "Host: " + Address + "\r\n";
  if (!Body.empty() || Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Text += "\r\n" + Body;
  if (!Connected->send(Text))
    return {};
  return Connected->receive(Deadline, /*IsAnswer=*/true).value_or(Message());
}

/// A server of one address that answers each connection on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Link &, const Message &)>;

  Server(std::string Address, Handler Handle)
      : Address(std::move(Address)), Handle(std::move(Handle)) {
    Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in To = addressOf(this->Address);
    Bound =
        ::bind(Listener, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0 &&
        ::listen(Listener, 256) == 0;
    if (Bound)
      Acceptor = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  bool isBound() const { return Bound; }
  const std::string &address() const { return Address; }

  /// Ends as a process does: the listener and all connections close.
  void stop() {
    if (Stopping.exchange(true))
      return;
    ::shutdown(Listener, SHUT_RDWR);
    if (Acceptor.joinable())
      Acceptor.join();
    ::close(Listener);
    {
      std::lock_guard Lock(Mutex);
      for (int Descriptor : Open)
        ::shutdown(Descriptor, SHUT_RDWR);
    }
    while (Serving > 0)
      std::this_thread::sleep_for(Millis(1));
  }

private:
  void accept() {
    while (!Stopping) {
      int Descriptor = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Descriptor < 0)
        continue;
      ++Serving;
      std::thread([this, Descriptor] {
        serve(Descriptor);
        --Serving;
      }).detach();
    }
  }

  void serve(int Descriptor) {
    Link Connection(Descriptor);
    {
      std::lock_guard Lock(Mutex);
      Open.insert(Descriptor);
      if (Stopping)
        ::shutdown(Descriptor, SHUT_RDWR);
    }
    while (auto Request = Connection.receive(nowMillis() + 15'000, false))
      Handle(Connection, *Request);
    std::lock_guard Lock(Mutex);
    Open.erase(Descriptor);
    Connection.close();
  }

  std::string Address;
  Handler Handle;
  int Listener = -1;
  bool Bound = false;
  std::atomic<bool> Stopping = false;
  std::mutex Mutex;
  std::set<int> Open;
  std::atomic<int> Serving = 0;
  std::thread Acceptor;
};

/// The machines of a small deployment: control hosts .1 to .N, routers from .11
/// on, each with a loopback address of its own.
class Deployment {
public:
  /// \param Project folder of the project; the templates are read from it.
  Deployment(std::filesystem::path Project, Record &Log)
      : Project(std::move(Project)), Log(Log) {
    auto Process = static_cast<unsigned>(::getpid());
    Network = "127." + std::to_string(32 + (Process >> 8) % 180) + "." +
              std::to_string(1 + Process % 250) + ".";
    FirstPort = 10'000 + static_cast<int>(Process % 2000) * 10;
    while (!portsAreFree())
      FirstPort = 10'000 + (FirstPort + 10) % 20'000;
    Folder = std::filesystem::temp_directory_path() /
             ("ferry-review-" + std::to_string(Process));
    std::filesystem::create_directories(Folder);
  }
  ~Deployment() {
    for (auto &[Host, Process] : Processes)
      ::kill(Process, SIGKILL);
    for (auto &[Host, Process] : Processes)
      ::waitpid(Process, nullptr, 0);
    std::error_code Ignored;
    std::filesystem::remove_all(Folder, Ignored);
  }
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  std::string ip(int Host) const { return Network + std::to_string(Host); }
  std::string callers(int Host) const { return at(Host, 0); }
  std::string readiness(int Host) const { return at(Host, 1); }
  std::string directory(int Host) const { return at(Host, 2); }
  std::string control(int Host) const { return at(Host, 3); }
  std::string target(int Host) const { return at(Host, 7); }

  void startControl(int Host, bool Bootstrap) {
    start(Host, "deploy/control.yaml", Bootstrap);
  }
  void startRouter(int Host) { start(Host, "deploy/router.yaml", false); }

  /// Sends \p Signal and waits for the end of the process.
  void end(int Host, int Signal) {
    auto Found = Processes.find(Host);
    if (Found == Processes.end())
      return;
    Log.line("signal " + std::to_string(Signal) + " to " + ip(Host));
    ::kill(Found->second, Signal);
    ::waitpid(Found->second, nullptr, 0);
    Processes.erase(Found);
  }

  /// \returns the process of \p Host; 0 if there is none.
  pid_t process(int Host) const {
    auto Found = Processes.find(Host);
    return Found == Processes.end() ? 0 : Found->second;
  }

  /// \returns whether each process that was started and not ended still runs.
  bool allRun() const {
    return std::all_of(Processes.begin(), Processes.end(),
                       [](const auto &Each) {
                         return ::waitpid(Each.second, nullptr, WNOHANG) == 0;
                       });
  }

  /// Waits until \p Done or the limit. \returns whether it came true.
  static bool await(const std::function<bool()> &Done, int64_t Limit) {
    int64_t Deadline = nowMillis() + Limit;
    while (!Done()) {
      if (nowMillis() >= Deadline)
        return false;
      sleepFor(50);
    }
    return true;
  }

private:
  std::string at(int Host, int Port) const {
    return ip(Host) + ":" + std::to_string(FirstPort + Port);
  }

  bool portsAreFree() const {
    for (int Port = 0; Port < 8; ++Port) {
      int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in To = addressOf(at(1, Port));
      bool Free = ::bind(Descriptor, reinterpret_cast<sockaddr *>(&To),
                         sizeof(To)) == 0;
      ::close(Descriptor);
      if (!Free)
        return false;
    }
    return true;
  }

  static void replace(std::string &Text, const std::string &From,
                      const std::string &To) {
    for (size_t At = 0; (At = Text.find(From, At)) != std::string::npos;
         At += To.size())
      Text.replace(At, From.size(), To);
  }

  /// Fills in a template as the platform does, with the bounds of the small
  /// deployments' pages.
  std::string render(const std::string &Template, int Host,
                     bool Bootstrap) const {
    std::ifstream In(Project / Template);
    std::string Text((std::istreambuf_iterator<char>(In)),
                     std::istreambuf_iterator<char>());
    std::string Seeds;
    for (int Seed = 1; Seed <= 3; ++Seed)
      Seeds += (Seed > 1 ? ",\"" : "\"") + control(Seed) + "\"";
    const std::vector<std::pair<std::string, std::string>> Values = {
        {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", Seeds},
        {"{{ip}}:9464", at(Host, 4)},
        {"{{ip}}:{{port_range.0}}", at(Host, 5)},
        {"{{ip}}", ip(Host)},
        {"{{zone}}", Host % 2 == 0 ? "windhoek-a" : "windhoek-b"},
        {"{{listen.front}}", callers(Host)},
        {"{{listen.ready}}", readiness(Host)},
        {"{{listen.directory}}", directory(Host)},
        {"{{listen.control}}", control(Host)},
        {"{{data_dir}}", (Folder / ("disk-" + std::to_string(Host))).string()},
        {"{{bootstrap}}", Bootstrap ? "true" : "false"},
        {"{{fault_tolerance.machines}}", "1"},
        {"{{heartbeat_ms}}", "1200"},
        {"{{bounds.grace_s}}", "8"},
        {"{{bounds.lease_ms}}", "3000"},
        {"{{bounds.version_ms}}", "12000"},
        {"{{bounds.fencing_enforced}}", "true"},
        {"{{bounds.retry_budget_ratio}}", "0.2"},
        {"{{bounds.retry_slack}}", "54"},
        {"{{bounds.budget_window_s}}", "10"},
        {"{{bounds.quota_window_s}}", ""},
        {"{{bounds.quota_overage}}", ""},
        {"{{bounds.quota_slack}}", ""}};
    for (const auto &[Name, Value] : Values)
      replace(Text, Name, Value);
    return Text;
  }

  void start(int Host, const std::string &Template, bool Bootstrap) {
    std::string Settings =
        (Folder / ("settings-" + std::to_string(Host))).string();
    std::ofstream(Settings) << render(Template, Host, Bootstrap);
    std::string Output = (Folder / ("log-" + std::to_string(Host))).string();
    std::string Program = (Project / "target/bin/ferryd").string();
    pid_t Parent = ::getpid();
    pid_t Child = ::fork();
    if (Child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != Parent)
        ::_exit(1);
      int To = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(To, STDOUT_FILENO);
      ::dup2(To, STDERR_FILENO);
      ::setenv("FLAMINGOFERRY_BOOT", Settings.c_str(), 1);
      ::execl(Program.c_str(), Program.c_str(), "--settings-variable",
              "FLAMINGOFERRY_BOOT", nullptr);
      ::_exit(127);
    }
    Processes[Host] = Child;
    Log.line("started " + Template + " on " + ip(Host));
  }

  std::filesystem::path Project;
  Record &Log;
  std::string Network;
  int FirstPort = 0;
  std::filesystem::path Folder;
  std::map<int, pid_t> Processes;
};

} // namespace review

#endif
