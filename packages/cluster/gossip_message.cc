#include "cluster/gossip_message.h"

#include <algorithm>
#include <cmath>
#include <span>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/msgpack_depth.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Version of the message layout. Messages of another version are rejected.
constexpr int kLayoutVersion = 8;

// Positions in the message, which is a MessagePack array. Lists of rows are
// flat arrays that hold the rows one after another.
enum Position {
  kPosLayout,
  kPosVm,
  kPosIncarnation,
  kPosZone,
  kPosAddress,
  kPosSequence,
  kPosReachesStore,
  kPosOperatorChange,
  kPosUpstreamChange,
  kPosUses,
  kPosLevels,
  kPosGrants,
  kPosBacklogs,
  kPosWaitingTokens,
  kPosQueues,
  kPosJobs,
  kPosRequestReports,
  kPosPartCrashes,
  kPosBlamedParts,
  kPosExoneratedParts,
  kPosBatchLoads,
  kPosUseFigures,
  kPosPrefixes,
  kPosCount,
};

// Unit of the ages in kPosUseFigures, which keeps each in one byte.
constexpr int64_t kUseAgeUnitMs = 10;

// Bounds of received figures.
constexpr int64_t kMaxPercent = 10'000;
constexpr int64_t kMaxUseTokens = 1'000'000'000;

// Reads the rows of a flat list of numbers.
class Rows {
 public:
  Rows(const json& list, size_t width) : m_list(list), m_width(width) {
    m_valid = list.is_array() && list.size() % width == 0;
    if (m_valid) {
      for (const json& value : list) {
        m_valid = m_valid && value.is_number();
      }
    }
  }
  bool IsValid() const { return m_valid; }
  size_t Count() const { return m_valid ? m_list.size() / m_width : 0; }
  template <typename T>
  T At(size_t row, size_t column) const {
    return m_list[row * m_width + column].get<T>();
  }

 private:
  const json& m_list;
  size_t m_width;
  bool m_valid;
};

}  // namespace

uint32_t ShortHash(std::string_view id) {
  return static_cast<uint32_t>(Hash64(id));
}

GossipMessage GossipForOtherGroups(GossipMessage gossip) {
  gossip.m_uses.clear();
  gossip.m_levels.clear();
  gossip.m_grants.clear();
  gossip.m_backlogs.clear();
  gossip.m_queues.clear();
  gossip.m_prefixes.clear();
  return gossip;
}

