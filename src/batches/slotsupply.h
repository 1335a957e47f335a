#ifndef PAPAYARACK_BATCHES_SLOTSUPPLY_H_
#define PAPAYARACK_BATCHES_SLOTSUPPLY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "global/timepoint.h"

namespace papayarack::batches {

/// How many slots the gates of one service have for items, averaged over the
/// waves of online load, which take and release most of them every few seconds.
/// Does no I/O. Thread safety: none.
class SlotSupply {
 public:
  /// Time constant of the average: about one wave of online load.
  static constexpr std::chrono::milliseconds kAveraged{7000};

  /// A gate holds items in, or has room for, this number of slots.
  void Report(const std::string& gate, std::size_t slots, Time now) {
    const auto [entry, added] = this->gates.try_emplace(gate);
    Gate& known = entry->second;
    const double weight =
        added ? 1
              : std::min(1.0, ToSeconds(now - known.at) / ToSeconds(kAveraged));
    const double change = weight * (static_cast<double>(slots) - known.slots);
    known.slots += change;
    known.at = now;
    this->sum += change;
  }
  void Forget(const std::string& gate) {
    const auto found = this->gates.find(gate);
    if (found != this->gates.end()) {
      this->sum -= found->second.slots;
      this->gates.erase(found);
    }
  }
  bool Empty() const { return this->gates.empty(); }
  double Slots() const { return std::max(0.0, this->sum); }

 private:
  struct Gate {
    double slots = 0;
    Time at{};
  };
  std::map<std::string, Gate> gates;
  double sum = 0;  ///< Of the slots of all `gates`.
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_SLOTSUPPLY_H_
