#include "standins/kv_standin.h"

#include <algorithm>

#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include "base/base64.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kWatchPoll{50};
constexpr size_t kMaxValueBytes = 1 << 20;

int64_t GetNumber(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) {
    return 0;
  }
  int64_t number = 0;
  if (found->is_string() &&
      absl::SimpleAtoi(found->get_ref<const std::string&>(), &number)) {
    return number;
  }
  return found->is_number_integer() ? found->get<int64_t>() : 0;
}

std::string GetBytes(const json& object, const char* name) {
  return Base64Decode(object.value(name, "")).value_or("");
}

}  // namespace

KvStandin::KvStandin(uint64_t seed)
    : m_random(seed),
      m_server([this](HttpRequest& request) { return Handle(request); }) {
  m_server.Start();
}

KvStandin::~KvStandin() {
  m_stopping = true;
  m_server.Stop();
}

void KvStandin::SetFaults(const KvFaults& faults) {
  absl::MutexLock lock(&m_mutex);
  m_faults = faults;
}

std::string KvStandin::Get(const std::string& key) {
  absl::MutexLock lock(&m_mutex);
  ExpireLeases();
  const auto found = m_entries.find(key);
  return found == m_entries.end() ? "" : found->second.m_value;
}

HttpReply KvStandin::Handle(HttpRequest& request) {
  const bool is_read =
      request.m_path == "/v3/kv/range" || request.m_path == "/v3/watch";
  ++(is_read ? m_reads : m_writes);
  KvFaults faults;
  bool lose_answer = false;
  {
    absl::MutexLock lock(&m_mutex);
    faults = m_faults;
    lose_answer = !is_read && RandomUnit(m_random) < faults.m_lose_answers;
  }
  if (faults.m_outage) {
    return JsonReply(503, R"({"error":"unavailable","code":14})");
  }
  SleepFor(faults.m_delay);
  const json body = json::parse(request.m_body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return JsonReply(400, R"({"error":"not JSON","code":3})");
  }
  if (request.m_path == "/v3/watch") {
    return Watch(body, request.m_client_fd);
  }
  HttpReply reply = Dispatch(request.m_path, body);
  if (lose_answer) {
    reply.m_reader = [](std::span<char>) -> Result<size_t> {
      return Fail(ResultCode::kStreamCut, "answer lost");
    };
  }
  return reply;
}

HttpReply KvStandin::Dispatch(const std::string& path, const json& body) {
  absl::MutexLock lock(&m_mutex);
  ExpireLeases();
  if (path == "/v3/kv/range") {
    return JsonReply(200, Range(body).dump());
  }
  if (path == "/v3/kv/put") {
    const int64_t revision = ++m_revision;
    json answer = Put(body, revision);
    answer["header"] = Header();
    return JsonReply(200, answer.dump());
  }
  if (path == "/v3/kv/deleterange") {
    json answer = Delete(body, m_revision + 1);
    answer["header"] = Header();
    return JsonReply(200, answer.dump());
  }
  if (path == "/v3/kv/txn") {
    return JsonReply(200, Txn(body).dump());
  }
  if (path == "/v3/lease/grant") {
    const int64_t id = ++m_next_lease;
    const Millis ttl(GetNumber(body, "TTL") * 1000);
    m_leases[id] = Lease{ttl, MonotonicNow() + ttl};
    return JsonReply(200, json{{"header", Header()},
                               {"ID", std::to_string(id)},
                               {"TTL", std::to_string(ttl.count() / 1000)}}
                              .dump());
  }
  if (path == "/v3/lease/keepalive") {
    const int64_t id = GetNumber(body, "ID");
    json result = {{"header", Header()}, {"ID", std::to_string(id)}};
    const auto found = m_leases.find(id);
    if (found != m_leases.end()) {
      found->second.m_expires = MonotonicNow() + found->second.m_ttl;
      result["TTL"] = std::to_string(found->second.m_ttl.count() / 1000);
    }
    return JsonReply(200, json{{"result", result}}.dump() + "\n");
  }
  if (path == "/v3/lease/revoke") {
    const int64_t id = GetNumber(body, "ID");
    if (!m_leases.contains(id)) {
      return JsonReply(404, R"({"error":"lease not found","code":5})");
    }
    EndLease(id);
    return JsonReply(200, json{{"header", Header()}}.dump());
  }
  return JsonReply(404, R"({"error":"no such call","code":5})");
}

