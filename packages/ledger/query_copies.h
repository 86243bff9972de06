// Queries all copies of a segment in parallel and waits for a quorum.

#ifndef BRONZECROSS_LEDGER_QUERY_COPIES_H_
#define BRONZECROSS_LEDGER_QUERY_COPIES_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/error.h"
#include "ledger/call_tracker.h"
#include "ledger/copy_store.h"

namespace bronzecross {

// Returns true if the copy exists and its length can be trusted.
inline bool IsValidCopy(const CopyState& state) {
  return state.m_present && !state.m_damaged;
}

using CopyQuery = std::function<Result<CopyState>(const std::string& vm)>;

// Returns one reply for each of `copies`, std::nullopt for those that have not
// replied. Waits for all replies, but at most `straggler_timeout` after
// `quorum` valid ones have arrived. `query` runs on one detached thread per
// copy, which may outlive this call. `query` must return by itself, and
// everything that it uses must stay alive until `tracker`, which counts these
// threads, is idle.
std::vector<std::optional<Result<CopyState>>> QueryCopies(
    std::span<const std::string> copies,
    size_t quorum,
    Millis straggler_timeout,
    const std::shared_ptr<CallTracker>& tracker,
    const CopyQuery& query);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_QUERY_COPIES_H_
