// The rules of replication: where copies go, when a record is acknowledged and
// how many copies a recovery must hear.

#ifndef BRONZECROSS_LEDGER_COPY_RULES_H_
#define BRONZECROSS_LEDGER_COPY_RULES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace bronzecross {

inline constexpr size_t kLedgerCopies = 3;

// Chooses up to kLedgerCopies data VMs of `live` that are neither draining nor
// in `exclude`, in as many availability zones as possible. `own` is taken only
// if fewer than kLedgerCopies others are there, as its copy never counts
// towards an acknowledgement. `key` spreads ledgers over the VMs.
std::vector<std::string> ChooseCopies(std::string_view key,
                                      std::string_view own,
                                      std::span<const Member> live,
                                      std::span<const std::string> exclude);

// Whether a segment on `copies` can acknowledge appends of a writer on `own`
// when only the copies in `working` take them.
bool CanAcknowledge(std::span<const std::string> copies,
                    std::span<const std::string> working,
                    std::string_view own);

// The sequence number below which every record is acknowledged: held by two
// copies other than the writer's own, or by both copies of a segment that has
// only two. `held[i]` is one past the last record that copies[i] has on disk.
uint64_t AcknowledgedEnd(std::span<const std::string> copies,
                         std::span<const uint64_t> held,
                         std::string_view own);

// How many of `copies` copies a recovery must fence and read. An acknowledged
// record is on at least two copies, so any copies - 1 of them include a holder,
// and a fenced writer is left with one copy, which can acknowledge nothing.
size_t RecoveryNeed(size_t copies);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_COPY_RULES_H_
