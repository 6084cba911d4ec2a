#include "LibObserve/Guard.h"
#include "LibCore/Time.h"
#include "LibObserve/Log.h"
#include <atomic>

namespace ferry::observe {

void logWorkFailed(std::string_view Thread, std::string_view Reason) {
  static std::atomic<Timestamp> NextLineAt{Timestamp()};
  Timestamp Now = steadyNow();
  Timestamp NextAt = NextLineAt.load();
  bool MayLog = Now >= NextAt && NextLineAt.compare_exchange_strong(
                                     NextAt, Now + std::chrono::seconds(1));
  if (MayLog)
    logEvent(Severity::Error, "process", "work_failed",
             {{"thread", Thread}, {"reason", Reason}});
}

} // namespace ferry::observe
