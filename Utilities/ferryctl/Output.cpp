#include "ferryctl/Output.h"
#include <algorithm>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace ferry::ctl {

static constexpr size_t ColumnGap = 2;

static std::string aligned(const std::vector<std::string> &Cells,
                           const std::vector<size_t> &Widths) {
  std::string Line;
  for (size_t Column = 0; Column < Cells.size(); ++Column) {
    Line += Cells[Column];
    if (Column + 1 < Cells.size())
      Line.append(Widths[Column] - Cells[Column].size() + ColumnGap, ' ');
  }
  return Line + "\n";
}

std::string Table::render() const {
  std::vector<size_t> Widths;
  for (size_t Column = 0; Column < Headings.size(); ++Column) {
    size_t Width = Headings[Column].size();
    for (const auto &Row : Rows)
      Width = std::max(Width, Row[Column].size());
    Widths.push_back(Width);
  }
  std::string Text = aligned(Headings, Widths);
  for (const auto &Row : Rows)
    Text += aligned(Row, Widths);
  return Text;
}

void Output::result(const std::string &Text,
                    const Poco::JSON::Object &Object) const {
  if (!isJson()) {
    std::cout << Text << std::flush;
    return;
  }
  Object.stringify(std::cout);
  std::cout << std::endl;
}

ExitCode Output::fail(const CommandError &Error) const {
  if (Error.Kind == ExitCode::Success)
    return Error.Kind;
  if (!isJson()) {
    std::cerr << "ferryctl: " << Error.message() << std::endl;
    return Error.Kind;
  }
  Poco::JSON::Object ErrorObject;
  ErrorObject.set("type", std::string(enumName(Error.Kind)));
  ErrorObject.set("message", Error.Detail);
  Poco::JSON::Object Root;
  Root.set("error", ErrorObject);
  Root.stringify(std::cout);
  std::cout << std::endl;
  return Error.Kind;
}

void Output::progress(const std::string &Text) {
  if (isJson() || Text == LastProgress)
    return;
  bool OnTerminal = isatty(STDERR_FILENO) == 1;
  if (!OnTerminal) {
    std::cerr << Text << std::endl;
  } else {
    size_t Erased = std::max(LastProgress.size(), Text.size()) - Text.size();
    std::cerr << '\r' << Text << std::string(Erased, ' ') << std::flush;
  }
  LastProgress = Text;
}

void Output::endProgress() {
  if (!LastProgress.empty() && isatty(STDERR_FILENO) == 1)
    std::cerr << std::endl;
  LastProgress.clear();
}

} // namespace ferry::ctl
