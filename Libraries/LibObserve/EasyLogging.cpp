// The package has no compiled library: its source is compiled here once.
#include "LibObserve/EasyLogging.h"
#include <easylogging++.cc>
