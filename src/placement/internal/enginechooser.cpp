#include "placement/enginechooser.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayarack::placement {
namespace {

/// A report's weight halves after this time: the start of a wave fills an
/// engine within a few tens of milliseconds, its plateau lasts seconds.
constexpr std::chrono::milliseconds kReportHalfLife{250};
/// Width of the random noise, in slots.
constexpr double kNoiseWidth = 0.8;
/// Cost of a slot that a batch item holds, in slots: an online request can have
/// it, but the item then stops and runs again, so a free slot elsewhere is
/// better.
constexpr double kBatchSlotCost = 0.5;
/// Cost of an engine where the request would miss its objectives: as much as
/// that of all slots, so that it is chosen only if all others are full.
constexpr double kMissPenalty = 1;
/// Slowness makes an engine look at most this occupied: one with free slots
/// serves a request sooner than a fast one that is nearly full, where asks find
/// no slot and requests are rejected while slow slots are idle.
constexpr double kSlowOccupancy = 0.75;
/// How long a service counts as one whose replicas run items, or differ in
/// speed: one wave of load, between the peaks of which items fill all slots.
constexpr std::chrono::milliseconds kSeenRecently{6000};
/// Cost of an engine in backoff: chosen only if all others are in backoff too.
constexpr double kBackoffPenalty = 1000;

bool IsRecent(Time seen, Time now) {
  return seen != Time{} && now - seen < Duration(kSeenRecently);
}

bool Contains(std::span<const EngineStart> tried, const EngineStart& start) {
  return std::ranges::any_of(tried, [&start](const EngineStart& other) {
    return other.MayBeSameStart(start);
  });
}

}  // namespace

/// Resets the state of a restarted replica. Otherwise it gets no requests for
/// seconds, or too many: the load reports and failures from before the restart
/// still apply.
std::optional<EngineRestart> EngineChooser::ApplyStart(
    const EngineStart& reported_start) {
  EngineState& state = this->states[reported_start.address];
  const EngineStart before{reported_start.address, state.id, state.started_ms};
  const bool other_replica = !state.id.empty() && state.id != reported_start.id;
  if (other_replica) {
    state.started_ms = 0;
    state.unlisted_id.clear();
  }
  state.id = reported_start.id;
  const bool restarted =
      LearnStart(state.started_ms, reported_start.started_ms);
  if (!restarted && !other_replica) {
    return std::nullopt;
  }
  state.own_at_report = 0;
  state.load = {};
  state.reported = {};
  state.failures = 0;
  state.backoff_until = {};
  state.speed = {};
  state.noted_slow = false;
  return EngineRestart{before,
                       {reported_start.address, state.id, state.started_ms}};
}

std::optional<EngineRestart> EngineChooser::ObserveStart(
    const std::string& address, std::uint64_t started_ms) {
  const auto found = this->states.find(address);
  if (found == this->states.end()) {
    return std::nullopt;  // No longer an option.
  }
  return this->ApplyStart({address, found->second.id, started_ms});
}

void EngineChooser::ObserveId(const std::string& address,
                              const std::string& id) {
  const auto found = this->states.find(address);
  if (found == this->states.end() || found->second.id.empty()) {
    return;  // No longer an option.
  }
  EngineState& state = found->second;
  state.unlisted_id = id == state.id ? std::string() : id;
  state.failures = 0;
  state.backoff_until = {};
  state.speed = {};
}

std::vector<EngineRestart> EngineChooser::SetOptions(
    const std::string& service, std::vector<EngineOption> list) {
  std::vector<EngineRestart> restarts;
  for (const EngineOption& option : list) {
    if (auto restart = this->ApplyStart(option.Start())) {
      restarts.push_back(std::move(*restart));
    }
  }
  this->ServiceOf(service).options = std::move(list);
  std::set<std::string> present;
  for (const auto& [name, entry] : this->services) {
    for (const EngineOption& option : entry.options) {
      present.insert(option.address);
    }
  }
  std::erase_if(this->states, [&present](const auto& entry) {
    return present.count(entry.first) == 0 && entry.second.own == 0;
  });
  return restarts;
}

/// The later of the starts reported by the list and by the gate.
EngineStart EngineChooser::StartOf(const EngineOption& option) const {
  EngineStart start = option.Start();
  const auto found = this->states.find(option.address);
  if (found != this->states.end() && found->second.id == option.id) {
    start.started_ms = std::max(start.started_ms, found->second.started_ms);
  }
  return start;
}

ReplicaSoftware EngineChooser::SoftwareOf(const EngineOption& option) const {
  const auto found = this->states.find(option.address);
  const bool other =
      found != this->states.end() && !found->second.unlisted_id.empty();
  const bool restarted = option.started_ms != 0 &&
                         this->StartOf(option).started_ms > option.started_ms;
  return restarted || other ? ReplicaSoftware{} : option.software;
}

