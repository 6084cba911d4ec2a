// A large description must reach a host once, however often and by however many
// hosts its number is mentioned meanwhile, and whichever of them fails.
#include "LibCore/Random.h"
#include "LibMembership/DescriptionTransfer.h"
#include "LibWire/Packing.h"
#include <boost/test/unit_test.hpp>

using namespace ferry;
using namespace ferry::membership;
using namespace std::chrono_literals;

namespace {

Timestamp at(Duration Since) { return Timestamp(100s) + Since; }

/// A host that has a description in force.
struct Source {
  wire::DescriptionCopy InForce;
  std::string Packed;

  /// \param Bytes of the text, which cannot be packed to less than half.
  explicit Source(int64_t Number, size_t Bytes = 500'000) {
    RandomGenerator Random(static_cast<uint64_t>(Number));
    InForce.Number = Number;
    InForce.Operation = "op" + std::to_string(Number);
    while (InForce.Text.size() < Bytes)
      InForce.Text += static_cast<char>('0' + randomBelow(Random, 64));
    Packed = wire::packText(InForce.Text);
  }
  wire::DescriptionCopy answer(const wire::DescriptionFetch &Fetch) const {
    return pieceFor(Fetch, InForce, Packed);
  }
};

constexpr DescriptionNumber Have{4};
const HostId Leader{"leader"};
const HostId Other{"other"};

/// Answers requests from \p Sent on until a description is whole, and counts
/// the bytes of the pieces. Another host mentions the number after each piece.
wire::DescriptionCopy finish(DescriptionTransfer &Transfer,
                             DescriptionTransfer::Step Sent, const Source &From,
                             size_t &Bytes) {
  for (int Piece = 0; Piece < 100 && Sent.Send; ++Piece) {
    auto Copy = From.answer(Sent.Send->Fetch);
    Bytes += Copy.Piece.size();
    Timestamp Now = at(Piece * 10ms);
    auto Mentioned = Transfer.noteNewer(Other, Have, Now);
    BOOST_TEST(!Mentioned.Send);
    Sent = Transfer.receive(Sent.Send->To, Copy, Have, Now);
  }
  BOOST_REQUIRE(Sent.Whole);
  return *Sent.Whole;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_description_is_taken_over_once_in_pieces) {
  Source Five(5);
  DescriptionTransfer Transfer;
  size_t Bytes = 0;
  auto Whole =
      finish(Transfer, Transfer.noteNewer(Leader, Have, at(0s)), Five, Bytes);
  BOOST_TEST(Whole.Number == 5);
  BOOST_TEST(Whole.Operation == "op5");
  BOOST_TEST((Whole.Text == Five.InForce.Text));
  BOOST_TEST(!Whole.__isset.Piece);
  BOOST_TEST(Bytes == Five.Packed.size());
  BOOST_TEST(Bytes > 3 * DescriptionTransfer::PieceBytes);
}

BOOST_AUTO_TEST_CASE(repeated_pieces_change_nothing) {
  Source Five(5);
  DescriptionTransfer Transfer;
  auto First = Transfer.noteNewer(Leader, Have, at(0s));
  auto Piece = Five.answer(First.Send->Fetch);
  auto Second = Transfer.receive(Leader, Piece, Have, at(1ms));
  BOOST_REQUIRE(Second.Send);
  BOOST_TEST(!Transfer.receive(Leader, Piece, Have, at(2ms)).Send);
  // Nor do pieces that another host sends.
  BOOST_TEST(
      !Transfer.receive(Other, Five.answer(Second.Send->Fetch), Have, at(2ms))
           .Send);
  size_t Bytes = 0;
  BOOST_TEST((finish(Transfer, Second, Five, Bytes).Text == Five.InForce.Text));
}

BOOST_AUTO_TEST_CASE(a_silent_host_is_passed_over) {
  Source Five(5);
  DescriptionTransfer Transfer;
  auto First = Transfer.noteNewer(Leader, Have, at(0s));
  Transfer.receive(Leader, Five.answer(First.Send->Fetch), Have, at(10ms));
  Transfer.noteNewer(Other, Have, at(20ms));
  BOOST_TEST(!Transfer.tick(Have, at(700ms)).Send);
  auto Again =
      Transfer.tick(Have, at(10ms) + DescriptionTransfer::PieceTimeout);
  BOOST_REQUIRE(Again.Send);
  BOOST_TEST(Again.Send->To == Other);
  BOOST_TEST(Again.Send->Fetch.Offset == 0);
  // Without another host, the one that is named next is asked.
  DescriptionTransfer Alone;
  Alone.noteNewer(Leader, Have, at(0s));
  BOOST_TEST(!Alone.tick(Have, at(1s)).Send);
  BOOST_TEST(Alone.noteNewer(Leader, Have, at(2s)).Send.has_value());
}

BOOST_AUTO_TEST_CASE(a_host_without_anything_newer_is_passed_over) {
  // Its log has the number, but has not committed it.
  Source Four(4);
  DescriptionTransfer Transfer;
  auto First = Transfer.noteNewer(Other, Have, at(0s));
  BOOST_TEST(!Transfer.noteNewer(Leader, Have, at(1ms)).Send);
  auto Second =
      Transfer.receive(Other, Four.answer(First.Send->Fetch), Have, at(2ms));
  BOOST_REQUIRE(Second.Send);
  BOOST_TEST(Second.Send->To == Leader);
}

BOOST_AUTO_TEST_CASE(a_description_that_changes_meanwhile_is_begun_again) {
  Source Five(5);
  Source Six(6);
  DescriptionTransfer Transfer;
  auto First = Transfer.noteNewer(Leader, Have, at(0s));
  auto Second =
      Transfer.receive(Leader, Five.answer(First.Send->Fetch), Have, at(10ms));
  size_t Bytes = 0;
  auto Whole = finish(Transfer, Second, Six, Bytes);
  BOOST_TEST(Whole.Number == 6);
  BOOST_TEST((Whole.Text == Six.InForce.Text));
}

BOOST_AUTO_TEST_CASE(a_whole_text_of_an_older_host_is_taken) {
  Source Five(5);
  DescriptionTransfer Transfer;
  Transfer.noteNewer(Leader, Have, at(0s));
  auto Received = Transfer.receive(Leader, Five.InForce, Have, at(10ms));
  BOOST_REQUIRE(Received.Whole);
  BOOST_TEST((Received.Whole->Text == Five.InForce.Text));
  // The next one is asked for.
  BOOST_TEST(Transfer.noteNewer(Leader, {5}, at(20ms)).Send.has_value());
}

BOOST_AUTO_TEST_CASE(damaged_pieces_yield_no_description) {
  Source Five(5, 1000);
  for (size_t Cut = 0; Cut < Five.Packed.size(); Cut += 7) {
    Source Damaged = Five;
    Damaged.Packed[Cut] = static_cast<char>(Damaged.Packed[Cut] ^ 0x55);
    DescriptionTransfer Transfer;
    auto First = Transfer.noteNewer(Leader, Have, at(0s));
    auto Result = Transfer.receive(Leader, Damaged.answer(First.Send->Fetch),
                                   Have, at(1ms));
    if (Result.Whole)
      BOOST_TEST((Result.Whole->Text == Five.InForce.Text));
  }
  DescriptionTransfer Transfer;
  auto First = Transfer.noteNewer(Leader, Have, at(0s));
  auto Copy = Five.answer(First.Send->Fetch);
  Copy.Piece.resize(Copy.Piece.size() / 2);
  Copy.PackedBytes = static_cast<int32_t>(Copy.Piece.size());
  BOOST_TEST(!Transfer.receive(Leader, Copy, Have, at(1ms)).Whole);
  // Sizes and offsets that cannot be.
  Copy.PackedBytes = -1;
  Copy.Offset = -5;
  BOOST_TEST(!Transfer.receive(Leader, Copy, Have, at(2ms)).Whole);
}

BOOST_AUTO_TEST_CASE(packed_texts_are_bounded) {
  std::string Text(1 << 20, 'a');
  std::string Packed = wire::packText(Text);
  BOOST_TEST(Packed.size() < Text.size() / 20);
  BOOST_TEST((wire::tryUnpackText(Packed, Text.size()).value() == Text));
  BOOST_TEST(!wire::tryUnpackText(Packed, Text.size() - 1));
  BOOST_TEST(wire::tryUnpackText(wire::packText(""), 10).value().empty());
  BOOST_TEST(!wire::tryUnpackText("not packed", 10));
}
