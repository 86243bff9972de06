// The outcome of one run of a batch item, as a dispatcher reports it to the
// job's owner.

#ifndef BRONZECROSS_BATCH_ITEM_OUTCOME_H_
#define BRONZECROSS_BATCH_ITEM_OUTCOME_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bronzecross {

enum class OutcomeKind {
  kResponded,  // the upstream responded; m_line is the output line
  kUnknown,    // a non-idempotent item may have run; m_line is the output line
  kFailedAttempt,  // the upstream failed; m_line is the error line if no
                   // attempt is left
  kNotRun,         // it was not sent, or rejected by the upstream (429, 503)
  kPreempted,  // it was preempted or cancelled; m_partial is its text so far
};

struct ItemOutcome {
  uint64_t m_index = 0;
  OutcomeKind m_kind = OutcomeKind::kNotRun;
  // For kResponded: whether the response status is below 400.
  bool m_succeeded = false;
  // Whether the upstream failed while the item ran, which makes the item a
  // suspected poison request.
  bool m_crash_suspected = false;
  std::string m_line;
  std::string m_partial;
  // The dispatcher that held the item: "<VM>#<incarnation>".
  std::string m_dispatcher_id;
};

nlohmann::json OutcomeToJson(const ItemOutcome& outcome);

// Throws json::exception on a missing field or a wrong type.
ItemOutcome OutcomeFromJson(const nlohmann::json& message);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ITEM_OUTCOME_H_
