#include "store.hpp"

#include <algorithm>
#include <cstdlib>

#include "base/base64.h"
#include "base/text.h"
#include "record.hpp"

namespace review {
namespace {

using bronzecross::Base64Decode;
using bronzecross::Base64Encode;
using bronzecross::Concat;
using bronzecross::ConsumePrefix;
using bronzecross::MonotonicNow;
using bronzecross::SleepFor;
using nlohmann::json;

constexpr size_t kPageItems = 500;
constexpr Millis kWatchStep{5};

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

// Cuts the connection without an answer.
HttpReply NoAnswer() {
  HttpReply reply;
  reply.m_reader = [](std::span<char>) -> bronzecross::Result<size_t> {
    return bronzecross::Fail(bronzecross::ResultCode::kInternal, "no answer");
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

template <typename Item>
json ItemJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", Base64Encode(item.m_value)},
          {"revision", item.m_revision},
          {"createRevision", item.m_created},
          {"lease", item.m_lease}};
}

// The keys that a transaction writes and removes.
std::string KeysOf(const json& body) {
  std::string keys;
  for (const json& row : body.value("puts", json::array())) {
    keys += Concat(" ", row.value("key", ""));
  }
  for (const json& key : body.value("remove", json::array())) {
    keys += Concat(" -", key.get<std::string>());
  }
  return keys;
}

}  // namespace

Store::Store(int vms) : m_faults(static_cast<size_t>(vms)) {
  for (int vm = 0; vm < vms; ++vm) {
    m_servers.push_back(std::make_unique<bronzecross::StandinServer>(
        [this, vm](HttpRequest& request) { return Handle(vm, request); }));
    m_servers.back()->Start();
  }
}

Store::~Store() {
  m_stopping = true;
  for (const auto& server : m_servers) {
    server->Stop();
  }
}

const NetAddress& Store::AddressOf(int vm) const {
  return m_servers[static_cast<size_t>(vm)]->Address();
}

void Store::SetFaults(int vm, const StoreFaults& faults) {
  absl::MutexLock lock(&m_mutex);
  m_faults[static_cast<size_t>(vm)] = faults;
}

void Store::SetFaultsOfAll(const StoreFaults& faults) {
  absl::MutexLock lock(&m_mutex);
  for (StoreFaults& entry : m_faults) {
    entry = faults;
  }
}

StoreFaults Store::FaultsOf(int vm) {
  absl::MutexLock lock(&m_mutex);
  return m_faults[static_cast<size_t>(vm)];
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      int64_t lease) {
  Item& item = m_items[key];
  item.m_value = value;
  item.m_revision = m_revision;
  item.m_created = item.m_created == 0 ? m_revision : item.m_created;
  item.m_lease = lease;
  m_events.push_back({m_revision, key, false, item});
}

void Store::RemoveLocked(const std::string& key) {
  if (m_items.erase(key) > 0) {
    m_events.push_back({m_revision, key, true, Item()});
  }
}

void Store::EndLeaseLocked(int64_t id) {
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

void Store::ExpireLocked() {
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

void Store::Put(const std::string& key, const std::string& value) {
  absl::MutexLock lock(&m_mutex);
  ++m_revision;
  PutLocked(key, value, 0);
}

int Store::Count(std::string_view prefix) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  return static_cast<int>(
      std::count_if(m_items.begin(), m_items.end(), [&](const auto& entry) {
        return std::string_view(entry.first).starts_with(prefix);
      }));
}

int Store::CountRanges(int vm, const std::string& prefix) {
  absl::MutexLock lock(&m_mutex);
  const auto found = m_ranges.find({vm, prefix});
  return found == m_ranges.end() ? 0 : found->second;
}

HttpReply Store::Get(const HttpRequest& request) {
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

HttpReply Store::Range(int vm, const HttpRequest& request) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  const std::string prefix = QueryOf(request, "prefix");
  const std::string after = QueryOf(request, "after");
  ++m_ranges[{vm, prefix}];
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

HttpReply Store::Watch(int vm, const HttpRequest& request) {
  const std::string prefix = QueryOf(request, "prefix");
  const int64_t after = NumberOf(request, "after");
  const Millis until = MonotonicNow() + Millis(NumberOf(request, "waitMs"));
  for (;;) {
    {
      absl::MutexLock lock(&m_mutex);
      ExpireLocked();
      if (m_faults[static_cast<size_t>(vm)].m_busy) {
        return StatusReply(503);
      }
      json body;
      body["events"] = json::array();
      body["currentRev"] = m_revision;
      for (const Event& event : m_events) {
        if (event.m_revision <= after || !event.m_key.starts_with(prefix)) {
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

HttpReply Store::Transact(int vm, const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return StatusReply(400);
  }
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  bool applies = true;
  json current = json::array();
  for (const json& row : body.value("precondition", json::array())) {
    const std::string key = row["key"].get<std::string>();
    const auto found = m_items.find(key);
    const int64_t revision =
        found == m_items.end() ? 0 : found->second.m_revision;
    applies = applies && revision == row["revision"].get<int64_t>();
    if (found != m_items.end()) {
      current.push_back(ItemJson(key, found->second));
    }
  }
  const std::string keys = KeysOf(body);
  if (!applies) {
    TheRecord().Line("store", Concat("vm-", vm, " 412", keys));
    return JsonReply(412, {{"items", current}});
  }
  for (const json& row : body.value("puts", json::array())) {
    const int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && m_leases.find(lease) == m_leases.end()) {
      return StatusReply(404);
    }
  }
  ++m_revision;
  for (const json& row : body.value("puts", json::array())) {
    PutLocked(row["key"].get<std::string>(),
              Base64Decode(row["value"].get<std::string>()).value_or(""),
              row.value("lease", int64_t{0}));
  }
  for (const json& key : body.value("remove", json::array())) {
    RemoveLocked(key.get<std::string>());
  }
  TheRecord().Line("store",
                   Concat("vm-", vm, " wrote r", m_revision, ":", keys));
  return JsonReply(200, {{"revision", m_revision}});
}

HttpReply Store::Grant(const HttpRequest& request) {
  const json body = json::parse(request.m_body, nullptr, false);
  absl::MutexLock lock(&m_mutex);
  const Millis ttl(body.value("ttlMs", int64_t{1000}));
  const int64_t id = m_next_lease++;
  m_leases[id] = Lease{ttl, MonotonicNow() + ttl};
  return JsonReply(200, {{"lease", id}, {"ttlMs", ttl.count()}});
}

HttpReply Store::Keep(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  ExpireLocked();
  const auto found = m_leases.find(std::strtoll(id.c_str(), nullptr, 10));
  if (found == m_leases.end()) {
    return StatusReply(404);
  }
  found->second.m_ends = MonotonicNow() + found->second.m_ttl;
  return JsonReply(200, {{"ttlMs", found->second.m_ttl.count()}});
}

HttpReply Store::End(const std::string& id) {
  absl::MutexLock lock(&m_mutex);
  EndLeaseLocked(std::strtoll(id.c_str(), nullptr, 10));
  return StatusReply(200);
}

HttpReply Store::Handle(int vm, HttpRequest& request) {
  const StoreFaults faults = FaultsOf(vm);
  if (faults.m_busy) {
    return StatusReply(503);
  }
  std::string_view path = request.m_path;
  if (path == "/api/kv-watch") {
    return Watch(vm, request);
  }
  if (path == "/api/kv-txn" && faults.m_late_write > Millis() &&
      request.m_body.find(faults.m_late_key) != std::string::npos) {
    TheRecord().Line("store", Concat("vm-", vm, " late write is under way"));
    const Millis until = MonotonicNow() + faults.m_late_write;
    while (MonotonicNow() < until && !m_stopping) {
      SleepFor(kWatchStep);
    }
    Transact(vm, request.m_body);
    return NoAnswer();
  }
  HttpReply reply = StatusReply(404);
  if (path == "/api/kv-key") {
    reply = Get(request);
  } else if (path == "/api/kv-range") {
    reply = Range(vm, request);
  } else if (path == "/api/kv-txn") {
    reply = Transact(vm, request.m_body);
  } else if (path == "/api/kv-lease") {
    reply = Grant(request);
  } else if (ConsumePrefix(path, "/api/kv-keep/")) {
    reply = Keep(std::string(path));
  } else if (ConsumePrefix(path, "/api/kv-lease-end/")) {
    reply = End(std::string(path));
  }
  SleepFor(faults.m_answer_time);
  return reply;
}

}  // namespace review
