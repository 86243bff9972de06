// Counts and logs what is refused because of the bounds on callers. The volume
// of the log doesn't grow with the number of refusals.

#ifndef BRONZECROSS_GATEWAY_REFUSAL_LOG_H_
#define BRONZECROSS_GATEWAY_REFUSAL_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http1/read_bounds.h"

namespace bronzecross {

// Returns the name of a bound in metrics and log lines.
std::string_view ReadFaultName(ReadFault fault);

class RefusalLog {
 public:
  // Counts one refusal. `reason` is one of a fixed set of names.
  void Count(std::string_view reason, Millis now);

 private:
  struct Reason {
    Millis m_logged;
    int64_t m_unlogged = 0;  // refusals since then
  };

  std::map<std::string, Reason, std::less<>> m_reasons;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_REFUSAL_LOG_H_
