#include "aio/task.h"

#include "base/log.h"

namespace bronzecross::internal {

void LogTaskException(std::string_view what) {
  Log(Severity::kError, LogPart::kMain, "A task ended by an exception.",
      {{"reason", what}});
}

}  // namespace bronzecross::internal
