// How one run of a batch item ended, as a dispatcher tells the job's owner.

#ifndef BRONZECROSS_BATCH_ITEM_OUTCOME_H_
#define BRONZECROSS_BATCH_ITEM_OUTCOME_H_

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bronzecross {

enum class OutcomeKind {
  kAnswered,   // the upstream answered; m_line is the output line
  kUnknown,    // a non-idempotent item may have run; m_line is the output line
  kFailedTry,  // the upstream failed; m_line is the line to write on giving up
  kNotRun,     // no byte was sent
  kYielded,    // it gave way to online work; m_partial is its output so far
};

struct ItemOutcome {
  uint64_t m_index = 0;
  OutcomeKind m_kind = OutcomeKind::kNotRun;
  // For kAnswered: whether the answer's status is below 400.
  bool m_succeeded = false;
  // Whether the upstream died under it, which makes it a suspect.
  bool m_upstream_died = false;
  std::string m_line;
  std::string m_partial;
  // The dispatcher that ran it: "<VM>#<incarnation>".
  std::string m_holder;
};

nlohmann::json OutcomeToJson(const ItemOutcome& outcome);

// Throws json::exception on a missing field or a wrong type.
ItemOutcome OutcomeFromJson(const nlohmann::json& message);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ITEM_OUTCOME_H_
