#ifndef PAPAYARACK_NODES_STREAMORIGINS_H_
#define PAPAYARACK_NODES_STREAMORIGINS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/fleetwatch.h"
#include "global/metrics.h"
#include "origins/continuation.h"
#include "origins/originhomes.h"
#include "origins/originlookup.h"
#include "origins/originstore.h"
#include "origins/routehistory.h"
#include "origins/softwarehistory.h"
#include "routes/fleetconfiguration.h"
#include "transport/peerclient.h"

namespace papayarack::nodes {

/// An entry's knowledge of which software began which stream: records it at two
/// homes as the first event is about to reach the caller, and finds it when a
/// caller takes a stream up that another entry began.
///
/// A record is sent, not awaited. A lost one costs its caller the continuation,
/// as an unknown origin is refused, but never mixes two versions; awaiting it
/// would add a round trip, and the stall of a home, to every first event.
/// Thread safety: none, the loop's thread.
class StreamOrigins {
 public:
  /// A stream is not taken up later than this many times the longest timeout of
  /// a route after it began: each attempt of its caller ends within one.
  static constexpr int kMaxAttemptsOfCaller = 4;

  /// Without a record if no process that could be asked has one.
  using Found = std::function<void(const origins::FoundOrigin&)>;
  using LookupId = std::uint64_t;

  /// Precondition: `peers` and `metrics` outlive this.
  StreamOrigins(transport::PeerClient& peers, Metrics& metrics)
      : peers(peers), metrics(metrics) {}
  ~StreamOrigins();
  StreamOrigins(const StreamOrigins&) = delete;
  StreamOrigins& operator=(const StreamOrigins&) = delete;

  void SetFleet(const coordination::FleetKnowledge& fleet,
                const routes::FleetConfiguration& configuration, Time now);
  /// The platform's list was read at `read`, with or without changes.
  void ListRead(Time read) { this->history.ListRead(read); }
  /// `software`, which may be unknown, produced the first event of `request`,
  /// whose caller may take the stream up for `keep`.
  void Began(const std::string& request, const ReplicaSoftware& software,
             Duration keep);
  /// Finds the origin of `request`; `found` may run before this returns, and
  /// runs at most once. Returns the id to cancel with.
  LookupId Find(const std::string& request, Found found);
  void Cancel(LookupId id) { this->lookups.erase(id); }
  /// Decides where a stream of `route` goes on that its caller takes up, given
  /// what Find found. Precondition: `route` belongs to `configuration`.
  origins::Continuation Decide(
      const origins::FoundOrigin& recorded, const routes::Route& route,
      const routes::FleetConfiguration& configuration) const;
  /// Ends searches that are overdue. Call every few tens of milliseconds.
  void Tick();

 private:
  struct Lookup {
    std::string request;
    origins::OriginLookup search;
    Time started{};
    std::size_t asked = 0;  ///< Number of homes.
    Found found;
  };
  void Ask(LookupId id, const std::string& home, const std::string& request);
  void OnReply(LookupId id, const std::string& home, std::string_view bytes);
  void OnFailed(LookupId id, const std::string& home);
  /// The software that alone can have begun a stream of `route`; unknown if
  /// there may have been another.
  ReplicaSoftware SoleSoftware(
      const routes::Route& route,
      const routes::FleetConfiguration& configuration) const;
  /// Calls back and erases the search if it is over.
  void Conclude(LookupId id);

  transport::PeerClient& peers;
  Metrics& metrics;
  origins::OriginStore own;
  origins::SoftwareHistory history;
  origins::RouteHistory route_history;
  std::optional<std::uint64_t> routes_version;  ///< Of `route_history`.
  std::vector<origins::HomeOption> homes;
  std::map<LookupId, Lookup> lookups;
  LookupId last_lookup = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_STREAMORIGINS_H_
