// A batch item as a dispatcher has it from the job's owner.

#ifndef BRONZECROSS_BATCH_TAKEN_ITEM_H_
#define BRONZECROSS_BATCH_TAKEN_ITEM_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "batch/batch_item.h"

namespace bronzecross {

struct TakenItem {
  std::string m_job;
  // The owner that handed it out, and the workspace it runs for.
  std::string m_owner;
  std::string m_workspace;
  uint64_t m_index = 0;
  BatchItem m_item;
  bool m_idempotent = true;
  // Whether nothing else may run on the upstream meanwhile.
  bool m_alone = false;
  std::string m_partial;
};

// Throws json::exception on a missing field or a wrong type.
TakenItem TakenItemFromJson(const nlohmann::json& message);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_TAKEN_ITEM_H_
