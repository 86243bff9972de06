// Checks the status lines of HTTP/1.1 responses. The HTTP libraries accept
// statuses of other lengths and ranges, and pass them on.

#ifndef BRONZECROSS_BASE_STATUS_LINE_H_
#define BRONZECROSS_BASE_STATUS_LINE_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace bronzecross {

// Number of bytes of a response that ParseStatus() needs: the version, the
// status, and the space or line end after it.
inline constexpr size_t kStatusLineBytes = 13;

// Returns the status of a response that begins with `start`, whose bytes after
// the first kStatusLineBytes aren't read. Returns std::nullopt unless it is a
// number of three digits from 100 to 599. 101 is no valid status either, as no
// request here asks for another protocol.
std::optional<int> ParseStatus(std::string_view start);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_STATUS_LINE_H_
