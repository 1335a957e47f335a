#include "placement/enginechooser.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayarack::placement {
namespace {

/// A report says half as much after this long: a wave's edge takes a few tens
/// of milliseconds to fill an engine, its plateau lasts seconds.
constexpr std::chrono::milliseconds kReportHalfLife{250};
/// Width of the random part, in slots.
constexpr double kNoise = 0.8;
/// In slots. One more than the noise, so that of engines that are equally busy
/// one of the own zone is taken, which saves bytes between zones. With a whole
/// engine's slots entries would ask all of their zone before another, and be
/// refused where zones are not equally busy.
constexpr double kOtherZone = 1;
/// Cost of an engine that is set aside: chosen only when all others are too.
constexpr double kAside = 1000;

bool Contains(std::span<const EngineStart> tried, const EngineStart& start) {
  return std::ranges::any_of(
      tried, [&start](const EngineStart& other) { return other.MayBe(start); });
}

}  // namespace

/// Symptom guarded against: a replica that has just started gets no requests
/// for seconds, or too many. What its former start reported, and the failures
/// at its end, count against it.
std::optional<EngineRestart> EngineChooser::TakeStart(const EngineStart& told) {
  Known& state = this->known[told.address];
  const EngineStart before{told.address, state.id, state.started_ms};
  const bool other_replica = !state.id.empty() && state.id != told.id;
  if (other_replica) {
    state.started_ms = 0;
  }
  state.id = told.id;
  const bool again = LearnStart(state.started_ms, told.started_ms);
  if (!again && !other_replica) {
    return std::nullopt;
  }
  state.own_at_report = 0;
  state.load = {};
  state.reported = {};
  state.failures = 0;
  state.aside_until = {};
  return EngineRestart{before, {told.address, state.id, state.started_ms}};
}

std::optional<EngineRestart> EngineChooser::SawStart(const std::string& address,
                                                     std::uint64_t started_ms) {
  const auto found = this->known.find(address);
  if (found == this->known.end()) {
    return std::nullopt;  // No option any more.
  }
  return this->TakeStart({address, found->second.id, started_ms});
}

std::vector<EngineRestart> EngineChooser::SetOptions(
    const std::string& service, std::vector<EngineOption> list) {
  std::vector<EngineRestart> restarts;
  for (const EngineOption& option : list) {
    if (auto restart = this->TakeStart(option.Start())) {
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
  std::erase_if(this->known, [&present](const auto& entry) {
    return present.count(entry.first) == 0 && entry.second.own == 0;
  });
  return restarts;
}

/// The later of what the list and what the gate has told.
EngineStart EngineChooser::StartOf(const EngineOption& option) const {
  EngineStart start = option.Start();
  const auto found = this->known.find(option.address);
  if (found != this->known.end() && found->second.id == option.id) {
    start.started_ms = std::max(start.started_ms, found->second.started_ms);
  }
  return start;
}

bool EngineChooser::HasUntried(const std::string& service,
                               std::span<const EngineStart> tried) const {
  const auto found = this->options.find(service);
  return found != this->options.end() &&
         std::ranges::any_of(found->second,
                             [this, tried](const EngineOption& option) {
                               return !Contains(tried, this->StartOf(option));
                             });
}

double EngineChooser::CostOf(const EngineOption& option,
                             const std::string& own_zone, Time now) {
  const Known& state = this->known[option.address];
  const double age = ToSeconds(now - state.reported);
  const double trust = 1 / (1 + age / ToSeconds(kReportHalfLife));
  const double since =
      static_cast<double>(state.own) - static_cast<double>(state.own_at_report);
  const double reported =
      state.load.online + state.load.waiting + std::max(0.0, since);
  // Without a fresh report: this entry's own use, as a sample of the others'.
  const double guess = state.own + 1.0;
  const double used = reported * trust + guess * (1 - trust);
  std::uniform_real_distribution<double> noise(0, kNoise);
  const double slots = std::max<std::uint32_t>(1, option.slots);
  return (used + noise(this->random)) / slots +
         (option.zone != own_zone ? kOtherZone / slots : 0) +
         (state.aside_until > now ? kAside : 0);
}

std::optional<EngineOption> EngineChooser::Choose(
    const std::string& service, const std::string& own_zone,
    std::span<const EngineStart> tried, Time now) {
  const auto found = this->options.find(service);
  if (found == this->options.end()) {
    return std::nullopt;
  }
  const EngineOption* best = nullptr;
  double best_cost = 0;
  for (const EngineOption& option : found->second) {
    if (Contains(tried, this->StartOf(option))) {
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
  if (this->known[chosen.address].unowned_until > now) {
    chosen.gate.clear();
  }
  return chosen;
}

void EngineChooser::Started(const std::string& address) {
  ++this->known[address].own;
}

void EngineChooser::Ended(const std::string& address) {
  Known& state = this->known[address];
  state.own -= state.own > 0 ? 1 : 0;
  state.own_at_report = std::min(state.own_at_report, state.own);
}

void EngineChooser::Reported(const std::string& address,
                             const ReportedLoad& load, Time now) {
  Known& state = this->known[address];
  state.load = load;
  state.reported = now;
  state.own_at_report = state.own;
}

void EngineChooser::Succeeded(const std::string& address) {
  Known& state = this->known[address];
  state.failures = 0;
  state.aside_until = {};
}

void EngineChooser::Failed(const std::string& address, Time now) {
  Known& state = this->known[address];
  const std::uint32_t doublings = std::min<std::uint32_t>(state.failures, 8);
  ++state.failures;
  const Duration aside = std::min<Duration>(
      Duration(kFirstAside) * (1U << doublings), Duration(kLongestAside));
  state.aside_until = now + aside;
}

void EngineChooser::Closed(const std::string& address, Time now) {
  Known& state = this->known[address];
  state.aside_until = std::max(state.aside_until, now + Duration(kFirstAside));
}

void EngineChooser::NotOwned(const std::string& address, Time now) {
  this->known[address].unowned_until = now + Duration(kUnownedFor);
}

/// Symptom guarded against: while the hosts' VMs are gone each request asks
/// them in turn for seconds, though their engines are idle.
void EngineChooser::HostSilent(const std::string& host, Time now) {
  for (const auto& [service, list] : this->options) {
    for (const EngineOption& option : list) {
      if (option.hosted && option.gate == host) {
        this->NotOwned(option.address, now);
      }
    }
  }
}

Time EngineChooser::AsideUntil(const std::string& address) const {
  const auto found = this->known.find(address);
  return found != this->known.end() ? found->second.aside_until : Time{};
}

std::size_t EngineChooser::OptionCount(const std::string& service) const {
  const auto found = this->options.find(service);
  return found != this->options.end() ? found->second.size() : 0;
}

std::uint32_t EngineChooser::OwnUse(const std::string& address) const {
  const auto found = this->known.find(address);
  return found != this->known.end() ? found->second.own : 0;
}

}  // namespace papayarack::placement
