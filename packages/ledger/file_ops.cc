#include "ledger/file_ops.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>

#include <absl/strings/str_cat.h>

namespace bronzecross {
namespace {

constexpr int kFileMode = 0600;

}  // namespace

FileHandle::FileHandle(const std::string& path, int flags)
    : m_fd(open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {}

FileHandle::~FileHandle() {
  if (m_fd >= 0) {
    close(m_fd);
  }
}

tl::unexpected<Error> FileError(std::string_view what,
                                const std::string& path) {
  const int code = errno;
  const bool full = code == ENOSPC || code == EDQUOT || code == EFBIG;
  return Fail(full ? ResultCode::kDiskFull : ResultCode::kInternal,
              absl::StrCat("cannot ", std::string(what), " ", path, ": ",
                           std::strerror(code)));
}

Status SyncFolder(const std::string& folder) {
  const FileHandle handle(folder, O_RDONLY | O_DIRECTORY);
  if (!handle.IsOpen() || fsync(handle.Fd()) != 0) {
    return FileError("sync", folder);
  }
  return {};
}

Status ReplaceFile(const std::string& path, std::string_view content) {
  const std::string temp_path = path + ".new";
  {
    const FileHandle handle(temp_path, O_WRONLY | O_CREAT | O_TRUNC);
    if (!handle.IsOpen() ||
        write(handle.Fd(), content.data(), content.size()) !=
            static_cast<ssize_t>(content.size()) ||
        fsync(handle.Fd()) != 0) {
      return FileError("write", temp_path);
    }
  }
  if (std::rename(temp_path.c_str(), path.c_str()) != 0) {
    return FileError("rename", temp_path);
  }
  return SyncFolder(std::filesystem::path(path).parent_path().string());
}

}  // namespace bronzecross
