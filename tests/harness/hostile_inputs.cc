#include "harness/hostile_inputs.h"

#include "base/text.h"

namespace bronzecross {
namespace {

constexpr size_t kMiB = 1 << 20;

std::string ChunkedHead(std::string_view path) {
  return Concat(
      "POST ", path,
      " HTTP/1.1\r\nHost: gateway.test\r\nAuthorization: Bearer key-a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n");
}

}  // namespace

std::vector<HostileInput> HostileInputs(const HostilePaths& paths) {
  const std::string& path = paths.m_post;
  const std::string request = Concat("POST ", path, " HTTP/1.1\r\n");
  const std::string large_chunk = "10000\r\n" + std::string(0x10000, 'x');
  return {
      {"short header fields over the limit", request, "a:\r\n", 60'000},
      {"header field without end", request + "X: ", std::string(4'096, 'x'),
       kMiB},
      {"target without end", "POST /", std::string(4'096, 'x'), kMiB},
      {"empty lines without end", "", "\r\n\r\n\r\n\r\n", 256'000},
      {"large chunks that stop short of the end", ChunkedHead(path),
       large_chunk + "\r\n", 900'000},
      {"very small chunks that stop short of the end", ChunkedHead(path),
       "4\r\nxxxx\r\n", kMiB},
      {"announced body over the limit",
       request + "Host: gateway.test\r\nContent-Length: 999999999999\r\n\r\n",
       std::string(4'096, 'x'), kMiB},
      {"sent body over the limit", ChunkedHead(path), large_chunk + "\r\n",
       3 * kMiB / 2},
      {"requests behind one another",
       "POST " + paths.m_first +
           " HTTP/1.1\r\nHost: gateway.test\r\nAuthorization: Bearer "
           "key-a\r\n"
           "Content-Length: 1\r\n\r\nx",
       "GET " + paths.m_later + " HTTP/1.1\r\nHost: gateway.test\r\n\r\n",
       512'000},
  };
}

}  // namespace bronzecross
