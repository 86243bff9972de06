#include "ledger/ledger_record.h"

#include <cstring>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Stored in little-endian, the byte order of all supported machines.
struct Header {
  uint64_t m_checksum = 0;  // of the rest of the header and the payload
  uint64_t m_sequence = 0;
  uint64_t m_epoch = 0;
  uint32_t m_length = 0;
  uint32_t m_magic = 0;
};

constexpr uint32_t kMagic = 0x42584c31;

uint64_t Checksum(const Header& header, std::string_view payload) {
  const char* bytes = reinterpret_cast<const char*>(&header);
  const std::string_view rest(bytes + sizeof(header.m_checksum),
                              sizeof(header) - sizeof(header.m_checksum));
  return Hash64(payload, Hash64(rest));
}

}  // namespace

void AppendRecord(std::string& out, const LedgerRecord& record) {
  Header header;
  header.m_sequence = record.m_sequence;
  header.m_epoch = record.m_epoch;
  header.m_length = static_cast<uint32_t>(record.m_payload.size());
  header.m_magic = kMagic;
  header.m_checksum = Checksum(header, record.m_payload);
  out.append(reinterpret_cast<const char*>(&header), sizeof(header));
  out.append(record.m_payload);
}

Result<LedgerRecord> ConsumeRecord(std::string_view& bytes) {
  Header header;
  if (bytes.size() < sizeof(header)) {
    return Fail(ResultCode::kCorrupt, "the record's header is incomplete");
  }
  std::memcpy(&header, bytes.data(), sizeof(header));
  if (header.m_magic != kMagic || header.m_length > kMaxRecordBytes) {
    return Fail(ResultCode::kCorrupt, "the record's header is damaged");
  }
  if (bytes.size() - sizeof(header) < header.m_length) {
    return Fail(ResultCode::kCorrupt, "the record is incomplete");
  }
  const std::string_view payload =
      bytes.substr(sizeof(header), header.m_length);
  if (header.m_checksum != Checksum(header, payload)) {
    return Fail(ResultCode::kCorrupt, "the record's checksum does not match");
  }
  bytes.remove_prefix(sizeof(header) + header.m_length);
  return LedgerRecord{header.m_sequence, header.m_epoch, std::string(payload)};
}

bool IsTornRecord(std::string_view bytes) {
  Header header;
  if (bytes.size() >= sizeof(header)) {
    std::memcpy(&header, bytes.data(), sizeof(header));
    if (header.m_magic != kMagic || header.m_length > kMaxRecordBytes ||
        bytes.size() - sizeof(header) >= header.m_length) {
      return false;
    }
  }
  // A corrupt length may also point beyond the end, but then whole records can
  // follow it.
  const std::string_view magic(reinterpret_cast<const char*>(&kMagic),
                               sizeof(kMagic));
  for (size_t at = bytes.find(magic, sizeof(header));
       at != std::string_view::npos; at = bytes.find(magic, at + 1)) {
    std::string_view later = bytes.substr(at + sizeof(kMagic) - sizeof(header));
    if (ConsumeRecord(later)) {
      return false;
    }
  }
  return true;
}

}  // namespace bronzecross
