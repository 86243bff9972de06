#include "jobs/job_record.h"

#include <absl/algorithm/container.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include "base/msgpack_depth.h"

#include "base/text.h"

namespace bronzecross {
namespace {

using nlohmann::json;

std::string Pack(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

json Unpack(std::string_view bytes) {
  return HasMsgpackDepthWithin(bytes) ? json::from_msgpack(bytes, true, false)
                                      : json(json::value_t::discarded);
}

// Converts to a binary value. Bodies and outputs can be arbitrary bytes, which
// JSON strings cannot hold.
json ToBinary(const std::string& bytes) {
  return json::binary(std::vector<uint8_t>(bytes.begin(), bytes.end()));
}

std::string FromBinary(const json& value) {
  const json::binary_t& bytes = value.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

// Returns whether `row` is an array whose elements have `types`, one character
// each: s string, n integer, a array, b binary.
bool HasTypes(const json& row, std::string_view types) {
  if (!row.is_array() || row.size() != types.size()) {
    return false;
  }
  for (size_t i = 0; i < types.size(); ++i) {
    const bool fits = types[i] == 's'   ? row[i].is_string()
                      : types[i] == 'n' ? row[i].is_number_integer()
                      : types[i] == 'a' ? row[i].is_array()
                                        : row[i].is_binary();
    if (!fits) {
      return false;
    }
  }
  return true;
}

std::string JobKey(std::string_view job, std::string_view part) {
  return Concat("bx/job/", job, "/", part);
}

}  // namespace

bool IsValidJobId(std::string_view id) {
  constexpr size_t kMaxBytes = 100;
  return !id.empty() && id.size() <= kMaxBytes &&
         absl::c_all_of(id, [](char c) {
           return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
                  std::string_view("-_.~:+=@").find(c) !=
                      std::string_view::npos;
         });
}

std::string JobPrefix(std::string_view job) {
  return JobKey(job, "");
}
std::string JobSpecKey(std::string_view job) {
  return JobKey(job, "spec");
}
std::string JobStateKey(std::string_view job) {
  return JobKey(job, "state");
}
std::string JobPartialKey(std::string_view job) {
  return JobKey(job, "partial");
}
std::string JobResultsPrefix(std::string_view job) {
  return JobKey(job, "results/");
}
std::string JobResultsKey(std::string_view job, int64_t group) {
  // The fixed width makes the key order equal to the numeric order.
  return absl::StrFormat("%s%06d", JobResultsPrefix(job), group);
}
std::string OpenJobKey(std::string_view job) {
  return Concat(kOpenJobPrefix, job);
}

std::string EncodeJobSpec(const JobSpec& spec) {
  json items = json::array();
  for (const JobItem& item : spec.m_items) {
    json fields = json::array();
    for (const HeaderField& field : item.m_fields) {
      fields.push_back(field.m_name);
      fields.push_back(field.m_value);
    }
    items.push_back(json::array({item.m_id, item.m_target, std::move(fields),
                                 ToBinary(item.m_body), item.m_tokens}));
  }
  return Pack(
      json::array({spec.m_id, spec.m_workspace, spec.m_route, spec.m_host,
                   spec.m_submitted.count(), spec.m_due.count(),
                   spec.m_retained_until.count(), std::move(items)}));
}

std::optional<JobSpec> DecodeJobSpec(std::string_view bytes) {
  const json row = Unpack(bytes);
  if (!HasTypes(row, "ssssnnna")) {
    return std::nullopt;
  }
  JobSpec spec;
  spec.m_id = row[0].get<std::string>();
  spec.m_workspace = row[1].get<std::string>();
  spec.m_route = row[2].get<std::string>();
  spec.m_host = row[3].get<std::string>();
  spec.m_submitted = Millis(row[4].get<int64_t>());
  spec.m_due = Millis(row[5].get<int64_t>());
  spec.m_retained_until = Millis(row[6].get<int64_t>());
  for (const json& entry : row[7]) {
    if (!HasTypes(entry, "ssabn")) {
      return std::nullopt;
    }
    JobItem item;
    item.m_id = entry[0].get<std::string>();
    item.m_target = entry[1].get<std::string>();
    for (size_t i = 0; i + 1 < entry[2].size(); i += 2) {
      if (!entry[2][i].is_string() || !entry[2][i + 1].is_string()) {
        return std::nullopt;
      }
      item.m_fields.push_back(
          {entry[2][i].get<std::string>(), entry[2][i + 1].get<std::string>()});
    }
    item.m_body = FromBinary(entry[3]);
    item.m_tokens = entry[4].get<int64_t>();
    spec.m_items.push_back(std::move(item));
  }
  return spec;
}

std::string EncodeJobState(const BatchJobState& state) {
  return Pack(
      json::array({static_cast<int>(state.m_phase), state.m_owner,
                   state.m_owner_incarnation, state.m_workspace, state.m_total,
                   state.m_listed, state.m_groups, state.m_write_id}));
}

std::optional<BatchJobState> DecodeJobState(std::string_view bytes) {
  const json row = Unpack(bytes);
  if (!HasTypes(row, "nsnsnnns")) {
    return std::nullopt;
  }
  BatchJobState state;
  state.m_phase = static_cast<JobPhase>(row[0].get<int>());
  state.m_owner = row[1].get<std::string>();
  state.m_owner_incarnation = row[2].get<uint64_t>();
  state.m_workspace = row[3].get<std::string>();
  state.m_total = row[4].get<int64_t>();
  state.m_listed = row[5].get<int64_t>();
  state.m_groups = row[6].get<int64_t>();
  state.m_write_id = row[7].get<std::string>();
  return state;
}

std::string EncodeResultGroup(std::span<const JobResult> results) {
  json rows = json::array();
  for (const JobResult& result : results) {
    rows.push_back(json::array({result.m_item, static_cast<int>(result.m_state),
                                ToBinary(result.m_output)}));
  }
  return Pack(rows);
}

std::optional<std::vector<JobResult>> DecodeResultGroup(
    std::string_view bytes) {
  const json rows = Unpack(bytes);
  if (!rows.is_array()) {
    return std::nullopt;
  }
  std::vector<JobResult> results;
  for (const json& row : rows) {
    if (!HasTypes(row, "snb")) {
      return std::nullopt;
    }
    JobResult result;
    result.m_item = row[0].get<std::string>();
    result.m_state = static_cast<JobResultState>(row[1].get<int>());
    result.m_output = FromBinary(row[2]);
    results.push_back(std::move(result));
  }
  return results;
}

std::string EncodePartial(std::span<const PartialOutput> outputs) {
  json rows = json::array();
  for (const PartialOutput& output : outputs) {
    rows.push_back(json::array({output.m_item, output.m_last_event,
                                ToBinary(output.m_output), output.m_failures}));
  }
  return Pack(rows);
}

std::optional<std::vector<PartialOutput>> DecodePartial(
    std::string_view bytes) {
  const json rows = Unpack(bytes);
  if (!rows.is_array()) {
    return std::nullopt;
  }
  std::vector<PartialOutput> outputs;
  for (const json& row : rows) {
    // Earlier versions of the program wrote no failures.
    const bool has_failures = HasTypes(row, "nnbn");
    if (!has_failures && !HasTypes(row, "nnb")) {
      return std::nullopt;
    }
    outputs.push_back({row[0].get<int64_t>(), row[1].get<int64_t>(),
                       FromBinary(row[2]),
                       has_failures ? row[3].get<int64_t>() : 0});
  }
  return outputs;
}

}  // namespace bronzecross
