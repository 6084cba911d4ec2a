/// \file
/// Keeps an unexpected exception from ending the process.
#ifndef FERRY_LIBOBSERVE_GUARD_H
#define FERRY_LIBOBSERVE_GUARD_H

#include <exception>
#include <string_view>

namespace ferry::observe {

/// Logs that a piece of work of \p Thread was given up because of \p Reason; at
/// most once a second for the whole process.
void logWorkFailed(std::string_view Thread, std::string_view Reason);

/// Runs \p Work, one piece of the work of a thread. An exception ends this
/// piece only; it would end the process if it left the thread's function.
/// \returns whether the work ended without an exception.
template <typename WorkType>
bool runGuarded(std::string_view Thread, WorkType Work) {
  try {
    Work();
    return true;
  } catch (const std::exception &Failure) {
    logWorkFailed(Thread, Failure.what());
    return false;
  }
}

} // namespace ferry::observe

#endif
