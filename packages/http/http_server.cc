#include "http/http_server.h"

#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <bit>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "base/log.h"
#include "base/metrics.h"
#include "http/body_budget.h"
#include "http/http_error_reply.h"

namespace bronzecross {
namespace {

constexpr size_t kReplyBlockBytes = 16 * 1024;
constexpr size_t kPostBufferBytes = 16 * 1024;
constexpr size_t kMaxFormFieldBytes = 4096;
// Multipart field that is passed to BodyPlan::m_sink.
constexpr std::string_view kSinkField = "file";

// Maximum size of a body that is read and discarded if its request is rejected
// on the header. It limits how much a caller without a valid key can send.
constexpr int64_t kMaxRejectedBodyBytes = 8 << 20;

// Delay before a retry of a request for which there was no memory.
constexpr Millis kNoMemoryRetryAfter{1'000};

}  // namespace

// State of a request from its header to the end of its reply.
struct HttpServer::Exchange {
  explicit Exchange(HttpServer* server)
      : m_server(server),
        m_held(server->m_held_bytes, server->m_options.m_max_held_bytes) {}

  HttpServer* m_server = nullptr;
  HttpRequest m_request;
  BodyPlan m_plan;
  Status m_body_status;
  int64_t m_body_bytes = 0;
  bool m_too_large = false;
  HeldBody m_held;
  bool m_over_budget = false;
  MHD_PostProcessor* m_post = nullptr;
  BodyReader m_reader;
};

// Callbacks for the C API of libmicrohttpd.
struct HttpServer::Callbacks {
  static MHD_Result AddHeader(void* out,
                              MHD_ValueKind,
                              const char* name,
                              const char* value) {
    static_cast<std::vector<HttpHeader>*>(out)->push_back(
        {name, value != nullptr ? value : ""});
    return MHD_YES;
  }

  static MHD_Result AddArgument(void* out,
                                MHD_ValueKind,
                                const char* name,
                                const char* value) {
    static_cast<std::map<std::string, std::string>*>(out)->emplace(
        name, value != nullptr ? value : "");
    return MHD_YES;
  }

  static MHD_Result OnFormField(void* self,
                                MHD_ValueKind,
                                const char* name,
                                const char* file_name,
                                const char*,
                                const char*,
                                const char* data,
                                uint64_t,
                                size_t size) {
    Exchange& exchange = *static_cast<Exchange*>(self);
    if (name == kSinkField) {
      if (file_name != nullptr) {
        exchange.m_request.m_file_name = file_name;
      }
      if (exchange.m_body_status) {
        exchange.m_body_status = exchange.m_plan.m_sink({data, size});
      }
      return MHD_YES;
    }
    std::string& value = exchange.m_request.m_form[name];
    if (value.size() + size > kMaxFormFieldBytes) {
      exchange.m_body_status =
          Fail(ResultCode::kMalformedBody, "a form field is too long");
      return MHD_NO;
    }
    value.append(data, size);
    return MHD_YES;
  }

  static Exchange* Begin(HttpServer* server,
                         MHD_Connection* connection,
                         const char* url,
                         const char* method) {
    Exchange* exchange = new Exchange(server);
    ++server->m_active;
    server->RecordActivity();
    HttpRequest& request = exchange->m_request;
    request.m_method = method;
    request.m_path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &AddHeader,
                              &request.m_headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &AddArgument,
                              &request.m_query);
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    request.m_client_fd = info != nullptr ? info->connect_fd : -1;
    exchange->m_plan = server->m_handlers.m_plan(request);
    return exchange;
  }

  // Returns a refusal if it must be sent before the body is read. Bodies up to
  // DrainLimit() are read completely first: closing a connection with unread
  // bytes resets it, and a caller that is still sending would lose the refusal.
  static std::optional<HttpReply> RejectByHeader(Exchange& exchange) {
    int64_t length = 0;
    const std::string text(
        FindHeader(exchange.m_request.m_headers, "Content-Length"));
    const bool has_length = absl::SimpleAtoi(text, &length);
    const bool is_over_drain_limit =
        has_length && length > DrainLimit(exchange);
    if (exchange.m_plan.m_refusal) {
      return is_over_drain_limit ? std::move(exchange.m_plan.m_refusal)
                                 : std::nullopt;
    }
    if (is_over_drain_limit) {
      return BodyTooLargeReply(exchange);
    }
    exchange.m_too_large = has_length && length > exchange.m_plan.m_max_bytes;
    return std::nullopt;
  }

  // Returns the maximum size of a body that is read and discarded before a
  // refusal is sent.
  static int64_t DrainLimit(const Exchange& exchange) {
    const int64_t limit = 2 * exchange.m_plan.m_max_bytes + 65536;
    return exchange.m_plan.m_refusal ? std::min(limit, kMaxRejectedBodyBytes)
                                     : limit;
  }

