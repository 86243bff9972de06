// Asks all copies of a segment at once and waits for enough of them.

#ifndef BRONZECROSS_LEDGER_ASK_COPIES_H_
#define BRONZECROSS_LEDGER_ASK_COPIES_H_

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

// A copy that vouches for its length.
inline bool IsValidCopy(const CopyState& state) {
  return state.m_present && !state.m_damaged;
}

using CopyQuestion = std::function<Result<CopyState>(const std::string& vm)>;

// Returns one answer for each of `copies`, nothing for those that have not
// answered. Waits for all, or, once `need` valid answers are there, at most
// `grace` for the rest. `ask` must end by itself; it is called on own threads
// that may outlive this call; `tracker` counts them, and what `ask` uses must
// stay until it is idle.
std::vector<std::optional<Result<CopyState>>> AskCopies(
    std::span<const std::string> copies,
    size_t need,
    Millis grace,
    const std::shared_ptr<CallTracker>& tracker,
    const CopyQuestion& ask);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_ASK_COPIES_H_
