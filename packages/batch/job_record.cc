#include "batch/job_record.h"

#include <array>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 8> kStateNames = {
    "validating", "in_progress", "finalizing", "completed",
    "failed",     "expired",     "cancelling", "cancelled"};
constexpr Millis kMaxWindow{30LL * 24 * 3600 * 1000};

json SecondsOrNull(Millis time) {
  return time == Millis(0) ? json(nullptr) : json(time.count() / 1000);
}

}  // namespace

std::string_view JobStateName(JobState state) {
  return kStateNames[static_cast<size_t>(state)];
}

bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kExpired || state == JobState::kCancelled;
}

json JobToJson(const JobRecord& job) {
  return {{"id", job.m_id},
          {"workspace", job.m_workspace},
          {"endpoint", job.m_endpoint},
          {"input", job.m_input_file_id},
          {"window", job.m_completion_window},
          {"metadata", job.m_metadata},
          {"state", JobStateName(job.m_state)},
          {"owner", job.m_owner},
          {"incarnation", job.m_owner_incarnation},
          {"epoch", job.m_epoch},
          {"created", job.m_created.count()},
          {"deadline", job.m_deadline.count()},
          {"ended", job.m_ended.count()},
          {"total", job.m_counts.m_total},
          {"completed", job.m_counts.m_completed},
          {"failed", job.m_counts.m_failed},
          {"fault", job.m_error_message}};
}

Result<JobRecord> ParseJob(std::string_view text) {
  const json object = json::parse(text, nullptr, false);
  JobRecord job;
  try {
    object.at("id").get_to(job.m_id);
    object.at("workspace").get_to(job.m_workspace);
    object.at("endpoint").get_to(job.m_endpoint);
    object.at("input").get_to(job.m_input_file_id);
    object.at("window").get_to(job.m_completion_window);
    job.m_metadata = object.at("metadata");
    const std::string state = object.at("state");
    for (size_t i = 0; i < kStateNames.size(); ++i) {
      if (kStateNames[i] == state) {
        job.m_state = static_cast<JobState>(i);
      }
    }
    object.at("owner").get_to(job.m_owner);
    object.at("incarnation").get_to(job.m_owner_incarnation);
    object.at("epoch").get_to(job.m_epoch);
    job.m_created = Millis(object.at("created").get<int64_t>());
    job.m_deadline = Millis(object.at("deadline").get<int64_t>());
    job.m_ended = Millis(object.at("ended").get<int64_t>());
    object.at("total").get_to(job.m_counts.m_total);
    object.at("completed").get_to(job.m_counts.m_completed);
    object.at("failed").get_to(job.m_counts.m_failed);
    object.at("fault").get_to(job.m_error_message);
  } catch (const json::exception& error) {
    return Fail(ResultCode::kCorrupt,
                absl::StrCat("malformed job record: ", error.what()));
  }
  return job;
}

json PublicBatch(const JobRecord& job) {
  const bool ended = IsFinal(job.m_state);
  const std::string suffix = job.m_id.substr(job.m_id.find('_') + 1);
  json batch = {
      {"id", job.m_id},
      {"object", "batch"},
      {"endpoint", job.m_endpoint},
      {"errors", nullptr},
      {"input_file_id", job.m_input_file_id},
      {"completion_window", job.m_completion_window},
      {"status", JobStateName(job.m_state)},
      {"output_file_id", ended ? json("file-out-" + suffix) : json(nullptr)},
      {"error_file_id", ended ? json("file-err-" + suffix) : json(nullptr)},
      {"created_at", SecondsOrNull(job.m_created)},
      {"expires_at", SecondsOrNull(job.m_deadline)},
      {"request_counts",
       {{"total", job.m_counts.m_total},
        {"completed", job.m_counts.m_completed},
        {"failed", job.m_counts.m_failed}}},
      {"metadata", job.m_metadata}};
  if (ended) {
    batch[absl::StrCat(std::string(JobStateName(job.m_state)), "_at")] =
        SecondsOrNull(job.m_ended);
  }
  if (!job.m_error_message.empty()) {
    batch["errors"] = {{"object", "list"},
                       {"data", {{{"message", job.m_error_message}}}}};
  }
  return batch;
}

std::string OutputLedgerId(std::string_view job_id) {
  return absl::StrCat("out-", std::string(job_id));
}

Result<Millis> ParseCompletionWindow(std::string_view text) {
  const char unit = text.empty() ? ' ' : text.back();
  const int64_t factor = unit == 'h'   ? 3'600'000
                         : unit == 'm' ? 60'000
                         : unit == 's' ? 1000
                                       : 0;
  int64_t count = 0;
  if (factor == 0 ||
      !absl::SimpleAtoi(absl::string_view(text.data(), text.size() - 1),
                        &count) ||
      count < 1 || count > kMaxWindow.count() / factor) {
    return Fail(ResultCode::kInvalidArgument,
                "completion_window must be like 24h, 30m or 90s");
  }
  return Millis(count * factor);
}

}  // namespace bronzecross
