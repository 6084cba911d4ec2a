// The package contains no compiled library, so its source is compiled here,
// once.
#include "LibObserve/EasyLogging.h"
#include <easylogging++.cc>
