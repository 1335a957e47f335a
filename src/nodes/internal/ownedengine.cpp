#include "nodes/ownedengine.h"

#include <nlohmann/json.hpp>

namespace papayarack::nodes {

std::string WriteOwnedEngines(std::span<const OwnedEngineState> engines) {
  nlohmann::json list = nlohmann::json::array();
  for (const OwnedEngineState& engine : engines) {
    list.push_back({{"address", engine.address},
                    {"engine", engine.id},
                    {"service", engine.service},
                    {"beside", engine.same_vm},
                    {"open", engine.open},
                    {"owned_ms", engine.owned.count() / 1000},
                    {"slots", engine.load.slots},
                    {"online", engine.load.online},
                    {"waiting", engine.load.waiting},
                    {"batch", engine.load.batch}});
  }
  return list.dump();
}

}  // namespace papayarack::nodes
