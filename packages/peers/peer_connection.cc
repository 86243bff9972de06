#include "peers/peer_connection.h"

#include <algorithm>
#include <cstring>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include "peers/h2_common.h"

namespace bronzecross {
namespace {

constexpr Millis kConnectTimeout{1000};

}  // namespace

// Shared by the caller, whose wait may time out first, and the connection's
// thread.
struct PeerConnection::PendingCall {
  std::string m_path;
  std::string m_body;
  size_t m_sent = 0;
  Millis m_deadline;
  int m_code = 0;
  std::string m_run;
  std::string m_reply;
  bool m_complete = false;

  absl::Mutex m_mutex;
  bool m_done ABSL_GUARDED_BY(m_mutex) = false;
  Result<std::string> m_result ABSL_GUARDED_BY(m_mutex);
};

struct PeerConnection::Callbacks {
  static PendingCall* FindCall(void* self, int32_t stream) {
    PeerConnection* connection = static_cast<PeerConnection*>(self);
    const auto found = connection->m_streams.find(stream);
    return found == connection->m_streams.end() ? nullptr : found->second.get();
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_size,
                      const uint8_t* value,
                      size_t value_size,
                      uint8_t,
                      void* self) {
    PendingCall* call = FindCall(self, frame->hd.stream_id);
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    const std::string text(reinterpret_cast<const char*>(value), value_size);
    if (call != nullptr && key == kPeerCodeHeader &&
        !absl::SimpleAtoi(text, &call->m_code)) {
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    if (call != nullptr && key == kPeerRunHeader) {
      call->m_run = text;
    }
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t stream,
                    const uint8_t* data,
                    size_t size,
                    void* self) {
    PendingCall* call = FindCall(self, stream);
    if (call != nullptr) {
      if (call->m_reply.size() + size > kPeerMaxBodyBytes) {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
      }
      call->m_reply.append(reinterpret_cast<const char*>(data), size);
    }
    return 0;
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    PendingCall* call = FindCall(self, frame->hd.stream_id);
    if (call != nullptr && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0 &&
        (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA)) {
      call->m_complete = true;
    }
    return 0;
  }

  static int OnClose(nghttp2_session*, int32_t stream, uint32_t, void* self) {
    PeerConnection* connection = static_cast<PeerConnection*>(self);
    const auto found = connection->m_streams.find(stream);
    if (found == connection->m_streams.end()) {
      return 0;
    }
    PendingCall& call = *found->second;
    if (!call.m_complete) {
      connection->Finish(
          call,
          FailMayHaveRun(ResultCode::kPeerUnavailable,
                         "the peer reset the stream before the reply ended"));
    } else if (call.m_code != 0) {
      Error error;
      error.m_code = static_cast<ResultCode>(call.m_code);
      error.m_message = call.m_reply;
      error.m_run =
          call.m_run == "not_run" ? RunState::kNotRun : RunState::kUnknown;
      connection->Finish(call, tl::unexpected<Error>(std::move(error)));
    } else {
      connection->Finish(call, std::move(call.m_reply));
    }
    connection->m_streams.erase(found);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t,
                          uint8_t* buffer,
                          size_t max,
                          uint32_t* flags,
                          nghttp2_data_source* source,
                          void*) {
    PendingCall* call = static_cast<PendingCall*>(source->ptr);
    const size_t count = std::min(max, call->m_body.size() - call->m_sent);
    std::memcpy(buffer, call->m_body.data() + call->m_sent, count);
    call->m_sent += count;
    if (call->m_sent == call->m_body.size()) {
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
  }
};

PeerConnection::PeerConnection(NetAddress address)
    : m_address(std::move(address)) {
  m_thread = std::thread([this] { Run(); });
}

PeerConnection::~PeerConnection() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    if (m_socket != nullptr) {
      m_socket->Stop();
    }
  }
  m_thread.join();
}

bool PeerConnection::IsBroken() const {
  absl::MutexLock lock(&m_mutex);
  return m_broken;
}

Result<std::string> PeerConnection::Call(std::string_view method,
                                         std::string body,
                                         Millis timeout) {
  const std::shared_ptr<PendingCall> call = std::make_shared<PendingCall>();
  call->m_path =
      absl::StrCat(std::string(kPeerPathPrefix), std::string(method));
  call->m_body = std::move(body);
  call->m_deadline = MonotonicNow() + timeout;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_broken) {
      return Fail(ResultCode::kPeerUnavailable,
                  absl::StrCat("not connected to ", m_address.ToString()));
    }
    m_queued.push_back(call);
    if (m_socket != nullptr) {
      m_socket->Wake();
    }
  }
  absl::MutexLock lock(&call->m_mutex);
  if (!call->m_mutex.AwaitWithTimeout(absl::Condition(&call->m_done),
                                      absl::Milliseconds(timeout.count()))) {
    return FailMayHaveRun(
        ResultCode::kPeerUnavailable,
        absl::StrCat("no reply from ", m_address.ToString(), " in time"));
  }
  return std::move(call->m_result);
}