namespace {

json EncodeParts(std::span<const PartReport> parts) {
  json rows = json::array();
  for (const PartReport& part : parts) {
    rows.insert(rows.end(), {json(part.m_part), json(part.m_age.count())});
  }
  return rows;
}

// Counts of tokens beyond every memory size are cut, so that sums of them don't
// overflow.
int64_t DecodeTokens(double tokens) {
  constexpr double kMaxTokens = 10'000'000;
  return tokens > 0 ? static_cast<int64_t>(std::min(tokens, kMaxTokens)) : 0;
}

json EncodePrefixes(std::span<const PrefixReport> prefixes) {
  json rows = json::array();
  for (const PrefixReport& report : prefixes) {
    rows.insert(rows.end(),
                {json(report.m_engine), json(report.m_prefix),
                 json(report.m_tokens), json(report.m_tokens_behind)});
  }
  return rows;
}

std::vector<PrefixReport> DecodePrefixes(const Rows& rows) {
  std::vector<PrefixReport> prefixes;
  for (size_t i = 0; i < std::min(rows.Count(), kMaxPrefixReports); ++i) {
    prefixes.push_back({rows.At<uint32_t>(i, 0), rows.At<uint32_t>(i, 1),
                        DecodeTokens(rows.At<double>(i, 2)),
                        DecodeTokens(rows.At<double>(i, 3))});
  }
  return prefixes;
}

// Ages beyond every retention time are cut, so that the time that follows from
// them doesn't overflow.
Millis DecodeAge(int64_t ms) {
  constexpr int64_t kMaxAgeMs = 3'600'000;
  return Millis(std::clamp<int64_t>(ms, 0, kMaxAgeMs));
}

std::vector<PartReport> DecodeParts(const Rows& rows) {
  std::vector<PartReport> parts;
  for (size_t i = 0; i < rows.Count(); ++i) {
    parts.push_back(
        {rows.At<uint32_t>(i, 0), DecodeAge(rows.At<int64_t>(i, 1))});
  }
  return parts;
}

// Returns std::nullopt if a row is invalid.
std::optional<std::vector<PartCrashReport>> DecodeCrashes(const json& list) {
  std::vector<PartCrashReport> crashes;
  for (const json& row : list) {
    const bool is_valid =
        row.is_array() && row.size() >= 2 &&
        row.size() <= 2 + kMaxReportedParts &&
        std::all_of(row.begin(), row.end(), [](const json& value) {
          return value.is_number_integer();
        });
    if (!is_valid) {
      return std::nullopt;
    }
    PartCrashReport& crash = crashes.emplace_back();
    crash.m_upstream = row[0].get<uint32_t>();
    crash.m_age = DecodeAge(row[1].get<int64_t>());
    for (size_t i = 2; i < row.size(); ++i) {
      crash.m_parts.push_back(row[i].get<uint32_t>());
    }
  }
  return crashes;
}

// Each row: the fingerprint, the age of the last completion or -1, and four
// numbers for each crash: the upstream's run, two ages, and flags.
constexpr size_t kRequestColumns = 2;
constexpr size_t kCrashColumns = 4;
constexpr int kTrialFlag = 1;
constexpr int kFirstHandFlag = 2;

json EncodeRequests(std::span<const RequestReport> requests) {
  json rows = json::array();
  for (const RequestReport& report : requests) {
    json row = {report.m_fingerprint,
                report.m_completed_age.value_or(Millis(-1)).count()};
    for (const RequestCrashReport& crash : report.m_crashes) {
      row.insert(row.end(),
                 {json(crash.m_upstream_run), json(crash.m_age.count()),
                  json(crash.m_started_age.count()),
                  json((crash.m_is_trial ? kTrialFlag : 0) +
                       (crash.m_is_first_hand ? kFirstHandFlag : 0))});
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

// Returns std::nullopt if a row is invalid.
std::optional<std::vector<RequestReport>> DecodeRequests(const json& list) {
  if (!list.is_array()) {
    return std::nullopt;
  }
  std::vector<RequestReport> requests;
  for (const json& row : list) {
    const bool is_valid =
        row.is_array() && row.size() >= kRequestColumns &&
        row.size() <= kRequestColumns + kCrashColumns * kMaxReportedCrashes &&
        (row.size() - kRequestColumns) % kCrashColumns == 0 &&
        std::all_of(row.begin(), row.end(), [](const json& value) {
          return value.is_number_integer();
        });
    if (!is_valid) {
      return std::nullopt;
    }
    RequestReport& report = requests.emplace_back();
    report.m_fingerprint = row[0].get<uint32_t>();
    const int64_t completed_age = row[1].get<int64_t>();
    if (completed_age >= 0) {
      report.m_completed_age = DecodeAge(completed_age);
    }
    for (size_t i = kRequestColumns; i < row.size(); i += kCrashColumns) {
      const int flags = row[i + 3].get<int>();
      report.m_crashes.push_back(
          {row[i].get<uint32_t>(), DecodeAge(row[i + 1].get<int64_t>()),
           DecodeAge(row[i + 2].get<int64_t>()), (flags & kTrialFlag) != 0,
           (flags & kFirstHandFlag) != 0});
    }
  }
  return requests;
}

// Each row: the position in the list of uses, the percentage of the machine,
// the age of that, and the tokens in flight.
json EncodeUseFigures(std::span<const UpstreamUse> uses) {
  json rows = json::array();
  for (size_t i = 0; i < uses.size(); ++i) {
    const UpstreamUse& use = uses[i];
    if (use.m_machine_percent > 0 || use.m_tokens > 0) {
      rows.insert(rows.end(), {json(i), json(use.m_machine_percent),
                               json(use.m_machine_age.count() / kUseAgeUnitMs),
                               json(use.m_tokens)});
    }
  }
  return rows;
}

// Returns false if a row is invalid.
bool DecodeUseFigures(const json& list, std::vector<UpstreamUse>& uses) {
  const Rows rows(list, 4);
  if (!rows.IsValid() ||
      !std::all_of(list.begin(), list.end(), [](const json& value) {
        return value.is_number_integer();
      })) {
    return false;
  }
  for (size_t i = 0; i < rows.Count(); ++i) {
    const size_t at = rows.At<size_t>(i, 0);
    if (at >= uses.size()) {
      return false;
    }
    UpstreamUse& use = uses[at];
    use.m_machine_percent = static_cast<int>(
        std::clamp<int64_t>(rows.At<int64_t>(i, 1), 0, kMaxPercent));
    use.m_machine_age =
        DecodeAge(std::clamp<int64_t>(rows.At<int64_t>(i, 2), 0, kMaxPercent) *
                  kUseAgeUnitMs);
    use.m_tokens =
        std::clamp<int64_t>(rows.At<int64_t>(i, 3), 0, kMaxUseTokens);
  }
  return true;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& gossip) {
  json uses = json::array();
  for (const UpstreamUse& use : gossip.m_uses) {
    uses.insert(uses.end(),
                {json(use.m_upstream), json(use.m_online), json(use.m_batch),
                 json(use.m_urgent),
                 json(static_cast<int>(std::lround(use.m_work_ms)))});
  }
  json levels = json::array();
  for (const TokenLevel& level : gossip.m_levels) {
    levels.insert(levels.end(), {json(level.m_workspace),
                                 json(static_cast<float>(level.m_tokens)),
                                 json(static_cast<float>(level.m_demand))});
  }
  json grants = json::array();
  for (const TokenGrant& grant : gossip.m_grants) {
    grants.insert(grants.end(),
                  {json(grant.m_receiver), json(grant.m_workspace),
                   json(grant.m_tokens), json(grant.m_seen_sequence)});
  }
  json backlogs = json::array();
  for (const BatchBacklog& backlog : gossip.m_backlogs) {
    backlogs.insert(backlogs.end(),
                    {json(backlog.m_service), json(backlog.m_items)});
  }
  json batch_loads = json::array();
  for (const BatchLoadReport& report : gossip.m_batch_loads) {
    batch_loads.insert(
        batch_loads.end(),
        {json(report.m_service), json(static_cast<float>(report.m_load))});
  }
  json waiting = json::array();
  for (const WaitingTokens& tokens : gossip.m_waiting_tokens) {
    waiting.insert(waiting.end(),
                   {json(tokens.m_route_workspace), json(tokens.m_tokens)});
  }
  json queues = json::array();
  for (const OnlineQueue& queue : gossip.m_queues) {
    queues.insert(queues.end(), {json(queue.m_service), json(queue.m_waiting)});
  }
  json jobs = json::array();
  for (const JobAnnouncement& job : gossip.m_jobs) {
    jobs.insert(jobs.end(),
                {json(job.m_job), json(job.m_open), json(job.m_revision)});
  }
  json crashes = json::array();
  for (const PartCrashReport& crash : gossip.m_part_crashes) {
    json row = {crash.m_upstream, crash.m_age.count()};
    for (const uint32_t part : crash.m_parts) {
      row.push_back(part);
    }
    crashes.push_back(std::move(row));
  }
  const json message = json::array({kLayoutVersion,
                                    gossip.m_sender.m_id,
                                    gossip.m_sender.m_incarnation,
                                    gossip.m_sender.m_zone,
                                    gossip.m_sender.m_address.ToString(),
                                    gossip.m_sequence,
                                    gossip.m_reaches_store,
                                    gossip.m_operator_change,
                                    gossip.m_upstream_change,
                                    std::move(uses),
                                    std::move(levels),
                                    std::move(grants),
                                    std::move(backlogs),
                                    std::move(waiting),
                                    std::move(queues),
                                    std::move(jobs),
                                    EncodeRequests(gossip.m_request_reports),
                                    std::move(crashes),
                                    EncodeParts(gossip.m_blamed_parts),
                                    EncodeParts(gossip.m_exonerated_parts),
                                    std::move(batch_loads),
                                    EncodeUseFigures(gossip.m_uses),
                                    EncodePrefixes(gossip.m_prefixes)});
  std::string bytes;
  json::to_msgpack(message, bytes);
  return bytes;
}

std::optional<GossipMessage> DecodeGossip(std::string_view bytes) {
  if (!HasMsgpackDepthWithin(bytes)) {
    return std::nullopt;
  }
  const json message = json::from_msgpack(bytes, true, false);
  if (!message.is_array() || message.size() != kPosCount ||
      message[kPosLayout] != kLayoutVersion || !message[kPosVm].is_string() ||
      !message[kPosIncarnation].is_number() ||
      !message[kPosSequence].is_number() || !message[kPosJobs].is_array() ||
      !message[kPosReachesStore].is_boolean() ||
      !message[kPosOperatorChange].is_number_integer() ||
      !message[kPosUpstreamChange].is_number_integer() ||
      !message[kPosZone].is_string() || !message[kPosAddress].is_string()) {
    return std::nullopt;
  }
  Result<NetAddress> address =
      ParseNetAddress(message[kPosAddress].get<std::string>());
  if (!address) {
    return std::nullopt;
  }
  const Rows uses(message[kPosUses], 5);
  const Rows levels(message[kPosLevels], 3);
  const Rows grants(message[kPosGrants], 4);
  const Rows backlogs(message[kPosBacklogs], 2);
  const Rows batch_loads(message[kPosBatchLoads], 2);
  const Rows waiting(message[kPosWaitingTokens], 2);
  const Rows queues(message[kPosQueues], 2);
  const Rows blamed(message[kPosBlamedParts], 2);
  const Rows exonerated(message[kPosExoneratedParts], 2);
  const Rows prefixes(message[kPosPrefixes], 4);
  if (!uses.IsValid() || !levels.IsValid() || !grants.IsValid() ||
      !backlogs.IsValid() || !batch_loads.IsValid() || !waiting.IsValid() ||
      !queues.IsValid() || !blamed.IsValid() || !exonerated.IsValid() ||
      !prefixes.IsValid() || !message[kPosPartCrashes].is_array()) {
    return std::nullopt;
  }
  GossipMessage gossip;
  gossip.m_sender.m_id = message[kPosVm].get<std::string>();
  gossip.m_sender.m_incarnation = message[kPosIncarnation].get<uint64_t>();
  gossip.m_sender.m_zone = message[kPosZone].get<std::string>();
  gossip.m_sender.m_address = *std::move(address);
  gossip.m_sequence = message[kPosSequence].get<uint64_t>();
  gossip.m_reaches_store = message[kPosReachesStore].get<bool>();
  gossip.m_operator_change = message[kPosOperatorChange].get<int64_t>();
  gossip.m_upstream_change = message[kPosUpstreamChange].get<int64_t>();
  for (size_t i = 0; i < uses.Count(); ++i) {
    gossip.m_uses.push_back({uses.At<uint32_t>(i, 0), uses.At<int>(i, 1),
                             uses.At<int>(i, 2), uses.At<int>(i, 3),
                             uses.At<double>(i, 4), 0, Millis(), 0});
  }
  if (!DecodeUseFigures(message[kPosUseFigures], gossip.m_uses)) {
    return std::nullopt;
  }
  for (size_t i = 0; i < levels.Count(); ++i) {
    gossip.m_levels.push_back({levels.At<uint32_t>(i, 0),
                               levels.At<double>(i, 1),
                               levels.At<double>(i, 2)});
  }
  for (size_t i = 0; i < grants.Count(); ++i) {
    gossip.m_grants.push_back(
        {grants.At<uint32_t>(i, 0), grants.At<uint32_t>(i, 1),
         grants.At<double>(i, 2), grants.At<uint64_t>(i, 3)});
  }
  for (size_t i = 0; i < backlogs.Count(); ++i) {
    gossip.m_backlogs.push_back(
        {backlogs.At<uint32_t>(i, 0), backlogs.At<int>(i, 1)});
  }
  for (size_t i = 0; i < batch_loads.Count(); ++i) {
    gossip.m_batch_loads.push_back(
        {batch_loads.At<uint32_t>(i, 0), batch_loads.At<double>(i, 1)});
  }
  for (size_t i = 0; i < waiting.Count(); ++i) {
    gossip.m_waiting_tokens.push_back(
        {waiting.At<uint32_t>(i, 0), waiting.At<int64_t>(i, 1)});
  }
  for (size_t i = 0; i < queues.Count(); ++i) {
    gossip.m_queues.push_back(
        {queues.At<uint32_t>(i, 0), queues.At<int>(i, 1)});
  }
  std::optional<std::vector<RequestReport>> requests =
      DecodeRequests(message[kPosRequestReports]);
  if (!requests) {
    return std::nullopt;
  }
  gossip.m_request_reports = *std::move(requests);
  gossip.m_blamed_parts = DecodeParts(blamed);
  gossip.m_exonerated_parts = DecodeParts(exonerated);
  std::optional<std::vector<PartCrashReport>> crashes =
      DecodeCrashes(message[kPosPartCrashes]);
  if (!crashes) {
    return std::nullopt;
  }
  gossip.m_part_crashes = *std::move(crashes);
  gossip.m_prefixes = DecodePrefixes(prefixes);
  const json& jobs = message[kPosJobs];
  for (size_t i = 0; i + 2 < jobs.size(); i += 3) {
    if (!jobs[i].is_string() || !jobs[i + 1].is_boolean() ||
        !jobs[i + 2].is_number_integer()) {
      return std::nullopt;
    }
    gossip.m_jobs.push_back({jobs[i].get<std::string>(),
                             jobs[i + 1].get<bool>(),
                             jobs[i + 2].get<int64_t>()});
  }
  return gossip;
}

}  // namespace bronzecross
