#ifndef PAPAYARACK_NODES_ENGINEHOST_H_
#define PAPAYARACK_NODES_ENGINEHOST_H_

#include <asio.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "nodes/engineowner.h"
#include "nodes/fleetengines.h"
#include "nodes/noderuntime.h"

namespace papayarack::nodes {

/// The engines whose slots this process owns: the one beside it, or those that
/// have no process beside them and are this one's by the list of the fleet.
/// Thread safety: none, the loop's thread.
class EngineHost {
 public:
  /// Serves asks for slots from now on. Precondition: `runtime` outlives it.
  explicit EngineHost(NodeRuntime& runtime);
  ~EngineHost();
  EngineHost(const EngineHost&) = delete;
  EngineHost& operator=(const EngineHost&) = delete;

  /// What is known of the fleet has changed. Precondition: `runtime` watches.
  void OnFleet();
  /// Owns no further engines, gives no further slots, hands batch items back;
  /// tells the fleet, so that others take over at once.
  void BeginLeave();
  /// True when nobody uses a slot any more.
  bool Drained() const;

 private:
  struct Entry {
    std::unique_ptr<EngineOwner> owner;
    Time since{};  ///< Since when it owns the engine, or was released.
  };
  using ByAddress = std::map<std::string, Entry>;

  std::vector<OwnedEngineState> Owned() const;
  void OnAsk(transport::StreamId stream, const std::string& body);
  void OnCancel(transport::StreamId stream);
  EngineOwner* Find(const AcquireSlot& ask);
  void TakeOver(const EngineLocation& engine);
  void Release(ByAddress::iterator owned, const char* reason);
  /// Takes over and releases as the list of the fleet says.
  void ApplyHostList(Time now);
  void Tick();

  NodeRuntime& runtime;
  ByAddress engines;
  std::list<Entry> released;  ///< Give no slots any more; their last runs end.
  std::uint64_t last_owner = 0;  ///< Number of the last one that took over.
  bool host_list_valid = false;  ///< As HostListValid, when last looked at.
  bool leaving = false;
  asio::steady_timer timer;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_ENGINEHOST_H_
