#ifndef PAPAYARACK_PLACEMENT_ENGINESTART_H_
#define PAPAYARACK_PLACEMENT_ENGINESTART_H_

#include <cstdint>
#include <string>

namespace papayarack::placement {

/// One start of a replica. A replica that starts again may keep its id and
/// address, but holds and knows nothing of before.
struct EngineStart {
  std::string address;
  std::string id;
  std::uint64_t started_ms = 0;  ///< Unix time of the start; zero: not known.

  /// False only when they are known to differ. Thread safety: any thread.
  bool MayBe(const EngineStart& other) const {
    const bool starts_known = this->started_ms != 0 && other.started_ms != 0;
    return this->address == other.address && this->id == other.id &&
           (!starts_known || this->started_ms == other.started_ms);
  }
};

/// A replica that is known to have started again at the same address.
struct EngineRestart {
  EngineStart before;
  EngineStart now;
};

/// Takes a replica's start over into `known` unless it is an earlier one, which
/// comes from a source that lags. True when `known` named another start before.
/// Thread safety: any thread.
inline bool LearnStart(std::uint64_t& known, std::uint64_t told) {
  if (told <= known) {
    return false;
  }
  const bool again = known != 0;
  known = told;
  return again;
}

}  // namespace papayarack::placement

#endif  // PAPAYARACK_PLACEMENT_ENGINESTART_H_
