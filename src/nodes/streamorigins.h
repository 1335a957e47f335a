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
#include "origins/takeup.h"
#include "routes/fleetconfiguration.h"
#include "routes/routetable.h"
#include "transport/peerclient.h"

namespace papayarack::nodes {

/// An entry's knowledge of which software began which stream: records it at two
/// homes as the first event is about to reach the caller, and finds it when a
/// caller takes a stream up that another entry began. Where nobody has a
/// record, it decides by the platform's list, as DecideTakeUp says.
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

  /// A request that takes a stream up.
  struct TakeUp {
    std::string request;
    std::string resumes;  ///< The attempt that began it; empty: not stated.
    routes::RouteTablePtr table;
    const routes::Route* route = nullptr;  ///< Of `table`.
    Time arrived{};
    Time deadline{};
  };
  using Decided = std::function<void(const origins::Continuation&)>;
  using LookupId = std::uint64_t;

  /// The platform's list lags by up to `list_lag`. Precondition: `peers`,
  /// `watch` and `metrics` outlive this.
  StreamOrigins(transport::PeerClient& peers, coordination::FleetWatch& watch,
                Metrics& metrics, Duration list_lag)
      : peers(peers), watch(watch), metrics(metrics), list_lag(list_lag) {}
  ~StreamOrigins();
  StreamOrigins(const StreamOrigins&) = delete;
  StreamOrigins& operator=(const StreamOrigins&) = delete;

  void SetFleet(const coordination::FleetKnowledge& fleet,
                const routes::FleetConfiguration& configuration, Time now);
  /// The list of the last SetFleet was read at `read_after` or later.
  void ListRead(Time read_after);
  /// `software`, which may be unknown, produced the first event of `request`,
  /// whose caller may take the stream up for `keep`.
  void Began(const std::string& request, const ReplicaSoftware& software,
             Duration keep);
  /// Finds the origin of a stream and decides where it goes on; `decided` may
  /// run before this returns, and runs at most once. Returns the id to cancel
  /// with.
  LookupId Find(TakeUp take_up, Decided decided);
  void Cancel(LookupId id) { this->lookups.erase(id); }
  /// Ends searches and waits that are overdue. Call every few tens of
  /// milliseconds, not before what arrived in a pause of the process is read.
  void Tick();

 private:
  struct Lookup {
    TakeUp take_up;
    origins::OriginLookup search;
    Time started{};
    std::size_t asked = 0;                      ///< Number of homes.
    std::optional<origins::FoundOrigin> found;  ///< Once the search is over.
    Decided decided;
  };
  void Ask(LookupId id, const std::string& home, const std::string& request);
  void OnReply(LookupId id, const std::string& home, std::string_view bytes);
  void OnFailed(LookupId id, const std::string& home);
  /// Goes on if the search is over by the answers that have arrived, or if
  /// homes are not waited for any more.
  void ConcludeByAnswers(LookupId id);
  void ConcludeByTime(LookupId id, Time now);
  static void LogSearch(const Lookup& lookup,
                        const origins::FoundOrigin& found);
  void Found(LookupId id, const origins::FoundOrigin& found);
  /// Calls back and erases the lookup, unless a reading of the list is awaited.
  /// Precondition: the search is over.
  void Decide(LookupId id);
  void End(LookupId id, const origins::Continuation& decision);
  /// Asks for the reading that the first of those that wait needs.
  void WantReading();
  std::vector<LookupId> Searched() const;
  /// The software that alone can have begun the stream; unknown if there may
  /// have been another.
  ReplicaSoftware SoleSoftware(const TakeUp& take_up, Time now) const;

  transport::PeerClient& peers;
  coordination::FleetWatch& watch;
  Metrics& metrics;
  Duration list_lag;
  Time list_read_after{};
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
