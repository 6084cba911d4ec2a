/// \file
/// Includes easylogging++ with the macros of this library. Only LibObserve
/// includes it, because the macros must be the same in all files that include
/// the header of easylogging++.
#ifndef FERRY_LIBOBSERVE_EASYLOGGING_H
#define FERRY_LIBOBSERVE_EASYLOGGING_H

#define ELPP_THREAD_SAFE
// Without these macros it writes myeasylog.log into the working folder.
#define ELPP_NO_LOG_TO_FILE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_LOG_FILE_FROM_ARG
#define ELPP_CUSTOM_COUT std::cout

#include <easylogging++.h>

#endif
