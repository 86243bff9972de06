// Replication rules: placement of copies, the condition for acknowledging a
// record, and the quorum of a recovery.

#ifndef BRONZECROSS_LEDGER_REPLICATION_RULES_H_
#define BRONZECROSS_LEDGER_REPLICATION_RULES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.h"

namespace bronzecross {

// Number of copies of each segment, unless fewer data VMs are available.
inline constexpr size_t kLedgerCopies = 3;

// Chooses up to kLedgerCopies data VMs of `live` that are neither draining nor
// in `exclude`, in as many availability zones as possible. `writer_vm` is
// chosen only if fewer than kLedgerCopies others are available, as its copy
// never counts towards an acknowledgement. `key` is hashed to spread ledgers
// over the VMs.
std::vector<std::string> ChooseCopies(std::string_view key,
                                      std::string_view writer_vm,
                                      std::span<const Member> live,
                                      std::span<const std::string> exclude);

// Returns true if appends by a writer on `writer_vm` to a segment on `copies`
// can be acknowledged while only the copies in `working` accept them.
bool CanAcknowledge(std::span<const std::string> copies,
                    std::span<const std::string> working,
                    std::string_view writer_vm);

// Returns the sequence number below which every record is acknowledged, that
// is, on the disks of two copies other than the writer's own, or of both copies
// of a segment that has only two. `durable_ends[i]` is one past the last record
// that copies[i] has on disk.
uint64_t AcknowledgedEnd(std::span<const std::string> copies,
                         std::span<const uint64_t> durable_ends,
                         std::string_view writer_vm);

// Returns how many of `copies` copies a recovery must fence and read. An
// acknowledged record is on at least two copies, so any `copies` - 1 of them
// include one that has it, and a fenced writer is left with one copy, which is
// too few to acknowledge anything.
size_t RecoveryQuorum(size_t copies);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_REPLICATION_RULES_H_
