#include "entry/onlinecall.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "global/logging.h"
#include "global/variantcodec.h"

namespace papayarack::entry {
namespace {

constexpr std::uint32_t kMaxCallAttempts = 4;
constexpr std::uint32_t kMaxReconnects = 3;
constexpr std::uint32_t kMaxStaleRetries = 3;
constexpr std::chrono::milliseconds kReconnectDelay{50};
constexpr std::chrono::milliseconds kStaleWait{1500};
/// The gate itself ends the request at its deadline; the extra time lets its
/// message arrive.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(500);

}  // namespace

OnlineCall::OnlineCall(FleetView& fleet, transport::PeerClient& client,
                       Metrics& metrics, gate::OnlineRequest request,
                       bool repeatable, std::uint64_t prefix_hash)
    : fleet(fleet),
      client(client),
      metrics(metrics),
      request(std::move(request)),
      repeatable(repeatable),
      prefix_hash(prefix_hash),
      deadline(MonotonicNow() +
               std::chrono::milliseconds(this->request.deadline_ms)) {
  this->fleet.CountRequest(this->request.service);
}

OnlineCall::~OnlineCall() {
  if (!this->finished && !this->gate.empty()) {
    // The caller has disconnected. Resetting the stream alone would look like a
    // lost connection, after which the gate keeps the answer for a reconnect;
    // so send an explicit cancellation.
    const std::string address = this->fleet.AddressOf(this->gate);
    if (!address.empty()) {
      this->client.Call(ParseEndpoint(address, "gate"), gate::path::kCancel,
                        EncodeMessage(gate::CancelRequest{
                            this->request.id, this->request.attempt}),
                        {});
    }
    this->metrics.Add("online_callers_gone_total");
  }
  this->ReleaseGate();
}

Duration OnlineCall::TimeLeft() const {
  return this->deadline - MonotonicNow();
}

CallEvent OnlineCall::Fail(Result result, bool not_run) {
  this->finished = true;
  this->ReleaseGate();
  if (this->maybe_ran && Describe(result.code).not_run) {
    // "Not run" must hold for the request as a whole, not just for its last
    // attempt.
    result.code = ResultCode::kUnknownOutcome;
    result.text = "an earlier attempt may have run; then: " + result.text;
  }
  return CallFailed{std::move(result), not_run && !this->maybe_ran};
}

void OnlineCall::ReleaseGate() {
  if (this->gate.empty()) {
    return;
  }
  if (this->call != 0) {
    this->client.Cancel(std::exchange(this->call, 0));
  }
  this->fleet.Finish(this->gate);
  this->gate.clear();
}

bool OnlineCall::StartAttempt() {
  const RouteQuery query{this->request.service, this->prefix_hash, this->tried};
  std::optional<std::string> chosen = this->fleet.Choose(query);
  if (!chosen.has_value()) {
    return false;
  }
  this->gate = std::move(*chosen);
  this->request.attempt += 1;
  this->received = 0;
  this->reconnects = 0;
  this->Connect();
  return true;
}

void OnlineCall::Connect() {
  this->ring = std::make_shared<PeerEventRing>(kRingCapacity);
  this->sent = MonotonicNow();
  this->request.revision = this->fleet.Revision();
  this->request.received_messages = this->received;
  this->request.resume_only = this->reconnects > 0;
  this->request.deadline_ms = std::max<std::int64_t>(
      1, std::chrono::duration_cast<std::chrono::milliseconds>(this->TimeLeft())
             .count());
  transport::CallHandlers handlers;
  handlers.on_message = [ring = this->ring](std::string message) {
    // If a slow caller lets the ring fill up, the call fails instead of
    // blocking the I/O thread.
    if (!ring->TryPush(std::move(message))) {
      ring->Close();
    }
  };
  handlers.on_end = [ring = this->ring](transport::CallEnd end) {
    if (!ring->TryPush(end)) {
      ring->Close();
    }
  };
  this->call = this->client.Call(
      ParseEndpoint(this->fleet.AddressOf(this->gate), "gate"),
      gate::path::kOnline, EncodeMessage(this->request), std::move(handlers));
}

CallEvent OnlineCall::Next() {
  while (true) {
    if (this->gate.empty() && !this->StartAttempt()) {
      return this->Fail(
          {ResultCode::kNoUpstream,
           "no upstream of " + this->request.service + " can take the request",
           std::chrono::milliseconds(500)},
          true);
    }
    const Duration wait =
        std::max(this->TimeLeft() + kDeadlineGrace, Duration(1));
    const std::optional<PeerEvent> event = this->ring->Pop(wait);
    if (!event.has_value()) {
      const bool slow = this->ring->Closed();
      return this->Fail(
          {slow ? ResultCode::kOverloaded : ResultCode::kDeadlineWhileRunning,
           slow ? "the caller reads too slowly" : "the deadline passed",
           {}},
          false);
    }
    if (std::optional<CallEvent> call_event = this->OnPeerEvent(*event)) {
      return std::move(*call_event);
    }
  }
}

std::optional<CallEvent> OnlineCall::OnPeerEvent(const PeerEvent& event) {
  return std::visit(Overloaded{[this](const std::string& message) {
                                 return this->OnMessage(message);
                               },
                               [this](transport::CallEnd how) {
                                 return this->OnCallEnd(how);
                               }},
                    event);
}

std::optional<CallEvent> OnlineCall::OnMessage(const std::string& bytes) {
  gate::GateMessage message;
  try {
    message = DecodeVariant<gate::GateMessage>(bytes);
  } catch (const ResultError& error) {
    return this->Fail({ResultCode::kProtocol, error.what(), {}}, false);
  }
  ++this->received;
  return std::visit(
      Overloaded{
          [this](gate::Refused& refused) { return this->OnRefused(refused); },
          [this](gate::AnswerHead& head) -> std::optional<CallEvent> {
            this->fleet.Report(this->gate, RouteOutcome::kAnswered,
                               MonotonicNow() - this->sent);
            this->delivered = true;
            return CallHead{head.status, std::move(head.content_type)};
          },
          [](gate::AnswerBytes& body) -> std::optional<CallEvent> {
            return CallBytes{std::move(body.bytes)};
          },
          [this](gate::AnswerEnd& end) { return this->OnAnswerEnd(end); },
      },
      message);
}

std::optional<CallEvent> OnlineCall::OnRefused(const gate::Refused& refused) {
  const auto code = static_cast<ResultCode>(refused.code);
  const Result result{code, refused.text,
                      std::chrono::milliseconds(refused.retry_after_ms)};
  this->metrics.Add("online_gate_refusals_total");
  if (code == ResultCode::kStaleRevision &&
      this->stale_retries++ < kMaxStaleRetries) {
    // The gate has a newer document. Wait until this entry has it too, then
    // route the request again.
    this->fleet.WaitForRevision(
        refused.revision, std::min<Duration>(kStaleWait, this->TimeLeft()));
    this->ReleaseGate();
    return std::nullopt;
  }
  if (code == ResultCode::kLeaving) {
    this->fleet.MarkLeaving(this->gate);
  }
  const bool fault = code == ResultCode::kNoUpstream;
  this->fleet.Report(
      this->gate, fault ? RouteOutcome::kFailed : RouteOutcome::kRefused, {});
  return this->RetryOrFail(result, Describe(code).not_run);
}

std::optional<CallEvent> OnlineCall::OnAnswerEnd(const gate::AnswerEnd& end) {
  const auto code = static_cast<ResultCode>(end.code);
  if (code == ResultCode::kOk) {
    this->finished = true;
    this->ReleaseGate();
    return CallComplete{};
  }
  if (code == ResultCode::kUpstreamFailed) {
    this->fleet.Report(this->gate, RouteOutcome::kFailed, {});
  }
  return this->RetryOrFail({code, end.text, {}}, false);
}

std::optional<CallEvent> OnlineCall::OnCallEnd(transport::CallEnd how) {
  this->call = 0;
  if (how == transport::CallEnd::kNotSent && this->received == 0 &&
      this->reconnects == 0) {
    this->fleet.Report(this->gate, RouteOutcome::kFailed, {});
    return this->RetryOrFail(
        {ResultCode::kNoUpstream, "the gate cannot be reached", {}}, true);
  }
  // The request may be running. The gate keeps its answer for a while: resume
  // it on a new connection.
  if (this->reconnects++<kMaxReconnects&& this->TimeLeft()> Duration(0)) {
    this->metrics.Add("online_reconnects_total");
    std::this_thread::sleep_for(kReconnectDelay);
    this->Connect();
    return std::nullopt;
  }
  this->fleet.Report(this->gate, RouteOutcome::kFailed, {});
  return this->RetryOrFail(
      {ResultCode::kUnknownOutcome, "the gate went away with the request", {}},
      false);
}

std::optional<CallEvent> OnlineCall::RetryOrFail(const Result& why,
                                                 bool not_run) {
  this->maybe_ran = this->maybe_ran || !not_run;
  const bool safe = not_run || (this->repeatable && !this->delivered);
  const bool in_time = this->TimeLeft() > Duration(0);
  const bool attempts_left = this->request.attempt < kMaxCallAttempts;
  if (safe && in_time && attempts_left &&
      this->fleet.TryRetry(this->request.service)) {
    this->metrics.Add("online_repeats_total");
    Log(LogLevel::kInfo, "repeat",
        {{"request", this->request.id},
         {"attempt", this->request.attempt},
         {"gate", this->gate},
         {"why", why.text}});
    this->tried.push_back(this->gate);
    this->ReleaseGate();
    return std::nullopt;
  }
  return this->Fail(why, not_run);
}

}  // namespace papayarack::entry
