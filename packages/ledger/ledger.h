// Interface of replicated append-only logs. A ledger has one writer at a time,
// identified by an epoch.

#ifndef BRONZECROSS_LEDGER_LEDGER_H_
#define BRONZECROSS_LEDGER_LEDGER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"
#include "ledger/ledger_record.h"

namespace bronzecross {

// Thread-safe.
class LedgerWriter {
 public:
  virtual ~LedgerWriter() = default;

  // Appends `payloads` in order. Returns the sequence number of the first one
  // once all of them survive the loss of this VM together with one data VM.
  // Fails with kFenced if a newer writer has taken over (none of the payloads
  // was appended then), kTooFewCopies or kDiskFull. After any failure but
  // kFenced the outcome is unknown until the ledger is taken over again.
  virtual Result<uint64_t> Append(std::span<const std::string> payloads) = 0;

  // Closes the ledger permanently; no writer can append to it any more.
  virtual Status Seal() = 0;

  virtual uint64_t Epoch() const = 0;
  // Returns the sequence number of the next record.
  virtual uint64_t NextSequence() const = 0;
};

// Called for each record; returns false to stop reading.
using LedgerVisitor = std::function<bool(const LedgerRecord&)>;

// Thread-safe.
class LedgerService {
 public:
  virtual ~LedgerService() = default;

  // Creates the ledger `id` with this VM as its writer. Fails with kConflict if
  // it exists, kTooFewCopies, kDiskFull or kStoreUnavailable.
  virtual Result<std::unique_ptr<LedgerWriter>> Create(std::string_view id) = 0;

  // Raises the epoch, fences all earlier writers, recovers every acknowledged
  // record and returns the new writer. Fails with kNotFound, kConflict if the
  // ledger is sealed or another VM takes it over concurrently, kTooFewCopies or
  // kStoreUnavailable.
  virtual Result<std::unique_ptr<LedgerWriter>> TakeOver(
      std::string_view id) = 0;

  // Calls `visit` for each acknowledged record from sequence number `first` on.
  virtual Status Read(std::string_view id,
                      uint64_t first,
                      const LedgerVisitor& visit) = 0;

  // Removes the ledger and its copies.
  virtual Status Delete(std::string_view id) = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_LEDGER_H_
