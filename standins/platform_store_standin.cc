#include "standins/platform_store_standin.h"

#include <algorithm>

#include "base/base64.h"
#include "base/text.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Items in one page.
constexpr size_t kPageItems = 500;

// How often a waiting watch looks whether it is to end.
constexpr Millis kWatchStep{20};

HttpReply StatusReply(int status) {
  HttpReply reply;
  reply.m_status = status;
  return reply;
}

HttpReply JsonReply(int status, const json& body) {
  HttpReply reply;
  reply.m_status = status;
  reply.m_headers.push_back({"Content-Type", "application/json"});
  reply.m_body = body.dump();
  return reply;
}

// Cuts the connection without a reply.
HttpReply LostReply() {
  HttpReply reply;
  reply.m_reader = [](std::span<char>) -> Result<size_t> {
    return Fail(ResultCode::kInternal, "the reply is lost");
  };
  return reply;
}

std::string QueryOf(const HttpRequest& request, const std::string& name) {
  const auto found = request.m_query.find(name);
  return found == request.m_query.end() ? "" : found->second;
}

int64_t NumberOf(const HttpRequest& request, const std::string& name) {
  return std::strtoll(QueryOf(request, name).c_str(), nullptr, 10);
}

}  // namespace

PlatformStoreStandin::PlatformStoreStandin()
    : m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
}

PlatformStoreStandin::~PlatformStoreStandin() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_server.Stop();
}

void PlatformStoreStandin::SetFaults(const PlatformStoreFaults& faults) {
  absl::MutexLock lock(&m_mutex);
  m_faults = faults;
}

void PlatformStoreStandin::DropHistory() {
  absl::MutexLock lock(&m_mutex);
  m_events.clear();
  m_history_from = m_revision;
}

void PlatformStoreStandin::PutLocked(const std::string& key,
                                     const std::string& value,
                                     int64_t lease) {
  Item& item = m_items[key];
  item.m_value = value;
  item.m_revision = m_revision;
  item.m_created = item.m_created == 0 ? m_revision : item.m_created;
  item.m_lease = lease;
  m_events.push_back({m_revision, key, false, item});
}

void PlatformStoreStandin::RemoveLocked(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_events.push_back({m_revision, key, true, Item()});
  }
}

void PlatformStoreStandin::EndLeaseLocked(int64_t id) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : m_items) {
    if (item.m_lease == id) {
      keys.push_back(key);
    }
  }
  ++m_revision;
  for (const std::string& key : keys) {
    RemoveLocked(key);
  }
  m_leases.erase(id);
}

void PlatformStoreStandin::ExpireLocked() {
  const Millis now = MonotonicNow();
  std::vector<int64_t> ended;
  for (const auto& [id, lease] : m_leases) {
    if (lease.m_ends <= now) {
      ended.push_back(id);
    }
  }
  for (const int64_t id : ended) {
    EndLeaseLocked(id);
  }
}

void PlatformStoreStandin::Put(const std::string& key,
                               const std::string& value) {
  absl::MutexLock lock(&m_mutex);
  ++m_revision;
  PutLocked(key, value, 0);
}

void PlatformStoreStandin::Remove(const std::string& key) {
  absl::MutexLock lock(&m_mutex);
  ++m_revision;
  RemoveLocked(key);
}

std::string PlatformStoreStandin::Get(const std::string& key) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_items.find(key);
  return found == m_items.end() ? "" : found->second.m_value;
}

int PlatformStoreStandin::Count(std::string_view prefix) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  return static_cast<int>(std::count_if(
      m_items.begin(), m_items.end(), [prefix](const auto& entry) {
        return std::string_view(entry.first).starts_with(prefix);
      }));
}

json PlatformStoreStandin::ItemJson(const std::string& key,
                                    const Item& item) const {
  return {{"key", key},
          {"value", Base64Encode(item.m_value)},
          {"revision", item.m_revision},
          {"createRevision", item.m_created},
          {"lease", item.m_lease}};
}

HttpReply PlatformStoreStandin::HandleGet(const HttpRequest& request) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  const auto found = m_items.find(QueryOf(request, "key"));
  if (found == m_items.end()) {
    return StatusReply(404);
  }
  json body = ItemJson(found->first, found->second);
  body["currentRev"] = m_revision;
  return JsonReply(200, body);
}

HttpReply PlatformStoreStandin::HandleRange(const HttpRequest& request) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  const std::string prefix = QueryOf(request, "prefix");
  const std::string after = QueryOf(request, "after");
  json body;
  body["items"] = json::array();
  body["hasMore"] = false;
  body["currentRev"] = m_revision;
  for (const auto& [key, item] : m_items) {
    if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (body["items"].size() == kPageItems) {
      body["hasMore"] = true;
      break;
    }
    body["items"].push_back(ItemJson(key, item));
  }
  return JsonReply(200, body);
}

