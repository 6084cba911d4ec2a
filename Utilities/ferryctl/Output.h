/// \file
/// What ferryctl writes: tables and progress for people, JSON for programs.
#ifndef FERRY_FERRYCTL_OUTPUT_H
#define FERRY_FERRYCTL_OUTPUT_H

#include "ferryctl/Hosts.h"
#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

namespace ferry::ctl {

/// Who reads the output.
enum class OutputForm : uint8_t { Text, Json };

/// Rows of cells under headings, aligned in columns.
struct Table {
  std::vector<std::string> Headings;
  std::vector<std::vector<std::string>> Rows;

  std::string render() const;
};

/// Writes results to the standard output, and errors and progress to the
/// standard error stream.
class Output {
public:
  explicit Output(OutputForm Form) : Form(Form) {}

  bool isJson() const { return Form == OutputForm::Json; }

  /// Writes \p Text for people, \p Object for programs.
  void result(const std::string &Text, const Poco::JSON::Object &Object) const;

  /// Writes the error in the form asked for; nothing if its kind is Success.
  /// \returns its exit code.
  ExitCode fail(const CommandError &Error) const;

  /// Shows how far a command is: in place on a terminal, else as a line.
  void progress(const std::string &Text);

  /// Ends the line of progress on a terminal.
  void endProgress();

private:
  OutputForm Form;
  std::string LastProgress;
};

} // namespace ferry::ctl

#endif
