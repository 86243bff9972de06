// Finds the log lines that refer to one request, job, item, upstream or VM.

#ifndef BRONZECROSS_BASE_LOG_TRACE_H_
#define BRONZECROSS_BASE_LOG_TRACE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzecross {

// Returns whether a field of `line` has exactly the value `id`. Supports both
// log formats.
bool ContainsId(std::string_view line, std::string_view id);

// Returns the lines of several logs that contain `id`, ordered by timestamp.
// Text that a log collector adds in front of the timestamp is kept.
std::vector<std::string> TraceLogs(std::span<const std::string> logs,
                                   std::string_view id);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_LOG_TRACE_H_