bool EngineChooser::HasUntried(const EngineQuery& query,
                               std::span<const EngineStart> tried) const {
  const auto found = this->services.find(query.service);
  return found != this->services.end() &&
         std::ranges::any_of(found->second.options,
                             [&](const EngineOption& option) {
                               return query.Admits(this->SoftwareOf(option)) &&
                                      !Contains(tried, this->StartOf(option));
                             });
}

EngineChooser::Usage EngineChooser::UsageOf(const EngineState& state,
                                            Time now) {
  const double age = ToSeconds(now - state.reported);
  Usage usage;
  usage.report_weight = 1 / (1 + age / ToSeconds(kReportHalfLife));
  const double since =
      static_cast<double>(state.own) - static_cast<double>(state.own_at_report);
  usage.reported = state.load.online + state.load.waiting +
                   kBatchSlotCost * state.load.batch + std::max(0.0, since);
  // Without a fresh report, the entry's own use estimates that of the others.
  const double estimate = state.own + 1.0;
  usage.used = usage.reported * usage.report_weight +
               estimate * (1 - usage.report_weight);
  return usage;
}

double EngineChooser::CostOf(const EngineOption& option,
                             const EngineQuery& query,
                             const std::string& own_zone, ServiceState& service,
                             Time now) {
  const EngineState& state = this->states[option.address];
  if (state.load.batch > 0) {
    service.items_seen = std::max(service.items_seen, state.reported);
  }
  const double used = UsageOf(state, now).used;
  std::uniform_real_distribution<double> noise(0, kNoiseWidth);
  const double slots = std::max<std::uint32_t>(1, option.slots);
  double cost = (used + noise(this->random)) / slots +
                (option.zone != own_zone ? service.zone.Penalty(slots) : 0) +
                (state.backoff_until > now ? kBackoffPenalty : 0);
  if (state.speed.IsOrdinary(service.speeds)) {
    return cost;
  }
  const double slowness = state.speed.Slowness(service.speeds, now);
  service.uneven_seen =
      slowness >= speeds::ReplicaSpeed::kFull ? now : service.uneven_seen;
  if (!IsRecent(service.items_seen, now)) {
    const double room = std::max(0.0, kSlowOccupancy - used / slots);
    cost += std::min((slowness - 1) * (used + 1) / slots, room);
  }
  const bool misses =
      state.speed.MissesObjectives(query.objectives, service.speeds, now);
  return cost + (misses ? kMissPenalty : 0);
}

EngineChooser::ServiceState& EngineChooser::ServiceOf(
    const std::string& service) {
  const auto [found, added] = this->services.try_emplace(service);
  if (added) {
    found->second.zone = ZonePolicy(this->zones);
  }
  return found->second;
}

void EngineChooser::UpdateZone(ServiceState& service,
                               const std::string& own_zone, Time now) {
  ZoneLoads loads;
  for (const EngineOption& option : service.options) {
    const EngineState& state = this->states[option.address];
    if (state.backoff_until > now) {
      continue;
    }
    const Usage usage = UsageOf(state, now);
    ZoneLoad& load = option.zone == own_zone ? loads.own : loads.others;
    load.used += usage.reported * usage.report_weight;
    load.known += option.slots * usage.report_weight;
    load.slots += option.slots;
    ++load.usable;
  }
  service.zone.Update(loads, now);
}