  static HttpReply BodyTooLargeReply(const Exchange& exchange) {
    return ErrorReply(
        Fail(ResultCode::kBodyTooLarge,
             absl::StrCat("the request body exceeds the limit of ",
                          exchange.m_plan.m_max_bytes, " bytes for this path"))
            .value());
  }

  // Appends to the body. Over the budget, the body is dropped and the rest of
  // it is read without holding it, so that the caller gets the refusal.
  static void HoldBody(Exchange& exchange, std::string_view piece) {
    std::string& body = exchange.m_request.m_body;
    if (exchange.m_over_budget) {
      return;
    }
    const size_t size = body.size() + piece.size();
    // The memory is counted before it is taken, as the threads of many
    // connections get here at the same time.
    const size_t capacity =
        size <= body.capacity() ? body.capacity() : std::bit_ceil(size);
    if (exchange.m_held.Resize(capacity)) {
      body.reserve(capacity);
      body.append(piece);
    } else {
      exchange.m_over_budget = true;
      std::string().swap(body);
      exchange.m_held.Resize(0);
      CountMetric("bronzecross_bound_refusals_total",
                  {{"reason", "memory_budget"}});
    }
  }

  static HttpReply NoMemoryReply() {
    Error error =
        Fail(ResultCode::kOverloaded, "the VM holds too many request bodies")
            .value();
    error.m_retry_after = kNoMemoryRetryAfter;
    return ErrorReply(error);
  }

  // Returns the entry of the connection in the list of open ones.
  static ConnectionList::Connection* FindConnection(
      MHD_Connection* connection) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr
               ? nullptr
               : static_cast<ConnectionList::Connection*>(info->socket_context);
  }

  static void SetBusy(HttpServer* server,
                      MHD_Connection* connection,
                      bool busy) {
    ConnectionList::Connection* entry = FindConnection(connection);
    if (entry != nullptr) {
      server->m_connections.SetBusy(*entry, busy);
    }
  }

  static void ReceiveBody(Exchange& exchange,
                          MHD_Connection* connection,
                          std::string_view piece) {
    exchange.m_body_bytes += static_cast<int64_t>(piece.size());
    if (exchange.m_body_bytes > exchange.m_plan.m_max_bytes) {
      exchange.m_too_large = true;
    }
    if (exchange.m_too_large || exchange.m_plan.m_refusal) {
      return;
    }
    if (!exchange.m_plan.m_sink) {
      HoldBody(exchange, piece);
      return;
    }
    const std::string_view type =
        FindHeader(exchange.m_request.m_headers, "Content-Type");
    if (type.starts_with("multipart/form-data")) {
      if (exchange.m_post == nullptr) {
        exchange.m_post = MHD_create_post_processor(
            connection, kPostBufferBytes, &OnFormField, &exchange);
      }
      if ((exchange.m_post == nullptr ||
           MHD_post_process(exchange.m_post, piece.data(), piece.size()) !=
               MHD_YES) &&
          exchange.m_body_status) {
        exchange.m_body_status =
            Fail(ResultCode::kMalformedBody, "the multipart body is malformed");
      }
    } else if (exchange.m_body_status) {
      exchange.m_body_status = exchange.m_plan.m_sink(piece);
    }
  }

