#include "LibWire/Codec.h"
#include "LibWire/FrameReader.h"
#include "LibWire/Generated/Peer_types.h"
#include "LibWire/Generated/Routing_types.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace ferry;
using namespace ferry::wire;

static Envelope sampleEnvelope() {
  Envelope Message;
  Message.ClusterId = "austral";
  Message.GroupId = 1;
  Message.SenderIncarnation = 7;
  Message.Kind = PayloadKind::Membership;
  Message.Payload = std::string(300, 'x');
  return Message;
}

BOOST_AUTO_TEST_CASE(frames_are_read_whole_however_the_stream_is_split) {
  std::string Stream = frame("one") + frame("") + frame(std::string(9000, 'y'));
  for (size_t Step : {1, 3, 7, 4096}) {
    FrameReader Reader(10'000);
    std::vector<std::string> Frames;
    for (size_t Start = 0; Start < Stream.size(); Start += Step) {
      Reader.append(std::string_view(Stream).substr(Start, Step));
      while (auto Frame = *Reader.tryNext())
        Frames.push_back(*Frame);
    }
    BOOST_TEST(Frames.size() == 3u);
    BOOST_TEST(Frames.front() == "one");
    BOOST_TEST(Frames.back().size() == 9000u);
  }
}

BOOST_AUTO_TEST_CASE(oversized_frame_is_an_error_once_its_length_has_arrived) {
  FrameReader Reader(10);
  Reader.append(frame(std::string(11, 'z')).substr(0, 4));
  auto Frame = Reader.tryNext();
  BOOST_TEST(!Frame.has_value());
  BOOST_TEST((Frame.error().Kind == WireErrorKind::TooLarge));
}

BOOST_AUTO_TEST_CASE(decoding_an_encoded_message_returns_it) {
  auto Decoded = tryDecode<Envelope>(encode(sampleEnvelope()));
  BOOST_REQUIRE(Decoded.has_value());
  BOOST_TEST((*Decoded == sampleEnvelope()));
}

// While routers are replaced one by one, older ones receive questions about
// caps and newer ones messages without them.
BOOST_AUTO_TEST_CASE(unknown_fields_are_skipped_and_missing_ones_are_empty) {
  BeliefMessage Sent;
  CapQuestion Question;
  Question.Workspace = "w";
  Question.Number = -7;
  Question.__set_Needed(12.5);
  Sent.__set_CapQuestions({Question, Question});
  CapReply Reply;
  Reply.Workspace = "w";
  Reply.__set_Granted(1e9);
  Reply.__set_RetryInMillis(12);
  Sent.__set_CapReplies({Reply});
  std::string Bytes = encode(Sent);
  auto Received = tryDecode<BeliefMessage>(Bytes);
  BOOST_REQUIRE(Received.has_value());
  BOOST_TEST((*Received == Sent));
  BOOST_TEST(Received->CapQuestions.front().Returned == 0);
  // A message with no field 8 or 9 stands for the older version.
  BOOST_TEST(tryDecode<StreamMessage>(Bytes).has_value());
  auto Older = tryDecode<BeliefMessage>(encode(StreamMessage()));
  BOOST_REQUIRE(Older.has_value());
  BOOST_TEST(Older->CapQuestions.empty());
  BOOST_TEST(Older->CapReplies.empty());
}

BOOST_AUTO_TEST_CASE(truncated_messages_and_trailing_bytes_are_errors) {
  std::string Bytes = encode(sampleEnvelope());
  for (size_t Size = 0; Size < Bytes.size(); ++Size)
    BOOST_TEST(!tryDecode<Envelope>(Bytes.substr(0, Size)).has_value());
  auto Trailing = tryDecode<Envelope>(Bytes + "x");
  BOOST_REQUIRE(!Trailing.has_value());
  BOOST_TEST((Trailing.error().Kind == WireErrorKind::TrailingBytes));
}

BOOST_AUTO_TEST_CASE(random_bytes_never_crash_the_decoder) {
  std::mt19937_64 Random(20261203);
  std::string Valid = encode(sampleEnvelope());
  for (int Round = 0; Round < 20'000; ++Round) {
    std::string Bytes = Valid;
    for (int Flip = 0; Flip < 4; ++Flip)
      Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
    auto Decoded = tryDecode<Envelope>(Bytes);
    if (Decoded)
      BOOST_TEST(Decoded->Payload.size() <= Bytes.size());
  }
}