std::optional<EngineOption> EngineChooser::Choose(
    const EngineQuery& query, const std::string& own_zone,
    std::span<const EngineStart> tried, Time now) {
  const auto found = this->services.find(query.service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  ServiceState& service = found->second;
  if (service.zone.Due(now)) {
    this->UpdateZone(service, own_zone, now);
  }
  // A stream that has begun goes on anywhere: its caller loses it otherwise.
  const bool own_zone_only =
      !service.zone.MayLeave() && !query.began.has_value();
  const EngineOption* best = nullptr;
  double best_cost = 0;
  for (const EngineOption& option : service.options) {
    if (!query.Admits(this->SoftwareOf(option)) ||
        (!tried.empty() && Contains(tried, this->StartOf(option))) ||
        (own_zone_only && option.zone != own_zone)) {
      continue;
    }
    const double cost = this->CostOf(option, query, own_zone, service, now);
    if (best == nullptr || cost < best_cost) {
      best = &option;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  EngineOption chosen = *best;
  chosen.started_ms = this->StartOf(*best).started_ms;
  chosen.software = this->SoftwareOf(*best);
  chosen.unlisted_id = this->states[chosen.address].unlisted_id;
  if (this->states[chosen.address].unowned_until > now) {
    chosen.gate.clear();
  }
  return chosen;
}

void EngineChooser::Started(const std::string& address) {
  ++this->states[address].own;
}

void EngineChooser::Ended(const std::string& address) {
  EngineState& state = this->states[address];
  state.own -= state.own > 0 ? 1 : 0;
  state.own_at_report = std::min(state.own_at_report, state.own);
}

void EngineChooser::Reported(const std::string& address,
                             const ReportedLoad& load, Time now) {
  EngineState& state = this->states[address];
  state.load = load;
  state.reported = now;
  state.own_at_report = state.own;
}

void EngineChooser::LearnSpeed(const std::string& service,
                               const std::string& address,
                               const speeds::SpeedStatement& statement,
                               Time now) {
  this->states[address].speed.Stated(statement, this->ServiceOf(service).speeds,
                                     now);
}

void EngineChooser::LearnStream(const std::string& service,
                                const std::string& address,
                                const speeds::StreamTimes& times,
                                std::uint64_t bytes, Time now) {
  ServiceState& fleet = this->ServiceOf(service);
  fleet.zone.Moved(bytes);
  this->states[address].speed.Streamed(times, fleet.speeds, now);
}

void EngineChooser::LearnPace(const std::string& address, std::uint32_t percent,
                              Time now) {
  this->states[address].speed.Paced(percent, now);
}

void EngineChooser::CountZone(const std::string& service, bool other_zone,
                              Time now) {
  this->ServiceOf(service).zone.Sent(other_zone, now);
}

const ZonePolicy* EngineChooser::ZoneOf(const std::string& service) const {
  const auto found = this->services.find(service);
  return found != this->services.end() ? &found->second.zone : nullptr;
}

bool EngineChooser::SparesItems(const std::string& service, Time now) const {
  const auto found = this->services.find(service);
  return found != this->services.end() &&
         IsRecent(found->second.uneven_seen, now);
}

double EngineChooser::SlownessOf(const std::string& service,
                                 const std::string& address, Time now) const {
  const auto fleet = this->services.find(service);
  const auto replica = this->states.find(address);
  return fleet != this->services.end() && replica != this->states.end()
             ? replica->second.speed.Slowness(fleet->second.speeds, now)
             : 1;
}

std::optional<speeds::LastingSlowness> EngineChooser::NoteSpeed(
    const std::string& service, const std::string& address, Time now) {
  const auto fleet = this->services.find(service);
  const auto found = this->states.find(address);
  if (fleet == this->services.end() || found == this->states.end()) {
    return std::nullopt;
  }
  EngineState& state = found->second;
  const bool early = state.speed_noted != Time{} &&
                     now - state.speed_noted < Duration(kSpeedNoteInterval);
  if (early) {
    return std::nullopt;
  }
  const auto lasting = state.speed.Lasting(fleet->second.speeds, now);
  // Two limits, so that a replica near one of them is not noted again and
  // again.
  const bool slow =
      lasting.factor >= (state.noted_slow ? speeds::ReplicaSpeed::kEven
                                          : speeds::ReplicaSpeed::kFull);
  if (slow == state.noted_slow) {
    return std::nullopt;
  }
  state.noted_slow = slow;
  state.speed_noted = now;
  return lasting;
}

std::size_t EngineChooser::SlowReplicas() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->states, [](const auto& entry) { return entry.second.noted_slow; }));
}

void EngineChooser::Succeeded(const std::string& address) {
  EngineState& state = this->states[address];
  state.failures = 0;
  state.backoff_until = {};
}

void EngineChooser::Failed(const std::string& address, Time now) {
  EngineState& state = this->states[address];
  const std::uint32_t doublings = std::min<std::uint32_t>(state.failures, 8);
  ++state.failures;
  const Duration backoff = std::min<Duration>(
      Duration(kFirstBackoff) * (1U << doublings), Duration(kMaxBackoff));
  state.backoff_until = now + backoff;
}

void EngineChooser::Closed(const std::string& address, Time now) {
  EngineState& state = this->states[address];
  state.backoff_until =
      std::max(state.backoff_until, now + Duration(kFirstBackoff));
}

void EngineChooser::NotOwned(const std::string& address, Time now) {
  this->states[address].unowned_until = now + Duration(kUnownedFor);
}

/// Prevents each request from spending seconds asking lost hosts one after the
/// other although their engines are idle.
void EngineChooser::HostTimedOut(const std::string& host, Time now) {
  for (const auto& [name, service] : this->services) {
    for (const EngineOption& option : service.options) {
      if (option.hosted && option.gate == host) {
        this->NotOwned(option.address, now);
      }
    }
  }
}

Time EngineChooser::BackoffUntil(const std::string& address) const {
  const auto found = this->states.find(address);
  return found != this->states.end() ? found->second.backoff_until : Time{};
}

std::size_t EngineChooser::OptionCount(const EngineQuery& query) const {
  const auto found = this->services.find(query.service);
  if (found == this->services.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second.options, [this, &query](const EngineOption& option) {
        return query.Admits(this->SoftwareOf(option));
      }));
}

std::uint32_t EngineChooser::OwnRequests(const std::string& address) const {
  const auto found = this->states.find(address);
  return found != this->states.end() ? found->second.own : 0;
}

}  // namespace papayarack::placement
