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
/// Cost of an engine in another zone, in slots. Above the noise, so that among
/// equally busy engines a local one is chosen, which saves traffic between
/// zones. With a cost of all slots of an engine, entries would ask all engines
/// of their zone first and be refused if the load of the zones differs.
constexpr double kOtherZonePenalty = 1;
/// Cost of a slot that a batch item holds, in slots: an online request can have
/// it, but the item then stops and runs again, so a free slot elsewhere is
/// better.
constexpr double kBatchSlotCost = 0.5;
/// Cost of an engine in backoff: chosen only if all others are in backoff too.
constexpr double kBackoffPenalty = 1000;

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
}

std::vector<EngineRestart> EngineChooser::SetOptions(
    const std::string& service, std::vector<EngineOption> list) {
  std::vector<EngineRestart> restarts;
  for (const EngineOption& option : list) {
    if (auto restart = this->ApplyStart(option.Start())) {
      restarts.push_back(std::move(*restart));
    }
  }
  this->options[service] = std::move(list);
  std::set<std::string> present;
  for (const auto& [name, entries] : this->options) {
    for (const EngineOption& option : entries) {
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
  const auto found = this->options.find(query.service);
  return found != this->options.end() &&
         std::ranges::any_of(found->second, [&](const EngineOption& option) {
           return query.Admits(this->SoftwareOf(option)) &&
                  !Contains(tried, this->StartOf(option));
         });
}

double EngineChooser::CostOf(const EngineOption& option,
                             const std::string& own_zone, Time now) {
  const EngineState& state = this->states[option.address];
  const double age = ToSeconds(now - state.reported);
  const double report_weight = 1 / (1 + age / ToSeconds(kReportHalfLife));
  const double since =
      static_cast<double>(state.own) - static_cast<double>(state.own_at_report);
  const double reported = state.load.online + state.load.waiting +
                          kBatchSlotCost * state.load.batch +
                          std::max(0.0, since);
  // Without a fresh report, the entry's own use estimates that of the others.
  const double estimate = state.own + 1.0;
  const double used = reported * report_weight + estimate * (1 - report_weight);
  std::uniform_real_distribution<double> noise(0, kNoiseWidth);
  const double slots = std::max<std::uint32_t>(1, option.slots);
  return (used + noise(this->random)) / slots +
         (option.zone != own_zone ? kOtherZonePenalty / slots : 0) +
         (state.backoff_until > now ? kBackoffPenalty : 0);
}

std::optional<EngineOption> EngineChooser::Choose(
    const EngineQuery& query, const std::string& own_zone,
    std::span<const EngineStart> tried, Time now) {
  const auto found = this->options.find(query.service);
  if (found == this->options.end()) {
    return std::nullopt;
  }
  const EngineOption* best = nullptr;
  double best_cost = 0;
  for (const EngineOption& option : found->second) {
    if (!query.Admits(this->SoftwareOf(option)) ||
        Contains(tried, this->StartOf(option))) {
      continue;
    }
    const double cost = this->CostOf(option, own_zone, now);
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
  for (const auto& [service, list] : this->options) {
    for (const EngineOption& option : list) {
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
  const auto found = this->options.find(query.service);
  if (found == this->options.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      found->second, [this, &query](const EngineOption& option) {
        return query.Admits(this->SoftwareOf(option));
      }));
}

std::uint32_t EngineChooser::OwnRequests(const std::string& address) const {
  const auto found = this->states.find(address);
  return found != this->states.end() ? found->second.own : 0;
}

}  // namespace papayarack::placement
