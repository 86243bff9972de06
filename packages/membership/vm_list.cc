#include "membership/vm_list.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bronzecross {
namespace {

using nlohmann::json;

VmListEntry ToEntry(const json& vm) {
  VmListEntry entry;
  vm.at("id").get_to(entry.m_id);
  vm.at("address").get_to(entry.m_address);
  vm.at("peer_port").get_to(entry.m_peer_port);
  entry.m_zone = vm.value("zone", "");
  entry.m_leaving = vm.value("state", "live") == "leaving";
  return entry;
}

}  // namespace

Result<VmList> ParseVmList(std::string_view text) {
  VmList list;
  try {
    const json document = json::parse(text);
    for (const json& vm : document.at("vms")) {
      list.m_vms.push_back(ToEntry(vm));
    }
    for (const json& upstream : document.value("upstreams", json::array())) {
      if (upstream.value("state", "live") == "leaving") {
        list.m_leaving_upstreams.push_back(upstream.at("id"));
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
