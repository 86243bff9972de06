// Header names, limits and HTTP/2 settings used by both sides of a peer
// connection.

#ifndef BRONZECROSS_PEERS_H2_COMMON_H_
#define BRONZECROSS_PEERS_H2_COMMON_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <string_view>

namespace bronzecross {

inline constexpr std::string_view kPeerPathPrefix = "/peer/";
inline constexpr std::string_view kPeerDeadlineHeader = "x-deadline-ms";
inline constexpr std::string_view kPeerCodeHeader = "x-result-code";
inline constexpr std::string_view kPeerRunHeader = "x-run";

// Large flow-control windows, so that ledger reads are not limited by round
// trips.
inline constexpr int32_t kPeerWindowBytes = 16 << 20;
inline constexpr uint32_t kPeerMaxStreams = 1000;
// Larger messages are rejected.
inline constexpr size_t kPeerMaxBodyBytes = 32 << 20;

inline nghttp2_nv MakeNv(std::string_view name, std::string_view value) {
  return nghttp2_nv{reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
                    reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
                    name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

inline void SubmitPeerSettings(nghttp2_session* session) {
  const std::array<nghttp2_settings_entry, 2> settings = {
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             kPeerMaxStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             static_cast<uint32_t>(kPeerWindowBytes)}};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        kPeerWindowBytes);
}

}  // namespace bronzecross

#endif  // BRONZECROSS_PEERS_H2_COMMON_H_
