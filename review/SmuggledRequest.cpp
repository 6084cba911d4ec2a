// A request whose length has a space before its colon, with another request in
// its body.
#include "Support.h"

using namespace review;

static std::string config() {
  return R"({"version":1,"routes":[{"name":"record","host":"a.example",)"
         R"("path_prefix":"/record/","route_kind":"non_idempotent",)"
         R"("timeout_ms":4000,"target_latency_ms":300,"priority":1,)"
         R"("service":"app","max_attempts":1,"public":false,)"
         R"("sticky":false,"resumable":false}],)" +
         servicesAndLimits() +
         R"(,"tenants":[{"name":"library","api_keys":["key-library"],)"
         R"("priority":1,"isolated":false}]})";
}

static std::string head(const std::string &Name) {
  return "POST /record/" + Name +
         " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + Name +
         "\r\nAuthorization: Bearer key-library\r\nX-Deadline-Ms: 4000\r\n";
}

static Exit run(Record &Log, Platform &Site) {
  std::atomic<int> InnerRun = 0;
  std::atomic<int> Changed = 0;
  std::string Inner = head("inner") + "Content-Length: 0\r\n\r\n";
  Site.startAll(/*Routers=*/1);
  Worker Server(Site, 51, "i-app1", "app", "", /*Slots=*/6,
                [&](const WorkerRequest &Request, const Worker::Sender &) {
                  std::string Name = Request.Fields.field("X-Request-Id");
                  Log.write("worker runs " + Name + " with a body of " +
                            std::to_string(Request.Body.size()) + " bytes");
                  InnerRun += Name == "inner";
                  Changed += Name == "outer" && Request.Body != Inner;
                  return workerAnswer(Request, "recorded");
                });
  if (Site.putConfig(config()) != 200 || !Site.awaitReady(0))
    return Exit::CouldNotRun;
  pause(3000);
  Connection Link(Site.router(0));
  std::string Space = hasTrouble() ? " " : "";
  std::string Text = head("outer") + "Content-Length" + Space + ": " +
                     std::to_string(Inner.size()) + "\r\n\r\n" + Inner;
  Log.write("consumer sends one request, outer, with a body of " +
            std::to_string(Inner.size()) + " bytes and the field 'Content-" +
            "Length" + Space + ":'");
  Link.send(Text);
  for (int Index = 1; Index <= 2; ++Index) {
    Answer Got = Link.receive(2000);
    Log.write("consumer: answer " + std::to_string(Index) + ": status " +
              std::to_string(Got.Status) + ", X-Request-Id '" +
              Got.Fields.field("X-Request-Id") + "'");
  }
  pause(500);
  Log.write(
      "runs of the request inside the other one: " + std::to_string(InnerRun) +
      ", runs of the outer one with another "
      "body: " +
      std::to_string(Changed));
  return InnerRun + Changed > 0 ? Exit::Broken : Exit::Held;
}

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
