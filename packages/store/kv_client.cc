#include "store/kv_client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "base/metrics.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kMaxReadBackAttempts = 3;

tl::unexpected<Error> MalformedReply() {
  return FailMayHaveRun(ResultCode::kStoreUnavailable,
                        "the store's reply is malformed");
}

// The JSON gateway writes 64-bit numbers as strings and omits zeros.
int64_t GetNumber(const json& object, std::string_view name) {
  const auto found = object.find(std::string(name));
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

std::string GetBytes(const json& object, std::string_view name) {
  const auto found = object.find(std::string(name));
  if (found == object.end() || !found->is_string()) {
    return "";
  }
  return Base64Decode(found->get_ref<const std::string&>()).value_or("");
}

KvEntry ToEntry(const json& kv) {
  return KvEntry{GetBytes(kv, "key"), GetBytes(kv, "value"),
                 GetNumber(kv, "mod_revision"), GetNumber(kv, "lease")};
}

json ToOperation(const KvWrite& write) {
  if (write.m_delete) {
    return {{"request_delete_range", {{"key", Base64Encode(write.m_key)}}}};
  }
  return {{"request_put",
           {{"key", Base64Encode(write.m_key)},
            {"value", Base64Encode(write.m_value)},
            {"lease", std::to_string(write.m_lease)}}}};
}

json ToComparison(const KvWrite& write) {
  return {{"key", Base64Encode(write.m_key)},
          {"target", "MOD"},
          {"result", "EQUAL"},
          {"mod_revision", std::to_string(write.m_expected_revision)}};
}

}  // namespace

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff) {
    end.pop_back();
  }
  if (end.empty()) {
    return std::string(1, '\0');
  }
  ++end.back();
  return end;
}

KvClient::KvClient(std::vector<std::string> endpoints, Millis timeout)
    : m_endpoints(std::move(endpoints)), m_timeout(timeout) {}

Result<json> KvClient::Post(std::string_view path, const json& body) {
  ++m_calls;
  const std::string text = body.dump();
  HttpCall call;
  call.m_method = "POST";
  const size_t endpoint = m_current_endpoint % m_endpoints.size();
  call.m_url = absl::StrCat(m_endpoints[endpoint], std::string(path));
  call.m_headers = {{"Content-Type", "application/json"}};
  call.m_body = text;
  call.m_connect_timeout = m_timeout;
  call.m_timeout = m_timeout;
  const Result<HttpAnswer> response = m_http.Call(call);
  if (!response || response->m_status >= 500) {
    m_current_endpoint = endpoint + 1;
    CountMetric("bronzecross_store_failures_total");
    Error error;
    error.m_code = ResultCode::kStoreUnavailable;
    error.m_run = response ? RunState::kUnknown : response.error().m_run;
    error.m_message = response
                          ? absl::StrCat("the store returned HTTP status ",
                                         response->m_status)
                          : absl::StrCat("the request to the store failed: ",
                                         response.error().m_message);
    return tl::unexpected<Error>(std::move(error));
  }
  json parsed = json::parse(response->m_body, nullptr, false);
  if (parsed.is_discarded() || !parsed.is_object()) {
    return MalformedReply();
  }
  if (response->m_status != 200) {
    return Fail(
        response->m_status == 404 ? ResultCode::kNotFound
                                  : ResultCode::kInvalidArgument,
        absl::StrCat("the store rejected the request: ", response->m_body));
  }
  return parsed;
}

Result<std::optional<KvEntry>> KvClient::Get(std::string_view key) {
  const Result<json> reply = Post("/v3/kv/range", {{"key", Base64Encode(key)}});
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  const auto kvs = reply->find("kvs");
  if (kvs == reply->end() || !kvs->is_array() || kvs->empty()) {
    return std::optional<KvEntry>();
  }
  return std::optional<KvEntry>(ToEntry(kvs->front()));
}

