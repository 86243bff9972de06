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
                absl::StrCat("the list of VMs is damaged: ", error.what()));
  }
  return list;
}

Result<VmList> FetchVmList(HttpClient& client,
                           const std::string& url,
                           Millis timeout) {
  HttpCall call;
  call.m_url = url;
  call.m_timeout = timeout;
  const Result<HttpAnswer> answer = client.Call(call);
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  if (answer->m_status != 200) {
    return Fail(ResultCode::kPeerUnavailable,
                absl::StrCat("the list of VMs answered ", answer->m_status));
  }
  return ParseVmList(answer->m_body);
}

}  // namespace bronzecross
