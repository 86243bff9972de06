#include "batch/output_files.h"

#include <algorithm>
#include <memory>

#include "batch/item_table.h"

namespace bronzecross {
namespace {

constexpr size_t kPageBytes = 256 << 10;
constexpr std::string_view kOutputPrefix = "file-out-";
constexpr std::string_view kErrorPrefix = "file-err-";

struct OutputPager {
  LedgerService& m_ledgers;
  std::string m_ledger;
  OutputKind m_kind;
  uint64_t m_next = 0;
  ItemTable m_seen;
  std::string m_pending;
  bool m_ended = false;
};

Status ReadPage(OutputPager& pager) {
  size_t bytes = 0;
  const uint64_t first = pager.m_next;
  Status damaged;
  const Status read = pager.m_ledgers.Read(
      pager.m_ledger, first, [&](const LedgerRecord& record) {
        pager.m_next = record.m_sequence + 1;
        const Result<OutputRecord> output = DecodeOutput(record.m_payload);
        if (!output) {
          damaged = tl::unexpected<Error>(output.error());
          return false;
        }
        const bool is_final = output->m_kind == OutputKind::kResult ||
                              output->m_kind == OutputKind::kFailure;
        if (is_final && !IsDone(pager.m_seen, output->m_index)) {
          SetDone(pager.m_seen, output->m_index);
          if (output->m_kind == pager.m_kind) {
            pager.m_pending += output->m_line;
          }
        }
        bytes += record.m_payload.size();
        return bytes < kPageBytes;
      });
  if (!damaged) {
    return damaged;
  }
  // A job that ended before it ran has no ledger.
  pager.m_ended = pager.m_next == first;
  return !read && read.error().m_code == ResultCode::kNotFound ? Status()
                                                               : read;
}

}  // namespace

std::optional<OutputFileId> ParseOutputFileId(std::string_view id) {
  for (const auto& [prefix, kind] :
       {std::pair(kOutputPrefix, OutputKind::kResult),
        std::pair(kErrorPrefix, OutputKind::kFailure)}) {
    if (id.starts_with(prefix)) {
      return OutputFileId{"batch_" + std::string(id.substr(prefix.size())),
                          kind};
    }
  }
  return std::nullopt;
}

nlohmann::json OutputFileObject(const OutputFileId& file,
                                const JobRecord& job) {
  const bool output = file.m_kind == OutputKind::kResult;
  const std::string suffix = job.m_id.substr(job.m_id.find('_') + 1);
  return {{"id", std::string(output ? kOutputPrefix : kErrorPrefix) + suffix},
          {"object", "file"},
          {"created_at", job.m_ended.count() / 1000},
          {"filename", job.m_id + (output ? "_output" : "_error") + ".jsonl"},
          {"purpose", "batch_output"}};
}

BodyReader ReadOutputFile(LedgerService& ledgers, const OutputFileId& file) {
  const std::shared_ptr<OutputPager> pager = std::make_shared<OutputPager>(
      OutputPager{ledgers, OutputLedgerId(file.m_job), file.m_kind});
  return [pager](std::span<char> buffer) -> Result<size_t> {
    while (pager->m_pending.empty() && !pager->m_ended) {
      const Status page = ReadPage(*pager);
      if (!page) {
        return tl::unexpected<Error>(page.error());
      }
    }
    const size_t count = std::min(buffer.size(), pager->m_pending.size());
    std::copy_n(pager->m_pending.begin(), count, buffer.begin());
    pager->m_pending.erase(0, count);
    return count;
  };
}

}  // namespace bronzecross
