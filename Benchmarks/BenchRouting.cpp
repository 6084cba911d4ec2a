/// \file
/// Compares ways of placing requests and writes the table page.
#include "LibCore/Visit.h"
#include "Placement/Report.h"
#include <tclap/CmdLine.h>

int main(int Count, char **Values) {
  using namespace ferry::bench;
  TCLAP::CmdLine Line("Compares placement in virtual time");
  TCLAP::ValueArg<std::string> Page("o", "out", "Page to write", false, "",
                                    "path", Line);
  TCLAP::ValueArg<int> Seeds("s", "seeds", "Seeds a cell", false, 6, "number",
                             Line);
  TCLAP::ValueArg<int> Threads("j", "jobs", "Threads", false, 3, "number",
                               Line);
  TCLAP::ValueArg<std::string> Only("r", "row", "Only rows with this text",
                                    false, "", "text", Line);
  TCLAP::ValueArg<double> Load("l", "load", "Factor on the load", false, 1,
                               "factor", Line);
  Line.parse(Count, Values);
  Report Table(Seeds.getValue(), Only.getValue(), Load.getValue());
  Table.run(Threads.getValue());
  return Table.write(Page.getValue()) ? 0 : 1;
}
