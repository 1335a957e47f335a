#include "nodes/crashdetector.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/settings.h"

namespace papayarack::nodes {

using quarantine::Fingerprint;

/// Connection attempts that only test whether the port refuses them.
struct CrashDetector::Probe {
  Probe(asio::io_context& context, const Fingerprint& request,
        std::string_view id, placement::EngineStart engine)
      : socket(context),
        timer(context),
        request(request),
        id(id),
        engine(std::move(engine)) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  Fingerprint request;
  std::string id;
  placement::EngineStart engine;
  Time broke = MonotonicNow();
  std::size_t attempts = 0;
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
  this->StartProbe(std::make_shared<Probe>(this->context, request, id, engine));
}

/// Waits for the time of the next attempt. The probe ends with the last one.
void CrashDetector::StartProbe(const std::shared_ptr<Probe>& probe) {
  if (probe->attempts == kProbeTimes.size()) {
    return;
  }
  const Time due = probe->broke + kProbeTimes.at(probe->attempts);
  ++probe->attempts;
  probe->timer.expires_after(
      std::max<Duration>(due - MonotonicNow(), Duration::zero()));
  probe->timer.async_wait(
      [this, probe, alive = this->alive](std::error_code error) {
        if (!error && *alive) {
          this->Connect(probe);
        }
      });
}

void CrashDetector::Connect(const std::shared_ptr<Probe>& probe) {
  const Endpoint endpoint = ParseEndpoint(probe->engine.address, "engine");
  probe->timer.expires_after(kConnectTimeout);
  probe->timer.async_wait([probe](std::error_code error) {
    if (!error) {
      std::error_code ignored;  // The attempt ends in any case.
      probe->socket.close(ignored);
    }
  });
  probe->socket.async_connect(
      {asio::ip::make_address(endpoint.host), endpoint.port},
      [this, probe, alive = this->alive](std::error_code error) {
        probe->timer.cancel();
        std::error_code ignored;  // Only whether it connected matters.
        probe->socket.close(ignored);
        if (!*alive) {
          return;
        }
        if (error == asio::error::connection_refused) {
          this->OnConnectionRefused(*probe);
        } else if (!error) {
          this->StartProbe(probe);
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
