// The record of a case: one line for each thing that was sent, answered, run or
// done to a process, with the time since the start of the script.

#ifndef REVIEW_COMMON_RECORD_HPP_
#define REVIEW_COMMON_RECORD_HPP_

#include <cstdio>
#include <string>
#include <string_view>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"

namespace review {

using bronzecross::Millis;

class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  // Milliseconds since the start.
  int64_t Now() const;
  void Line(std::string_view actor, std::string_view text);

 private:
  const Millis m_start;
  absl::Mutex m_mutex;
  std::FILE* m_file;
};

// The record of this process.
Record& TheRecord();
void OpenRecord(const std::string& path);

}  // namespace review

#endif  // REVIEW_COMMON_RECORD_HPP_
