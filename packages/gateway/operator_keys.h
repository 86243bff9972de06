// Handles the keys that the operator writes: the configuration, requests to
// empty a disk, and evacuations of availability zones.

#ifndef BRONZECROSS_GATEWAY_OPERATOR_KEYS_H_
#define BRONZECROSS_GATEWAY_OPERATOR_KEYS_H_

#include <set>
#include <span>
#include <string>

#include "aio/task.h"
#include "gateway/node.h"
#include "kv/prefix_follower.h"

namespace bronzecross {

class OperatorKeys {
 public:
  // `node` must outlive this object.
  explicit OperatorKeys(Node& node) : m_node(node) {}

  PrefixHandlers Handlers();

 private:
  void OnSnapshot(std::span<const KvItem> items);
  void OnItem(const KvItem& item);
  void OnRemoval(std::string_view key);
  // Writes to the store that the disk of `vm` has been emptied. Retries until
  // that succeeds or the operator's request is removed.
  Task<> ReportDiskEmptied(std::string vm);

  Node& m_node;
  // VMs whose disks the operator has requested to empty, and for which
  // ReportDiskEmptied() has been started.
  std::set<std::string> m_disks_to_empty;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_OPERATOR_KEYS_H_
