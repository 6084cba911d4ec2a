// A config whose list of tenants has become empty, and the keys that callers
// then get served with.
#include "Support.h"

using namespace review;

static std::string config(int Version, const std::string &Tenants) {
  return "{\"version\":" + std::to_string(Version) +
         R"(,"routes":[{"name":"record","host":"a.example",)"
         R"("path_prefix":"/record/","route_kind":"non_idempotent",)"
         R"("timeout_ms":4000,"target_latency_ms":300,"priority":1,)"
         R"("service":"app","max_attempts":1,"public":false,)"
         R"("sticky":false,"resumable":false}],)" +
         servicesAndLimits() + ",\"tenants\":" + Tenants + "}";
}

static constexpr const char *OneTenant =
    R"([{"name":"library","api_keys":["key-library"],"priority":1,)"
    R"("isolated":false}])";

static int record(const Platform &Site, const std::string &Name,
                  const std::string &Key) {
  Connection Link(Site.router(0));
  Link.send(requestText("POST", "/record/1",
                        {{"Host", "a.example"},
                         {"X-Request-Id", Name},
                         {"Authorization", "Bearer " + Key},
                         {"X-Deadline-Ms", "4000"}},
                        "hold"));
  return Link.receive(5000).Status;
}

static Exit run(Record &Log, Platform &Site) {
  std::atomic<int> UnknownRun = 0;
  std::atomic<int> DroppedRun = 0;
  std::atomic<bool> Dropped = false;
  Site.startAll(/*Routers=*/1);
  Worker Server(Site, 51, "i-app1", "app", "", /*Slots=*/6,
                [&](const WorkerRequest &Request, const Worker::Sender &) {
                  std::string Name = Request.Fields.field("X-Request-Id");
                  Log.write("worker runs " + Name + ", X-Tenant '" +
                            Request.Fields.field("X-Tenant") + "'");
                  UnknownRun += Name.starts_with("unknown");
                  DroppedRun += Dropped && Name.starts_with("known");
                  return workerAnswer(Request, "recorded");
                });
  if (Site.putConfig(config(1, OneTenant)) != 200 || !Site.awaitReady(0))
    return Exit::CouldNotRun;
  pause(3000);
  int Known = record(Site, "known-0", "key-library");
  int Unknown = record(Site, "unknown-0", "key-of-no-config");
  Log.write("consumer: key of the tenant, answer " + std::to_string(Known) +
            "; key that no config held, answer " + std::to_string(Unknown));
  if (Known != 200 || Unknown != 401 || UnknownRun != 0)
    return Exit::CouldNotRun;
  bool Trouble = hasTrouble();
  int Status = Site.putConfig(config(2, Trouble ? "[]" : OneTenant));
  Log.write(std::string("operator: version 2, ") +
            (Trouble ? "the only tenant removed, tenants is []"
                     : "the tenant stays") +
            ", answer " + std::to_string(Status));
  // A refusal keeps version 1 in force, which is no break either.
  if (Status == 0)
    return Exit::CouldNotRun;
  pause(Platform::ConfigApplyMillis + 1000);
  Dropped = Trouble && Status == 200;
  for (int Index = 1; Index <= 5; ++Index) {
    std::string Number = std::to_string(Index);
    int First = record(Site, "unknown-" + Number, "key-of-no-config");
    int Second = record(Site, "known-" + Number, "key-library");
    Log.write("consumer: key that no config held, answer " +
              std::to_string(First) + "; key of the tenant, answer " +
              std::to_string(Second));
  }
  Log.write("requests that ran with a key that no config held: " +
            std::to_string(UnknownRun) +
            ", with the dropped key: " + std::to_string(DroppedRun));
  return UnknownRun + DroppedRun > 0 ? Exit::Broken : Exit::Held;
}

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
