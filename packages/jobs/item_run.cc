#include "jobs/item_run.h"

#include <algorithm>

#include "base/log.h"
#include "base/metrics.h"
#include "dispatch/event_splitter.h"
#include "dispatch/upstream_call.h"

namespace bronzecross {
namespace {

// Maximum wait for the first event before the item is sent to another upstream.
// It covers the short queues of inference engines; items are only sent to
// upstreams with a slot that is known to be free.
constexpr Millis kFirstEventTimeout{2'500};

// Maximum wait for each further event. Bytes that complete no event don't
// extend it, or an upstream that sends one now and then would hold the item for
// good.
constexpr Millis kNextEventTimeout{3'000};

// Maximum size of one event.
constexpr size_t kMaxEventBytes = 256 << 10;

// Maximum size of an item's output. The store takes values of up to a megabyte,
// and a result is encoded in base64.
constexpr size_t kMaxOutputBytes = 640 << 10;

// Bounds of the delay before the next run after one that failed or was
// rejected.
constexpr Millis kInitialBackoff{150};
constexpr Millis kMaxBackoff{2'000};

// Minimum wait budget that is sent to an upstream for one run.
constexpr Millis kMinRunTime{1'000};

constexpr int kOkStatus = 200;
constexpr int kUnprocessable = 422;

MessageHead ItemHead(const JobSpec& spec, const JobItem& item) {
  MessageHead head;
  head.m_method = "POST";
  head.m_target = item.m_target;
  head.Add("Host", spec.m_host);
  head.Add(platform::RequestIdField(), item.m_id);
  for (const HeaderField& field : item.m_fields) {
    head.m_fields.push_back(field);
  }
  return head;
}

// Delays the next run of an item after a run that broke off.
void BackOff(ItemProgress& progress) {
  ++progress.m_runs_without_progress;
  progress.m_not_before =
      MonotonicNow() + RetryDelay(progress.m_runs_without_progress);
}

void LogRun(const ItemRun& run, std::string_view outcome, int status) {
  const Job& job = *run.m_job;
  const ItemProgress& progress = job.m_progress[run.m_item];
  Log(Severity::kInfo, LogPart::kBatch, "An item's run ended.",
      {{"job", job.m_spec.m_id},
       {"item", job.m_spec.m_items[run.m_item].m_id},
       {"tokens", job.m_spec.m_items[run.m_item].m_tokens},
       {"upstream", run.m_upstream->m_entry.m_id},
       {"outcome", outcome},
       {"status", status},
       {"last_event", progress.m_last_event},
       {"failures", progress.m_failures},
       {"breaks", progress.m_runs_without_progress},
       {"ms", MonotonicNow() - run.m_started}});
  CountMetric("bronzecross_item_runs_total", {{"outcome", outcome}});
}

// Appends the received events to the output. Skips events up to the last one
// that an earlier run received. Returns the number of received events.
int AppendEvents(EventSplitter& splitter, ItemProgress& progress) {
  StreamEvent event;
  int events = 0;
  while (splitter.Next(event)) {
    ++events;
    if (event.m_id >= 0 && event.m_id <= progress.m_last_event) {
      continue;
    }
    if (progress.m_has_output) {
      progress.m_output += '\n';
    }
    progress.m_output += event.m_data;
    progress.m_has_output = true;
    progress.m_last_event = event.m_id;
    progress.m_runs_without_progress = 0;
  }
  return events;
}

// Handles a response other than a stream of events. Status 422 says that the
// item can never be processed; only status 500 counts as a failed attempt.
void HandleErrorResponse(ItemRun& run, int status, ItemLimits limits) {
  ItemProgress& progress = run.m_job->m_progress[run.m_item];
  if (status == kUnprocessable) {
    FinishItem(*run.m_job, run.m_item, JobResultState::kAbandoned);
    return;
  }
  if (status == 500) {
    ++progress.m_failures;
    if (progress.m_failures >= limits.m_max_failures) {
      FinishItem(*run.m_job, run.m_item, JobResultState::kAbandoned);
      return;
    }
  }
  progress.m_not_before = MonotonicNow() + kInitialBackoff;
}

// Reads the response until it is complete, and appends its events to the
// output. Removes the events of this run from the output if the upstream sends
// more than any item's output can hold.
Task<CallState> CollectOutput(UpstreamCall& call,
                              Upstream& upstream,
                              ItemProgress& progress) {
  EventSplitter splitter;
  PaceMeter pace;
  const size_t size_before = progress.m_output.size();
  const bool had_output = progress.m_has_output;
  const int64_t last_event_before = progress.m_last_event;
  Millis deadline = MonotonicNow() + kNextEventTimeout;
  for (;;) {
    std::string bytes;
    const CallState state = co_await call.ReadBody(bytes, deadline, nullptr);
    if (state != CallState::kResponded) {
      co_return state;
    }
    splitter.Feed(bytes);
    const int events = AppendEvents(splitter, progress);
    RecordEvents(upstream, pace, events);
    if (splitter.Rest().size() > kMaxEventBytes ||
        progress.m_output.size() > kMaxOutputBytes) {
      progress.m_output.resize(size_before);
      progress.m_has_output = had_output;
      progress.m_last_event = last_event_before;
      call.MarkBroken();
      co_return CallState::kBroken;
    }
    if (call.IsComplete() && call.EndsWithConnection() &&
        splitter.IsInsideEvent()) {
      call.MarkBroken();
      co_return CallState::kBroken;
    }
    if (call.IsComplete()) {
      co_return CallState::kResponded;
    }
    if (events > 0) {
      deadline = MonotonicNow() + kNextEventTimeout;
    }
  }
}

}  // namespace

Millis RetryDelay(int runs_without_progress) {
  const int doublings = std::clamp(runs_without_progress, 0, 8);
  return std::min(kInitialBackoff * (int64_t{1} << doublings), kMaxBackoff);
}

Task<> RunItem(ItemRun& run, ItemLimits limits) {
  Job& job = *run.m_job;
  const JobItem& item = job.m_spec.m_items[run.m_item];
  ItemProgress& progress = job.m_progress[run.m_item];
  platform::ForwardOptions options;
  options.m_wait_budget = std::max(RetentionLeft(job, BootNow()), kMinRunTime);
  options.m_instance = run.m_upstream->m_entry.m_id;
  options.m_workspace = job.m_spec.m_workspace;
  if (progress.m_last_event >= 0) {
    options.m_resume_after = progress.m_last_event;
  } else {
    // Events without ids can't be resumed: the run starts from the beginning.
    progress.m_output.clear();
    progress.m_has_output = false;
  }
  options.m_body_bytes = item.m_body.size();
  const MessageHead head =
      platform::EncodeForwardedHead(ItemHead(job.m_spec, item), options);
  UpstreamRequest request;
  request.m_head = &head;
  request.m_body = item.m_body;
  request.m_request_id = item.m_id;
  request.m_deadline = MonotonicNow() + options.m_wait_budget;
  request.m_response_timeout = kFirstEventTimeout;
  UpstreamCall call(run.m_upstream, run.m_cancel);
  CallState state = co_await call.Start(request);
  const int status =
      state == CallState::kResponded || state == CallState::kNotRun
          ? call.StatusOrZero()
          : 0;
  if (state == CallState::kResponded && status == kOkStatus) {
    state = co_await CollectOutput(call, *run.m_upstream, progress);
    if (state == CallState::kResponded) {
      call.Finish();
      FinishItem(job, run.m_item, JobResultState::kCompleted);
      LogRun(run, "completed", status);
      co_return;
    }
  }
  progress.m_phase = BatchItemPhase::kWaiting;
  switch (state) {
    case CallState::kResponded:
      HandleErrorResponse(run, status, limits);
      LogRun(run, "refused", status);
      break;
    case CallState::kNotRun:
      progress.m_not_before = MonotonicNow() + kInitialBackoff;
      LogRun(run, "not_run", status);
      break;
    case CallState::kUnsendable:
      FinishItem(job, run.m_item, JobResultState::kAbandoned);
      LogRun(run, "unsendable", status);
      break;
    case CallState::kCancelled:
      LogRun(run, "yielded", status);
      break;
    case CallState::kBroken:
    case CallState::kUnresponsive:
    case CallState::kTimedOut:
      BackOff(progress);
      LogRun(run, "broken", status);
      break;
  }
}

}  // namespace bronzecross
