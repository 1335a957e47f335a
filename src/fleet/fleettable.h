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

/// What a process says of itself in each heartbeat.
struct ProcessReport {
  std::string name;
  std::string role;
  std::string zone;
  std::string service;            ///< side: the service of its upstream.
  std::string kind;               ///< side: engine or plain.
  std::string address;            ///< side: where its gate listens.
  std::uint64_t incarnation = 0;  ///< Grows with each start of the process.
  std::uint64_t revision =
      0;  ///< Highest document revision that it has in force.
  bool leaving = false;
  std::uint32_t running = 0;       ///< side: requests at the upstream.
  std::uint32_t limit = 0;         ///< side: learned limit of the upstream.
  std::uint32_t waiting = 0;       ///< side: online requests in its queue.
  std::uint32_t shared_limit = 0;  ///< side: requests until crowding shows.
  MSGPACK_DEFINE(name, role, zone, service, kind, address, incarnation,
                 revision, leaving, running, limit, waiting, shared_limit)
};

/// One process as the fleet knows it.
struct FleetMember {
  ProcessReport report;
  bool leaving = false;  ///< By its own word or the platform's; sticks for the
                         ///< incarnation.
  bool alive = true;     ///< Heard of lately.
  std::int64_t quiet_ms = 0;  ///< Since it was last heard.
  MSGPACK_DEFINE(report, leaving, alive, quiet_ms)
};

/// Who is there: heartbeats joined with the platform's list. The rules: a
/// report of an older incarnation is ignored; leaving, from either side, wins
/// at once and is not undone in the same incarnation, whatever the other side
/// says later. Thread safety: none.
class FleetTable {
 public:
  /// `dead_after`: a process that was not heard for so long is not alive.
  explicit FleetTable(Duration dead_after) : dead_after(dead_after) {}

  /// Takes a heartbeat; false when it is of an older incarnation.
  bool Heard(const ProcessReport& report, Time now);
  /// The platform says that these VMs are leaving; names it does not know are
  /// remembered.
  void PlatformSaysLeaving(const std::vector<std::string>& names);
  /// All members with their state as of `now`; those quiet for long are
  /// forgotten.
  std::vector<FleetMember> Members(Time now);
  /// Grows whenever the answer of Members changes in more than load or quiet
  /// time.
  std::uint64_t version() const { return this->change_count; }
  /// Marks deaths as of `now`; call before reading version().
  void Refresh(Time now);

 private:
  struct Entry {
    ProcessReport report;
    Time heard{};
    bool leaving = false;
    bool alive = true;
  };
  static constexpr int kForgetAfterDeadTimes = 40;

  Duration dead_after;
  std::map<std::string, Entry, std::less<>> entries;
  std::map<std::string, std::uint64_t>
      platform_leaving;  ///< Name to incarnation seen then.
  std::uint64_t change_count = 1;
};

}  // namespace papayarack::fleet

#endif  // PAPAYARACK_FLEET_FLEETTABLE_H_
