/// \file
/// The base of all fake targets: an HTTP server, announcements and cache
/// events.
#ifndef FERRY_FAKES_FAKESERVER_H
#define FERRY_FAKES_FAKESERVER_H

#include "Fakes/FakeFaults.h"
#include "LibCache/CacheEvent.h"
#include "LibCore/TargetRecord.h"
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ferry::fakes {

using Request = Poco::Net::HTTPServerRequest;
using Response = Poco::Net::HTTPServerResponse;

/// Options common to all fake targets.
struct FakeOptions {
  TargetRecord Record;
  /// "IP:port" to listen on; port 0 takes a free one.
  std::string Listen = "127.0.0.1:0";
  /// Addresses at which ferryd hosts listen for targets, tried in order. If it
  /// is empty, the target does not announce itself.
  std::vector<std::string> Hosts;
  int AnnouncePeriodMillis = 500;
  /// Age of the load figures in an announcement.
  int LoadLagMillis = 200;
  /// Delay of cache events.
  int EventDelayMillis = 100;
  int MaxThreads = 256;
};

/// An HTTP server that announces itself. Subclasses answer the requests.
class FakeServer {
public:
  virtual ~FakeServer();
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  /// Starts to listen and to announce.
  void start();
  /// Ends all connections; for its peers, the same as a crash.
  void stop();
  /// Announces once that the target is leaving.
  void leave();

  /// The "IP:port" it listens on.
  std::string address() const;
  FaultTable &faults() { return Faults; }
  TargetRecord record();

protected:
  explicit FakeServer(FakeOptions Options);

  /// Answers one request; called on the connection's thread.
  virtual void handle(const std::string &Path, Request &Incoming,
                      Response &Answer) = 0;
  virtual TargetLoad load() { return {}; }
  /// \returns all cached blocks, for a resync.
  virtual std::vector<cache::BlockHash> blocks() { return {}; }

  /// Queues a cache event for the hosts.
  void publish(cache::CacheEvent Event);
  /// Changes the record that is announced.
  template <typename ChangeType> void changeRecord(ChangeType Change) {
    std::lock_guard Lock(Mutex);
    Change(Options.Record);
  }
  bool stopping() const { return Stopping; }
  /// Sleeps. \returns false if the server stops.
  bool pause(double Millis);

  FakeOptions Options;

private:
  friend class FakeHandler;
  void dispatch(Request &Incoming, Response &Answer);
  void announceUntilStopped();
  void announce(TargetPhase Phase);
  void sendEvents();

  FaultTable Faults;
  std::mutex Mutex;
  std::condition_variable StopWanted;
  std::atomic<bool> Stopping = false;
  std::deque<std::pair<Timestamp, cache::CacheEvent>> Events;
  uint64_t NextEvent = 1;
  bool ResyncRequested = false;
  std::deque<std::pair<Timestamp, TargetLoad>> Loads;
  std::vector<std::string> EventAddresses;
  Poco::ThreadPool Threads;
  std::unique_ptr<Poco::Net::HTTPServer> Server;
  std::thread Announcer;
};

/// Reads the whole body of \p Incoming.
std::string readBody(Request &Incoming);
/// Sends a whole JSON answer.
void sendJson(Response &Answer, int Status, const std::string &Body);
/// \returns the JSON object in \p Text; nullptr if there is none.
Poco::JSON::Object::Ptr parseObject(const std::string &Text);
/// Posts JSON. \returns the answer's body; nothing unless the status is 200.
std::optional<std::string> postJson(const std::string &Address,
                                    const std::string &Path,
                                    const std::string &Body);
/// \returns \p Hash in hexadecimal.
std::string hexBlock(cache::BlockHash Hash);
/// \returns the comma-separated hashes of \p Text.
std::vector<cache::BlockHash> parseBlocks(const std::string &Text);

} // namespace ferry::fakes

#endif
