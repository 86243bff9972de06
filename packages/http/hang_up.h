// Tells whether the other side of a connection has gone.

#ifndef BRONZECROSS_HTTP_HANG_UP_H_
#define BRONZECROSS_HTTP_HANG_UP_H_

namespace bronzecross {

// Whether the other side has closed its sending direction and all it sent was
// read. False for a negative `fd`. Does not block.
bool HasHungUp(int fd);

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HANG_UP_H_
