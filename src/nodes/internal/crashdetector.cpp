#include "nodes/crashdetector.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <utility>

#include "global/logging.h"
#include "global/settings.h"

namespace papayarack::nodes {

using quarantine::CrashTracker;
using quarantine::Fingerprint;
using quarantine::SuspectTrait;
using quarantine::Trait;

/// Connection attempts that only test whether the port refuses them.
struct CrashDetector::Probe {
  Probe(asio::io_context& context, const BrokenRun& run, Time broke)
      : socket(context),
        timer(context),
        request(run.request),
        engine(run.engine),
        broke(broke) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::string request;
  placement::EngineStart engine;
  std::vector<SuspectTrait> traits;
  Time broke{};
  std::size_t attempts = 0;
};

CrashDetector::CrashDetector(asio::io_context& context,
                             coordination::FleetWatch& watch)
    : context(context), watch(watch), gather_timer(context) {}

CrashDetector::~CrashDetector() { *this->alive = false; }

bool CrashDetector::Quarantined(const Fingerprint& trait) const {
  if (this->watch.crashes().Quarantined(trait)) {
    return true;
  }
  const bool leader_heard =
      this->watch.knowledge().heard != Time{} &&
      MonotonicNow() - this->watch.knowledge().heard <= kMaxLeaderSilence;
  return !leader_heard && this->local_crash_tracker.Quarantined(trait);
}

const Trait* CrashDetector::FindQuarantined(
    std::span<const Trait> traits) const {
  for (const Trait& trait : traits) {
    if (this->Quarantined(trait.id)) {
      return &trait;
    }
  }
  return nullptr;
}

void CrashDetector::ConnectionBroke(const BrokenRun& run) {
  const Time now = MonotonicNow();
  if (run.began.has_value() && now - *run.began > CrashTracker::kCrashDelay) {
    return;
  }
  const auto probe = std::make_shared<Probe>(this->context, run, now);
  for (const Trait& trait : run.traits) {
    SuspectTrait suspect{trait.id, trait.depth};
    if (const auto survived = this->survivals.Find(trait.id)) {
      suspect.survived_ms =
          static_cast<std::uint32_t>((now - *survived).count() / 1000);
    }
    probe->traits.push_back(suspect);
  }
  this->StartProbe(probe);
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
  coordination::ReplicaCrash crash;
  crash.replica = fmt::format("{}@{}@{}", probe.engine.id, probe.engine.address,
                              probe.engine.started_ms);
  crash.traits = probe.traits;
  crash.when = probe.broke;
  std::vector<std::string> names;
  std::vector<std::int64_t> survived;
  for (const SuspectTrait& trait : probe.traits) {
    names.push_back(trait.id.ToString());
    survived.push_back(trait.survived_ms == SuspectTrait::kNeverSurvived
                           ? -1
                           : trait.survived_ms);
  }
  Log(LogLevel::kWarn, "replica_crashed_under_request",
      {{"request", probe.request},
       {"fingerprints", fmt::format("{}", fmt::join(names, " "))},
       {"survived_ms", fmt::format("{}", fmt::join(survived, " "))},
       {"replica", crash.replica}});
  this->Gather(std::move(crash));
}

void CrashDetector::Gather(coordination::ReplicaCrash crash) {
  this->gathered.push_back(std::move(crash));
  if (this->gathered.size() > 1) {
    return;
  }
  this->gather_timer.expires_after(kGatherTime);
  this->gather_timer.async_wait(
      [this, alive = this->alive](std::error_code error) {
        if (!error && *alive) {
          this->ReportGathered();
        }
      });
}

void CrashDetector::ReportGathered() {
  const Time now = MonotonicNow();
  auto crashes = std::exchange(this->gathered, {});
  for (const coordination::ReplicaCrash& crash : crashes) {
    this->local_crash_tracker.Crashed(
        {crash.replica, quarantine::AgeMs(crash.when, now), crash.traits}, now);
  }
  this->local_crash_tracker.Evaluate(now);
  this->watch.ReportCrashes(std::move(crashes));
}

void CrashDetector::Survived(std::span<const Trait> traits) {
  const Time now = MonotonicNow();
  for (const Trait& trait : traits) {
    this->survivals.Add(trait.id, now);
    if (this->local_crash_tracker.IsSuspect(trait.id) ||
        this->watch.crashes().Quarantined(trait.id)) {
      this->local_crash_tracker.Survived(trait.id, now);
      this->watch.ReportSurvival(trait.id);
    }
  }
}

}  // namespace papayarack::nodes
