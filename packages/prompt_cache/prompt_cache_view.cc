#include "prompt_cache/prompt_cache_view.h"

#include <cmath>
#include <string>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Maximum number of prefixes of one engine and of all engines. Some 100 bytes
// each; the smallest VMs have 120 MB.
constexpr size_t kMaxPerEngine = 1'024;
constexpr size_t kMaxPrefixes = 32'768;

// A prefix is reported again only after this time, so that the reports of a
// popular one don't displace others. Much shorter than its half-life.
constexpr Millis kReportInterval{5'000};

// Key of the memory that prompts reported by other VMs take behind a prefix.
uint32_t KeyOfTokensBehind(uint32_t prefix) {
  return ~prefix;
}

// Half-life of the count of recent requests.
constexpr double kRecentHalfLifeMs = 10'000;

double Decayed(double count, Millis age) {
  return count *
         std::exp2(-static_cast<double>(age.count()) / kRecentHalfLifeMs);
}

}  // namespace

uint32_t EngineRunKey(std::string_view id, Millis started) {
  return static_cast<uint32_t>(
      Hash64(id, static_cast<uint64_t>(started.count())));
}

PromptCacheView::Engine& PromptCacheView::Use(uint32_t key) {
  const auto inserted = m_engines.try_emplace(key);
  Engine& engine = inserted.first->second;
  if (inserted.second) {
    m_engine_use.push_front(key);
    engine.m_use = m_engine_use.begin();
  } else {
    m_engine_use.splice(m_engine_use.begin(), m_engine_use, engine.m_use);
  }
  return engine;
}

PromptCacheView::Entry& PromptCacheView::Use(Engine& engine,
                                             uint32_t prefix,
                                             int64_t tokens) {
  const auto found = engine.m_by_prefix.find(prefix);
  if (found != engine.m_by_prefix.end()) {
    engine.m_entries.splice(engine.m_entries.begin(), engine.m_entries,
                            found->second);
    return engine.m_entries.front();
  }
  engine.m_entries.push_front({prefix, tokens});
  engine.m_by_prefix.emplace(prefix, engine.m_entries.begin());
  engine.m_tokens += tokens;
  ++m_count;
  return engine.m_entries.front();
}

void PromptCacheView::OnSent(uint32_t engine,
                             int64_t memory_tokens,
                             const PromptChain& prompt,
                             Millis now) {
  Engine& state = Use(engine);
  state.m_memory_tokens = memory_tokens;
  state.m_recent = Decayed(state.m_recent, now - state.m_recent_at) + 1;
  state.m_recent_at = now;
  // The start of a prompt is evicted after the parts behind it.
  for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
    Use(state, part->m_prefix, part->m_tokens).m_sent = now;
  }
  Trim(state);
}

void PromptCacheView::Confirm(uint32_t key,
                              Engine& engine,
                              const ChainedPart& part,
                              int64_t tokens_behind,
                              Millis now) {
  Entry& entry = Use(engine, part.m_prefix, part.m_tokens);
  // The last part of a prompt is of use to others only if it comes again.
  const bool is_reusable = part.m_shared || entry.m_confirmed != Millis();
  entry.m_confirmed = now;
  const bool is_due =
      entry.m_reported == Millis() || now - entry.m_reported >= kReportInterval;
  if (is_reusable && is_due) {
    entry.m_reported = now;
    m_reports.Add({key, part.m_prefix, part.m_tokens, tokens_behind});
  }
}

void PromptCacheView::OnResponse(uint32_t engine,
                                 const PromptChain& prompt,
                                 Millis now) {
  Engine& state = Use(engine);
  // Memory behind the last shared part, which nobody else reports.
  int64_t own_tokens = 0;
  for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
    Confirm(engine, state, *part, part->m_shared ? own_tokens : 0, now);
    own_tokens = part->m_shared ? 0 : part->m_tokens;
  }
  Trim(state);
}

void PromptCacheView::OnNotRun(uint32_t engine, const PromptChain& prompt) {
  const auto found = m_engines.find(engine);
  if (found == m_engines.end()) {
    return;
  }
  Engine& state = found->second;
  for (const ChainedPart& part : prompt) {
    const auto entry = state.m_by_prefix.find(part.m_prefix);
    if (entry != state.m_by_prefix.end() &&
        entry->second->m_confirmed == Millis()) {
      state.m_tokens -= entry->second->m_tokens;
      state.m_entries.erase(entry->second);
      state.m_by_prefix.erase(entry);
      --m_count;
    }
  }
  if (state.m_entries.empty()) {
    m_engine_use.erase(state.m_use);
    m_engines.erase(found);
  }
}

HeldParts PromptCacheView::Find(uint32_t engine,
                                const PromptChain& prompt,
                                Millis now) const {
  HeldParts held;
  const auto found = m_engines.find(engine);
  if (found == m_engines.end()) {
    return held;
  }
  for (const ChainedPart& part : prompt) {
    const auto entry = found->second.m_by_prefix.find(part.m_prefix);
    if (entry == found->second.m_by_prefix.end()) {
      break;
    }
    const Entry& known = *entry->second;
    const bool is_confirmed = known.m_confirmed != Millis();
    const Millis age = now - (is_confirmed ? known.m_confirmed : known.m_sent);
    if (age >= kMaxHeldAge) {
      break;
    }
    held.push_back({part.m_tokens, age, is_confirmed});
  }
  return held;
}

double PromptCacheView::CountRecentRequests(uint32_t engine, Millis now) const {
  const auto found = m_engines.find(engine);
  return found == m_engines.end()
             ? 0
             : Decayed(found->second.m_recent, now - found->second.m_recent_at);
}

void PromptCacheView::OnGossip(const GossipMessage& gossip, Millis now) {
  // The newest reports come first, and the start of a prompt before the parts
  // behind it.
  for (auto report = gossip.m_prefixes.rbegin();
       report != gossip.m_prefixes.rend(); ++report) {
    Engine& engine = Use(report->m_engine);
    if (report->m_tokens_behind > 0) {
      Use(engine, KeyOfTokensBehind(report->m_prefix), report->m_tokens_behind)
          .m_sent = now;
    }
    Entry& entry = Use(engine, report->m_prefix, report->m_tokens);
    entry.m_confirmed = now;
    // Each VM of the group has the same report.
    entry.m_reported = now;
    Trim(engine);
  }
}

void PromptCacheView::EvictLast(Engine& engine) {
  const Entry& last = engine.m_entries.back();
  engine.m_tokens -= last.m_tokens;
  engine.m_by_prefix.erase(last.m_prefix);
  engine.m_entries.pop_back();
  --m_count;
}

void PromptCacheView::Trim(Engine& engine) {
  while (engine.m_entries.size() > kMaxPerEngine ||
         (engine.m_memory_tokens > 0 &&
          engine.m_tokens > engine.m_memory_tokens)) {
    EvictLast(engine);
  }
  while (m_count > kMaxPrefixes) {
    const auto last = m_engines.find(m_engine_use.back());
    if (!last->second.m_entries.empty()) {
      EvictLast(last->second);
    }
    if (last->second.m_entries.empty()) {
      m_engine_use.pop_back();
      m_engines.erase(last);
    }
  }
}

}  // namespace bronzecross
