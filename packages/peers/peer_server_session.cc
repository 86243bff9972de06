#include "peers/peer_server_session.h"

#include <algorithm>
#include <cstring>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "peers/h2_common.h"

namespace bronzecross {
namespace {

// Used for requests without a deadline header.
constexpr int64_t kDefaultTimeoutMs = 5000;

}  // namespace

struct PeerServerSession::Callbacks {
  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* self) {
    PeerServerSession* session = static_cast<PeerServerSession*>(self);
    Request& request = session->m_requests[frame->hd.stream_id];
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string text(reinterpret_cast<const char*>(value), value_size);
    if (key == ":path") {
      request.m_path = text;
    } else if (key == kPeerDeadlineHeader &&
               !absl::SimpleAtoi(text, &request.m_deadline_ms)) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t stream,
                    const uint8_t* data,
                    size_t size,
                    void* self) {
    PeerServerSession* session = static_cast<PeerServerSession*>(self);
    Request& request = session->m_requests[stream];
    if (request.m_body.size() + size > kPeerMaxBodyBytes) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    request.m_body.append(reinterpret_cast<const char*>(data), size);
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (ends &&
        (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA)) {
      PeerServerSession* session = static_cast<PeerServerSession*>(self);
      const int32_t stream = frame->hd.stream_id;
      session->Dispatch(stream, std::move(session->m_requests[stream]));
      session->m_requests.erase(stream);
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, int32_t stream, uint32_t, void* self) {
    PeerServerSession* session = static_cast<PeerServerSession*>(self);
    session->m_requests.erase(stream);
    session->m_outgoing_bodies.erase(stream);
    return 0;
  }

  static ssize_t ReadReplyBody(nghttp2_session*,
                               int32_t,
                               uint8_t* buffer,
                               size_t max,
                               uint32_t* flags,
                               nghttp2_data_source* source,
                               void*) {
    OutgoingBody* outgoing = static_cast<OutgoingBody*>(source->ptr);
    const size_t count =
        std::min(max, outgoing->m_body.size() - outgoing->m_offset);
    std::memcpy(buffer, outgoing->m_body.data() + outgoing->m_offset, count);
    outgoing->m_offset += count;
    if (outgoing->m_offset == outgoing->m_body.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }
};

PeerServerSession::PeerServerSession(PeerServer& server, int fd)
    : m_server(server), m_socket(fd) {}

void PeerServerSession::Run() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   &Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            &Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       &Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &Callbacks::OnClose);
  nghttp2_session_server_new(&m_session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  SubmitPeerSettings(m_session);
  m_socket.Run(m_session, [this] { SubmitReplies(); });
  nghttp2_session_del(m_session);
  m_session = nullptr;
}

void PeerServerSession::Dispatch(int32_t stream, Request request) {
  const std::string_view path = request.m_path;
  const PeerServer::Method* method =
      path.starts_with(kPeerPathPrefix)
          ? m_server.FindMethod(path.substr(kPeerPathPrefix.size()))
          : nullptr;
  if (method == nullptr) {
    QueueReply(stream,
               Fail(ResultCode::kNotFound,
                    absl::StrCat("unknown peer method ", request.m_path)));
    return;
  }
  const int64_t timeout_ms =
      request.m_deadline_ms > 0 ? request.m_deadline_ms : kDefaultTimeoutMs;
  const Millis deadline = MonotonicNow() + Millis(timeout_ms);
  if (method->m_dispatch == PeerDispatch::kOnConnection) {
    QueueReply(stream, method->m_handler(request.m_body, deadline));
    return;
  }
  WorkerPool& pool = method->m_dispatch == PeerDispatch::kOnDiskWorker
                         ? *m_server.m_disk_workers
                         : *m_server.m_workers;
  const bool queued = pool.Submit([self = shared_from_this(), method, stream,
                                   deadline, body = std::move(request.m_body)] {
    // The caller has timed out, so the handler is not run.
    if (MonotonicNow() >= deadline) {
      self->QueueReply(
          stream, Fail(ResultCode::kDeadlineExceeded,
                       "the deadline passed while the request was queued"));
      return;
    }
    self->QueueReply(stream, method->m_handler(body, deadline));
  });
  if (!queued) {
    QueueReply(stream, Fail(ResultCode::kOverloaded,
                            "the peer's request queue is full"));
  }
}

void PeerServerSession::QueueReply(int32_t stream, Result<std::string> result) {
  {
    absl::MutexLock lock(&m_mutex);
    m_replies.push_back({stream, std::move(result)});
  }
  m_socket.Wake();
}

void PeerServerSession::SubmitReplies() {
  std::vector<Reply> replies;
  {
    absl::MutexLock lock(&m_mutex);
    replies.swap(m_replies);
  }
  for (Reply& reply : replies) {
    SubmitReply(std::move(reply));
  }
}

void PeerServerSession::SubmitReply(Reply reply) {
  // The client may have reset the stream in the meantime.
  if (nghttp2_session_find_stream(m_session, reply.m_stream) == nullptr) {
    return;
  }
  const bool ok = reply.m_result.has_value();
  const std::string code =
      std::to_string(ok ? 0 : static_cast<int>(reply.m_result.error().m_code));
  const std::string_view run =
      ok ? "" : RunStateName(reply.m_result.error().m_run);
  const std::array<nghttp2_nv, 3> headers = {
      MakeNv(":status", ok ? "200" : "500"), MakeNv(kPeerCodeHeader, code),
      MakeNv(kPeerRunHeader, run)};
  std::unique_ptr<OutgoingBody>& outgoing = m_outgoing_bodies[reply.m_stream];
  outgoing = std::make_unique<OutgoingBody>();
  outgoing->m_body = ok ? std::move(*reply.m_result)
                        : std::move(reply.m_result.error().m_message);
  nghttp2_data_provider provider = {};
  provider.source.ptr = outgoing.get();
  provider.read_callback = &Callbacks::ReadReplyBody;
  nghttp2_submit_response(m_session, reply.m_stream, headers.data(),
                          headers.size(), &provider);
}

}  // namespace bronzecross
