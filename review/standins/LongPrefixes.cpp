// Requests whose list of prompt parts is longer than 8 KiB, with a head that is
// within the limit of the config.
#include "Support.h"

using namespace review;

static constexpr int Requests = 40;
/// The config's max_header_bytes.
static constexpr size_t MaxHeaderBytes = 16384;
static constexpr int ShortListParts = 40;
static constexpr int LongListParts = 700;

static std::string config() {
  return R"({"version":1,"routes":[{"name":"draft","host":"a.example",)"
         R"("path_prefix":"/draft/","route_kind":"stream","timeout_ms":5000,)"
         R"("target_latency_ms":800,"priority":1,"service":"lm",)"
         R"("max_attempts":2,"public":false,"sticky":true,)"
         R"("resumable":true,"gap_target_ms":400}],)" +
         servicesAndLimits() +
         R"(,"tenants":[{"name":"library","api_keys":["key-library"],)"
         R"("priority":1,"isolated":false}]})";
}

static Exit run(Record &Log, Platform &Site) {
  std::atomic<int> Run = 0;
  Site.startAll(/*Routers=*/1);
  Worker Engine(
      Site, 51, "i-lm1", "lm",
      R"(,"phase":"colocated","models":[{"name":"m0","version":1,"adapters":[]}])",
      /*Slots=*/64, [&](const WorkerRequest &Request) {
        ++Run;
        return workerAnswer(Request, "id: 1\ndata: a\n\n",
                            "Content-Type: text/event-stream\r\n");
      });
  if (Site.putConfig(config()) != 200 || !Site.awaitReady(0))
    return Exit::CouldNotRun;
  pause(3000);
  int PartCount = hasTrouble() ? LongListParts : ShortListParts;
  std::string Parts;
  for (int Index = 0; Index < PartCount; ++Index)
    Parts += (Index > 0 ? "," : "") + std::to_string(10000000 + Index) + ":16";
  std::map<int, int> Answers;
  int Denied = 0;
  for (int Index = 0; Index < Requests; ++Index) {
    std::string Name = "draft-" + std::to_string(Index);
    std::string Text =
        requestText("POST", "/draft/1",
                    {{"Host", "a.example"},
                     {"X-Request-Id", Name},
                     {"Authorization", "Bearer key-library"},
                     {"X-Model", "m0"},
                     {"X-Token-Counts", std::to_string(PartCount * 16) + ",2"},
                     {"X-Prompt-Prefix", Parts},
                     {"X-Deadline-Ms", "5000"}},
                    "prompt");
    size_t HeadBytes = Text.find("\r\n\r\n") + 4;
    if (HeadBytes > MaxHeaderBytes)
      return Exit::CouldNotRun;
    Connection Link(Site.router(0));
    Link.send(Text);
    int Status = Link.receive(6000).Status;
    Log.write("consumer: request " + Name + " with a head of " +
              std::to_string(HeadBytes) + " bytes, answer " +
              std::to_string(Status));
    ++Answers[Status];
    Denied +=
        Status / 100 == 4 && Status != 408 && Status != 421 && Status != 429;
  }
  Log.write("requests " + std::to_string(Requests) + ", run " +
            std::to_string(Run) + ", denied " + std::to_string(Denied));
  bool Broken = Denied > 5 + Requests / 500;
  return Broken ? Exit::Broken : Exit::Held;
}

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
