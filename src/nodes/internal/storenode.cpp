#include "nodes/storenode.h"

namespace papayarack::nodes {

StoreNode::StoreNode(NodeRuntime& runtime)
    : runtime(runtime),
      store(
          runtime.context, *runtime.files,
          {runtime.member, runtime.options.peer_listen.ToString(),
           runtime.options.tolerated_losses, runtime.options.batch_keep,
           runtime.incarnation},
          *runtime.peers, runtime.server, runtime.dispatch,
          [this](std::vector<std::string> members, std::uint64_t term) {
            this->runtime.watch->SetJobMembers(std::move(members), term);
          },
          [this](const std::string& reason) {
            this->runtime.StorageFailed(reason);
          }),
      host(runtime) {
  this->runtime.Watch([this](const coordination::FleetChange& change) {
    this->store.OnRoutes(this->runtime.table);
    this->store.OnFleet(this->runtime.watch->knowledge());
    if (change.Any()) {
      this->host.OnFleet();
    }
  });
}

}  // namespace papayarack::nodes
