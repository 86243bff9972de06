#include "upstreams/load_report.h"

#include <cmath>
#include <optional>
#include <string>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace bronzecross {
namespace {

constexpr std::string_view kRunning = "vllm:num_requests_running";
constexpr std::string_view kWaiting = "vllm:num_requests_waiting";
constexpr double kMaxRequests = 1e9;

// Adds the sample on `line` to `sum` if it belongs to the metric `name`.
// Returns false if the sample is malformed.
bool AddSample(std::string_view line,
               std::string_view name,
               std::optional<double>& sum) {
  if (!line.starts_with(name)) {
    return true;
  }
  line.remove_prefix(name.size());
  if (!line.starts_with('{') && !line.starts_with(' ')) {
    return true;
  }
  const size_t space = line.rfind(' ');
  double value = 0;
  if (space == std::string_view::npos ||
      !absl::SimpleAtod(std::string(line.substr(space + 1)), &value) ||
      !std::isfinite(value) || value < 0 || value > kMaxRequests) {
    return false;
  }
  sum = sum.value_or(0) + value;
  return true;
}

}  // namespace

Result<LoadReport> ParseLoadReport(std::string_view text) {
  std::optional<double> running;
  std::optional<double> waiting;
  for (const absl::string_view part :
       absl::StrSplit(absl::string_view(text.data(), text.size()), '\n')) {
    const std::string_view line(part.data(), part.size());
    if (!AddSample(line, kRunning, running) ||
        !AddSample(line, kWaiting, waiting)) {
      return Fail(ResultCode::kMalformedBody,
                  "the load report has a malformed sample");
    }
  }
  if (!running || !waiting) {
    return Fail(ResultCode::kMalformedBody, "the load report lacks a metric");
  }
  return LoadReport{static_cast<int64_t>(*running),
                    static_cast<int64_t>(*waiting)};
}

}  // namespace bronzecross
