// Detects that the peer of a connection has hung up.

#ifndef BRONZECROSS_HTTP_HANG_UP_H_
#define BRONZECROSS_HTTP_HANG_UP_H_

namespace bronzecross {

// Returns whether the peer has closed its sending side and all that it sent has
// been read. Returns false for a negative `fd`. Does not block.
bool HasHungUp(int fd);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HANG_UP_H_
