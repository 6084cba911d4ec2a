#include "ferryd/RoutingMetrics.h"
#include <Poco/JSON/Array.h>

namespace ferry::daemon {

using Poco::JSON::Object;

static Object targetEntry(const routing::TargetStatus &Target) {
  Object Entry;
  Entry.set("target", Target.Target.Value);
  Entry.set("service", Target.Service.Value);
  Entry.set("own_running", Target.OwnRunning);
  Entry.set("occupancy", Target.Occupancy);
  Entry.set("limit", Target.Limit);
  Entry.set("prefill_tokens_per_second", Target.PrefillTokensPerSecond);
  Entry.set("failure_rate", Target.FailureRate);
  return Entry;
}

Object::Ptr routingSection(const routing::SchedulerStatus &Status) {
  Object::Ptr Section = new Object;
  Section->set("known", Status.Known);
  Section->set("queued", Status.Queued);
  Section->set("submitted", Status.Counters.Submitted);
  Section->set("dispatched", Status.Counters.Dispatched);
  Section->set("retried", Status.Counters.Retried);
  Section->set("prompt_tokens", Status.Counters.PromptTokens);
  Section->set("cached_tokens_expected", Status.Counters.ExpectedCachedTokens);
  Section->set("cached_tokens_found", Status.Counters.FoundCachedTokens);
  Section->set("index_entries", Status.Cache.Entries);
  Section->set("index_bytes", Status.Cache.MemoryBytes);
  Section->set("index_unsure_holders", Status.Cache.UnsureHolders);
  Object Refused;
  for (const auto &[Kind, Count] : Status.Counters.Refused)
    Refused.set(std::string(enumName(Kind)), Count);
  Section->set("refused", Refused);
  Poco::JSON::Array Targets;
  for (const routing::TargetStatus &Target : Status.Targets)
    Targets.add(targetEntry(Target));
  Section->set("targets", Targets);
  return Section;
}

void setRoutingMetrics(observe::Metrics &Metrics,
                       const routing::SchedulerStatus &Status) {
  auto Set = [&](const char *Name, const char *Help, uint64_t Value) {
    Metrics.gauge(Name, Help).set(static_cast<double>(Value));
  };
  const routing::SchedulerCounters &Counters = Status.Counters;
  Set("ferry_routing_queued", "Requests that wait for a target.",
      Status.Queued);
  Set("ferry_routing_dispatched", "Attempts sent to targets since the start.",
      Counters.Dispatched);
  Set("ferry_routing_retried", "Attempts that were retries.", Counters.Retried);
  Set("ferry_routing_prompt_tokens", "Estimated tokens of the prompts.",
      Counters.PromptTokens);
  Set("ferry_routing_cached_tokens", "Tokens that engines found cached.",
      Counters.FoundCachedTokens);
  Set("ferry_cache_index_entries", "Blocks in the cache index.",
      Status.Cache.Entries);
  Set("ferry_cache_index_bytes", "Memory of the cache index.",
      Status.Cache.MemoryBytes);
  Set("ferry_cache_index_unsure_holders",
      "Targets whose entries are uncertain.", Status.Cache.UnsureHolders);
  auto &Refused = Metrics.gauges({"ferry_routing_refused",
                                  "Refused requests since the start, by kind.",
                                  {"kind"}});
  for (const auto &[Kind, Count] : Counters.Refused)
    Refused.with({std::string(enumName(Kind))}).set(static_cast<double>(Count));
}

static Object capEntry(const admission::CapStatus &Status, Timestamp Now) {
  Object Entry;
  Entry.set("workspace", Status.Workspace.Value);
  Entry.set("unit", std::string(enumName(Status.Cap.Unit)));
  Entry.set("per_second", Status.Cap.PerSecond);
  Entry.set("burst", Status.Cap.Burst);
  Entry.set("owner", Status.Owner.value_or(HostId{}).Value);
  Entry.set("balance", Status.Balance);
  if (Status.GrantedAt)
    Entry.set("granted_ms_ago", (Now - *Status.GrantedAt).count() / 1000);
  Entry.set("in_fallback", Status.InFallback);
  Entry.set("admitted", Status.Admitted);
  Entry.set("rejected", Status.Rejected);
  Entry.set("questions", Status.Questions);
  Entry.set("fallbacks", Status.Fallbacks);
  return Entry;
}

Object::Ptr capsSection(traffic::SharedCaps &Caps) {
  Object::Ptr Section = new Object;
  traffic::SharedCaps::OwnerStatus Owner = Caps.ownerStatus();
  Section->set("workspaces_owned", Owner.Workspaces);
  Section->set("questions_answered", Owner.QuestionsAnswered);
  Section->set("invalid_messages", Owner.InvalidMessages);
  Poco::JSON::Array Workspaces;
  for (const admission::CapStatus &Status : Caps.status())
    Workspaces.add(capEntry(Status, steadyNow()));
  Section->set("workspaces", Workspaces);
  return Section;
}

void setCapMetrics(observe::Metrics &Metrics, traffic::SharedCaps &Caps) {
  std::vector<admission::CapStatus> All = Caps.status();
  // Deployments without caps show no figures of them.
  if (All.empty())
    return;
  auto &Requests = Metrics.gauges(
      {"ferry_cap_requests",
       "Requests of workspaces with a cap since its start, by decision",
       {"workspace", "decision"}});
  auto &Balance =
      Metrics.gauges({"ferry_cap_balance",
                      "Units that this router may use without asking the owner",
                      {"workspace"}});
  uint64_t Questions = 0;
  uint64_t InFallback = 0;
  for (const admission::CapStatus &Status : All) {
    const std::string &Workspace = Status.Workspace.Value;
    Requests.with({Workspace, "admitted"}).set(double(Status.Admitted));
    Requests.with({Workspace, "rejected"}).set(double(Status.Rejected));
    Requests.with({Workspace, "without_owner"}).set(double(Status.Fallbacks));
    Balance.with({Workspace}).set(Status.Balance);
    Questions += Status.Questions;
    InFallback += Status.InFallback;
  }
  Metrics.gauge("ferry_cap_questions", "Questions sent to owners of workspaces")
      .set(double(Questions));
  Metrics
      .gauge("ferry_cap_fallbacks",
             "Workspaces whose requests are decided without the owner")
      .set(double(InFallback));
}

} // namespace ferry::daemon
