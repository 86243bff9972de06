// Collects the evidence on poison requests, which crash every upstream that
// runs them and which callers retry at any VM, and exchanges it with the peers.

#ifndef BRONZECROSS_DISPATCH_POISON_REQUEST_TRACKER_H_
#define BRONZECROSS_DISPATCH_POISON_REQUEST_TRACKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string_view>

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include "cluster/gossip_message.h"
#include "dispatch/request_evidence.h"

namespace bronzecross {

// Returns a hash of the parts of a request that are the same when it is
// retried.
uint32_t RequestFingerprint(std::string_view workspace,
                            std::string_view target,
                            std::string_view body);

enum class RunPermit {
  kRun,
  kTrial,    // only once: the run shows whether the block is right
  kBlocked,  // it must not be run
};

// All times are those of BootNow(): the ages that a VM reports must include the
// time for which it was suspended.
class PoisonRequestTracker {
 public:
  // Records a broken response of an upstream to a run of the request, and a
  // complete one that ended at `now`. Both return whether the request begins or
  // ceases to be blocked, which the peers should learn at once.
  bool RecordCrash(uint32_t fingerprint, const RequestCrash& crash);
  bool RecordCompletion(uint32_t fingerprint, Millis now);
  // Whether crashes of the request are known.
  bool IsSuspect(uint32_t fingerprint) const;

  // Decides whether a request may be run. Of all VMs, one at a time may try a
  // blocked request: `is_chosen` returns whether this VM is the one that all
  // VMs choose by the given key.
  RunPermit Permit(uint32_t fingerprint,
                   absl::FunctionRef<bool(std::string_view)> is_chosen,
                   Millis now);
  bool IsBlocked(uint32_t fingerprint) const;

  void OnGossip(const GossipMessage& gossip, Millis now);
  void AddToGossip(GossipMessage& gossip, Millis now) const;
  // Removes entries whose retention has expired.
  void Expire(Millis now);

 private:
  struct Entry {
    RequestEvidence m_evidence;
    // When the last crash was recorded or the last request blocked.
    Millis m_last;
    // When this VM itself last saw something that the others should know.
    Millis m_news;
    int64_t m_trial_window = -1;  // the last one that this VM has used
    int m_trials_failed = 0;      // before that window
  };

  Entry& GetOrCreate(uint32_t fingerprint, Millis now);
  // Remembers a complete response in case crashes follow.
  void Remember(uint32_t fingerprint, Millis at);
  // Returns when the last complete response at this VM ended, or zero.
  Millis OwnCompletion(uint32_t fingerprint) const;
  // Logs that a request begins or ceases to be blocked. Returns whether it
  // does.
  static bool LogChange(uint32_t fingerprint,
                        const Entry& entry,
                        bool was_blocked);

  // Bounded.
  std::map<uint32_t, Entry> m_entries;
  // Last complete responses at this VM, and the requests in the order of their
  // first one. Bounded.
  absl::flat_hash_map<uint32_t, Millis> m_completions;
  std::deque<uint32_t> m_completed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_POISON_REQUEST_TRACKER_H_
