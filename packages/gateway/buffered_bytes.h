// Limits the memory taken by responses that are read before they are relayed.

#ifndef BRONZECROSS_GATEWAY_BUFFERED_BYTES_H_
#define BRONZECROSS_GATEWAY_BUFFERED_BYTES_H_

#include <cstddef>

namespace bronzecross {

// Maximum size of a response that isn't streamed. It is read completely before
// it is relayed, so that a broken response can still be followed by another
// attempt or an error response.
inline constexpr size_t kMaxBufferedBytes = 4 << 20;

// Maximum size of all responses together that this VM reads before it relays
// them. Many large responses at once would take more memory than the smallest
// VMs have.
inline constexpr size_t kMaxTotalBufferedBytes = 32 << 20;

// Responses up to this size don't count toward kMaxTotalBufferedBytes.
inline constexpr size_t kUncountedBytes = 64 << 10;

// Counts the bytes of one buffered response in the total of the VM.
class BufferedBytes {
 public:
  explicit BufferedBytes(size_t& total) : m_total(total) {}
  ~BufferedBytes() { m_total -= m_counted; }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  // Returns whether a response of `bytes` may be kept in memory.
  bool Update(size_t bytes) {
    const size_t counted = bytes > kUncountedBytes ? bytes : 0;
    m_total += counted - m_counted;
    m_counted = counted;
    return bytes <= kMaxBufferedBytes &&
           (counted == 0 || m_total <= kMaxTotalBufferedBytes);
  }

 private:
  size_t& m_total;
  size_t m_counted = 0;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_BUFFERED_BYTES_H_
