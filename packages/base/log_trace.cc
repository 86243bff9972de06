#include "base/log_trace.h"

#include <algorithm>
#include <regex>

#include "base/text.h"

namespace bronzecross {
namespace {

bool EndsValue(char c) {
  return c == ' ' || c == '"' || c == ',' || c == '}' || c == '\r';
}

// The time stamp of a line; empty if it has none.
std::string TimeOf(const std::string& line) {
  static const std::regex kTimeStamp(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d+Z)");
  std::smatch match;
  return std::regex_search(line, match, kTimeStamp) ? match.str() : "";
}

}  // namespace

bool NamesId(std::string_view line, std::string_view id) {
  if (id.empty()) {
    return false;
  }
  for (size_t at = line.find(id); at != std::string_view::npos;
       at = line.find(id, at + 1)) {
    const size_t end = at + id.size();
    const bool begins = at > 0 && (line[at - 1] == '=' || line[at - 1] == '"');
    if (begins && (end == line.size() || EndsValue(line[end]))) {
      return true;
    }
  }
  return false;
}

std::vector<std::string> TraceLogs(std::span<const std::string> logs,
                                   std::string_view id) {
  std::vector<std::pair<std::string, std::string>> found;
  for (const std::string& log : logs) {
    for (const std::string_view line : Split(log, '\n')) {
      if (NamesId(line, id)) {
        const std::string text(line);
        found.emplace_back(TimeOf(text), text);
      }
    }
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const std::pair<std::string, std::string>& a,
                      const std::pair<std::string, std::string>& b) {
                     return a.first < b.first;
                   });
  std::vector<std::string> lines;
  for (std::pair<std::string, std::string>& entry : found) {
    lines.push_back(std::move(entry.second));
  }
  return lines;
}

}  // namespace bronzecross
