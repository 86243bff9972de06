#include "batch/item_outcome.h"

namespace bronzecross {

using nlohmann::json;

json OutcomeToJson(const ItemOutcome& outcome) {
  return {
      {"i", outcome.m_index},         {"k", static_cast<int>(outcome.m_kind)},
      {"ok", outcome.m_succeeded},    {"died", outcome.m_crash_suspected},
      {"line", outcome.m_line},       {"part", outcome.m_partial},
      {"by", outcome.m_dispatcher_id}};
}

ItemOutcome OutcomeFromJson(const json& message) {
  ItemOutcome outcome;
  message.at("i").get_to(outcome.m_index);
  outcome.m_kind = static_cast<OutcomeKind>(message.at("k").get<int>());
  message.at("ok").get_to(outcome.m_succeeded);
  message.at("died").get_to(outcome.m_crash_suspected);
  message.at("line").get_to(outcome.m_line);
  message.at("part").get_to(outcome.m_partial);
  message.at("by").get_to(outcome.m_dispatcher_id);
  return outcome;
}

}  // namespace bronzecross
