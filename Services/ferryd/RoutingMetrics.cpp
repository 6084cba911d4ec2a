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

} // namespace ferry::daemon
