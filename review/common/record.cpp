#include "record.hpp"

#include <cstdlib>
#include <memory>

namespace review {
namespace {

std::unique_ptr<Record> g_record;

}  // namespace

Record::Record(const std::string& path)
    : m_start(bronzecross::MonotonicNow()),
      m_file(std::fopen(path.c_str(), "w")) {
  if (m_file == nullptr) {
    std::fprintf(stderr, "cannot write %s\n", path.c_str());
    std::exit(2);
  }
}

Record::~Record() {
  std::fclose(m_file);
}

int64_t Record::Now() const {
  return (bronzecross::MonotonicNow() - m_start).count();
}

void Record::Line(std::string_view actor, std::string_view text) {
  absl::MutexLock lock(&m_mutex);
  std::fprintf(m_file, "%7lld ms  %-10.*s %.*s\n",
               static_cast<long long>(Now()), static_cast<int>(actor.size()),
               actor.data(), static_cast<int>(text.size()), text.data());
  std::fflush(m_file);
}

Record& TheRecord() {
  return *g_record;
}

void OpenRecord(const std::string& path) {
  g_record = std::make_unique<Record>(path);
}

}  // namespace review
