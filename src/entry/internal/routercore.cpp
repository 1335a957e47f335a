#include "entry/routercore.h"

#include <algorithm>

#include "global/hash.h"

namespace papayarack::entry {
namespace {

constexpr double kSmoothing = 0.2;
constexpr std::uint32_t kFailuresUntilSetAside = 2;
constexpr std::uint32_t kMinLatencySamples = 20;
constexpr Duration kSetAsideDuration = std::chrono::seconds(2);
constexpr double kZoneFullLoad = 0.9;
constexpr double kMaxAffinityLoad = 0.75;
constexpr double kMinSlowMs = 20.0;

}  // namespace

RouterCore::RouterCore(const RouterOptions& options)
    : options(options), random(options.seed) {}

void RouterCore::SetFleet(std::span<const fleet::FleetMember> members,
                          bool settled) {
  std::set<std::string_view> listed;
  for (const fleet::FleetMember& member : members) {
    if (member.report.role != "side") {
      continue;
    }
    listed.insert(member.report.name);
    Gate& gate = this->gates[member.report.name];
    const bool restarted = member.report.incarnation > gate.report.incarnation;
    if (restarted) {
      gate.failures = 0;
      gate.aside = false;
      gate.samples = 0;
    }
    // A gate known to be leaving stays so until it restarts.
    gate.leaving = member.leaving || (gate.leaving && !restarted);
    gate.alive = member.alive;
    gate.report = member.report;
    const std::uint32_t total = member.report.running + member.report.waiting;
    gate.reported = total > gate.in_flight ? total - gate.in_flight : 0;
  }
  if (settled) {
    std::erase_if(this->gates, [&listed](const auto& entry) {
      return listed.count(entry.first) == 0 && entry.second.in_flight == 0;
    });
    for (auto& [name, gate] : this->gates) {
      gate.alive = gate.alive && listed.count(name) > 0;
    }
  }
}

double RouterCore::LoadOf(const Gate& gate) const {
  const double limit = std::max<double>(1.0, gate.report.limit);
  return (static_cast<double>(gate.in_flight) +
          static_cast<double>(gate.reported)) /
         limit;
}

std::vector<std::string> RouterCore::Candidates(const RouteQuery& query,
                                                Time now) const {
  std::vector<std::string> open;
  std::vector<std::string> aside;
  for (const auto& [name, gate] : this->gates) {
    const bool tried =
        std::ranges::find(query.tried, name) != query.tried.end();
    if (gate.report.service != query.service || gate.leaving || !gate.alive ||
        tried) {
      continue;
    }
    const bool closed = gate.aside && now < gate.aside_until;
    // A gate set aside is readmitted by trial requests, sent one at a time
    // until one is answered.
    const bool trial_running = gate.aside && gate.in_flight > 0;
    (closed || trial_running ? aside : open).push_back(name);
  }
  // If no other gate is left, one that is set aside is better than none.
  return open.empty() ? aside : open;
}

std::vector<std::string> RouterCore::PreferOwnZone(
    const std::vector<std::string>& candidates) const {
  std::vector<std::string> own;
  for (const std::string& name : candidates) {
    const Gate& gate = this->gates.find(name)->second;
    if (gate.report.zone == this->options.zone &&
        this->LoadOf(gate) < kZoneFullLoad) {
      own.push_back(name);
    }
  }
  return own.empty() ? candidates : own;
}

/// For an engine service, returns the first gates, in an order that is the same
/// on all entries, that can serve the requests in flight at the target
/// utilization, plus one for the next burst.
std::vector<std::string> RouterCore::ActiveSet(
    std::vector<std::string> names) const {
  const auto gate_of = [this](const std::string& name) -> const Gate& {
    return this->gates.find(name)->second;
  };
  if (gate_of(names.front()).report.kind != "engine") {
    return names;
  }
  std::ranges::sort(names, {},
                    [](const std::string& name) { return Hash64(name); });
  double load = 1;
  for (const std::string& name : names) {
    load += gate_of(name).in_flight + gate_of(name).reported;
  }
  double capacity = 0;
  std::size_t active = 0;
  while (active < names.size() && capacity < load) {
    const Gate& gate = gate_of(names[active]);
    capacity += std::max<double>(1.0, gate.report.shared_limit) *
                this->options.target_utilization;
    ++active;
  }
  names.resize(std::min(names.size(), active + 1));
  return names;
}

std::string RouterCore::PickByPrefix(const std::vector<std::string>& candidates,
                                     std::uint64_t hash) const {
  const std::string* best = &candidates.front();
  std::uint64_t best_score = 0;
  for (const std::string& name : candidates) {
    const std::uint64_t score = Hash64(name, hash);
    if (score >= best_score) {
      best_score = score;
      best = &name;
    }
  }
  return *best;
}

const std::string& RouterCore::LessLoaded(const std::string& one,
                                          const std::string& other) const {
  const double first = this->LoadOf(this->gates.find(one)->second);
  const double second = this->LoadOf(this->gates.find(other)->second);
  return first <= second ? one : other;
}

std::optional<std::string> RouterCore::Choose(const RouteQuery& query,
                                              Time now) {
  const std::vector<std::string> all = this->Candidates(query, now);
  if (all.empty()) {
    return std::nullopt;
  }
  const std::vector<std::string> usable =
      this->ActiveSet(this->PreferOwnZone(all));
  std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
  std::string chosen =
      this->LessLoaded(usable[any(this->random)], usable[any(this->random)]);
  if (query.prefix_hash != 0) {
    const std::string preferred = this->PickByPrefix(usable, query.prefix_hash);
    const double load = this->LoadOf(this->gates.find(preferred)->second);
    chosen = load < kMaxAffinityLoad ? preferred : chosen;
  }
  this->gates.find(chosen)->second.in_flight += 1;
  return chosen;
}

std::string RouterCore::AddressOf(std::string_view name) const {
  const auto found = this->gates.find(name);
  return found != this->gates.end() ? found->second.report.address
                                    : std::string();
}

void RouterCore::Finish(std::string_view name) {
  const auto found = this->gates.find(name);
  if (found != this->gates.end() && found->second.in_flight > 0) {
    found->second.in_flight -= 1;
  }
}

double RouterCore::MedianLatency(std::string_view service) const {
  std::vector<double> latencies;
  for (const auto& [name, gate] : this->gates) {
    if (gate.report.service == service && gate.alive && gate.samples > 0) {
      latencies.push_back(gate.latency_ms);
    }
  }
  if (latencies.empty()) {
    return 0;
  }
  std::ranges::nth_element(
      latencies,
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2));
  return latencies[latencies.size() / 2];
}

