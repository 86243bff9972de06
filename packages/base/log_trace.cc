#include "base/log_trace.h"

#include <algorithm>

#include <absl/strings/ascii.h>

#include "base/text.h"

namespace bronzecross {
namespace {

bool IsValueEnd(char c) {
  return c == ' ' || c == '"' || c == ',' || c == '}' || c == '\r';
}

// Pattern of a timestamp; each 0 stands for a digit.
constexpr std::string_view kTimestampPattern = "0000-00-00T00:00:00.000Z";

bool MatchesTimestamp(std::string_view text) {
  for (size_t i = 0; i < kTimestampPattern.size(); ++i) {
    const bool matches = kTimestampPattern[i] == '0'
                             ? absl::ascii_isdigit(text[i]) != 0
                             : text[i] == kTimestampPattern[i];
    if (!matches) {
      return false;
    }
  }
  return true;
}

// Returns the timestamp in `line`, or an empty string if there is none.
std::string_view FindTimestamp(std::string_view line) {
  for (size_t at = 0; at + kTimestampPattern.size() <= line.size(); ++at) {
    const std::string_view text = line.substr(at, kTimestampPattern.size());
    if (MatchesTimestamp(text)) {
      return text;
    }
  }
  return {};
}

}  // namespace

bool ContainsId(std::string_view line, std::string_view id) {
  if (id.empty()) {
    return false;
  }
  for (size_t at = line.find(id); at != std::string_view::npos;
       at = line.find(id, at + 1)) {
    const size_t end = at + id.size();
    const bool begins = at > 0 && (line[at - 1] == '=' || line[at - 1] == '"');
    if (begins && (end == line.size() || IsValueEnd(line[end]))) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> TraceLogs(std::span<const std::string> logs,
                                   std::string_view id) {
  std::vector<std::pair<std::string_view, std::string_view>> found;
  for (const std::string& log : logs) {
    for (const std::string_view line : Split(log, '\n')) {
      if (ContainsId(line, id)) {
        found.emplace_back(FindTimestamp(line), line);
      }
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const std::pair<std::string_view, std::string_view>& a,
                      const std::pair<std::string_view, std::string_view>& b) {
                     return a.first < b.first;
                   });
  std::vector<std::string> lines;
  for (const std::pair<std::string_view, std::string_view>& entry : found) {
    lines.emplace_back(entry.second);
  }
  return lines;
}

}  // namespace bronzecross
