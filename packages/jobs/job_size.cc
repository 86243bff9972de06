#include "jobs/job_size.h"

#include "base/text.h"

namespace bronzecross {
namespace {

// MessagePack writes a type and a length before each text, list and number.
constexpr size_t kOverhead = 9;

size_t TextSize(std::string_view text) {
  return kOverhead + text.size();
}

}  // namespace

size_t MaxEncodedSize(const JobSpec& spec) {
  size_t bytes = TextSize(spec.m_id) + TextSize(spec.m_workspace) +
                 TextSize(spec.m_route) + TextSize(spec.m_host) + 5 * kOverhead;
  for (const JobItem& item : spec.m_items) {
    bytes += TextSize(item.m_id) + TextSize(item.m_target) +
             TextSize(item.m_body) + 3 * kOverhead;
    for (const HeaderField& field : item.m_fields) {
      bytes += TextSize(field.m_name) + TextSize(field.m_value);
    }
  }
  return bytes;
}

Status CheckJobSize(const JobSpec& spec, size_t max_value_bytes) {
  if (MaxEncodedSize(spec) <= max_value_bytes) {
    return {};
  }
  const size_t bytes = EncodeJobSpec(spec).size();
  if (bytes <= max_value_bytes) {
    return {};
  }
  return Fail(ResultCode::kBodyTooLarge,
              Concat("the job takes ", bytes, " bytes of the ", max_value_bytes,
                     " that can be kept"));
}

bool IsRejectedForGood(const Error& error) {
  return error.m_run == RunState::kNotRun &&
         (error.m_code == ResultCode::kBodyTooLarge ||
          error.m_code == ResultCode::kInvalidArgument);
}

}  // namespace bronzecross