  static ssize_t OnReplyBody(void* self, uint64_t, char* buffer, size_t max) {
    Exchange& exchange = *static_cast<Exchange*>(self);
    const Result<size_t> count = exchange.m_reader({buffer, max});
    if (!count) {
      return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    return *count == 0 ? MHD_CONTENT_READER_END_OF_STREAM
                       : static_cast<ssize_t>(*count);
  }

  static MHD_Result Send(Exchange& exchange,
                         MHD_Connection* connection,
                         HttpReply reply) {
    MHD_Response* response = nullptr;
    if (reply.m_reader) {
      exchange.m_reader = std::move(reply.m_reader);
      response = MHD_create_response_from_callback(
          MHD_SIZE_UNKNOWN, kReplyBlockBytes, &OnReplyBody, &exchange, nullptr);
    } else {
      response = MHD_create_response_from_buffer(
          reply.m_body.size(), reply.m_body.data(), MHD_RESPMEM_MUST_COPY);
    }
    for (const HttpHeader& header : reply.m_headers) {
      MHD_add_response_header(response, header.m_name.c_str(),
                              header.m_value.c_str());
    }
    if (exchange.m_server->m_announce_close) {
      MHD_add_response_header(response, "Connection", "close");
    }
    const MHD_Result queued = MHD_queue_response(
        connection, static_cast<unsigned int>(reply.m_status), response);
    MHD_destroy_response(response);
    return queued;
  }

  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char* url,
                              const char* method,
                              const char*,
                              const char* upload,
                              size_t* upload_size,
                              void** context) {
    HttpServer* server = static_cast<HttpServer*>(self);
    Exchange* exchange = static_cast<Exchange*>(*context);
    if (exchange == nullptr) {
      exchange = Begin(server, connection, url, method);
      *context = exchange;
      std::optional<HttpReply> refusal = RejectByHeader(*exchange);
      return refusal ? Send(*exchange, connection, std::move(*refusal))
                     : MHD_YES;
    }
    if (*upload_size > 0) {
      ReceiveBody(*exchange, connection, {upload, *upload_size});
      *upload_size = 0;
      // A chunked body of unlimited length is cut off, while one that is only a
      // little over the limit still gets a refusal.
      return exchange->m_body_bytes > DrainLimit(*exchange) ? MHD_NO : MHD_YES;
    }
    if (exchange->m_post != nullptr) {
      MHD_destroy_post_processor(exchange->m_post);
      exchange->m_post = nullptr;
    }
    if (exchange->m_plan.m_refusal) {
      return Send(*exchange, connection,
                  std::move(*exchange->m_plan.m_refusal));
    }
    if (exchange->m_too_large) {
      return Send(*exchange, connection, BodyTooLargeReply(*exchange));
    }
    if (exchange->m_over_budget) {
      return Send(*exchange, connection, NoMemoryReply());
    }
    SetBusy(server, connection, true);
    return Send(*exchange, connection,
                server->m_handlers.m_handle(exchange->m_request,
                                            exchange->m_body_status));
  }

  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode) {
    HttpServer* server = static_cast<HttpServer*>(self);
    Exchange* exchange = static_cast<Exchange*>(*context);
    if (exchange == nullptr) {
      return;
    }
    if (exchange->m_post != nullptr) {
      MHD_destroy_post_processor(exchange->m_post);
    }
    delete exchange;
    *context = nullptr;
    SetBusy(server, connection, false);
    server->RecordActivity();
    --server->m_active;
  }

  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code) {
    HttpServer* server = static_cast<HttpServer*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      server->RecordActivity();
      const MHD_ConnectionInfo* info = MHD_get_connection_info(
          connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      *context = info == nullptr ? nullptr
                                 : server->m_connections.Add(info->connect_fd);
    } else if (*context != nullptr) {
      // The socket is closed after this call.
      server->m_connections.Remove(
          static_cast<ConnectionList::Connection*>(*context));
      *context = nullptr;
    }
  }
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandlers handlers)
    : m_options(std::move(options)),
      m_handlers(std::move(handlers)),
      m_connections(static_cast<size_t>(m_options.m_max_connections)) {}

HttpServer::~HttpServer() {
  Stop();
}

Status HttpServer::Start() {
  const Result<int> listener = ListenTcp(m_options.m_address, m_bound);
  if (!listener) {
    return tl::unexpected<Error>(listener.error());
  }
  m_listen_fd = *listener;
  m_daemon = MHD_start_daemon(
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
          MHD_USE_POLL | MHD_USE_ITC,
      0, nullptr, nullptr, &Callbacks::OnRequest, this,
      MHD_OPTION_LISTEN_SOCKET, m_listen_fd, MHD_OPTION_NOTIFY_COMPLETED,
      &Callbacks::OnCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
      &Callbacks::OnConnection, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<size_t>(m_options.m_max_header_bytes) + 2 * kReplyBlockBytes,
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(m_options.m_max_connections),
      MHD_OPTION_CONNECTION_TIMEOUT,
      static_cast<unsigned int>(m_options.m_idle_timeout.count() / 1000),
      MHD_OPTION_THREAD_STACK_SIZE, static_cast<size_t>(512 * 1024),
      MHD_OPTION_END);
  if (m_daemon == nullptr) {
    close(m_listen_fd);
    return Fail(ResultCode::kInternal, "cannot start the HTTP server");
  }
  m_listening = true;
  return {};
}

void HttpServer::StopListening() {
  if (m_daemon != nullptr && m_listening.exchange(false)) {
    MHD_quiesce_daemon(m_daemon);
    AcceptBacklog();
    // The daemon's thread may still poll the socket, which would keep accepting
    // connections until that call returns.
    shutdown(m_listen_fd, SHUT_RDWR);
    close(m_listen_fd);
  }
}

void HttpServer::AcceptBacklog() {
  // Closing the listening socket resets the connections in its backlog, on
  // which callers may already have sent a request.
  pollfd backlog{m_listen_fd, POLLIN, 0};
  while (poll(&backlog, 1, 0) > 0) {
    sockaddr_storage address = {};
    socklen_t size = sizeof(address);
    const int fd = accept4(m_listen_fd, reinterpret_cast<sockaddr*>(&address),
                           &size, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    // The daemon closes the socket if it cannot serve the connection.
    MHD_add_connection(m_daemon, fd, reinterpret_cast<sockaddr*>(&address),
                       size);
  }
}

void HttpServer::Stop() {
  if (m_daemon == nullptr) {
    return;
  }
  MHD_stop_daemon(m_daemon);
  m_daemon = nullptr;
  m_listening = false;
}

int HttpServer::OpenConnections() const {
  const MHD_DaemonInfo* info =
      m_daemon == nullptr
          ? nullptr
          : MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info == nullptr ? 0 : static_cast<int>(info->num_connections);
}

}  // namespace bronzecross
