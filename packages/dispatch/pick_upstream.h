// Picks the upstream that runs an online request. Engines admit requests in
// order of arrival, so at peak load a request is sent only to an upstream with
// a slot that is free or held by batch work; otherwise it waits in this VM's
// queue.

#ifndef BRONZECROSS_DISPATCH_PICK_UPSTREAM_H_
#define BRONZECROSS_DISPATCH_PICK_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>

#include "base/random.h"

namespace bronzecross {

// CandidateLoad::m_free_tokens of an upstream whose memory isn't known.
inline constexpr int64_t kNoTokenLimit = std::numeric_limits<int64_t>::max();

// State of one candidate upstream. Counts include the requests of all VMs.
struct CandidateLoad {
  int m_slots = 0;
  int m_online = 0;
  int m_batch = 0;
  int m_urgent = 0;      // batch items that online requests may not preempt
  double m_work_ms = 0;  // zero: not measured
  // How long work takes on its machine at present, in percent of the usual
  // time, beyond m_work_ms; 100: as usual or unknown.
  double m_machine_percent = 100;
  // Requests of VMs that this VM doesn't hear of, by a fresh report.
  double m_reported_extra = 0;
  // Tokens that fit into its memory beside those in flight.
  int64_t m_free_tokens = kNoTokenLimit;
  bool m_same_zone = false;
  bool m_in_subset = true;   // this VM's group prefers it
  bool m_usable = true;      // healthy, not draining, not yet tried
  bool m_slow = false;       // gets requests only if no other has a slot
  bool m_cold = false;       // slow for some seconds, costs a slot more
  bool m_cold_held = false;  // unusable only as its cold rate is used up
  bool m_probe = false;  // was slow; one request shall show whether it still is
  double m_saved_ms = 0;  // work that it probably saves by its cached prompts
};

// Returns true if the other VMs should be notified at once that a request was
// placed at an upstream that now has `total` requests. Until they receive this,
// they would pick the same nearly full upstream.
bool ShouldAnnounceLoad(int total, int slots);

// Returns whether an online request would get a slot that is free or held by a
// batch item that may be preempted.
bool HasOnlineSlot(const CandidateLoad& load);

// Returns the index of the picked upstream; std::nullopt if none has a free or
// preemptible slot. A slow upstream is picked only if no other has one.
std::optional<size_t> PickUpstream(std::span<const CandidateLoad> loads,
                                   Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_PICK_UPSTREAM_H_
