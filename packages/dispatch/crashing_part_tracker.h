// Keeps the crashing prompt parts of one VM and exchanges them with its peers.

#ifndef BRONZECROSS_DISPATCH_CRASHING_PART_TRACKER_H_
#define BRONZECROSS_DISPATCH_CRASHING_PART_TRACKER_H_

#include <cstdint>
#include <optional>
#include <span>

#include "cluster/gossip_message.h"
#include "dispatch/crashing_parts.h"

namespace bronzecross {

class CrashingPartTracker {
 public:
  // Records that `upstream` crashed while it began to answer a request with
  // these parts.
  void OnCrash(uint32_t upstream,
               std::span<const uint32_t> request,
               Millis now);
  // Records a complete response to a request with these parts.
  void OnCompletion(std::span<const uint32_t> request, Millis now);
  void OnGossip(const GossipMessage& gossip, Millis now);
  void AddToGossip(GossipMessage& gossip, Millis now) const;
  // Blames parts and removes what is too old. Must be called regularly. Returns
  // whether a part was blamed, of which the peers should learn at once.
  bool Update(Millis now);

  std::optional<uint32_t> FindBlamedPart(
      std::span<const uint32_t> request) const {
    return FindBlamed(m_parts, request);
  }

 private:
  CrashingParts m_parts;
  // When the last known crash is settled.
  Millis m_settled_at;
  Millis m_next_expiry;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_CRASHING_PART_TRACKER_H_
