// File operations that return errors as Status.

#ifndef BRONZECROSS_LEDGER_FILE_OPS_H_
#define BRONZECROSS_LEDGER_FILE_OPS_H_

#include <string>
#include <string_view>

#include "base/error.h"

namespace bronzecross {

// Owns a file descriptor and closes it on destruction.
class FileHandle {
 public:
  FileHandle(const std::string& path, int flags);
  ~FileHandle();
  FileHandle(const FileHandle&) = delete;
  FileHandle& operator=(const FileHandle&) = delete;

  bool IsOpen() const { return m_fd >= 0; }
  int Fd() const { return m_fd; }

 private:
  int m_fd;
};

// Returns the error for the current errno: kDiskFull if the disk or quota is
// full, otherwise kInternal.
tl::unexpected<Error> FileError(std::string_view what, const std::string& path);

// Replaces the content of `path` atomically and durably.
Status ReplaceFile(const std::string& path, std::string_view content);

// Makes created, renamed and removed entries of `folder` durable.
Status SyncFolder(const std::string& folder);

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_FILE_OPS_H_
