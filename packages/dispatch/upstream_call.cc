#include "dispatch/upstream_call.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "http1/write_message.h"
#include "placement/freeze_guard.h"

namespace bronzecross {
namespace {

// An upstream that does not accept a connection within this time counts as
// failed. Network round trips take milliseconds, and an upstream that is down
// or partitioned never responds.
constexpr Millis kConnectTimeout{350};

// Maximum number of responses to earlier requests that are skipped on one
// connection.
constexpr int kMaxStrayResponses = 3;

// Maximum number of interim (1xx) responses to one request, and of body bytes
// of stray responses that are discarded while waiting for the head. An upstream
// that sends more is broken.
constexpr int kMaxInterimResponses = 8;
constexpr size_t kMaxDiscardedBytes = 1 << 20;

// Reads after which the task lets the others run although more bytes are
// available. An upstream that sends without pause would occupy the loop.
constexpr int kReadsPerTurn = 16;

// Subtracted from the idle time-out that an upstream declares, since its timer
// started earlier.
constexpr Millis kKeepAliveMargin{400};

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

}  // namespace

std::string_view CallStateName(CallState state) {
  switch (state) {
    case CallState::kResponded:
      return "answered";
    case CallState::kNotRun:
      return "not_run";
    case CallState::kUnsendable:
      return "unsendable";
    case CallState::kBroken:
      return "broken";
    case CallState::kUnresponsive:
      return "silent";
    case CallState::kCancelled:
      return "cancelled";
    case CallState::kTimedOut:
      return "timed_out";
  }
  return "";
}

UpstreamCall::UpstreamCall(UpstreamPtr upstream, Cancellation& cancellation)
    : m_upstream(std::move(upstream)), m_cancellation(cancellation) {}

UpstreamCall::~UpstreamCall() {
  EndFirstByteWait();
}

void UpstreamCall::EndFirstByteWait() {
  if (m_sent != Millis()) {
    std::multiset<Millis>& awaiting =
        m_upstream->m_health.m_awaiting_first_byte;
    const auto found = awaiting.find(m_sent);
    if (found != awaiting.end()) {
      awaiting.erase(found);
    }
    m_sent = Millis();
  }
}

Task<CallState> UpstreamCall::Connect(Millis deadline) {
  const Millis until = std::min(deadline, MonotonicNow() + kConnectTimeout);
  m_connection = co_await m_upstream->m_pool.Take(until);
  if (m_connection == nullptr) {
    RecordFailure(m_upstream->m_health, MonotonicNow());
    Log(Severity::kInfo, LogPart::kUpstreams, "Cannot connect to an upstream.",
        {{"upstream", m_upstream->m_entry.m_id}});
    co_return CallState::kNotRun;
  }
  co_return CallState::kResponded;
}

Task<CallState> UpstreamCall::Start(UpstreamRequest request) {
  const std::optional<std::string> head = WriteRequestHead(*request.m_head);
  if (!head) {
    Log(Severity::kError, LogPart::kUpstreams,
        "The head of a request can't be sent.",
        {{"request", request.m_request_id}});
    co_return CallState::kUnsendable;
  }
  const Millis started = MonotonicNow();
  const CallState connected = co_await Connect(request.m_deadline);
  if (connected != CallState::kResponded) {
    co_return connected;
  }
  if (m_cancellation.IsCancelled()) {
    m_upstream->m_pool.Give(std::move(m_connection));
    co_return CallState::kCancelled;
  }
  // The zone may have been evacuated while the connection was opened, and this
  // VM doesn't know that yet if it was frozen meanwhile.
  if (m_upstream->m_evacuated || MonotonicNow() - started >= kFrozenAfter) {
    m_upstream->m_pool.Give(std::move(m_connection));
    co_return CallState::kNotRun;
  }
  ExpectResponseTo(request.m_head->m_method);
  m_connection->Queue(*head);
  m_connection->Queue(request.m_body);
  m_sent = MonotonicNow();
  m_upstream->m_health.m_awaiting_first_byte.insert(m_sent);
  const CallState state = co_await WaitForHead(request);
  EndFirstByteWait();
  if (state == CallState::kBroken) {
    RecordFailure(m_upstream->m_health, MonotonicNow());
  } else if (state == CallState::kResponded || state == CallState::kNotRun) {
    RecordSuccess(m_upstream->m_health);
  }
  co_return state;
}

void UpstreamCall::ExpectResponseTo(std::string_view method) {
  if (method == "HEAD") {
    m_connection->Parser().ExpectNoBody();
  }
}

// Returns true if the response belongs to an earlier request on this
// connection.
bool UpstreamCall::IsStrayResponse(std::string_view request_id) const {
  return !m_fields.m_request_id.empty() && m_fields.m_request_id != request_id;
}

CallState UpstreamCall::CheckHead(std::string_view request_id,
                                  bool may_be_stray) {
  const int status = Head().m_status;
  const bool is_success = status >= kFirstSuccess && status < kFirstRedirect;
  const bool is_matched = m_fields.m_request_id == request_id;
  // A failure without an id may be a late one of an earlier request. Taken for
  // that of this request, it would be passed to the wrong caller, or a request
  // that runs would count as not run.
  if ((is_success &&
       (!m_fields.m_signed || m_fields.m_encoded || !is_matched)) ||
      (!is_matched && may_be_stray)) {
    Log(Severity::kWarning, LogPart::kUpstreams, "A response was invalid.",
        {{"upstream", m_upstream->m_entry.m_id},
         {"request", request_id},
         {"status", status}});
    return CallState::kBroken;
  }
  return m_fields.m_not_run ? CallState::kNotRun : CallState::kResponded;
}

Task<> UpstreamCall::YieldAfterManyReads() {
  if (++m_reads_in_turn >= kReadsPerTurn) {
    m_reads_in_turn = 0;
    co_await YieldToLoop();
  }
}

Task<CallState> UpstreamCall::WaitForHead(UpstreamRequest request) {
  int stray_responses = 0;
  int interim_responses = 0;
  size_t discarded_bytes = 0;
  const Millis unresponsive_at =
      request.m_response_timeout == Millis()
          ? kNever
          : MonotonicNow() + request.m_response_timeout;
  for (;;) {
    // An upstream may respond and close before it has read the whole request.
    // The response counts, so a failed write alone decides nothing.
    m_connection->Flush();
    const PumpState pumped = m_connection->Pump();
    if (pumped != PumpState::kAgain) {
      EndFirstByteWait();
    }
    const ParseState parsed = m_connection->Parser().GetState();
    if (parsed == ParseState::kFailed) {
      co_return CallState::kBroken;
    }
    if (parsed != ParseState::kHead) {
      m_fields = platform::DecodeUpstreamFields(Head());
      if (m_fields.m_leaving) {
        MarkLeaving(*m_upstream);
      }
      if (m_fields.m_cold_left && !IsStrayResponse(request.m_request_id)) {
        RecordColdResponse(m_upstream->m_cold, *m_fields.m_cold_left,
                           MonotonicNow());
      }
      const bool is_interim = Head().m_status < kFirstSuccess;
      if (!is_interim && !IsStrayResponse(request.m_request_id)) {
        const CallState state =
            CheckHead(request.m_request_id,
                      m_connection->m_is_reused || stray_responses > 0);
        if (state != CallState::kBroken && m_fields.m_load) {
          RecordLoad(*m_upstream, *m_fields.m_load, MonotonicNow());
        }
        co_return state;
      }
      // The rest of an interim or stray response is read and discarded.
      discarded_bytes += m_connection->Parser().Body().size();
      m_connection->Parser().Body().clear();
      if (parsed == ParseState::kComplete) {
        stray_responses += is_interim ? 0 : 1;
        interim_responses += is_interim ? 1 : 0;
        m_connection->StartNextMessage();
        ExpectResponseTo(request.m_head->m_method);
      }
      if (stray_responses > kMaxStrayResponses ||
          interim_responses > kMaxInterimResponses ||
          discarded_bytes > kMaxDiscardedBytes) {
        co_return CallState::kBroken;
      }
      if (parsed == ParseState::kComplete) {
        continue;
      }
    }
    if (pumped == PumpState::kFailed || pumped == PumpState::kEnded) {
      co_return CallState::kBroken;
    }
    const Millis now = MonotonicNow();
    const bool is_due = now >= request.m_deadline;
    if (pumped == PumpState::kProgress && !is_due) {
      co_await YieldAfterManyReads();
      continue;
    }
    if (m_cancellation.IsCancelled()) {
      co_return CallState::kCancelled;
    }
    if (is_due) {
      co_return CallState::kTimedOut;
    }
    if (now >= unresponsive_at) {
      co_return CallState::kUnresponsive;
    }
    WaitAny wait(std::min(request.m_deadline, unresponsive_at));
    wait.Add(m_connection->Readable());
    wait.Add(m_cancellation.Changed());
    if (m_connection->QueuedBytes() > 0) {
      wait.Add(m_connection->Writable());
    }
    co_await wait;
  }
}

void UpstreamCall::MarkBroken() {
  RecordFailure(m_upstream->m_health, MonotonicNow());
}

bool UpstreamCall::IsComplete() const {
  return m_connection->Parser().GetState() == ParseState::kComplete;
}

bool UpstreamCall::EndsWithConnection() const {
  return !m_connection->Parser().IsFramed();
}

int64_t UpstreamCall::DeclaredLength() const {
  return m_connection->Parser().ContentLength();
}

Task<CallState> UpstreamCall::ReadBody(std::string& body,
                                       Millis deadline,
                                       Condition* stop) {
  for (;;) {
    std::string& parsed = m_connection->Parser().Body();
    if (!parsed.empty() && !IsComplete() && MonotonicNow() >= deadline) {
      co_return CallState::kTimedOut;
    }
    if (!parsed.empty() || IsComplete()) {
      body += parsed;
      parsed.clear();
      co_await YieldAfterManyReads();
      co_return CallState::kResponded;
    }
    m_connection->Flush();
    const PumpState pumped = m_connection->Pump();
    if (pumped == PumpState::kProgress) {
      // Bytes that yield no body, such as chunk extensions, can come without
      // end, too.
      if (m_connection->Parser().Body().empty() && !IsComplete()) {
        if (MonotonicNow() >= deadline) {
          co_return CallState::kTimedOut;
        }
        co_await YieldAfterManyReads();
      }
      continue;
    }
    if (pumped == PumpState::kFailed || pumped == PumpState::kEnded) {
      if (IsComplete()) {
        continue;
      }
      RecordFailure(m_upstream->m_health, MonotonicNow());
      co_return CallState::kBroken;
    }
    if (m_cancellation.IsCancelled()) {
      co_return CallState::kCancelled;
    }
    if (MonotonicNow() >= deadline) {
      co_return CallState::kTimedOut;
    }
    WaitAny wait(deadline);
    m_reads_in_turn = 0;
    wait.Add(m_connection->Readable());
    wait.Add(m_cancellation.Changed());
    if (stop != nullptr) {
      wait.Add(*stop);
    }
    if (m_connection->QueuedBytes() > 0) {
      wait.Add(m_connection->Writable());
    }
    co_await wait;
    if (stop != nullptr && m_connection->Parser().Body().empty() &&
        !m_connection->Stream().IsReadReady()) {
      co_return CallState::kResponded;
    }
  }
}

void UpstreamCall::Finish() {
  if (m_connection == nullptr || !IsComplete() || m_upstream->m_leaving) {
    return;
  }
  if (m_fields.m_keep_alive) {
    const Millis kept = *m_fields.m_keep_alive - kKeepAliveMargin;
    if (kept > Millis()) {
      m_upstream->m_pool.Give(std::move(m_connection), MonotonicNow() + kept);
    }
    return;
  }
  m_upstream->m_pool.Give(std::move(m_connection));
}

}  // namespace bronzecross
