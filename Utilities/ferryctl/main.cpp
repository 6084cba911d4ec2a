#include "ferryctl/Commands.h"
#include <iostream>

using namespace ferry::ctl;

int main(int ArgumentCount, char **ArgumentValues) {
  try {
    Arguments Args;
    Args.Words.assign(ArgumentValues + 1, ArgumentValues + ArgumentCount);
    Args.Version = FERRY_VERSION;
    return static_cast<int>(runCommand(Args));
  } catch (const std::exception &Error) {
    std::cerr << "ferryctl: internal_error: " << Error.what() << std::endl;
    return static_cast<int>(ExitCode::InternalError);
  }
}
