#ifndef PAPAYARACK_PLACEMENT_ENGINESTART_H_
#define PAPAYARACK_PLACEMENT_ENGINESTART_H_

#include <cstdint>
#include <string>

namespace papayarack::placement {

/// Identifies one start of a replica. A replica that restarts may keep its id
/// and address but loses all state.
struct EngineStart {
  std::string address;
  std::string id;
  std::uint64_t started_ms = 0;  ///< Unix time of the start; zero if unknown.

  /// False only if the starts are known to differ. Thread safety: any thread.
  bool MayBeSameStart(const EngineStart& other) const {
    const bool starts_known = this->started_ms != 0 && other.started_ms != 0;
    return this->address == other.address && this->id == other.id &&
           (!starts_known || this->started_ms == other.started_ms);
  }
};

/// A detected restart of a replica at the same address.
struct EngineRestart {
  EngineStart before;
  EngineStart now;
};

/// Updates `known` to the reported start time, unless that is earlier and thus
/// from a stale source. Returns true if this replaces another known start.
/// Thread safety: any thread.
inline bool LearnStart(std::uint64_t& known, std::uint64_t reported) {
  if (reported <= known) {
    return false;
  }
  const bool restarted = known != 0;
  known = reported;
  return restarted;
}

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ENGINESTART_H_
