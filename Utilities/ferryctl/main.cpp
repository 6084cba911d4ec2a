#include "ferryctl/Commands.h"
#include <iostream>

using namespace ferry::ctl;

int main(int ArgumentCount, char **ArgumentValues) {
  try {
    Arguments Given;
    Given.Words.assign(ArgumentValues + 1, ArgumentValues + ArgumentCount);
    Given.Version = FERRY_VERSION;
    return static_cast<int>(runCommand(Given));
  } catch (const std::exception &Error) {
    std::cerr << "ferryctl: internal_error: " << Error.what() << std::endl;
    return static_cast<int>(ExitCode::InternalError);
  }
}
