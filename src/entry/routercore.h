#ifndef PAPAYARACK_ENTRY_ROUTERCORE_H_
#define PAPAYARACK_ENTRY_ROUTERCORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/fleettable.h"
#include "global/timepoint.h"

namespace papayarack::entry {

struct RouterOptions {
  std::string zone;
  std::uint64_t seed = 1;
  /// Of the gates of one service at most this part is set aside.
  double max_set_aside = 0.34;
  /// A gate this much slower than the median of its peers is set aside.
  double slow_factor = 3.0;
  /// Online requests of an engine service are packed onto as few gates as hold
  /// them at this part of their shared limits, so that the others run batch
  /// undisturbed and undisturbing.
  double pack = 0.75;
};

/// What a choice depends on.
struct RouteQuery {
  std::string_view service;
  std::uint64_t prefix_hash =
      0;  ///< Of the prompt's leading bytes; 0 for none.
  std::span<const std::string> tried;
};

/// How a gate did.
enum class RouteOutcome : std::uint8_t {
  kAnswered,  ///< Began to answer; `took` counts.
  kRefused,   ///< Refused as overloaded: no fault of the gate.
  kFailed,    ///< Not reachable, or the upstream failed.
};

/// A gate as the dump shows it.
struct GateView {
  std::string name;
  std::string address;
  std::string zone;
  std::uint32_t in_flight = 0;
  std::uint32_t reported = 0;
  double latency_ms = 0;
  bool set_aside = false;
  std::string why;
};

/// Chooses the gate for each request: own requests in flight as truth, reports
/// aged, two random choices, prefix affinity, own zone first until it is full,
/// slow and failing gates set aside by comparison with their peers and let back
/// by single trial requests. No clock or threads; the generator is seeded.
/// Thread safety: none, one owner.
class RouterCore {
 public:
  explicit RouterCore(const RouterOptions& options);

  /// Takes the fleet as control sees it. While `settled` is false, gates that
  /// are missing from the list are kept: a new control leader has not heard all
  /// of them yet.
  void SetFleet(std::span<const fleet::FleetMember> members, bool settled);
  /// The name of a gate, or nothing when no gate can take the request. The
  /// request counts as in flight there until Finish.
  std::optional<std::string> Choose(const RouteQuery& query, Time now);
  std::string AddressOf(std::string_view gate) const;
  void Finish(std::string_view gate);
  void Report(std::string_view gate, RouteOutcome outcome, Duration took,
              Time now);
  /// The gate itself says that it leaves, before control does.
  void MarkLeaving(std::string_view gate);
  std::vector<GateView> View(Time now) const;
  std::size_t CountFor(std::string_view service) const;

 private:
  struct Gate {
    fleet::ProcessReport report;
    bool leaving = false;
    bool alive = true;
    std::uint32_t in_flight = 0;
    std::uint32_t reported =
        0;  ///< Load that others caused, halved at each own update.
    double latency_ms = 0;  ///< Smoothed time until an answer begins.
    std::uint32_t samples = 0;
    std::uint32_t failures = 0;  ///< In a row.
    Time aside_until{};
    bool aside = false;
    std::string why;
  };
  using Gates = std::map<std::string, Gate, std::less<>>;

  std::vector<std::string> Candidates(const RouteQuery& query, Time now) const;
  std::vector<std::string> PreferOwnZone(
      const std::vector<std::string>& candidates) const;
  std::vector<std::string> ActiveSet(std::vector<std::string> gates) const;
  double LoadOf(const Gate& gate) const;
  const std::string& Better(const std::string& one,
                            const std::string& other) const;
  std::string PickByPrefix(const std::vector<std::string>& candidates,
                           std::uint64_t hash) const;
  void SetAside(Gate& gate, std::string why, Time now);
  double MedianLatency(std::string_view service) const;

  RouterOptions options;
  Gates gates;
  std::mt19937_64 random;
};

}  // namespace papayarack::entry

#endif  // PAPAYARACK_ENTRY_ROUTERCORE_H_
