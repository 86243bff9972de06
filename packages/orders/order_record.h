// A half's record in the store: the VM that places orders on its upstreams, the
// manifest generation that it has applied, and the model loads in progress.

#ifndef BRONZECROSS_ORDERS_ORDER_RECORD_H_
#define BRONZECROSS_ORDERS_ORDER_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bronzecross {

// A planned or running load of a model version by a replica.
struct ModelLoad {
  std::string m_upstream;
  std::string m_model;
  std::string m_version;

  bool operator==(const ModelLoad&) const = default;
};

struct OrderRecord {
  // The holder.
  std::string m_vm;
  // The VM's lease in the store at the time of the claim. A holder whose lease
  // has ended must claim the record again, even if no other VM has, because the
  // other halves assume that it sends no more orders.
  int64_t m_lease = 0;
  // Manifest generation that the holder has applied. Since it wrote this, it
  // has sent no order to an upstream that the generation assigns to another
  // half, and none is under way.
  int64_t m_generation = 0;
  std::vector<ModelLoad> m_loads;

  bool operator==(const OrderRecord&) const = default;
};

// Returns the JSON form with a random writer token, by which a writer
// recognizes its own write.
std::string EncodeOrderRecord(const OrderRecord& record);

// Fails with kCorrupt if `text` is malformed.
Result<OrderRecord> DecodeOrderRecord(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ORDER_RECORD_H_
