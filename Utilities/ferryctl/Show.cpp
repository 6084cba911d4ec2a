#include "ferryctl/Commands.h"
#include "ferryctl/Description.h"
#include "ferryctl/LineDiff.h"
#include <Poco/JSON/Array.h>
#include <iostream>

namespace ferry::ctl {

ExitCode runShow(const Arguments &Args) {
  CommandLine Parser(Args, "Shows the newest accepted description.");
  HostOptions Options(Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = Options.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  auto Current = tryReadDescription(*Access);
  if (!Current)
    return Out.fail(Current.error());
  Poco::JSON::Object Object;
  Object.set("number", Current->Number.Value);
  Object.set("operation", Current->Operation);
  Object.set("text", Current->Text);
  // Standard output gets the text alone, so that it can be saved to a file and
  // applied again.
  if (!Out.isJson())
    std::cerr << "number " << Current->Number << ", operation "
              << Current->Operation << std::endl;
  Out.result(Current->Text, Object);
  return ExitCode::Success;
}

static char markerOf(LineOrigin Origin) {
  switch (Origin) {
  case LineOrigin::Both:
    return ' ';
  case LineOrigin::Old:
    return '-';
  case LineOrigin::New:
    return '+';
  }
  return ' ';
}

/// Prints the lines of both texts with a marker each, or that there is no
/// difference.
static ExitCode showDiff(const Output &Out, const RemoteDescription &Current,
                         const std::string &Text) {
  std::string DiffText;
  bool Different = false;
  for (const DiffLine &Line : diffLines(Current.Text, Text)) {
    DiffText += markerOf(Line.Origin) + Line.Text + "\n";
    Different |= Line.Origin != LineOrigin::Both;
  }
  if (!Different)
    DiffText = "no difference from number " +
               std::to_string(Current.Number.Value) + "\n";
  Poco::JSON::Object Object;
  Object.set("number", Current.Number.Value);
  Object.set("different", Different);
  Object.set("diff", Different ? DiffText : "");
  Out.result(DiffText, Object);
  return Different ? ExitCode::Different : ExitCode::Success;
}

ExitCode runDiff(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Compares a file with the newest accepted description: "
                     "'-' marks lines of the description only, '+' lines of "
                     "the file only.");
  HostOptions Options(Parser.line());
  TCLAP::UnlabeledValueArg<std::string> File("description",
                                             "The file with the description",
                                             true, "", "file", Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = Options.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  auto Text = tryReadInput(File.getValue());
  if (!Text)
    return Out.fail(Text.error());
  auto Current = tryReadDescription(*Access);
  if (!Current)
    return Out.fail(Current.error());
  return showDiff(Out, *Current, *Text);
}

static void showHistory(const Output &Out, const Poco::JSON::Object &Root) {
  Table ChangeTable{{"NUMBER", "OPERATION"}, {}};
  Poco::JSON::Array::Ptr List = Root.getArray("changes");
  for (size_t Index = 0; List && Index < List->size(); ++Index) {
    auto Item = List->getObject(static_cast<unsigned>(Index));
    if (Item)
      ChangeTable.Rows.push_back({std::to_string(numberIn(*Item, "number")),
                                  textIn(*Item, "operation")});
  }
  Out.result(ChangeTable.render(), Root);
}

ExitCode runHistory(const Arguments &Args) {
  CommandLine Parser(Args,
                     "Lists the accepted changes that the hosts still keep.");
  HostOptions Options(Parser.line());
  if (auto Code = parseOrExit(Parser))
    return *Code;
  Output Out = Options.output();
  auto Access = Options.tryAccess();
  if (!Access)
    return Out.fail(Access.error());
  auto Root = Access->tryGetObject("/v1/description/history");
  if (!Root)
    return Out.fail(Root.error());
  showHistory(Out, **Root);
  return ExitCode::Success;
}

} // namespace ferry::ctl
