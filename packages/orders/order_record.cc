#include "orders/order_record.h"

#include <nlohmann/json.hpp>

#include "base/random.h"

namespace bronzecross {

using nlohmann::json;

std::string EncodeOrderRecord(const OrderRecord& record) {
  json loads = json::array();
  for (const ModelLoad& load : record.m_loads) {
    loads.push_back({{"upstream", load.m_upstream},
                     {"model", load.m_model},
                     {"version", load.m_version}});
  }
  return json{{"vm", record.m_vm},
              {"lease", record.m_lease},
              {"generation", record.m_generation},
              {"loads", loads},
              {"writer", RandomId()}}
      .dump();
}

Result<OrderRecord> DecodeOrderRecord(std::string_view text) {
  const json document = json::parse(text, nullptr, false);
  OrderRecord record;
  try {
    document.at("vm").get_to(record.m_vm);
    document.at("lease").get_to(record.m_lease);
    document.at("generation").get_to(record.m_generation);
    for (const json& load : document.at("loads")) {
      record.m_loads.push_back(
          {load.at("upstream"), load.at("model"), load.at("version")});
    }
  } catch (const json::exception& error) {
    return Fail(ResultCode::kCorrupt, error.what());
  }
  return record;
}

}  // namespace bronzecross
