#include "dispatch/crashing_parts.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace bronzecross {
namespace {

// Crashes at different moments that blame a part. Crashes with another cause
// often strike many upstreams at once, and so count as one.
constexpr int kMinMoments = 4;
constexpr Millis kMomentLength{250};

// Upstreams that crash in a burst too short for kMinMoments. The part may be
// back at a high rate, so one more crash then blames it at once.
constexpr size_t kBurstUpstreams = 5;

// An upstream takes longer than this to be back after a crash, so two reports
// within this time tell of the same crash.
constexpr Millis kSameCrash{1'000};

constexpr Millis kCrashRetention{60'000};
constexpr Millis kCompletionRetention{60'000};
constexpr Millis kBlameRetention{600'000};
constexpr Millis kDisputeRetention{10'000};

// How long after a crash its sound parts are reported.
constexpr Millis kExonerationTime{10'000};

// Bounds of the memory used. The crashes of a part at a high rate, and of the
// requests beside it, must span kMinMoments beyond kCrashSettleTime.
constexpr size_t kMaxCrashes = 1'024;
constexpr size_t kMaxCompletions = 8'192;

Millis LastCompletion(const CrashingParts& parts, uint32_t part) {
  const auto found = parts.m_completions.find(part);
  return found == parts.m_completions.end() ? Millis() : found->second;
}

struct Suspect {
  uint32_t m_part = 0;
  Millis m_completed;  // last completion; zero: none
  // Crashes with the part after its last completion.
  std::vector<const PartCrash*> m_crashes;
  size_t m_position = 0;  // in the prompt
  int m_moments = 0;      // of settled crashes
  // Crashed another upstream after a burst of crashes was settled.
  bool m_is_back = false;

  // Time of the first crash.
  Millis Since() const { return m_crashes.front()->m_at; }
};

bool IsSettled(const PartCrash& crash, Millis now) {
  return now - crash.m_at >= kCrashSettleTime;
}

// Computes what the crashes of `suspect` say of it.
void Evaluate(Suspect& suspect, Millis now) {
  std::sort(
      suspect.m_crashes.begin(), suspect.m_crashes.end(),
      [](const PartCrash* a, const PartCrash* b) { return a->m_at < b->m_at; });
  Millis last;
  std::set<uint32_t> upstreams;
  Millis burst;  // when the last upstream of the burst crashed
  for (const PartCrash* crash : suspect.m_crashes) {
    if (IsSettled(*crash, now) &&
        (suspect.m_moments == 0 || crash->m_at - last >= kMomentLength)) {
      ++suspect.m_moments;
      last = crash->m_at;
    }
    if (upstreams.size() < kBurstUpstreams) {
      upstreams.insert(crash->m_upstream);
      burst = crash->m_at;
    } else if (crash->m_at - burst >= kCrashSettleTime) {
      suspect.m_is_back = true;
    }
  }
}

std::optional<Suspect> FindWorstSuspect(
    const CrashingParts& parts,
    std::span<const PartCrash* const> crashes,
    Millis now) {
  std::map<uint32_t, Suspect> suspects;
  for (const PartCrash* crash : crashes) {
    for (size_t i = 0; i < crash->m_parts.size(); ++i) {
      const auto [entry, is_new] = suspects.try_emplace(crash->m_parts[i]);
      Suspect& suspect = entry->second;
      if (is_new) {
        suspect.m_part = crash->m_parts[i];
        suspect.m_completed = LastCompletion(parts, suspect.m_part);
      }
      suspect.m_position = std::max(suspect.m_position, i);
      const bool is_counted =
          !suspect.m_crashes.empty() && suspect.m_crashes.back() == crash;
      if (crash->m_at > suspect.m_completed && !is_counted) {
        suspect.m_crashes.push_back(crash);
      }
    }
  }
  std::optional<Suspect> worst;
  const auto rank = [](const Suspect& suspect) {
    return std::tuple(suspect.m_completed == Millis(), suspect.m_moments,
                      suspect.m_position);
  };
  for (auto entry = suspects.begin(); entry != suspects.end(); ++entry) {
    Suspect& suspect = entry->second;
    Evaluate(suspect, now);
    if ((suspect.m_moments >= kMinMoments || suspect.m_is_back) &&
        (!worst || rank(suspect) > rank(*worst))) {
      worst = suspect;
    }
  }
  return worst;
}

}  // namespace

bool RecordCrash(CrashingParts& parts, PartCrash crash) {
  for (PartCrash& known : parts.m_crashes) {
    const Millis apart = known.m_at > crash.m_at ? known.m_at - crash.m_at
                                                 : crash.m_at - known.m_at;
    if (known.m_upstream == crash.m_upstream && apart < kSameCrash &&
        known.m_parts == crash.m_parts) {
      known.m_is_own = known.m_is_own || crash.m_is_own;
      return false;
    }
  }
  parts.m_crashes.push_back(std::move(crash));
  if (parts.m_crashes.size() > kMaxCrashes) {
    parts.m_crashes.pop_front();
  }
  return true;
}

void RecordCompletion(CrashingParts& parts,
                      std::span<const uint32_t> completed,
                      Millis at) {
  for (const uint32_t part : completed) {
    if (parts.m_completions.size() < kMaxCompletions ||
        parts.m_completions.contains(part)) {
      Millis& last = parts.m_completions[part];
      last = std::max(last, at);
    }
    const auto blamed = parts.m_blamed.find(part);
    if (blamed != parts.m_blamed.end() && blamed->second < at) {
      parts.m_blamed.erase(blamed);
    }
  }
}

bool RecordBlame(CrashingParts& parts,
                 uint32_t part,
                 Millis since,
                 Millis now) {
  if (since > LastCompletion(parts, part)) {
    return parts.m_blamed.emplace(part, since).second;
  }
  parts.m_disputed[part] = now;
  return false;
}

std::vector<uint32_t> BlameParts(CrashingParts& parts, Millis now) {
  std::vector<uint32_t> found;
  for (;;) {
    std::vector<const PartCrash*> unexplained;
    for (const PartCrash& crash : parts.m_crashes) {
      if (now - crash.m_at < kCrashRetention &&
          !FindBlamed(parts, crash.m_parts)) {
        unexplained.push_back(&crash);
      }
    }
    const std::optional<Suspect> suspect =
        FindWorstSuspect(parts, unexplained, now);
    if (!suspect) {
      return found;
    }
    parts.m_blamed[suspect->m_part] = suspect->Since();
    found.push_back(suspect->m_part);
  }
}

std::vector<uint32_t> FindExonerated(const CrashingParts& parts,
                                     Millis now,
                                     size_t max) {
  struct Count {
    int m_crashes = 0;
    Millis m_first;
  };
  std::map<uint32_t, Count> counts;
  for (const PartCrash& crash : parts.m_crashes) {
    if (now - crash.m_at >= kExonerationTime) {
      continue;
    }
    for (const uint32_t part : crash.m_parts) {
      Count& count = counts[part];
      count.m_first = count.m_crashes == 0
                          ? crash.m_at
                          : std::min(count.m_first, crash.m_at);
      ++count.m_crashes;
    }
  }
  std::vector<uint32_t> found;
  for (auto entry = counts.begin(); entry != counts.end() && found.size() < max;
       ++entry) {
    if (entry->second.m_crashes > 1 &&
        LastCompletion(parts, entry->first) > entry->second.m_first) {
      found.push_back(entry->first);
    }
  }
  return found;
}

std::optional<uint32_t> FindBlamed(const CrashingParts& parts,
                                   std::span<const uint32_t> request) {
  for (const uint32_t part : request) {
    if (parts.m_blamed.contains(part)) {
      return part;
    }
  }
  return std::nullopt;
}

void Expire(CrashingParts& parts, Millis now) {
  std::erase_if(parts.m_crashes, [now](const PartCrash& crash) {
    return now - crash.m_at >= kCrashRetention;
  });
  std::erase_if(parts.m_completions, [now](const auto& entry) {
    return now - entry.second >= kCompletionRetention;
  });
  std::erase_if(parts.m_blamed, [now](const auto& entry) {
    return now - entry.second >= kBlameRetention;
  });
  std::erase_if(parts.m_disputed, [now](const auto& entry) {
    return now - entry.second >= kDisputeRetention;
  });
}

}  // namespace bronzecross