void RouterCore::SetAside(Gate& gate, std::string why, Time now) {
  std::size_t peers = 0;
  std::size_t aside = 0;
  for (const auto& [name, other] : this->gates) {
    if (other.report.service == gate.report.service && other.alive &&
        !other.leaving) {
      ++peers;
      aside += other.aside ? 1 : 0;
    }
  }
  // Limits how many gates are set aside: if all of them fail, setting them
  // aside would only move the load onto fewer gates.
  const auto allowed = static_cast<std::size_t>(this->options.max_set_aside *
                                                static_cast<double>(peers));
  if (gate.aside || aside < allowed) {
    gate.aside = true;
    gate.aside_until = now + kSetAsideDuration;
    gate.why = std::move(why);
  }
}

void RouterCore::Report(std::string_view name, RouteOutcome outcome,
                        Duration took, Time now) {
  const auto found = this->gates.find(name);
  if (found == this->gates.end()) {
    return;
  }
  Gate& gate = found->second;
  if (outcome == RouteOutcome::kFailed) {
    if (++gate.failures >= kFailuresUntilSetAside) {
      this->SetAside(
          gate, "failed " + std::to_string(gate.failures) + " times in a row",
          now);
    }
    return;
  }
  gate.failures = 0;
  if (outcome == RouteOutcome::kRefused) {
    return;
  }
  const double took_ms = ToSeconds(took) * 1000;
  gate.latency_ms =
      gate.samples == 0
          ? took_ms
          : gate.latency_ms + (took_ms - gate.latency_ms) * kSmoothing;
  ++gate.samples;
  const double median = this->MedianLatency(gate.report.service);
  const bool slow = gate.samples >= kMinLatencySamples &&
                    gate.latency_ms > kMinSlowMs &&
                    gate.latency_ms > median * this->options.slow_factor;
  if (slow) {
    this->SetAside(gate, "slower than its peers", now);
    gate.samples = kMinLatencySamples / 2;
  } else if (gate.aside &&
             took_ms <=
                 std::max(kMinSlowMs, median * this->options.slow_factor)) {
    gate.aside = false;
    gate.latency_ms = took_ms;
    gate.why.clear();
  }
}

void RouterCore::MarkLeaving(std::string_view name) {
  const auto found = this->gates.find(name);
  if (found != this->gates.end()) {
    found->second.leaving = true;
  }
}

std::vector<GateView> RouterCore::View(Time now) const {
  std::vector<GateView> views;
  for (const auto& [name, gate] : this->gates) {
    views.push_back(
        {name, gate.report.address, gate.report.zone, gate.in_flight,
         gate.reported, gate.latency_ms, gate.aside && now < gate.aside_until,
         gate.leaving ? "leaving" : (!gate.alive ? "not heard of" : gate.why)});
  }
  return views;
}

std::size_t RouterCore::CountFor(std::string_view service) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->gates, [service](const auto& entry) {
        return entry.second.report.service == service && entry.second.alive &&
               !entry.second.leaving;
      }));
}

}  // namespace papayarack::entry
