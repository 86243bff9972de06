// Hands in batch jobs, waits for them and checks their output.

#ifndef BRONZECROSS_TESTS_HARNESS_BATCH_CALLER_H_
#define BRONZECROSS_TESTS_HARNESS_BATCH_CALLER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "harness/cluster.h"

namespace bronzecross {

struct BatchSpec {
  // Prompts and custom_ids start with it, so that jobs can be told apart.
  std::string m_name = "job";
  int m_chat_items = 0;
  int64_t m_tokens = 4;
  // Items for /desk/receipts, which is not idempotent.
  int m_receipts = 0;
  std::string m_window = "24h";
  // Further input lines.
  std::string m_extra;
};

std::string BatchInput(const BatchSpec& spec);

// What the output and error files of a job hold.
struct BatchResult {
  // Lines by custom_id, of both files together.
  std::map<std::string, int> m_lines;
  std::map<std::string, std::string> m_error_codes;
  int64_t m_succeeded = 0;
  // Chat items whose text is not exactly the engine's answer.
  int64_t m_wrong = 0;
  bool m_readable = false;
};

// Whether there is exactly one line for each of `items` custom_ids.
bool EachOnce(const BatchResult& result, size_t items);

class BatchCaller {
 public:
  explicit BatchCaller(Cluster& cluster) : m_cluster(cluster) {}

  // Uploads the input at `vm`, again until it succeeds. Returns the file's id,
  // or an empty string after `timeout`.
  std::string Upload(int vm, const BatchSpec& spec, Millis timeout);
  // Submits a job; null if there is no whole answer.
  nlohmann::json Submit(int vm,
                        const std::string& file,
                        const std::string& key,
                        const std::string& window = "24h");
  // The batch object, or null.
  nlohmann::json Get(int vm, const std::string& job);
  // Completed items so far; 0 if `vm` does not answer.
  int64_t Ended(int vm, const std::string& job);
  std::string StateOf(int vm, const std::string& job);
  // Waits until the job has ended, asking any VM of `vms` that answers.
  std::string WaitEnded(const std::vector<int>& vms,
                        const std::string& job,
                        Millis timeout);
  BatchResult Read(int vm, const std::string& job, const BatchSpec& spec);

 private:
  Cluster& m_cluster;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_BATCH_CALLER_H_
