// A target that stops inside the head of its answer and closes has not
// answered: callers of other systems got a 200 with an empty or short body,
// framed as whole.
#include "LibTraffic/RoutedBed.h"
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace ferry;
using namespace ferry::traffic;
namespace data = boost::unit_test::data;

namespace {

/// How the target ends its connection.
enum class Ending : uint8_t { Close, Reset };

/// Answers with the first \p Size bytes of \p Answer.
FakeScriptedTarget::Script cutAt(const std::string &Answer, size_t Size,
                                 Ending End, std::atomic<int> &Runs) {
  return [=, &Runs](const ReceivedRequest &, ScriptedConnection &Link) {
    ++Runs;
    Link.write(Answer.substr(0, Size));
    if (End == Ending::Reset)
      Link.reset();
  };
}

} // namespace

/// \returns where \p Answer is cut: before, inside and at the end of each line
/// of its head, and between the two bytes of that end.
static std::vector<size_t> cutsOf(const std::string &Answer) {
  std::vector<size_t> Cuts;
  size_t Start = 0;
  for (size_t End = Answer.find("\r\n"); End != std::string::npos;
       End = Answer.find("\r\n", Start)) {
    Cuts.insert(Cuts.end(), {Start, (Start + End) / 2, End, End + 1});
    Start = End + 2;
  }
  return Cuts;
}

static void checkCuts(const std::string &Path, const std::string &Answer) {
  bool MayRepeat = Path == "/many/x" || Path == "/goon/x";
  Ending End = Ending::Close;
  for (size_t Cut : cutsOf(Answer)) {
    RoutedBed Bed;
    std::atomic<int> Runs = 0;
    for (const char *Service : {"app", "lm", "app", "lm"})
      Bed.add(Service, cutAt(Answer, Cut, End, Runs));
    CallerAnswer Got = Bed.send(Path);
    BOOST_TEST(Got.Status == 502, Cut << " " << Got.Body);
    BOOST_TEST(Got.Whole);
    BOOST_TEST(Runs == (MayRepeat ? 2 : 1));
    End = End == Ending::Close ? Ending::Reset : Ending::Close;
  }
}

static const std::string WholeAnswer = wholeAnswer(200, "", "X-A: b\r\n");

BOOST_DATA_TEST_CASE(a_whole_answer_cut_inside_its_head_is_no_success,
                     data::make({"/once/x", "/many/x"}), Path) {
  checkCuts(Path, WholeAnswer);
}

BOOST_DATA_TEST_CASE(a_stream_cut_inside_its_head_is_no_success,
                     data::make({"/flow/x", "/goon/x"}), Path) {
  checkCuts(Path, streamHead());
}

// An interim answer is whole, but it is not the answer.
BOOST_AUTO_TEST_CASE(an_answer_cut_behind_an_interim_one_is_no_success) {
  checkCuts("/once/x", "HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" + WholeAnswer);
}
