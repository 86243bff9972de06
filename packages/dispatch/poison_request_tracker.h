// Counts broken responses per request: lost upstream connections and invalid
// responses. A request with too many of them is blocked. This protects against
// poison requests, which crash every upstream that runs them and which callers
// retry at any VM.

#ifndef BRONZECROSS_DISPATCH_POISON_REQUEST_TRACKER_H_
#define BRONZECROSS_DISPATCH_POISON_REQUEST_TRACKER_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "cluster/cluster_view.h"

namespace bronzecross {

// Returns a hash of the parts of a request that are the same when it is
// retried.
uint32_t RequestFingerprint(std::string_view workspace,
                            std::string_view target,
                            std::string_view body);

class PoisonRequestTracker {
 public:
  // Records a lost connection to `upstream` or an invalid response from it. All
  // that break at one upstream at the same time count once, since its crash
  // breaks all that it runs.
  void RecordBrokenResponse(uint32_t fingerprint,
                            std::string_view upstream,
                            Millis now);
  // Clears the entry of a request that received a complete response, since it
  // did not cause the earlier broken ones.
  void RecordCompleteResponse(uint32_t fingerprint) {
    m_entries.erase(fingerprint);
  }

  // Returns true if the request must not be run again, judging by the broken
  // responses recorded at this VM and those reported by the peers. A request
  // stays blocked at all VMs for as long as it keeps coming.
  bool ShouldBlock(uint32_t fingerprint,
                   const ClusterView& cluster,
                   Millis now);
  // Adds the recent broken responses to the gossip message.
  void AddToGossip(GossipMessage& gossip, Millis now) const;
  // Removes entries whose retention has expired.
  void Expire(Millis now);

 private:
  struct Entry {
    int m_count = 0;
    Millis m_last;  // time of the last broken response or blocked attempt
    // Where and when the last response that was counted broke.
    uint32_t m_upstream = 0;
    Millis m_broke;
  };

  std::map<uint32_t, Entry> m_entries;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_POISON_REQUEST_TRACKER_H_
