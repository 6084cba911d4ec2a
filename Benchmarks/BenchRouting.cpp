/// \file
/// Compares placement policies in virtual time and writes the tables as a page.
#include "LibCore/Visit.h"
#include "Placement/Report.h"
#include <tclap/CmdLine.h>

int main(int Count, char **Values) {
  using namespace ferry::bench;
  TCLAP::CmdLine Line("Compares placement in virtual time");
  TCLAP::ValueArg<std::string> Page("o", "out", "Page to write", false, "",
                                    "path", Line);
  TCLAP::ValueArg<int> Seeds("s", "seeds", "Number of seeds for each cell",
                             false, 6, "number", Line);
  TCLAP::ValueArg<int> Threads("j", "jobs", "Threads", false, 3, "number",
                               Line);
  TCLAP::ValueArg<std::string> Only(
      "r", "row", "Run only rows whose names contain this text", false, "",
      "text", Line);
  TCLAP::ValueArg<double> Load("l", "load",
                               "Factor by which the load is multiplied", false,
                               1, "factor", Line);
  Line.parse(Count, Values);
  Report Table(Seeds.getValue(), Only.getValue(), Load.getValue());
  Table.run(Threads.getValue());
  return Table.write(Page.getValue()) ? 0 : 1;
}
