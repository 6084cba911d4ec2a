#include "LibMembership/DescriptionTransfer.h"
#include "LibWire/Packing.h"
#include <algorithm>
#include <utility>

namespace ferry::membership {

using Step = DescriptionTransfer::Step;

static wire::DescriptionFetch fetchOf(DescriptionNumber Have, int64_t PieceOf,
                                      size_t Offset) {
  wire::DescriptionFetch Fetch;
  Fetch.HaveNumber = static_cast<int64_t>(Have.Value);
  Fetch.__set_PieceOf(PieceOf);
  Fetch.__set_Offset(static_cast<int32_t>(Offset));
  return Fetch;
}

Step DescriptionTransfer::startWith(const HostId &From, DescriptionNumber Have,
                                    Timestamp Now) {
  Active = Transfer{From, Now + PieceTimeout, 0, {}, 0, {}};
  return {Request{From, fetchOf(Have, 0, 0)}, std::nullopt};
}

Step DescriptionTransfer::startWithNext(DescriptionNumber Have, Timestamp Now) {
  Active.reset();
  if (auto From = std::exchange(Next, std::nullopt))
    return startWith(*From, Have, Now);
  return {};
}

Step DescriptionTransfer::noteNewer(const HostId &From, DescriptionNumber Have,
                                    Timestamp Now) {
  if (!Active)
    return startWith(From, Have, Now);
  if (From != Active->From)
    Next = From;
  return tick(Have, Now);
}

Step DescriptionTransfer::tick(DescriptionNumber Have, Timestamp Now) {
  if (!Active || Now < Active->DeadlineAt)
    return {};
  return startWithNext(Have, Now);
}

Step DescriptionTransfer::receive(const HostId &From,
                                  const wire::DescriptionCopy &Copy,
                                  DescriptionNumber Have, Timestamp Now) {
  if (!Copy.__isset.Piece) {
    // An older host sends the whole text.
    if (Active && Active->From == From)
      Active.reset();
    return {std::nullopt, Copy};
  }
  if (!Active || Active->From != From)
    return {};
  if (Copy.Number <= static_cast<int64_t>(Have.Value))
    return startWithNext(Have, Now);
  return continueWith(Copy, Have, Now);
}

Step DescriptionTransfer::continueWith(const wire::DescriptionCopy &Copy,
                                       DescriptionNumber Have, Timestamp Now) {
  // The first piece, also of a newer description than the one asked for.
  if (Copy.Offset == 0 && Copy.Number != Active->Number) {
    Active->Number = Copy.Number;
    Active->Operation = Copy.Operation;
    Active->SharedCacheSince = Copy.SharedCacheSince;
    Active->Packed.clear();
  }
  bool Fits = Copy.Number == Active->Number &&
              static_cast<size_t>(Copy.Offset) == Active->Packed.size();
  if (!Fits || Copy.Piece.empty())
    return {};
  size_t PackedBytes = static_cast<size_t>(std::max(Copy.PackedBytes, 0));
  if (PackedBytes > MaxPackedBytes)
    return startWithNext(Have, Now);
  Active->Packed += Copy.Piece;
  Active->DeadlineAt = Now + PieceTimeout;
  if (Active->Packed.size() >= PackedBytes)
    return takeWhole(Have, Now);
  return {Request{Active->From,
                  fetchOf(Have, Active->Number, Active->Packed.size())},
          std::nullopt};
}

Step DescriptionTransfer::takeWhole(DescriptionNumber Have, Timestamp Now) {
  auto Text = wire::tryUnpackText(Active->Packed, MaxTextBytes);
  if (!Text)
    return startWithNext(Have, Now);
  wire::DescriptionCopy Whole;
  Whole.Number = Active->Number;
  Whole.Operation = std::move(Active->Operation);
  Whole.Text = std::move(*Text);
  Whole.__set_SharedCacheSince(Active->SharedCacheSince);
  Active.reset();
  Next.reset();
  return {std::nullopt, std::move(Whole)};
}

wire::DescriptionCopy pieceFor(const wire::DescriptionFetch &Fetch,
                               const wire::DescriptionCopy &InForce,
                               const std::string &Packed) {
  wire::DescriptionCopy Reply;
  Reply.Number = InForce.Number;
  bool IsNewer = InForce.Number > Fetch.HaveNumber;
  // An asker that has the first pieces of an older one begins again.
  size_t Offset = Fetch.PieceOf == InForce.Number
                      ? static_cast<size_t>(std::max(Fetch.Offset, 0))
                      : 0;
  Offset = std::min(Offset, Packed.size());
  if (IsNewer && Offset == 0) {
    Reply.Operation = InForce.Operation;
    Reply.__set_SharedCacheSince(InForce.SharedCacheSince);
  }
  Reply.__set_Piece(IsNewer
                        ? Packed.substr(Offset, DescriptionTransfer::PieceBytes)
                        : std::string());
  Reply.__set_Offset(static_cast<int32_t>(Offset));
  Reply.__set_PackedBytes(static_cast<int32_t>(Packed.size()));
  return Reply;
}

} // namespace ferry::membership
