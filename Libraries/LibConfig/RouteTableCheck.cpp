#include "LibConfig/RouteTableCheck.h"
#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>
#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <tuple>

namespace ferry::config {

using Kind = RouteFindingKind;
using Findings = std::vector<RouteFinding>;

static constexpr uint32_t MaxPriority = 9;

FindingSeverity severityOf(RouteFindingKind Kind) {
  return Kind <= RouteFindingKind::Rejected ? FindingSeverity::Error
                                            : FindingSeverity::Warning;
}

std::string keyLabel(const std::string &Key) {
  static constexpr size_t LabelDigits = 8;
  Poco::SHA2Engine Engine(Poco::SHA2Engine::SHA_256);
  Engine.update(Key);
  return Poco::DigestEngine::digestToHex(Engine.digest())
      .substr(0, LabelDigits);
}

static void checkRoute(const Route &Item, size_t Index, Findings &Out) {
  auto Add = [&](Kind Found, RouteMember Member, std::string Detail) {
    Out.push_back(
        {Found, {RoutePart::Routes, Index, Member}, std::move(Detail)});
  };
  if (!Item.PathPrefix.starts_with('/') ||
      Item.PathPrefix.find_first_of("?#") != std::string::npos)
    Add(Kind::RouteNeverMatches, RouteMember::Prefix,
        "no path begins with \"" + Item.PathPrefix + "\"");
  if (Item.Host.empty() || Item.Host.find(':') != std::string::npos)
    Add(Kind::RouteNeverMatches, RouteMember::Host,
        "hosts are compared without a port");
  for (const RouteShare &Share : Item.Shares)
    if (Share.Weight == 0)
      Add(Kind::WeightZero, RouteMember::Shares,
          "the service " + Share.Service.Value + " gets no requests");
  if (Item.DesiredLatencyMillis > Item.TimeoutMillis)
    Add(Kind::LatencyAboveTimeout, RouteMember::DesiredLatency,
        std::to_string(Item.DesiredLatencyMillis) +
            " ms are longer than the timeout of " +
            std::to_string(Item.TimeoutMillis) + " ms");
  if (Item.Priority > MaxPriority)
    Add(Kind::PriorityOutOfRange, RouteMember::Priority,
        std::to_string(Item.Priority) + " is above 9");
  uint64_t NeededMillis = uint64_t(Item.MaxTargets) *
                          std::max<uint32_t>(1, Item.DesiredLatencyMillis);
  if (Item.MaxTargets > 1 && NeededMillis > Item.TimeoutMillis)
    Add(Kind::TooManyTargets, RouteMember::MaxTargets,
        std::to_string(Item.MaxTargets) + " targets need " +
            std::to_string(NeededMillis) + " ms, the timeout is " +
            std::to_string(Item.TimeoutMillis) + " ms");
}

static void checkCap(const RoutedWorkspace &Workspace, size_t Index,
                     Findings &Out) {
  if (!Workspace.Cap || Workspace.Cap->PerSecond <= 0)
    return;
  const WorkspaceCap &Cap = *Workspace.Cap;
  RoutePlace Place{RoutePart::Workspaces, Index, RouteMember::Burst};
  double OneRequest =
      Cap.Unit == CapUnit::Tokens ? std::max(1U, Cap.DefaultTokens) : 1.0;
  if (Cap.Burst < OneRequest)
    Out.push_back({Kind::CapBelowRequest, Place,
                   "one request counts more than the burst allows"});
  else if (Cap.Burst < Cap.PerSecond)
    Out.push_back({Kind::BurstBelowSecond, Place,
                   "the burst is smaller than one second of the rate"});
}

static void checkWorkspace(const RoutedWorkspace &Workspace, size_t Index,
                           Findings &Out) {
  if (Workspace.Keys.empty())
    Out.push_back({Kind::WorkspaceWithoutKeys,
                   {RoutePart::Workspaces, Index, RouteMember::Keys},
                   Workspace.Id.Value + " has no key"});
  if (Workspace.Priority.value_or(0) > MaxPriority)
    Out.push_back({Kind::PriorityOutOfRange,
                   {RoutePart::Workspaces, Index, RouteMember::Priority},
                   std::to_string(*Workspace.Priority) + " is above 9"});
  checkCap(Workspace, Index, Out);
}

Findings checkRouteTable(const RouteTable &Table) {
  Findings Out;
  std::set<std::string> Names;
  auto CheckName = [&](const std::string &Name, RoutePart Part, size_t Index) {
    if (!Names.insert(Name).second)
      Out.push_back({Kind::SameName,
                     {Part, Index, RouteMember::Name},
                     "an earlier entry has the name " + Name + " too"});
  };
  std::set<ServiceId> ServicesUsed;
  for (size_t Index = 0; Index < Table.routes().size(); ++Index) {
    const Route &Item = Table.routes()[Index];
    CheckName(Item.Name, RoutePart::Routes, Index);
    checkRoute(Item, Index, Out);
    for (const RouteShare &Share : Item.Shares)
      if (Share.Weight > 0)
        ServicesUsed.insert(Share.Service);
  }
  Names.clear();
  for (size_t Index = 0; Index < Table.services().size(); ++Index) {
    const RoutedService &Service = Table.services()[Index];
    CheckName(Service.Id.Value, RoutePart::Services, Index);
    // Targets use stores without a route.
    if (!Service.Store && ServicesUsed.count(Service.Id) == 0)
      Out.push_back({Kind::ServiceUnused,
                     {RoutePart::Services, Index, RouteMember::None},
                     "no route sends requests to " + Service.Id.Value});
  }
  Names.clear();
  for (size_t Index = 0; Index < Table.workspaces().size(); ++Index) {
    const RoutedWorkspace &Workspace = Table.workspaces()[Index];
    CheckName(Workspace.Id.Value, RoutePart::Workspaces, Index);
    checkWorkspace(Workspace, Index, Out);
  }
  bool AllPublic = std::all_of(Table.routes().begin(), Table.routes().end(),
                               [](const Route &Item) { return Item.Public; });
  if (Table.needsKeys() && Table.workspaces().empty() && !AllPublic)
    Out.push_back({Kind::NoWorkspace,
                   {RoutePart::Whole, 0, RouteMember::Workspaces},
                   "the list is empty, so that only public routes can be "
                   "used"});
  return Out;
}

namespace {

using MemberTexts = std::vector<std::pair<RouteMember, std::string>>;

/// The members of each entry of one list, by the entry's name.
using EntriesByName = std::map<std::string, MemberTexts>;

/// The kinds of the differences of one list.
struct ChangeKinds {
  RouteChangeKind Added;
  RouteChangeKind Removed;
  RouteChangeKind Changed;
};

} // namespace

static std::string textOf(bool Value) { return Value ? "true" : "false"; }

static std::string textOf(double Value) {
  std::ostringstream Text;
  Text << Value;
  return Text.str();
}

static std::string textOf(const std::vector<RouteShare> &Shares) {
  std::string Text;
  for (const RouteShare &Share : Shares)
    Text += (Text.empty() ? "" : ", ") + Share.Service.Value + ":" +
            std::to_string(Share.Weight);
  return Text;
}

static std::string textOf(const std::optional<EngineCapacity> &Engine) {
  if (!Engine)
    return "none";
  std::string Text = std::to_string(Engine->Slots) + " slots, " +
                     std::to_string(Engine->CacheTokens) + " tokens of " +
                     std::to_string(Engine->BytesPerToken) + " bytes, " +
                     std::to_string(Engine->LinkMegabitsPerSecond) +
                     " Mbit/s, models";
  for (const ModelId &Model : Engine->Models)
    Text += " " + Model.Value;
  return Text;
}

static std::string textOf(const std::optional<CacheStoreDetails> &Store) {
  if (!Store)
    return "none";
  return Store->Address + " in " + Store->DataCentre.Value + ", " +
         std::to_string(Store->CapacityTokens) + " tokens, " +
         std::to_string(Store->LinkMegabitsPerSecond) + " Mbit/s";
}

static std::string textOf(const std::optional<WorkspaceCap> &Cap) {
  if (!Cap)
    return "none";
  return textOf(Cap->PerSecond) + "/s, burst " + textOf(Cap->Burst) + ", " +
         std::string(enumName(Cap->Unit)) + ", default " +
         std::to_string(Cap->DefaultTokens);
}

static std::string kindText(const Route &Item) {
  std::string Text = Item.Answers == AnswerForm::Stream ? "stream" : "whole";
  return Text + ", " + std::string(enumName(Item.Repeats));
}

static MemberTexts membersOf(const Route &Item) {
  return {
      {RouteMember::Host, Item.Host},
      {RouteMember::Prefix, Item.PathPrefix},
      {RouteMember::Kind, kindText(Item)},
      {RouteMember::Resumable, textOf(Item.Resumable)},
      {RouteMember::SharesPrompts, textOf(Item.SharesPrompts)},
      {RouteMember::Public, textOf(Item.Public)},
      {RouteMember::Timeout, std::to_string(Item.TimeoutMillis)},
      {RouteMember::DesiredLatency, std::to_string(Item.DesiredLatencyMillis)},
      {RouteMember::DesiredGap, std::to_string(Item.DesiredGapMillis)},
      {RouteMember::Priority, std::to_string(Item.Priority)},
      {RouteMember::MaxTargets, std::to_string(Item.MaxTargets)},
      {RouteMember::Shares, textOf(Item.Shares)}};
}

static MemberTexts membersOf(const RoutedService &Service) {
  return {{RouteMember::HealthPath, Service.HealthPath},
          {RouteMember::MaxConnections, std::to_string(Service.MaxConnections)},
          {RouteMember::Engine, textOf(Service.Engine)},
          {RouteMember::Store, textOf(Service.Store)}};
}

static MemberTexts membersOf(const RoutedWorkspace &Workspace) {
  return {{RouteMember::Priority,
           Workspace.Priority ? std::to_string(*Workspace.Priority) : "none"},
          {RouteMember::Isolated, textOf(Workspace.Isolated)},
          {RouteMember::Cap, textOf(Workspace.Cap)}};
}

/// Adds \p Members under \p Name, or under the name and a number if an earlier
/// entry has the name.
static void addEntry(EntriesByName &Entries, const std::string &Name,
                     MemberTexts Members) {
  std::string Unique = Name;
  for (int Number = 2; Entries.count(Unique) != 0; ++Number)
    Unique = Name + " #" + std::to_string(Number);
  Entries[Unique] = std::move(Members);
}

static EntriesByName routesByName(const RouteTable &Table) {
  EntriesByName Entries;
  for (const Route &Item : Table.routes())
    addEntry(Entries, Item.Name, membersOf(Item));
  return Entries;
}

static EntriesByName servicesByName(const RouteTable &Table) {
  EntriesByName Entries;
  for (const RoutedService &Service : Table.services())
    addEntry(Entries, Service.Id.Value, membersOf(Service));
  return Entries;
}

static EntriesByName workspacesByName(const RouteTable &Table) {
  EntriesByName Entries;
  for (const RoutedWorkspace &Workspace : Table.workspaces())
    addEntry(Entries, Workspace.Id.Value, membersOf(Workspace));
  return Entries;
}

static std::vector<RouteMemberChange> diffMembers(const MemberTexts &Before,
                                                  const MemberTexts &After) {
  std::vector<RouteMemberChange> Changes;
  for (size_t Index = 0; Index < Before.size(); ++Index)
    if (Before[Index] != After[Index])
      Changes.push_back(
          {Before[Index].first, Before[Index].second, After[Index].second});
  return Changes;
}

static void diffEntries(const EntriesByName &Before, const EntriesByName &After,
                        const ChangeKinds &Kinds,
                        std::vector<RouteChange> &Out) {
  for (const auto &[Name, Members] : Before) {
    auto Later = After.find(Name);
    if (Later == After.end()) {
      Out.push_back({Kinds.Removed, Name, {}});
      continue;
    }
    if (auto Changes = diffMembers(Members, Later->second); !Changes.empty())
      Out.push_back({Kinds.Changed, Name, std::move(Changes)});
  }
  for (const auto &[Name, Members] : After)
    if (Before.count(Name) == 0)
      Out.push_back({Kinds.Added, Name, {}});
}

/// \returns the workspace and the label of each key.
static std::set<std::string> keysOf(const RouteTable &Table) {
  std::set<std::string> Keys;
  for (const RoutedWorkspace &Workspace : Table.workspaces())
    for (const std::string &Key : Workspace.Keys)
      Keys.insert(Workspace.Id.Value + " " + keyLabel(Key));
  return Keys;
}

static std::string limitsText(const CallerLimits &Limits) {
  return std::to_string(Limits.MaxHeaderBytes) + " and " +
         std::to_string(Limits.MaxBodyBytes) + " bytes, " +
         std::to_string(Limits.HeaderTimeoutMillis) + " and " +
         std::to_string(Limits.IdleTimeoutMillis) + " ms";
}

static std::string workspacesText(const RouteTable &Table) {
  return Table.needsKeys() ? "listed" : "not listed";
}

std::vector<RouteChange> diffRouteTables(const RouteTable &InForce,
                                         const RouteTable &Next) {
  std::vector<RouteChange> Out;
  if (InForce.number() != Next.number())
    Out.push_back(
        {RouteChangeKind::NumberChanged,
         "",
         {{RouteMember::Number, std::to_string(InForce.number().Value),
           std::to_string(Next.number().Value)}}});
  diffEntries(routesByName(InForce), routesByName(Next),
              {RouteChangeKind::RouteAdded, RouteChangeKind::RouteRemoved,
               RouteChangeKind::RouteChanged},
              Out);
  diffEntries(servicesByName(InForce), servicesByName(Next),
              {RouteChangeKind::ServiceAdded, RouteChangeKind::ServiceRemoved,
               RouteChangeKind::ServiceChanged},
              Out);
  diffEntries(workspacesByName(InForce), workspacesByName(Next),
              {RouteChangeKind::WorkspaceAdded,
               RouteChangeKind::WorkspaceRemoved,
               RouteChangeKind::WorkspaceChanged},
              Out);
  std::set<std::string> KeysBefore = keysOf(InForce);
  std::set<std::string> KeysAfter = keysOf(Next);
  for (const std::string &Key : KeysBefore)
    if (KeysAfter.count(Key) == 0)
      Out.push_back({RouteChangeKind::KeyRemoved, Key, {}});
  for (const std::string &Key : KeysAfter)
    if (KeysBefore.count(Key) == 0)
      Out.push_back({RouteChangeKind::KeyAdded, Key, {}});
  if (InForce.needsKeys() != Next.needsKeys())
    Out.push_back({RouteChangeKind::KeyNeedChanged,
                   "",
                   {{RouteMember::Workspaces, workspacesText(InForce),
                     workspacesText(Next)}}});
  std::string LimitsBefore = limitsText(InForce.limits());
  std::string LimitsAfter = limitsText(Next.limits());
  if (LimitsBefore != LimitsAfter)
    Out.push_back({RouteChangeKind::LimitsChanged,
                   "",
                   {{RouteMember::Limits, LimitsBefore, LimitsAfter}}});
  return Out;
}

} // namespace ferry::config