json KvStandin::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(m_revision)},
          {"raft_term", "1"}};
}

json KvStandin::Range(const json& body) {
  const std::string begin = GetBytes(body, "key");
  const std::string end = GetBytes(body, "range_end");
  json kvs = json::array();
  for (auto it = m_entries.lower_bound(begin); it != m_entries.end(); ++it) {
    if (end.empty() ? it->first != begin : it->first >= end) {
      break;
    }
    const Entry& entry = it->second;
    if (entry.m_mod_revision < GetNumber(body, "min_mod_revision")) {
      continue;
    }
    json kv = {{"key", Base64Encode(it->first)},
               {"value", Base64Encode(entry.m_value)},
               {"create_revision", std::to_string(entry.m_create_revision)},
               {"mod_revision", std::to_string(entry.m_mod_revision)},
               {"version", std::to_string(entry.m_version)}};
    if (entry.m_lease != 0) {
      kv["lease"] = std::to_string(entry.m_lease);
    }
    kvs.push_back(std::move(kv));
  }
  json answer = {{"header", Header()}};
  if (!kvs.empty()) {
    answer["count"] = std::to_string(kvs.size());
    answer["kvs"] = std::move(kvs);
  }
  return answer;
}

json KvStandin::Put(const json& body, int64_t revision) {
  const std::string key = GetBytes(body, "key");
  Entry& entry = m_entries[key];
  entry.m_value = GetBytes(body, "value");
  entry.m_create_revision =
      entry.m_version == 0 ? revision : entry.m_create_revision;
  entry.m_mod_revision = revision;
  ++entry.m_version;
  entry.m_lease = GetNumber(body, "lease");
  m_events.push_back({revision, false, key, entry});
  return json::object();
}

json KvStandin::Delete(const json& body, int64_t revision) {
  const std::string key = GetBytes(body, "key");
  const bool existed = m_entries.erase(key) > 0;
  if (existed) {
    m_revision = std::max(m_revision, revision);
    m_events.push_back({revision, true, key, Entry{}});
  }
  return {{"deleted", existed ? "1" : "0"}};
}

bool KvStandin::Compare(const json& comparison) {
  const auto found = m_entries.find(GetBytes(comparison, "key"));
  const bool exists = found != m_entries.end();
  const std::string target = comparison.value("target", "VERSION");
  int64_t actual = 0;
  int64_t wanted = 0;
  if (target == "MOD") {
    actual = exists ? found->second.m_mod_revision : 0;
    wanted = GetNumber(comparison, "mod_revision");
  } else if (target == "CREATE") {
    actual = exists ? found->second.m_create_revision : 0;
    wanted = GetNumber(comparison, "create_revision");
  } else if (target == "VALUE") {
    return exists && found->second.m_value == GetBytes(comparison, "value");
  } else {
    actual = exists ? found->second.m_version : 0;
    wanted = GetNumber(comparison, "version");
  }
  const std::string result = comparison.value("result", "EQUAL");
  if (result == "GREATER") {
    return actual > wanted;
  }
  if (result == "LESS") {
    return actual < wanted;
  }
  return result == "NOT_EQUAL" ? actual != wanted : actual == wanted;
}

