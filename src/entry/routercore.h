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
  /// Largest fraction of the gates of one service that may be set aside at a
  /// time.
  double max_set_aside = 0.34;
  /// A gate slower than the median of its peers by this factor is set aside.
  double slow_factor = 3.0;
  /// Online requests of an engine service are packed onto as few gates as can
  /// serve them at this utilization of their shared limits. Batch work then
  /// runs on the other gates, where neither slows the other down.
  double target_utilization = 0.75;
};

/// The properties of a request that its routing depends on.
struct RouteQuery {
  std::string_view service;
  std::uint64_t prefix_hash =
      0;  ///< Hash of the prompt's leading bytes; 0 for none.
  std::span<const std::string> tried;
};

/// The outcome of a request at a gate.
enum class RouteOutcome : std::uint8_t {
  kAnswered,  ///< The answer began; `took` is its latency.
  kRefused,   ///< Refused as overloaded, which is not a failure of the gate.
  kFailed,    ///< Not reachable, or the upstream failed.
};

/// A gate as shown in the dump.
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

/// Chooses the gate for each request. Load is the number of this entry's own
/// requests in flight plus the load that the gate last reported of others. Of
/// two gates chosen at random the less loaded one is taken, unless prefix
/// affinity applies; the own zone is preferred until it is full. Gates that
/// fail or are much slower than their peers are set aside and readmitted by
/// single trial requests. No clock or threads; the random generator is seeded.
/// Thread safety: none, one owner.
class RouterCore {
 public:
  explicit RouterCore(const RouterOptions& options);

  /// Sets the fleet as listed by control. While `settled` is false, gates that
  /// are missing from the list are kept: a new control leader has not received
  /// a heartbeat from all of them yet.
  void SetFleet(std::span<const fleet::FleetMember> members, bool settled);
  /// Returns the name of a gate, or nothing if no gate can take the request.
  /// The request counts as in flight there until Finish.
  std::optional<std::string> Choose(const RouteQuery& query, Time now);
  std::string AddressOf(std::string_view gate) const;
  void Finish(std::string_view gate);
  void Report(std::string_view gate, RouteOutcome outcome, Duration took,
              Time now);
  /// Records that the gate announced its shutdown itself, before control did.
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
        0;                  ///< Load caused by others, from the last report.
    double latency_ms = 0;  ///< Smoothed time until an answer begins.
    std::uint32_t samples = 0;
    std::uint32_t failures = 0;  ///< Consecutive.
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
  const std::string& LessLoaded(const std::string& one,
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
