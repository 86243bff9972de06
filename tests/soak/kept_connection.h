// A caller's connection to one VM, kept for many requests until it ends.

#ifndef BRONZECROSS_TESTS_SOAK_KEPT_CONNECTION_H_
#define BRONZECROSS_TESTS_SOAK_KEPT_CONNECTION_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/net_address.h"
#include "http/http_message.h"

namespace bronzecross {

enum class CallEnd {
  kAnswered,  // with a whole answer
  kNotSent,   // no connection could be opened
  kBroken,    // the connection ended first
  kTimedOut,
};

struct SoakRequest {
  std::string m_method = "POST";
  std::string m_target;
  std::vector<HttpHeader> m_fields;
  std::string m_body;
};

struct SoakAnswer {
  int m_status = 0;
  std::vector<HttpHeader> m_fields;
  std::string m_body;
};

class KeptConnection {
 public:
  explicit KeptConnection(NetAddress address) : m_address(std::move(address)) {}
  ~KeptConnection() { Close(); }
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  // Opens a connection if none is open. Never sends a request twice.
  CallEnd Call(const SoakRequest& request, Millis timeout, SoakAnswer& answer);
  void Close();

 private:
  NetAddress m_address;
  int m_fd = -1;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_KEPT_CONNECTION_H_
