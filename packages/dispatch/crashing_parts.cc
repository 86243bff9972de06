#include "dispatch/crashing_parts.h"

#include <algorithm>
#include <tuple>

namespace bronzecross {
namespace {

// Crashes at different moments that blame a part. Crashes with another cause
// often strike many upstreams at once, and so count as one.
constexpr int kMinMoments = 4;
constexpr Millis kMomentLength{250};

// An upstream takes longer than this to be back after a crash, so two reports
// within this time tell of the same crash.
constexpr Millis kSameCrash{1'000};

constexpr Millis kCrashRetention{60'000};
constexpr Millis kCompletionRetention{60'000};
constexpr Millis kBlameRetention{600'000};
constexpr Millis kDisputeRetention{10'000};

// How long after a crash its sound parts are reported.
constexpr Millis kExonerationTime{10'000};

// Bounds of the memory used.
constexpr size_t kMaxCrashes = 128;
constexpr size_t kMaxCompletions = 8'192;

bool HasPart(const PartCrash& crash, uint32_t part) {
  return std::find(crash.m_parts.begin(), crash.m_parts.end(), part) !=
         crash.m_parts.end();
}

Millis LastCompletion(const CrashingParts& parts, uint32_t part) {
  const auto found = parts.m_completions.find(part);
  return found == parts.m_completions.end() ? Millis() : found->second;
}

struct Suspect {
  uint32_t m_part = 0;
  bool m_has_completed = false;
  int m_moments = 0;
  Millis m_since;         // first of the moments
  size_t m_position = 0;  // in the prompt
};

// Counts the moments of the crashes with the part after its last completion.
void CountMoments(const CrashingParts& parts,
                  std::span<const PartCrash* const> crashes,
                  Suspect& suspect) {
  const Millis completed = LastCompletion(parts, suspect.m_part);
  std::vector<Millis> times;
  for (const PartCrash* crash : crashes) {
    if (crash->m_at > completed && HasPart(*crash, suspect.m_part)) {
      times.push_back(crash->m_at);
    }
  }
  std::sort(times.begin(), times.end());
  suspect.m_has_completed = completed != Millis();
  suspect.m_since = times.empty() ? Millis() : times.front();
  Millis last;
  for (const Millis time : times) {
    if (suspect.m_moments == 0 || time - last >= kMomentLength) {
      ++suspect.m_moments;
      last = time;
    }
  }
}

std::optional<Suspect> FindWorstSuspect(
    const CrashingParts& parts,
    std::span<const PartCrash* const> crashes) {
  std::map<uint32_t, Suspect> suspects;
  for (const PartCrash* crash : crashes) {
    for (size_t i = 0; i < crash->m_parts.size(); ++i) {
      Suspect& suspect = suspects[crash->m_parts[i]];
      suspect.m_part = crash->m_parts[i];
      suspect.m_position = std::max(suspect.m_position, i);
    }
  }
  std::optional<Suspect> worst;
  const auto rank = [](const Suspect& suspect) {
    return std::tuple(!suspect.m_has_completed, suspect.m_moments,
                      suspect.m_position);
  };
  for (auto entry = suspects.begin(); entry != suspects.end(); ++entry) {
    Suspect& suspect = entry->second;
    CountMoments(parts, crashes, suspect);
    if (suspect.m_moments >= kMinMoments &&
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
          now - crash.m_at >= kCrashSettleTime &&
          !FindBlamed(parts, crash.m_parts)) {
        unexplained.push_back(&crash);
      }
    }
    const std::optional<Suspect> suspect = FindWorstSuspect(parts, unexplained);
    if (!suspect) {
      return found;
    }
    parts.m_blamed[suspect->m_part] = suspect->m_since;
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
