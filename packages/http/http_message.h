// HTTP requests and replies of the server.

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

// Returns the value of the first header called `name`, ignoring case, or an
// empty string if there is none.
std::string_view FindHeader(std::span<const HttpHeader> headers,
                            std::string_view name);

struct HttpRequest {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::vector<HttpHeader> m_headers;
  // The complete body; empty if it was passed to a sink.
  std::string m_body;
  // Fields of a multipart body other than the one passed to the sink.
  std::map<std::string, std::string> m_form;
  // The file name of the multipart field passed to the sink.
  std::string m_file_name;
  // State of the sink, set by HttpHandlers::m_plan and freed with the request.
  std::shared_ptr<void> m_sink_state;
  // The caller's socket, which is watched for hang-up during upstream calls.
  int m_client_fd = -1;
};

// Fills the buffer and returns the number of bytes, or 0 at the end. On an
// error the connection is aborted, so that the caller detects the incomplete
// response.
using BodyReader = std::function<Result<size_t>(std::span<char>)>;

struct HttpReply {
  int m_status = 200;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  // If set, produces the body instead of m_body, on the thread of the
  // connection.
  BodyReader m_reader;
};

// How the server handles the body of a request, decided from the headers.
struct BodyPlan {
  // Maximum size of the body; larger ones are rejected.
  int64_t m_max_bytes = 0;
  // If set, receives the body, or its multipart field "file", in pieces.
  std::function<Status(std::string_view)> m_sink;
  // If set, the body is discarded and this reply is sent.
  std::optional<HttpReply> m_refusal;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_HTTP_MESSAGE_H_
