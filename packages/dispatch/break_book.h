// Remembers which requests broke their upstreams' answers, and decides when one
// is not run any more. It answers requests that crash each upstream that runs
// them and come again, at any VM.

#ifndef BRONZECROSS_DISPATCH_BREAK_BOOK_H_
#define BRONZECROSS_DISPATCH_BREAK_BOOK_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "cluster/cluster_view.h"

namespace bronzecross {

// Hash of what is the same when a request comes again.
uint32_t RequestFingerprint(std::string_view workspace,
                            std::string_view target,
                            std::string_view body);

class BreakBook {
 public:
  void NoteBreak(uint32_t fingerprint, Millis now);
  // The request was answered whole, so it didn't cause the breaks.
  void NoteAnswer(uint32_t fingerprint) { m_breaks.erase(fingerprint); }

  // Whether the request is not to be run any more, by the breaks seen here and
  // those that the peers told of.
  bool IsGivenUp(uint32_t fingerprint,
                 const ClusterView& cluster,
                 Millis now) const;
  // Adds the latest breaks to the news.
  void AddToNews(GossipMessage& news, Millis now) const;
  void Expire(Millis now);

 private:
  struct Entry {
    int m_count = 0;
    Millis m_last;
  };

  std::map<uint32_t, Entry> m_breaks;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_DISPATCH_BREAK_BOOK_H_
