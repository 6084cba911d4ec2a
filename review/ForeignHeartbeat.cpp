// A heartbeat of another writer, without the field "models", and the cache
// scope of the requests that follow.
#include "Support.h"
#include <set>

using namespace review;

static constexpr const char *ModelsField =
    R"(,"phase":"colocated","models":[{"name":"m0","version":1,"adapters":[]}])";

static std::string config() {
  return R"({"version":1,"routes":[{"name":"draft","host":"a.example",)"
         R"("path_prefix":"/draft/","route_kind":"stream","timeout_ms":5000,)"
         R"("target_latency_ms":800,"priority":1,"service":"lm",)"
         R"("max_attempts":2,"public":false,"sticky":true,)"
         R"("resumable":true,"gap_target_ms":400}],)" +
         servicesAndLimits() +
         R"(,"tenants":[{"name":"walled","api_keys":["key-walled"],)"
         R"("priority":1,"isolated":true},{"name":"other",)"
         R"("api_keys":["key-other"],"priority":1,"isolated":false}]})";
}

/// The KV cache of a worker: finds a part only under the text under which it
/// was stored, and only if all parts before it are found.
class PrefixCache {
public:
  explicit PrefixCache(Record &Log) : Log(Log) {}

  /// \returns whether the request used a part of another tenant although one of
  /// the two is isolated.
  bool read(const WorkerRequest &Request) {
    std::lock_guard Lock(Mutex);
    std::string Tenant = Request.Fields.field("X-Tenant");
    std::string Scope = Request.Fields.field("X-Cache-Salt");
    std::string Name = Request.Fields.field("X-Request-Id");
    std::istringstream Parts(Request.Fields.field("X-Prompt-Prefix"));
    std::string Part;
    bool AllFound = true;
    bool Crossed = false;
    Log.write("worker runs " + Name + " of tenant " + Tenant +
              ", X-Cache-Salt '" + Scope + "', X-Expect-Version '" +
              Request.Fields.field("X-Expect-Version") + "'");
    while (std::getline(Parts, Part, ',')) {
      auto Key = std::make_pair(Scope, Part.substr(0, Part.find(':')));
      auto Found = Makers.find(Key);
      AllFound = AllFound && Found != Makers.end();
      if (!AllFound) {
        Makers[Key] = Tenant;
        continue;
      }
      const std::string &Maker = Found->second;
      Log.write("  uses part " + Key.second + ", made by a request of tenant " +
                Maker);
      Crossed |= Maker != Tenant && (Maker == "walled" || Tenant == "walled");
    }
    return Crossed;
  }

private:
  Record &Log;
  std::mutex Mutex;
  std::map<std::pair<std::string, std::string>, std::string> Makers;
};

static int draft(const Platform &Site, const std::string &Name,
                 const std::string &Key, const std::string &Parts) {
  Connection Link(Site.router(0));
  Link.send(requestText("POST", "/draft/1",
                        {{"Host", "a.example"},
                         {"X-Request-Id", Name},
                         {"Authorization", "Bearer " + Key},
                         {"X-Model", "m0"},
                         {"X-Token-Counts", "900,2"},
                         {"X-Prompt-Prefix", Parts},
                         {"X-Deadline-Ms", "5000"}},
                        "prompt"));
  return Link.receive(6000).Status;
}

static Exit run(Record &Log, Platform &Site) {
  PrefixCache Cache(Log);
  std::atomic<int> Crossings = 0;
  Site.startAll(/*Routers=*/1);
  Worker Engine(Site, 51, "i-lm1", "lm", ModelsField, /*Slots=*/64,
                [&](const WorkerRequest &Request, const Worker::Sender &) {
                  Crossings += Cache.read(Request);
                  return workerAnswer(Request,
                                      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
                                      "Content-Type: text/event-stream\r\n");
                });
  if (Site.putConfig(config()) != 200 || !Site.awaitReady(0))
    return Exit::CouldNotRun;
  pause(3000);
  int Before = draft(Site, "first", "key-walled", "aa01:800,bb01:100");
  Log.write("consumer: request first of tenant walled, answer " +
            std::to_string(Before));
  if (Before != 200)
    return Exit::CouldNotRun;
  if (hasTrouble()) {
    // The other writer's count is a little ahead of the worker's own.
    std::string Body = Engine.heartbeatWith("", Engine.sequence() + 3);
    int Status = Engine.announce(Body, 1);
    Log.write("another writer sends a heartbeat without models: " + Body +
              ", answer " + std::to_string(Status));
  }
  // Longer than the hosts need to tell each other of a change.
  pause(1000);
  int Served = 0;
  for (int Round = 0; Round < 3; ++Round) {
    std::string Shared = "aa1" + std::to_string(Round) + ":800,";
    for (const char *Tenant : {"walled", "other"}) {
      std::string Name = std::string(Tenant) + "-" + std::to_string(Round);
      int Status = draft(Site, Name, std::string("key-") + Tenant,
                         Shared + (Tenant[0] == 'w' ? "cc1" : "dd1") +
                             std::to_string(Round) + ":100");
      Log.write("consumer: request " + Name + ", answer " +
                std::to_string(Status));
      Served += Status == 200;
    }
    pause(300);
  }
  Log.write("answers with success " + std::to_string(Served) +
            ", requests that used the cache of another tenant, one of the two "
            "isolated: " +
            std::to_string(Crossings));
  return Crossings > 0 ? Exit::Broken : Exit::Held;
}

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
