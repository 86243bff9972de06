// Predicts which prompt prefixes each engine holds in its cache, from the
// requests of this VM and the reports of the VMs of its group. The result is a
// hint: an engine may have evicted a prefix for prompts of other VM groups.

#ifndef BRONZECROSS_PROMPT_CACHE_PROMPT_CACHE_VIEW_H_
#define BRONZECROSS_PROMPT_CACHE_PROMPT_CACHE_VIEW_H_

#include <cstdint>
#include <list>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "base/clock.h"
#include "cluster/gossip_message.h"
#include "prompt_cache/expected_saving.h"
#include "prompt_cache/prefix_reports.h"
#include "prompt_cache/prompt_chain.h"

namespace bronzecross {

// Returns the key of one run of an engine. A restarted engine gets another key,
// under which nothing is known: its cache is empty. `started` is the Unix time
// of its start.
uint32_t EngineRunKey(std::string_view id, Millis started);

class PromptCacheView {
 public:
  // Records that a request was sent. `memory_tokens` is the memory of the
  // engine, by which the least recently used prefixes are evicted; zero:
  // unknown.
  void OnSent(uint32_t engine,
              int64_t memory_tokens,
              const PromptChain& prompt,
              Millis now);
  // Records that the response to a request has begun, so that the engine has
  // read the prompt.
  void OnResponse(uint32_t engine, const PromptChain& prompt, Millis now);
  // Records that the engine didn't run the request.
  void OnNotRun(uint32_t engine, const PromptChain& prompt);

  // Returns the parts from the start of `prompt` that the engine probably
  // holds.
  HeldParts Find(uint32_t engine, const PromptChain& prompt, Millis now) const;

  // Returns the number of requests that this VM sent to the engine recently,
  // of which the older ones count for less.
  double CountRecentRequests(uint32_t engine, Millis now) const;

  void AddToGossip(GossipMessage& gossip, Millis now) {
    m_reports.AddToGossip(gossip, now);
  }
  // Records the reports of another VM of this VM's group.
  void OnGossip(const GossipMessage& gossip, Millis now);

  // Returns the number of prefixes of all engines.
  size_t CountPrefixes() const { return m_count; }

 private:
  struct Entry {
    uint32_t m_prefix = 0;
    int64_t m_tokens = 0;
    Millis m_sent;
    Millis m_confirmed;  // zero: not yet
    Millis m_reported;   // to the other VMs; zero: never
  };
  using Entries = std::list<Entry>;
  struct Engine {
    Entries m_entries;  // most recently used first
    absl::flat_hash_map<uint32_t, Entries::iterator> m_by_prefix;
    int64_t m_tokens = 0;  // sum over m_entries
    int64_t m_memory_tokens = 0;
    // Recent requests, and when they were counted.
    double m_recent = 0;
    Millis m_recent_at;
    std::list<uint32_t>::iterator m_use;  // in m_engine_use
  };

  // Returns the engine and makes it the most recently used one.
  Engine& Use(uint32_t key);
  // Returns the entry of a prefix and makes it the most recently used one.
  Entry& Use(Engine& engine, uint32_t prefix, int64_t tokens);
  // Enters a part as confirmed and reports it if it is due.
  void Confirm(uint32_t key,
               Engine& engine,
               const ChainedPart& part,
               int64_t tokens_behind,
               Millis now);
  void EvictLast(Engine& engine);
  // Evicts what exceeds the memory of the engine `key` and the bounds of this
  // view.
  void Trim(Engine& engine);

  absl::flat_hash_map<uint32_t, Engine> m_engines;
  std::list<uint32_t> m_engine_use;  // keys, most recently used first
  size_t m_count = 0;                // entries of all engines
  PrefixReports m_reports;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_PROMPT_CACHE_PROMPT_CACHE_VIEW_H_
