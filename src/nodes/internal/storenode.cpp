#include "nodes/storenode.h"

#include <algorithm>
#include <map>
#include <utility>

#include "nodes/itemtraits.h"

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
    this->ApplyQuarantine();
    if (change.Any()) {
      this->host.OnFleet();
    }
  });
}

void StoreNode::ApplyQuarantine() {
  std::set<quarantine::Fingerprint> known;
  std::map<quarantine::Fingerprint, Time> trials;
  for (const auto& [trait, quarantined] :
       this->runtime.watch->crashes().all()) {
    known.insert(trait);
    trials.emplace(trait, quarantined.trial_due);
  }
  this->store.SetTrialTimes(std::move(trials));
  if (known == this->quarantined) {
    return;
  }
  this->quarantined = std::move(known);
  if (this->quarantined.empty()) {
    this->store.SetQuarantine({});
    return;
  }
  this->store.SetQuarantine([this](const std::string&,
                                   const batches::ItemSpec& item,
                                   const std::string& service) {
    batches::Traits found;
    for (const quarantine::Trait& trait :
         TraitsOfItem(this->runtime.dialect, item, service)) {
      if (this->quarantined.contains(trait.id)) {
        found.push_back(trait.id);
      }
    }
    std::sort(found.begin(), found.end());
    return found;
  });
}

}  // namespace papayarack::nodes