Result<KvRange> KvClient::List(std::string_view prefix,
                               int64_t min_mod_revision) {
  json request = {{"key", Base64Encode(prefix)},
                  {"range_end", Base64Encode(PrefixEnd(prefix))}};
  if (min_mod_revision > 0) {
    request["min_mod_revision"] = std::to_string(min_mod_revision);
  }
  const Result<json> reply = Post("/v3/kv/range", request);
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  KvRange range;
  const auto header = reply->find("header");
  if (header != reply->end() && header->is_object()) {
    range.m_revision = GetNumber(*header, "revision");
  }
  const auto kvs = reply->find("kvs");
  if (kvs != reply->end() && kvs->is_array()) {
    for (const json& kv : *kvs) {
      range.m_entries.push_back(ToEntry(kv));
    }
  }
  return range;
}

Result<int64_t> KvClient::Commit(const std::vector<KvWrite>& writes) {
  json comparisons = json::array();
  json operations = json::array();
  for (const KvWrite& write : writes) {
    comparisons.push_back(ToComparison(write));
    if (!write.m_check_only) {
      operations.push_back(ToOperation(write));
    }
  }
  const Result<json> reply =
      Post("/v3/kv/txn", {{"compare", comparisons}, {"success", operations}});
  if (!reply) {
    return reply.error().m_run == RunState::kNotRun
               ? tl::unexpected<Error>(reply.error())
               : ReadBack(writes, reply.error());
  }
  const auto succeeded = reply->find("succeeded");
  if (succeeded == reply->end() || !succeeded->is_boolean() ||
      !succeeded->get<bool>()) {
    return Fail(ResultCode::kConflict, "another writer modified the key first");
  }
  const auto header = reply->find("header");
  return header == reply->end() || !header->is_object()
             ? 0
             : GetNumber(*header, "revision");
}

Result<int64_t> KvClient::ReadBack(const std::vector<KvWrite>& writes,
                                   const Error& write_error) {
  // A transaction is atomic, so the first key that it sets shows whether it
  // took effect.
  const KvWrite* probe = nullptr;
  for (const KvWrite& write : writes) {
    if (!write.m_delete && !write.m_check_only) {
      probe = &write;
      break;
    }
  }
  for (int i = 0; probe != nullptr && i < kMaxReadBackAttempts; ++i) {
    const Result<std::optional<KvEntry>> entry = Get(probe->m_key);
    if (!entry) {
      continue;
    }
    if (*entry && (*entry)->m_value == probe->m_value) {
      return (*entry)->m_mod_revision;
    }
    // The write may still be in transit, unless another one was applied first.
    const int64_t revision = *entry ? (*entry)->m_mod_revision : 0;
    if (revision != probe->m_expected_revision) {
      return Fail(ResultCode::kConflict,
                  "another writer modified the key first");
    }
  }
  return tl::unexpected<Error>(write_error);
}

Result<KvLease> KvClient::GrantLease(Millis ttl) {
  const Millis sent = MonotonicNow();
  const Result<json> reply =
      Post("/v3/lease/grant", {{"TTL", std::to_string(ttl.count() / 1000)}});
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  const int64_t id = GetNumber(*reply, "ID");
  if (id == 0) {
    return MalformedReply();
  }
  return KvLease{id, sent + Millis(GetNumber(*reply, "TTL") * 1000)};
}

Result<KvLease> KvClient::KeepLeaseAlive(int64_t id) {
  const Millis sent = MonotonicNow();
  const Result<json> reply =
      Post("/v3/lease/keepalive", {{"ID", std::to_string(id)}});
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  const auto result = reply->find("result");
  const int64_t ttl = result != reply->end() && result->is_object()
                          ? GetNumber(*result, "TTL")
                          : 0;
  if (ttl <= 0) {
    return Fail(ResultCode::kNotFound, "the lease has expired");
  }
  return KvLease{id, sent + Millis(ttl * 1000)};
}

Status KvClient::RevokeLease(int64_t id) {
  const Result<json> reply =
      Post("/v3/lease/revoke", {{"ID", std::to_string(id)}});
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  return {};
}

}  // namespace bronzecross
