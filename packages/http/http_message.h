// Plain structs for HTTP requests and replies.

#ifndef BRONZECROSS_HTTP_HTTP_MESSAGE_H_
#define BRONZECROSS_HTTP_HTTP_MESSAGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace bronzecross {

struct HttpHeader {
  std::string m_name;
  std::string m_value;
};

// The value of the first header called `name`, ignoring case; empty if none.
std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name);

struct HttpRequest {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::vector<HttpHeader> m_headers;
  // The whole body, or empty if a sink took it.
  std::string m_body;
  // Fields of a multipart body other than the one the sink took.
  std::map<std::string, std::string> m_form;
  // The file name of the multipart field that the sink took.
  std::string m_file_name;
  // Belongs to whoever planned the body; freed with the request.
  std::shared_ptr<void> m_sink_state;
  // The caller's socket, watched for hang-up during upstream calls.
  int m_client_fd = -1;
};

// Fills the buffer and returns the number of bytes, 0 at the end. An error
// cuts the connection, so that the caller sees that the answer is not whole.
using BodyReader = std::function<Result<size_t>(std::span<char>)>;

struct HttpReply {
  int m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  // If set, gives the body in place of m_body, on the connection's thread.
  BodyReader m_reader;
};

// What a server does with a request's body, decided from the headers.
struct BodyPlan {
  int64_t m_max_bytes = 0;
  // If set, receives the body (or the multipart field "file") piece by piece.
  std::function<Status(std::string_view)> m_sink;
  // If set, the request is answered with this and the body is dropped.
  std::optional<HttpReply> m_refusal;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_MESSAGE_H_
