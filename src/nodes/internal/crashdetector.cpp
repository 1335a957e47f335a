#include "nodes/crashdetector.h"

#include <fmt/format.h>

#include <utility>

#include "global/logging.h"
#include "global/settings.h"

namespace papayarack::nodes {

using quarantine::Fingerprint;

/// A connection attempt that only tests whether the port refuses it.
struct CrashDetector::Probe {
  Probe(asio::io_context& context, const Fingerprint& request,
        std::string_view id, placement::EngineStart engine)
      : socket(context),
        timer(context, kConnectTimeout),
        request(request),
        id(id),
        engine(std::move(engine)) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  Fingerprint request;
  std::string id;
  placement::EngineStart engine;
};

CrashDetector::CrashDetector(asio::io_context& context,
                             coordination::FleetWatch& watch)
    : context(context), watch(watch) {}

CrashDetector::~CrashDetector() { *this->alive = false; }

Fingerprint CrashDetector::Identify(const http::HttpRequest& request) {
  return quarantine::FingerprintOf({request.method, request.headers.Get("Host"),
                                    request.target, request.body});
}

bool CrashDetector::Quarantined(const Fingerprint& request) const {
  if (this->watch.crashes().Quarantined(request)) {
    return true;
  }
  const bool leader_heard =
      this->watch.knowledge().heard != Time{} &&
      MonotonicNow() - this->watch.knowledge().heard <= kMaxLeaderSilence;
  return !leader_heard && this->local_crash_tracker.Quarantined(request);
}

void CrashDetector::ConnectionBroke(const Fingerprint& request,
                                    std::string_view id,
                                    const placement::EngineStart& engine) {
  if (this->survivals.Has(request)) {
    return;
  }
  const auto probe =
      std::make_shared<Probe>(this->context, request, id, engine);
  const Endpoint endpoint = ParseEndpoint(engine.address, "engine");
  probe->timer.async_wait([probe](std::error_code error) {
    if (!error) {
      std::error_code ignored;  // The probe ends in any case.
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(
      {asio::ip::make_address(endpoint.host), endpoint.port},
      [this, probe, alive = this->alive](std::error_code error) {
        probe->timer.cancel();
        if (*alive && error == asio::error::connection_refused) {
          this->OnConnectionRefused(*probe);
        }
      });
}

void CrashDetector::OnConnectionRefused(const Probe& probe) {
  const Time now = MonotonicNow();
  const std::string replica =
      fmt::format("{}@{}@{}", probe.engine.id, probe.engine.address,
                  probe.engine.started_ms);
  Log(LogLevel::kWarn, "replica_crashed_under_request",
      {{"request", probe.id},
       {"fingerprint", probe.request.ToString()},
       {"replica", replica}});
  this->local_crash_tracker.Crashed({probe.request, replica, 0}, now);
  this->local_crash_tracker.Evaluate(now);
  this->watch.ReportCrash(probe.request, replica);
}

void CrashDetector::Survived(const Fingerprint& request) {
  this->survivals.Add(request);
  if (this->local_crash_tracker.IsSuspect(request) ||
      this->watch.crashes().Quarantined(request)) {
    this->local_crash_tracker.Survived(request, MonotonicNow());
    this->watch.ReportSurvival(request);
  }
}

}  // namespace papayarack::nodes
