#include "batch/assigned_item.h"

namespace bronzecross {

AssignedItem AssignedItemFromJson(const nlohmann::json& message) {
  AssignedItem item;
  message.at("i").get_to(item.m_index);
  message.at("id").get_to(item.m_item.m_custom_id);
  message.at("method").get_to(item.m_item.m_method);
  message.at("url").get_to(item.m_item.m_url);
  message.at("body").get_to(item.m_item.m_body);
  message.at("idem").get_to(item.m_idempotent);
  message.at("alone").get_to(item.m_exclusive);
  message.at("part").get_to(item.m_partial);
  return item;
}

}  // namespace bronzecross
