// Requests without a body that take longer than a minute.
#include "Support.h"

using namespace review;

/// One in seven workers is slow: a share of 0.14.
static constexpr int Workers = 7;
static constexpr int Consumers = 49;
static constexpr int WorkMillis = 16'000;
static constexpr int SlowFactor = 4;
static constexpr int DeadlineMillis = 90'000;
/// The rule allows this many.
static constexpr int AllowedCuts = 3;

static std::string config() {
  return R"({"version":1,"routes":[{"name":"report","host":"a.example",)"
         R"("path_prefix":"/counts/","route_kind":"idempotent",)"
         R"("timeout_ms":90000,"target_latency_ms":20000,"priority":1,)"
         R"("service":"app","max_attempts":2,"public":true,)"
         R"("sticky":false,"resumable":false}],)" +
         servicesAndLimits() + "}";
}

static std::string get(const std::string &Path, const std::string &Id) {
  return requestText("GET", "/counts/" + Path,
                     {{"Host", "a.example"},
                      {"X-Request-Id", Id},
                      {"X-Deadline-Ms", std::to_string(DeadlineMillis)}});
}

static Exit run(Record &Log, Platform &Site) {
  bool Trouble = hasTrouble();
  std::atomic<int> Run = 0;
  Site.startAll(/*Routers=*/1);
  std::vector<std::unique_ptr<Worker>> Servers;
  for (int Index = 0; Index < Workers; ++Index) {
    bool Slow = Trouble && Index == 0;
    std::string Id = "i-app" + std::to_string(Index);
    auto Handle = [&Log, &Run, Slow, Id](const WorkerRequest &Request,
                                         const Worker::Sender &) {
      std::string Name = Request.Fields.field("X-Request-Id");
      bool IsShort = Request.Fields.First.find("/short") != std::string::npos;
      if (!IsShort) {
        Log.write("worker " + Id + " runs " + Name +
                  (Slow ? ", four times as long" : ""));
        ++Run;
        pause(WorkMillis * (Slow ? SlowFactor : 1));
        Log.write("worker " + Id + " answers " + Name);
      }
      return workerAnswer(Request, "counts of " + Name);
    };
    Servers.push_back(std::make_unique<Worker>(Site, 50 + Index, Id, "app", "",
                                               /*Slots=*/16, Handle));
  }
  if (Site.putConfig(config()) != 200 || !Site.awaitReady(0))
    return Exit::CouldNotRun;
  pause(3000);
  std::atomic<int> Warm = 0;
  std::atomic<int> Answered = 0;
  std::atomic<int> Cut = 0;
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < Consumers; ++Index)
    Threads.emplace_back([&, Index] {
      std::string Name = "get-" + std::to_string(Index);
      Connection Link(Site.router(0));
      // Makes this a kept connection.
      Link.send(get("short", Name + "-first"));
      if (Link.receive(5000).Status != 200)
        return;
      ++Warm;
      auto SentAt = Clock::now();
      Link.send(get("long", Name));
      Answer Got = Link.receive(DeadlineMillis + 1000);
      double Seconds =
          std::chrono::duration<double>(Clock::now() - SentAt).count();
      bool Whole = Got.Status != 0 && Got.Whole;
      ++(Whole ? Answered : Cut);
      Log.write("consumer " + Name + ": " +
                (Whole ? "answer " + std::to_string(Got.Status)
                       : std::string("connection closed without an answer")) +
                " after " + std::to_string(Seconds) + " s");
    });
  for (std::thread &Each : Threads)
    Each.join();
  Log.write("connections with a first answer " + std::to_string(Warm) +
            ", run by workers " + std::to_string(Run) + ", answered " +
            std::to_string(Answered) + ", closed without an answer " +
            std::to_string(Cut));
  if (Warm < Consumers)
    return Exit::CouldNotRun;
  return Cut > AllowedCuts ? Exit::Broken : Exit::Held;
}

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
