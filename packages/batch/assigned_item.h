// A batch item that the job's owner has assigned to a dispatcher.

#ifndef BRONZECROSS_BATCH_ASSIGNED_ITEM_H_
#define BRONZECROSS_BATCH_ASSIGNED_ITEM_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "batch/batch_item.h"

namespace bronzecross {

struct AssignedItem {
  std::string m_job;
  // The VM that assigned it, and the workspace of the job.
  std::string m_owner;
  std::string m_workspace;
  uint64_t m_index = 0;
  BatchItem m_item;
  bool m_idempotent = true;
  // Whether no other batch item may run on the upstream at the same time.
  bool m_exclusive = false;
  // The text that earlier runs generated.
  std::string m_partial;
};

// Throws json::exception on a missing field or a wrong type.
AssignedItem AssignedItemFromJson(const nlohmann::json& message);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ASSIGNED_ITEM_H_
