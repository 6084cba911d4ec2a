// A stream that is cut at any byte but the end of an event must not look whole.
#include "LibTraffic/EventBoundary.h"
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace ferry::traffic;
namespace data = boost::unit_test::data;

/// \returns the boundary after \p Text, read in pieces of \p PieceBytes.
static EventBoundary readIn(std::string_view Text, size_t PieceBytes) {
  EventBoundary Boundary;
  while (!Text.empty()) {
    std::string_view Piece = Text.substr(0, PieceBytes);
    Text.remove_prefix(Piece.size());
    while (auto End = Boundary.readToEnd(Piece))
      Piece.remove_prefix(*End);
  }
  return Boundary;
}

static const std::vector<std::string> Streams = {
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n"};

BOOST_DATA_TEST_CASE(a_cut_anywhere_but_between_events_is_inside_one,
                     data::make(Streams), Stream) {
  std::set<size_t> Ends = {0, Stream.size() / 2, Stream.size()};
  for (size_t Cut = 0; Cut <= Stream.size(); ++Cut)
    for (size_t PieceBytes : {size_t(1), size_t(3), Stream.size()}) {
      EventBoundary Boundary = readIn(Stream.substr(0, Cut), PieceBytes);
      BOOST_TEST(Boundary.insideEvent() == !Ends.contains(Cut), Cut);
      BOOST_TEST((Boundary.unfinishedBytes() == 0) == Ends.contains(Cut), Cut);
    }
}

BOOST_AUTO_TEST_CASE(a_comment_line_begins_no_event) {
  BOOST_TEST(!readIn("data: a\n\n: idle\n", 4).insideEvent());
  BOOST_TEST(readIn("data: a\n\n: id", 4).insideEvent());
  BOOST_TEST(readIn("data: a\n: idle\n", 4).insideEvent());
}
