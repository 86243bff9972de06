#include "upstreams/upstream_section.h"

#include <algorithm>

namespace bronzecross {
namespace {

using nlohmann::json;

// How long a change is published. Spans a few heartbeats, so that a lost one
// loses no change.
constexpr Millis kPublishWindow{1000};
// Bounds the size of the prefix digest in a heartbeat.
constexpr size_t kMaxPrefixes = 16;
// Bits of the flags of an entry.
constexpr int kBreakerOpenFlag = 1;
constexpr int kReservedFlag = 2;

json EncodeCounts(const std::string& name, const UpstreamRecord& record) {
  const int flags = (IsOpen(record.m_breaker) ? kBreakerOpenFlag : 0) |
                    (record.m_reserved ? kReservedFlag : 0);
  return json::array({name, record.m_counts->m_online.load(),
                      record.m_counts->m_batch.load(),
                      static_cast<int64_t>(record.m_service.m_mean_ms),
                      record.m_service.m_responses, flags});
}

void AppendPrefixes(json& section,
                    const std::string& name,
                    const UpstreamRecord& record,
                    Millis now) {
  for (const auto& [sent, hash] : record.m_sent_prefixes) {
    if (now - sent < kPublishWindow && section.size() < kMaxPrefixes) {
      section.push_back(json::array({name, hash}));
    }
  }
}

void DecodeCounts(PeerRecord& peer, const json& entry, Millis now) {
  entry.at(1).get_to(peer.m_online);
  entry.at(2).get_to(peer.m_batch);
  peer.m_service.m_mean_ms = entry.at(3).get<double>();
  entry.at(4).get_to(peer.m_service.m_responses);
  const int flags = entry.at(5).get<int>();
  if ((flags & kBreakerOpenFlag) == 0) {
    peer.m_open_since = Millis(0);
  } else if (peer.m_open_since == Millis(0)) {
    peer.m_open_since = now;
  }
  peer.m_reserved = (flags & kReservedFlag) != 0;
}

// Returns the requests in flight that were sent by all VMs.
int64_t TotalInFlight(const UpstreamRecord& record, Millis now) {
  const PeerTotals peers = SumPeers(record, now);
  return record.m_counts->m_online + record.m_counts->m_batch + peers.m_online +
         peers.m_batch;
}

}  // namespace

json MakeUpstreamSection(const UpstreamRecords& records,
                         std::span<const std::string> leaving,
                         Millis now) {
  json counts = json::array();
  json reports = json::array();
  json prefixes = json::array();
  for (const auto& [name, record] : records) {
    if (record.m_counts->m_online > 0 || record.m_counts->m_batch > 0 ||
        IsOpen(record.m_breaker) || record.m_reserved ||
        now - record.m_active_at < kPublishWindow) {
      counts.push_back(EncodeCounts(name, record));
    }
    const Millis age = now - record.m_reported.m_reported_at;
    if (record.m_polled_here && age < kPublishWindow) {
      reports.push_back(json::array({name, record.m_last_report, age.count()}));
    }
    AppendPrefixes(prefixes, name, record, now);
  }
  json section = {{"counts", std::move(counts)}};
  if (!reports.empty()) {
    section["reports"] = std::move(reports);
  }
  if (!prefixes.empty()) {
    section["prefixes"] = std::move(prefixes);
  }
  if (!leaving.empty()) {
    section["leaving"] =
        std::vector<std::string>(leaving.begin(), leaving.end());
  }
  return section;
}

void ApplyUpstreamSection(UpstreamRecords& records,
                          const std::string& from,
                          const json& section,
                          Millis now) {
  for (auto& [name, record] : records) {
    const auto peer = record.m_peers.find(from);
    if (peer != record.m_peers.end()) {
      peer->second.m_received_at = now;
      peer->second.m_online = 0;
      peer->second.m_batch = 0;
      peer->second.m_reserved = false;
      peer->second.m_leaving = false;
    }
  }
  std::vector<std::string> open;
  for (const json& entry : section.at("counts")) {
    PeerRecord& peer = records[entry.at(0).get<std::string>()].m_peers[from];
    peer.m_received_at = now;
    DecodeCounts(peer, entry, now);
    if (peer.m_open_since != Millis(0)) {
      open.push_back(entry.at(0));
    }
  }
  for (auto& [name, record] : records) {
    const auto peer = record.m_peers.find(from);
    if (peer != record.m_peers.end() &&
        std::find(open.begin(), open.end(), name) == open.end()) {
      peer->second.m_open_since = Millis(0);
    }
  }
  for (const json& entry : section.value("reports", json::array())) {
    UpstreamRecord& record = records[entry.at(0).get<std::string>()];
    const Millis at = now - Millis(entry.at(2).get<int64_t>());
    RecordReport(record.m_reported, entry.at(1).get<int64_t>(),
                 TotalInFlight(record, now), at);
  }
  for (const json& entry : section.value("prefixes", json::array())) {
    RecordPrefix(records[entry.at(0).get<std::string>()].m_prefixes,
                 entry.at(1).get<uint64_t>(), now);
  }
  for (const json& name : section.value("leaving", json::array())) {
    PeerRecord& peer = records[name.get<std::string>()].m_peers[from];
    peer.m_received_at = now;
    peer.m_leaving = true;
  }
}

}  // namespace bronzecross