HttpReply PlatformStoreStandin::HandleWatch(const HttpRequest& request) {
  const std::string prefix = QueryOf(request, "prefix");
  const int64_t after = NumberOf(request, "after");
  const Millis until = MonotonicNow() + Millis(NumberOf(request, "waitMs"));
  bool is_deaf = false;
  {
    absl::MutexLock lock(&m_mutex);
    is_deaf = m_faults.m_deaf_watches > 0 && until > MonotonicNow();
    m_faults.m_deaf_watches -= is_deaf ? 1 : 0;
  }
  for (;;) {
    {
      absl::MutexLock lock(&m_mutex);
      ExpireLocked();
      if (after < m_history_from) {
        return StatusReply(410);
      }
      if (m_faults.m_refuse) {
        return StatusReply(503);
      }
      json body;
      body["events"] = json::array();
      body["currentRev"] = m_revision;
      for (const Event& event : m_events) {
        if (is_deaf || event.m_revision <= after ||
            !event.m_key.starts_with(prefix)) {
          continue;
        }
        json entry = ItemJson(event.m_key, event.m_item);
        if (event.m_removed) {
          entry = {{"key", event.m_key},
                   {"revision", event.m_revision},
                   {"removed", true}};
        }
        body["events"].push_back(std::move(entry));
      }
      if (!body["events"].empty() || MonotonicNow() >= until || m_stopping) {
        return JsonReply(200, body);
      }
    }
    SleepFor(kWatchStep);
  }
}

HttpReply PlatformStoreStandin::HandleTransaction(const HttpRequest& request) {
  const json body = json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) {
    return StatusReply(400);
  }
  const Millis late_by = LatenessOf(body);
  SleepFor(late_by);
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  bool applies = true;
  json current = json::array();
  for (const json& row : body["precondition"]) {
    const std::string key = row["key"].get<std::string>();
    const auto found = m_items.find(key);
    const int64_t revision =
        found == m_items.end() ? 0 : found->second.m_revision;
    applies = applies && revision == row["revision"].get<int64_t>();
    if (found != m_items.end()) {
      current.push_back(ItemJson(key, found->second));
    }
  }
  if (!applies) {
    return JsonReply(412, {{"items", current}});
  }
  for (const json& row : body["puts"]) {
    // Base64 takes four bytes for three.
    if (row["value"].get_ref<const std::string&>().size() / 4 * 3 >
        m_faults.m_max_value_bytes + 2) {
      ++m_too_large_writes;
      return StatusReply(413);
    }
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && m_leases.find(lease) == m_leases.end()) {
      return StatusReply(404);
    }
  }
  ++m_revision;
  for (const json& row : body["puts"]) {
    PutLocked(row["key"].get<std::string>(),
              Base64Decode(row["value"].get<std::string>()).value_or(""),
              row.value("lease", int64_t{0}));
  }
  for (const json& key : body["remove"]) {
    RemoveLocked(key.get<std::string>());
  }
  if (late_by > Millis()) {
    return LostReply();
  }
  if (m_faults.m_lose_replies > 0) {
    --m_faults.m_lose_replies;
    return LostReply();
  }
  return JsonReply(200, {{"revision", m_revision}});
}

Millis PlatformStoreStandin::LatenessOf(const json& transaction) {
  absl::MutexLock lock(&m_mutex);
  for (const json& row : transaction["puts"]) {
    if (!m_faults.m_late_key.empty() &&
        row["key"].get<std::string>().find(m_faults.m_late_key) !=
            std::string::npos) {
      return m_faults.m_late_by;
    }
  }
  return Millis();
}

HttpReply PlatformStoreStandin::HandleLease(const HttpRequest& request) {
  const json body = json::parse(request.m_body, nullptr, false);
  absl::MutexLock lock(&m_mutex);
  const Millis ttl(body.value("ttlMs", int64_t{1000}));
  const int64_t id = m_next_lease++;
  m_leases[id] = Lease{ttl, MonotonicNow() + ttl};
  return JsonReply(200, {{"lease", id}, {"ttlMs", ttl.count()}});
}

HttpReply PlatformStoreStandin::HandleKeep(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  const auto found = m_leases.find(std::strtoll(id.c_str(), nullptr, 10));
  if (found == m_leases.end()) {
    return StatusReply(404);
  }
  found->second.m_ends = MonotonicNow() + found->second.m_ttl;
  return JsonReply(200, {{"ttlMs", found->second.m_ttl.count()}});
}

HttpReply PlatformStoreStandin::HandleEnd(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  EndLeaseLocked(std::strtoll(id.c_str(), nullptr, 10));
  return StatusReply(200);
}

HttpReply PlatformStoreStandin::Handle(HttpRequest& request) {
  ++m_calls;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_faults.m_refuse) {
      return StatusReply(503);
    }
  }
  std::string_view path = request.m_path;
  if (path == "/api/kv-key") {
    return HandleGet(request);
  }
  if (path == "/api/kv-range") {
    return HandleRange(request);
  }
  if (path == "/api/kv-watch") {
    return HandleWatch(request);
  }
  if (path == "/api/kv-txn") {
    return HandleTransaction(request);
  }
  if (path == "/api/kv-lease") {
    return HandleLease(request);
  }
  if (ConsumePrefix(path, "/api/kv-keep/")) {
    return HandleKeep(std::string(path));
  }
  if (ConsumePrefix(path, "/api/kv-lease-end/")) {
    return HandleEnd(std::string(path));
  }
  return StatusReply(404);
}

}  // namespace bronzecross
