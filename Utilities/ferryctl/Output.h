/// \file
/// Writes results, errors and progress: text for people, JSON for programs.
#ifndef FERRY_FERRYCTL_OUTPUT_H
#define FERRY_FERRYCTL_OUTPUT_H

#include "ferryctl/Hosts.h"
#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

namespace ferry::ctl {

/// Whether the output is text for people or JSON for programs.
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

  /// Writes the error as text or JSON, or nothing if its kind is Success.
  /// \returns its exit code.
  ExitCode fail(const CommandError &Error) const;

  /// Shows the progress of a command: overwrites the last progress on a
  /// terminal, and writes a new line elsewhere. Writes nothing with JSON.
  void progress(const std::string &Text);

  /// Ends the line that progress() overwrites on a terminal.
  void endProgress();

private:
  OutputForm Form;
  std::string LastProgress;
};

} // namespace ferry::ctl

#endif
