#include "batch/file_store.h"

#include <absl/strings/str_cat.h>

#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kPieceBytes = 256 << 10;

}  // namespace

FileStore::FileStore(KvClient& store,
                     LedgerService& ledgers,
                     std::string prefix)
    : m_store(store), m_ledgers(ledgers), m_prefix(std::move(prefix)) {}

Result<json> FileStore::Create(std::string_view workspace,
                               std::string_view name,
                               std::string_view content) {
  const std::string id = "file-" + RandomId();
  const Result<std::unique_ptr<LedgerWriter>> writer = m_ledgers.Create(id);
  if (!writer) {
    return tl::unexpected<Error>(writer.error());
  }
  const size_t bytes = content.size();
  while (!content.empty()) {
    const std::string piece(content.substr(0, kPieceBytes));
    const Result<uint64_t> appended =
        (*writer)->Append(std::span<const std::string>(&piece, 1));
    if (!appended) {
      return tl::unexpected<Error>(appended.error());
    }
    content.remove_prefix(piece.size());
  }
  const Status sealed = (*writer)->Seal();
  if (!sealed) {
    return tl::unexpected<Error>(sealed.error());
  }
  json file = {{"id", id},         {"object", "file"},
               {"bytes", bytes},   {"created_at", WallNow().count() / 1000},
               {"filename", name}, {"purpose", "batch"}};
  json record = {
      {"file", file}, {"workspace", workspace}, {"writer", RandomId()}};
  const Result<int64_t> done = m_store.Commit(
      {{absl::StrCat(m_prefix, "files/", id),
        record.dump(-1, ' ', false, json::error_handler_t::replace), 0}});
  if (!done) {
    return tl::unexpected<Error>(done.error());
  }
  return file;
}

Result<json> FileStore::Get(std::string_view workspace, std::string_view id) {
  const Result<std::optional<KvEntry>> entry =
      m_store.Get(absl::StrCat(m_prefix, "files/", std::string(id)));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (*entry) {
    const json record = json::parse((*entry)->m_value, nullptr, false);
    if (record.is_object() && record.value("workspace", "") == workspace) {
      return record.value("file", json::object());
    }
  }
  return Fail(ResultCode::kNotFound,
              absl::StrCat("there is no file ", std::string(id)));
}

Result<InputFile> FileStore::Find(std::string_view workspace,
                                  std::string_view id) {
  const Result<json> file = Get(workspace, id);
  if (!file) {
    return tl::unexpected<Error>(file.error());
  }
  return InputFile{std::string(id), 0};
}

}  // namespace bronzecross
