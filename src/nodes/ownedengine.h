#ifndef PAPAYARACK_NODES_OWNEDENGINE_H_
#define PAPAYARACK_NODES_OWNEDENGINE_H_

#include <cstdint>
#include <span>
#include <string>

#include "global/timepoint.h"
#include "slots/slotallocator.h"

namespace papayarack::nodes {

/// An engine that a process owns, as operators are told.
struct OwnedEngineState {
  std::string address;
  std::string id;  ///< Empty while it takes no new work.
  std::string service;
  bool beside = false;  ///< Whether the owner runs on the engine's VM.
  bool open = false;    ///< Whether slots are given.
  Duration owned{0};    ///< For how long.
  slots::SlotLoad load;
};

/// The engines as a JSON array, one object each, times in milliseconds. Thread
/// safety: any thread.
std::string WriteOwnedEngines(std::span<const OwnedEngineState> engines);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_OWNEDENGINE_H_