void PeerConnection::Finish(PendingCall& call, Result<std::string> result) {
  absl::MutexLock lock(&call.m_mutex);
  call.m_result = std::move(result);
  call.m_done = true;
}

void PeerConnection::Run() {
  const Result<int> fd = ConnectTcp(m_address, kConnectTimeout);
  H2Socket* socket = nullptr;
  if (fd) {
    absl::MutexLock lock(&m_mutex);
    m_socket = std::make_unique<H2Socket>(*fd);
    socket = m_socket.get();
    if (m_stopping) {
      m_socket->Stop();
    }
  }
  if (socket != nullptr) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                     &Callbacks::OnHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, &Callbacks::OnData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                         &Callbacks::OnFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                           &Callbacks::OnClose);
    nghttp2_session_client_new(&m_session, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    SubmitPeerSettings(m_session);
    socket->Run(m_session, [this] { SubmitQueued(); });
  }
  FailAll();
  if (m_session != nullptr) {
    nghttp2_session_del(m_session);
    m_session = nullptr;
  }
}

void PeerConnection::SubmitQueued() {
  std::vector<std::shared_ptr<PendingCall>> queued;
  {
    absl::MutexLock lock(&m_mutex);
    queued.swap(m_queued);
  }
  for (const std::shared_ptr<PendingCall>& call : queued) {
    SubmitCall(call);
  }
}

void PeerConnection::SubmitCall(const std::shared_ptr<PendingCall>& call) {
  const Millis left = call->m_deadline - MonotonicNow();
  if (left <= Millis(0)) {
    Finish(*call, Fail(ResultCode::kDeadlineExceeded,
                       "the deadline passed before the call was sent"));
    return;
  }
  const std::string deadline = std::to_string(left.count());
  const std::string authority = m_address.ToString();
  const std::array<nghttp2_nv, 5> headers = {
      MakeNv(":method", "POST"), MakeNv(":scheme", "http"),
      MakeNv(":authority", authority), MakeNv(":path", call->m_path),
      MakeNv(kPeerDeadlineHeader, deadline)};
  nghttp2_data_provider provider = {};
  provider.source.ptr = call.get();
  provider.read_callback = &Callbacks::ReadBody;
  const int32_t stream = nghttp2_submit_request(
      m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (stream < 0) {
    Finish(*call,
           Fail(ResultCode::kPeerUnavailable, "cannot open a peer stream"));
    return;
  }
  m_streams[stream] = call;
}

void PeerConnection::FailAll() {
  std::vector<std::shared_ptr<PendingCall>> queued;
  {
    absl::MutexLock lock(&m_mutex);
    m_broken = true;
    queued.swap(m_queued);
    m_socket.reset();
  }
  for (const std::shared_ptr<PendingCall>& call : queued) {
    Finish(*call,
           Fail(ResultCode::kPeerUnavailable,
                absl::StrCat("not connected to ", m_address.ToString())));
  }
  for (const auto& [stream, call] : m_streams) {
    Finish(*call, FailMayHaveRun(ResultCode::kPeerUnavailable,
                                 absl::StrCat("lost the connection to peer ",
                                              m_address.ToString())));
  }
  m_streams.clear();
}

}  // namespace bronzecross
