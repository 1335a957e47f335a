#ifndef PAPAYARACK_NODES_ENGINEHOST_H_
#define PAPAYARACK_NODES_ENGINEHOST_H_

#include <asio.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "nodes/crashdetector.h"
#include "nodes/engineowner.h"
#include "nodes/fleetengines.h"
#include "nodes/noderuntime.h"

namespace papayarack::nodes {

/// The engines whose slots this process owns: the one on its own VM, or those
/// without a local process that the fleet list assigns to it. Thread safety:
/// none, the loop's thread.
class EngineHost {
 public:
  /// Serves slot requests from now on. Precondition: `runtime` outlives it.
  explicit EngineHost(NodeRuntime& runtime);
  ~EngineHost();
  EngineHost(const EngineHost&) = delete;
  EngineHost& operator=(const EngineHost&) = delete;

  /// The knowledge of the fleet has changed. Precondition: `runtime` watches
  /// the fleet.
  void OnFleet();
  /// Takes over no further engines, grants no further slots and returns batch
  /// items; announces it to the fleet, so that others take over at once.
  void BeginLeave();
  /// True when no slot is in use or requested and the leader has the returned
  /// batch items, or has not taken them for so long that their leases are over.
  bool Drained() const;

 private:
  struct Entry {
    std::unique_ptr<EngineOwner> owner;
    Time since{};  ///< When it took the engine over or was released.
  };
  using ByAddress = std::map<std::string, Entry>;

  std::vector<OwnedEngineState> Owned() const;
  void OnAsk(transport::StreamId stream, const std::string& body);
  void OnCancel(transport::StreamId stream);
  EngineOwner* Find(const AcquireSlot& ask);
  void TakeOver(const EngineLocation& engine);
  void Release(ByAddress::iterator owned, const char* reason);
  /// Takes over and releases engines according to the fleet list.
  void ApplyHostList(Time now);
  void Tick();

  CrashDetector& SharedCrashDetector();

  NodeRuntime& runtime;
  /// Of batch items on all owned engines; made when the first is owned.
  std::optional<CrashDetector> crash_detector;
  ByAddress engines;
  std::list<Entry> released;          ///< Grant no slots; their last runs end.
  std::uint64_t last_owner = 0;       ///< Number of the newest owner.
  bool host_list_valid = false;       ///< As HostListValid, when last checked.
  std::optional<Time> leaving_since;  ///< Set once this process leaves.
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ENGINEHOST_H_
