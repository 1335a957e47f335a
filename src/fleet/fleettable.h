#ifndef PAPAYARACK_FLEET_FLEETTABLE_H_
#define PAPAYARACK_FLEET_FLEETTABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "global/messagecodec.h"
#include "global/timepoint.h"

namespace papayarack::fleet {

/// A process's report about itself in each heartbeat. Members marked "side" are
/// set only by processes of that role.
struct ProcessReport {
  std::string name;
  std::string role;
  std::string zone;
  std::string service;            ///< side: the service of its upstream.
  std::string kind;               ///< side: engine or plain.
  std::string address;            ///< side: where its gate listens.
  std::uint64_t incarnation = 0;  ///< Grows with each start of the process.
  std::uint64_t revision = 0;     ///< Highest document revision in force there.
  bool leaving = false;
  std::uint32_t running = 0;  ///< side: requests at the upstream.
  std::uint32_t limit = 0;    ///< side: learned limit of the upstream.
  std::uint32_t waiting = 0;  ///< side: online requests in its queue.
  /// side: number of concurrent requests at the upstream from which they slow
  /// each other down.
  std::uint32_t shared_limit = 0;
  MSGPACK_DEFINE(name, role, zone, service, kind, address, incarnation,
                 revision, leaving, running, limit, waiting, shared_limit)
};

/// One process of the fleet.
struct FleetMember {
  ProcessReport report;
  /// Reported by itself or the platform; permanent within an incarnation.
  bool leaving = false;
  bool alive = true;          ///< Sent a heartbeat recently.
  std::int64_t quiet_ms = 0;  ///< Since its last heartbeat.
  MSGPACK_DEFINE(report, leaving, alive, quiet_ms)
};

/// The processes of the fleet: heartbeats merged with the platform's list. A
/// report of an older incarnation is ignored. A process that its own
/// heartbeat or the platform reports as leaving is leaving at once, for the
/// rest of its incarnation, whatever either of them reports later. Thread
/// safety: none.
class FleetTable {
 public:
  /// `dead_after`: silence after which a process counts as dead.
  explicit FleetTable(Duration dead_after) : dead_after(dead_after) {}

  /// Handles a heartbeat. Returns false if it is of an older incarnation.
  bool OnHeartbeat(const ProcessReport& report, Time now);
  /// Sets the names that the platform lists as leaving. Unknown names are kept
  /// for later heartbeats.
  void SetPlatformLeaving(const std::vector<std::string>& names);
  /// All members with their state as of `now`. Drops those that have been
  /// silent for long.
  std::vector<FleetMember> Members(Time now);
  /// Increases whenever the result of Members changes in more than load or
  /// silence.
  std::uint64_t version() const { return this->change_count; }
  /// Updates which members are alive. Call before reading version().
  void Refresh(Time now);

 private:
  struct Entry {
    ProcessReport report;
    Time heard{};
    bool leaving = false;
    bool alive = true;
  };
  static constexpr int kForgetAfterTimeouts = 40;

  Duration dead_after;
  std::map<std::string, Entry, std::less<>> entries;
  /// Incarnation by name when first listed; zero: unknown.
  std::map<std::string, std::uint64_t> platform_leaving;
  std::uint64_t change_count = 1;
};

}  // namespace papayarack::fleet

#endif  // PAPAYARACK_FLEET_FLEETTABLE_H_
