#include "membership/vm_list.h"

#include <cstdint>
#include <optional>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

using nlohmann::json;

Result<VmListEntry> ToEntry(const json& vm) {
  VmListEntry entry;
  vm.at("id").get_to(entry.m_id);
  vm.at("address").get_to(entry.m_address);
  const json& port = vm.at("peer_port");
  if (!port.is_number_unsigned() || port.get<uint64_t>() > UINT16_MAX) {
    return Fail(
        ResultCode::kMalformedBody,
        absl::StrCat("the VM list has an invalid port of ", entry.m_id));
  }
  port.get_to(entry.m_peer_port);
  entry.m_zone = vm.value("zone", "");
  entry.m_leaving = vm.value("state", "live") == "leaving";
  return entry;
}

// Returns the name of the upstream if the entry says that it is leaving. An
// entry that can't be read names no upstream.
std::optional<std::string> LeavingUpstream(const json& entry) {
  if (!entry.is_object()) {
    return std::nullopt;
  }
  const auto id = entry.find("id");
  const auto state = entry.find("state");
  if (id == entry.end() || !id->is_string() || state == entry.end() ||
      !state->is_string() || state->get<std::string>() != "leaving") {
    return std::nullopt;
  }
  return id->get<std::string>();
}

}  // namespace

Result<VmList> ParseVmList(std::string_view text) {
  VmList list;
  try {
    const json document = json::parse(text);
    for (const json& vm : document.at("vms")) {
      Result<VmListEntry> entry = ToEntry(vm);
      if (!entry) {
        return tl::unexpected<Error>(entry.error());
      }
      list.m_vms.push_back(*std::move(entry));
    }
    // Copying the document recurses for each level of nesting.
    const auto upstreams = document.find("upstreams");
    if (upstreams != document.end() && upstreams->is_array()) {
      for (const json& upstream : *upstreams) {
        std::optional<std::string> leaving = LeavingUpstream(upstream);
        if (leaving) {
          list.m_leaving_upstreams.push_back(*std::move(leaving));
        }
      }
    }
  } catch (const json::exception& error) {
    return Fail(ResultCode::kMalformedBody,
                absl::StrCat("the VM list is malformed: ", error.what()));
  }
  return list;
}

Result<VmList> FetchVmList(HttpClient& client,
                           const std::string& url,
                           Millis timeout) {
  HttpCall call;
  call.m_url = url;
  call.m_timeout = timeout;
  const Result<HttpAnswer> response = client.Call(call);
  if (!response) {
    return tl::unexpected<Error>(response.error());
  }
  if (response->m_status != 200) {
    return Fail(
        ResultCode::kPeerUnavailable,
        absl::StrCat("the request for the VM list failed with HTTP status ",
                     response->m_status));
  }
  return ParseVmList(response->m_body);
}

}  // namespace bronzecross
