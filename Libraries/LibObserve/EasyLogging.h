/// \file
/// easylogging++ as this library builds it. Only LibObserve includes it: the
/// macros below must be the same wherever its header is read.
#ifndef FERRY_LIBOBSERVE_EASYLOGGING_H
#define FERRY_LIBOBSERVE_EASYLOGGING_H

#define ELPP_THREAD_SAFE
// Otherwise it writes myeasylog.log into the working folder.
#define ELPP_NO_LOG_TO_FILE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_LOG_FILE_FROM_ARG
#define ELPP_CUSTOM_COUT std::cout

#include <easylogging++.h>

#endif
