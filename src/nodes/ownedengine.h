#ifndef PAPAYARACK_NODES_OWNEDENGINE_H_
#define PAPAYARACK_NODES_OWNEDENGINE_H_

#include <cstdint>
#include <span>
#include <string>

#include "global/timepoint.h"
#include "slots/slotallocator.h"

namespace papayarack::nodes {

/// An engine that a process owns, as shown to operators.
struct OwnedEngineState {
  std::string address;
  std::string id;  ///< Empty while it takes no new work.
  std::string service;
  bool same_vm = false;  ///< Whether the owner runs on the engine's VM.
  bool open = false;     ///< Whether slots are granted.
  Duration owned{0};     ///< Time since the takeover.
  slots::SlotLoad load;
};

/// Writes the engines as a JSON array of objects, times in milliseconds. Thread
/// safety: any thread.
std::string WriteOwnedEngines(std::span<const OwnedEngineState> engines);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_OWNEDENGINE_H_
