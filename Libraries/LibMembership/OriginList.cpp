#include "LibMembership/OriginList.h"
#include <algorithm>

namespace ferry::membership {

/// Maximum number of removed targets that are kept.
static constexpr size_t MaxGone = 64;

static bool sameButLoad(const TargetRecord &Left, const TargetRecord &Right) {
  return Left.Incarnation == Right.Incarnation &&
         Left.Address == Right.Address && Left.DataCentre == Right.DataCentre &&
         Left.Kind == Right.Kind && Left.Phase == Right.Phase &&
         Left.Service == Right.Service && Left.Model == Right.Model &&
         Left.Adapter == Right.Adapter && Left.Weights == Right.Weights &&
         Left.Fencing == Right.Fencing && Left.Build == Right.Build;
}

ListedTarget &OriginList::touch(const TargetId &Id) {
  ListedTarget &Listed = Targets[Id];
  Listed.Version = ++Version;
  return Listed;
}

OriginList::Change OriginList::announce(const TargetRecord &Record,
                                        Change Publish) {
  auto It = Targets.find(Record.Id);
  bool SameStructure = It != Targets.end() && !It->second.Gone &&
                       !It->second.Late &&
                       sameButLoad(It->second.Record, Record);
  if (!SameStructure) {
    ListedTarget &Listed = touch(Record.Id);
    Listed.Record = Record;
    Listed.Late = false;
    Listed.Gone = false;
    Listed.StructureVersion = Version;
    StructureVersion = Version;
    return Change::Structure;
  }
  bool LoadChanged = It->second.Record.Load != Record.Load;
  It->second.Record = Record;
  if (!LoadChanged || Publish != Change::Load)
    return Change::None;
  touch(Record.Id);
  return Change::Load;
}

void OriginList::markLate(const TargetId &Id) {
  ListedTarget &Listed = touch(Id);
  Listed.Late = true;
  Listed.StructureVersion = Version;
  StructureVersion = Version;
}

bool OriginList::remove(const TargetId &Id) {
  auto It = Targets.find(Id);
  if (It == Targets.end() || It->second.Gone)
    return false;
  touch(Id).Gone = true;
  StructureVersion = Version;
  pruneGone();
  return true;
}

void OriginList::pruneGone() {
  size_t Gone = 0;
  auto Oldest = Targets.end();
  for (auto Entry = Targets.begin(); Entry != Targets.end(); ++Entry) {
    if (!Entry->second.Gone)
      continue;
    ++Gone;
    if (Oldest == Targets.end() ||
        Entry->second.Version < Oldest->second.Version)
      Oldest = Entry;
  }
  if (Gone <= MaxGone)
    return;
  MinBaseVersion = std::max(MinBaseVersion, Oldest->second.Version);
  Targets.erase(Oldest);
}

static wire::TargetDetails detailsOf(const TargetRecord &Record) {
  wire::TargetDetails Details;
  Details.Address = Record.Address;
  Details.DataCentre = Record.DataCentre.Value;
  Details.Kind = static_cast<int32_t>(Record.Kind);
  Details.Service = Record.Service.Value;
  Details.Model = Record.Model.Value;
  Details.Adapter = Record.Adapter.Value;
  Details.Weights = static_cast<int64_t>(Record.Weights.Value);
  Details.Fencing = static_cast<int32_t>(Record.Fencing);
  Details.Phase = static_cast<int32_t>(Record.Phase);
  Details.Build = Record.Build.Value;
  return Details;
}

/// \returns the change of one target for a copy that is complete up to version
/// \p HaveVersion.
static wire::TargetChange changeOf(const ListedTarget &Listed,
                                   uint64_t HaveVersion) {
  const TargetRecord &Record = Listed.Record;
  wire::TargetChange Change;
  Change.Id = Record.Id.Value;
  Change.Incarnation = static_cast<int64_t>(Record.Incarnation.Value);
  Change.Version = static_cast<int64_t>(Listed.Version);
  Change.Sequence = static_cast<int64_t>(Record.Sequence);
  if (Listed.Gone) {
    Change.__set_Gone(true);
    return Change;
  }
  if (Listed.Late)
    Change.__set_Late(true);
  if (Listed.StructureVersion > HaveVersion)
    Change.__set_Details(detailsOf(Record));
  wire::LoadFields Load;
  Load.Running = static_cast<int32_t>(Record.Load.RunningRequests);
  Load.Queued = static_cast<int32_t>(Record.Load.QueuedRequests);
  Load.QueuedPrefillTokens =
      static_cast<int64_t>(Record.Load.QueuedPrefillTokens);
  Load.MaxConcurrent = static_cast<int32_t>(Record.Load.MaxConcurrent);
  Change.__set_Load(Load);
  return Change;
}

wire::OriginDelta OriginList::deltaSince(uint64_t HaveVersion) const {
  uint64_t Base = HaveVersion < MinBaseVersion ? 0 : HaveVersion;
  wire::OriginDelta Delta;
  Delta.BaseVersion = static_cast<int64_t>(Base);
  Delta.Version = static_cast<int64_t>(Version);
  for (const auto &[Id, Listed] : Targets)
    if (Listed.Version > Base)
      Delta.Changes.push_back(changeOf(Listed, Base));
  return Delta;
}

static TargetLoad loadOf(const wire::LoadFields &Fields) {
  TargetLoad Load;
  Load.RunningRequests = static_cast<uint32_t>(Fields.Running);
  Load.QueuedRequests = static_cast<uint32_t>(Fields.Queued);
  Load.QueuedPrefillTokens = static_cast<uint64_t>(Fields.QueuedPrefillTokens);
  Load.MaxConcurrent = static_cast<uint32_t>(Fields.MaxConcurrent);
  return Load;
}

static TargetRecord recordOf(const wire::TargetChange &Change) {
  const wire::TargetDetails &Details = Change.Details;
  TargetRecord Record;
  Record.Id = {Change.Id};
  Record.Incarnation = {static_cast<uint64_t>(Change.Incarnation)};
  Record.Sequence = static_cast<uint64_t>(Change.Sequence);
  Record.Address = Details.Address;
  Record.DataCentre = {Details.DataCentre};
  Record.Kind = static_cast<TargetKind>(Details.Kind);
  Record.Service = {Details.Service};
  Record.Model = {Details.Model};
  Record.Adapter = {Details.Adapter};
  Record.Weights = {static_cast<uint64_t>(Details.Weights)};
  Record.Fencing = static_cast<FencingCheck>(Details.Fencing);
  Record.Phase = static_cast<TargetPhase>(Details.Phase);
  Record.Build = {Details.Build};
  return Record;
}

static bool inRange(const wire::TargetDetails &Details) {
  auto Between = [](int32_t Value, auto Last) {
    return Value >= 0 && Value <= static_cast<int32_t>(Last);
  };
  return Between(Details.Kind, TargetKind::WeightStore) &&
         Between(Details.Phase, TargetPhase::Leaving) &&
         Between(Details.Fencing, FencingCheck::Unchecked);
}

bool OriginList::accepts(const wire::OriginDelta &Delta) const {
  for (const wire::TargetChange &Change : Delta.Changes) {
    if (Change.Gone)
      continue;
    if (!Change.__isset.Load)
      return false;
    if (Change.__isset.Details) {
      if (!inRange(Change.Details))
        return false;
      continue;
    }
    // Load figures apply only to the incarnation that the copy has.
    auto It = Targets.find({Change.Id});
    auto Incarnation = static_cast<uint64_t>(Change.Incarnation);
    if (Delta.BaseVersion == 0 || It == Targets.end() || It->second.Gone ||
        It->second.Record.Incarnation.Value != Incarnation)
      return false;
  }
  return true;
}

bool OriginList::apply(const wire::OriginDelta &Delta, Timestamp TrustedUntil) {
  auto Base = static_cast<uint64_t>(Delta.BaseVersion);
  auto Newest = static_cast<uint64_t>(Delta.Version);
  // A delta that starts after this copy's version would leave a gap.
  if (Base > Version || Newest <= Version || !accepts(Delta))
    return false;
  if (Base == 0) {
    Targets.clear();
    MinBaseVersion = Newest;
  }
  for (const wire::TargetChange &Change : Delta.Changes)
    applyChange(Change, TrustedUntil);
  Version = Newest;
  // Counts as a structural change until a heartbeat reports otherwise.
  StructureVersion = Newest;
  pruneGone();
  return true;
}

void OriginList::applyChange(const wire::TargetChange &Change,
                             Timestamp TrustedUntil) {
  ListedTarget &Listed = Targets[{Change.Id}];
  auto Incarnation = static_cast<uint64_t>(Change.Incarnation);
  bool SameIncarnation = Listed.Version != 0 && !Listed.Gone &&
                         Listed.Record.Incarnation.Value == Incarnation;
  Timestamp FrozenUntil;
  if (SameIncarnation && Change.Late)
    FrozenUntil = Listed.Late ? Listed.Record.UsableUntil : TrustedUntil;
  Listed.Version = static_cast<uint64_t>(Change.Version);
  if (Change.Gone || Change.__isset.Details) {
    Listed.StructureVersion = Listed.Version;
    Listed.Late = Change.Late;
    Listed.Gone = Change.Gone;
    Listed.Record = recordOf(Change);
    Listed.Record.UsableUntil = FrozenUntil;
  }
  Listed.Record.Sequence = static_cast<uint64_t>(Change.Sequence);
  Listed.Record.Load = loadOf(Change.Load);
}

void OriginList::updateStructureVersion(uint64_t OtherVersion,
                                        uint64_t OtherStructureVersion) {
  if (OtherVersion >= Version && OtherStructureVersion <= Version)
    StructureVersion = OtherStructureVersion;
}

} // namespace ferry::membership
