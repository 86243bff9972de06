// Sends raw bytes to a server and reads what comes back.

#ifndef BRONZECROSS_TESTS_HOSTILE_RAW_SOCKET_H_
#define BRONZECROSS_TESTS_HOSTILE_RAW_SOCKET_H_

#include <string>
#include <string_view>

#include "base/net_address.h"

namespace bronzecross {

// Connects, sends `bytes`, ends the sending side and reads until the server
// closes, at most for `timeout`.
std::string SendRaw(const NetAddress& server,
                    std::string_view bytes,
                    Millis timeout);

// The same without ending the sending side, for a server that takes its end for
// a caller that has left.
std::string CallRaw(const NetAddress& server,
                    std::string_view bytes,
                    Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HOSTILE_RAW_SOCKET_H_
