// A half's record in the store: which VM places orders on its upstreams, how
// far it has followed the manifest, and the model loads under way.

#ifndef BRONZECROSS_ORDERS_ORDER_RECORD_H_
#define BRONZECROSS_ORDERS_ORDER_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bronzecross {

// One replica that is being changed to a model version.
struct ModelLoad {
  std::string m_upstream;
  std::string m_model;
  std::string m_version;

  bool operator==(const ModelLoad&) const = default;
};

struct OrderRecord {
  std::string m_vm;
  // The VM's lease in the store at the time of the claim. A holder whose lease
  // has lapsed must claim again, even if no other VM did meanwhile: the other
  // halves count it as gone.
  int64_t m_lease = 0;
  // Since the holder wrote this generation it has sent no order to an upstream
  // that the generation gives to another half, and none is under way.
  int64_t m_generation = 0;
  std::vector<ModelLoad> m_loads;

  bool operator==(const OrderRecord&) const = default;
};

// The JSON form, marked with a random writer token.
std::string EncodeOrderRecord(const OrderRecord& record);

// Fails with kCorrupt.
Result<OrderRecord> DecodeOrderRecord(std::string_view text);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ORDER_RECORD_H_
