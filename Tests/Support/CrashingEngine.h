/// \file
/// Engines that end when they begin an answer on a certain part of a prompt.
#ifndef FERRY_TESTS_SUPPORT_CRASHINGENGINE_H
#define FERRY_TESTS_SUPPORT_CRASHINGENGINE_H

#include "Fakes/FakeScriptedTarget.h"
#include "LibCore/Time.h"
#include "Support/RoutedCluster.h"

namespace ferry::test {

/// What callers of an engine see of a crash.
enum class CrashSign : uint8_t {
  /// The head of the answer, then a reset.
  HeadAndReset,
  /// A reset that discards the head.
  ResetOnly,
  /// The head of an answer that ends with its connection, then a close in
  /// order.
  UnframedHeadAndClose,
  /// Nothing: connections stay open without a byte, also once the engine is
  /// back, as those to a machine that lost power.
  Silence
};

/// Engines that announce themselves to the control hosts of a cluster. An
/// engine that begins an answer on the crashing part ends: all its connections
/// are reset, or silent, new ones too, until it is back under another id.
class EngineFleet {
public:
  /// \param FirstEventDelay time from the head of a sound answer to its first
  /// event.
  /// \param DownTime time until an engine that has ended is back.
  EngineFleet(RoutedCluster &Cluster, int Count, std::string CrashingPart,
              CrashSign Sign = CrashSign::HeadAndReset,
              Duration FirstEventDelay = {},
              Duration DownTime = std::chrono::seconds(1));
  ~EngineFleet();

  /// \returns when engines ended, in order.
  std::vector<Timestamp> crashes() const;
  /// \returns the number of requests with the crashing part that reached
  /// engines from \p From on.
  size_t arrivalsAfter(Timestamp From) const;

private:
  struct Engine {
    int Number = 0;
    int Life = 0;
    Timestamp DownUntil;
    std::unique_ptr<fakes::FakeScriptedTarget> Server;
  };

  static std::string idOf(const Engine &Subject);
  bool hasCrashingPart(const fakes::ReceivedRequest &Read) const;
  void serve(Engine &Serving, const fakes::ReceivedRequest &Read,
             fakes::ScriptedConnection &Link);
  void crash(Engine &Crashing);
  /// Does to a connection what the end of its engine does.
  void endConnection(fakes::ScriptedConnection &Link) const;
  /// \returns whether the engine has ended since it was in \p Life.
  bool hasEnded(const Engine &Subject, int Life) const;
  void announceUntilStopped();

  RoutedCluster &Cluster;
  const std::string CrashingPart;
  const CrashSign Sign;
  const Duration FirstEventDelay;
  const Duration DownTime;
  mutable std::mutex Mutex;
  std::vector<Timestamp> Crashes;
  std::vector<Timestamp> Arrivals;
  std::atomic<bool> Stopping = false;
  std::vector<std::unique_ptr<Engine>> Engines;
  std::thread Announcer;
};

} // namespace ferry::test

#endif
