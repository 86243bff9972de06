// Finds the log lines that name one request, job, item, upstream or VM.

#ifndef BRONZECROSS_BASE_LOG_TRACE_H_
#define BRONZECROSS_BASE_LOG_TRACE_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzecross {

// Whether a field of the line has exactly the value `id`. Understands both log
// formats.
bool NamesId(std::string_view line, std::string_view id);

// The lines of several logs that name `id`, in the order of their time stamps.
// Text in front of a time stamp, as a collector of logs adds it, is kept.
std::vector<std::string> TraceLogs(std::span<const std::string> logs,
                                   std::string_view id);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_LOG_TRACE_H_
