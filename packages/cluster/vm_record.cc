#include "cluster/vm_record.h"

#include <nlohmann/json.hpp>

#include "base/text.h"

namespace bronzecross {

std::string VmKey(std::string_view id) {
  return Concat(kVmPrefix, id);
}

std::string EncodeVmRecord(const VmRecord& record) {
  nlohmann::json value;
  value["id"] = record.m_id;
  value["incarnation"] = record.m_incarnation;
  value["zone"] = record.m_zone;
  value["address"] = record.m_address.ToString();
  return value.dump();
}

std::optional<VmRecord> DecodeVmRecord(std::string_view value) {
  const nlohmann::json parsed = nlohmann::json::parse(value, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("id") ||
      !parsed["id"].is_string() || !parsed.contains("incarnation") ||
      !parsed["incarnation"].is_number_unsigned() || !parsed.contains("zone") ||
      !parsed["zone"].is_string() || !parsed.contains("address") ||
      !parsed["address"].is_string()) {
    return std::nullopt;
  }
  Result<NetAddress> address =
      ParseNetAddress(parsed["address"].get<std::string>());
  if (!address) {
    return std::nullopt;
  }
  VmRecord record;
  record.m_id = parsed["id"].get<std::string>();
  record.m_incarnation = parsed["incarnation"].get<uint64_t>();
  record.m_zone = parsed["zone"].get<std::string>();
  record.m_address = *std::move(address);
  return record;
}

}  // namespace bronzecross