json KvStandin::Txn(const json& body) {
  bool succeeded = true;
  for (const json& comparison : body.value("compare", json::array())) {
    succeeded = succeeded && Compare(comparison);
  }
  json responses = json::array();
  const json operations =
      body.value(succeeded ? "success" : "failure", json::array());
  const int64_t revision = m_revision + 1;
  for (const json& operation : operations) {
    if (operation.contains("request_put")) {
      if (GetBytes(operation["request_put"], "value").size() > kMaxValueBytes) {
        return {{"error", "value too large"}, {"code", 3}};
      }
      m_revision = revision;
      responses.push_back(
          {{"response_put", Put(operation["request_put"], revision)}});
    } else if (operation.contains("request_delete_range")) {
      responses.push_back(
          {{"response_delete_range",
            Delete(operation["request_delete_range"], revision)}});
    } else if (operation.contains("request_range")) {
      responses.push_back(
          {{"response_range", Range(operation["request_range"])}});
    }
  }
  return {
      {"header", Header()}, {"responses", responses}, {"succeeded", succeeded}};
}

void KvStandin::EndLease(int64_t id) {
  m_leases.erase(id);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : m_entries) {
    if (entry.m_lease == id) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    const int64_t revision = ++m_revision;
    m_entries.erase(key);
    m_events.push_back({revision, true, key, Entry{}});
  }
}

void KvStandin::ExpireLeases() {
  const Millis now = MonotonicNow();
  std::vector<int64_t> ended;
  for (const auto& [id, lease] : m_leases) {
    if (now >= lease.m_expires) {
      ended.push_back(id);
    }
  }
  for (const int64_t id : ended) {
    EndLease(id);
  }
}

HttpReply KvStandin::Watch(const json& body, int client_fd) {
  const json create = body.value("create_request", json::object());
  const std::string begin = GetBytes(create, "key");
  const std::string end = GetBytes(create, "range_end");
  int64_t next = GetNumber(create, "start_revision");
  std::string pending;
  {
    absl::MutexLock lock(&m_mutex);
    next = next > 0 ? next : m_revision + 1;
    pending =
        json{{"result", {{"header", Header()}, {"created", true}}}}.dump() +
        "\n";
  }
  HttpReply reply;
  reply.m_headers.push_back({"Content-Type", "application/json"});
  reply.m_reader = [this, begin, end, next, pending,
                    client_fd](std::span<char> buffer) mutable {
    return ReadWatch(begin, end, next, pending, client_fd, buffer);
  };
  return reply;
}

Result<size_t> KvStandin::ReadWatch(const std::string& begin,
                                    const std::string& end,
                                    int64_t& next,
                                    std::string& pending,
                                    int client_fd,
                                    std::span<char> buffer) {
  while (pending.empty()) {
    if (m_stopping || HasHungUp(client_fd)) {
      return Fail(ResultCode::kStreamCut, "the watch ends");
    }
    json events = json::array();
    {
      absl::MutexLock lock(&m_mutex);
      if (m_faults.m_outage) {
        return Fail(ResultCode::kStreamCut, "outage");
      }
      ExpireLeases();
      for (const Event& event : m_events) {
        if (event.m_revision < next || event.m_key < begin ||
            (end.empty() ? event.m_key != begin : event.m_key >= end)) {
          continue;
        }
        json kv = {{"key", Base64Encode(event.m_key)},
                   {"mod_revision", std::to_string(event.m_revision)}};
        if (!event.m_deleted) {
          kv["value"] = Base64Encode(event.m_entry.m_value);
        }
        json item = {{"kv", kv}};
        if (event.m_deleted) {
          item["type"] = "DELETE";
        }
        events.push_back(std::move(item));
      }
      if (!events.empty()) {
        next = m_revision + 1;
        pending = json{{"result", {{"header", Header()}, {"events", events}}}}
                      .dump() +
                  "\n";
      } else {
        const int64_t before = m_revision;
        const auto changed = [this, before]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                                 m_mutex) { return m_revision != before; };
        m_mutex.AwaitWithTimeout(absl::Condition(&changed),
                                 absl::Milliseconds(kWatchPoll.count()));
      }
    }
  }
  const size_t count = std::min(buffer.size(), pending.size());
  std::copy_n(pending.begin(), count, buffer.begin());
  pending.erase(0, count);
  return count;
}

}  // namespace bronzecross
