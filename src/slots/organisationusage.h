#ifndef PAPAYARACK_SLOTS_ORGANISATIONUSAGE_H_
#define PAPAYARACK_SLOTS_ORGANISATIONUSAGE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::slots {

/// How much of one engine's slots each organisation uses: the slots that it
/// holds, and those that it held a short time ago, which count less by the
/// second. Callers without an organisation count as one, the empty name.
///
/// Load pattern: one organisation sends seven times its usual load for some
/// seconds and fills every queue. An engine has a few slots and serves dozens
/// of organisations, so at most instants the small ones hold no slot; which of
/// them was just served shows only in what ended lately. Thread safety: none.
class OrganisationUsage {
 public:
  /// `retention`: an ended run counts 1/e after this time; zero: ended runs
  /// don't count.
  explicit OrganisationUsage(Duration retention) : retention(retention) {}

  void Granted(const std::string& organisation, Time now);
  /// Precondition: a slot was granted to it before.
  void Released(const std::string& organisation, Time now);
  /// Number of slots that it holds, plus the weight of its ended runs.
  double Of(std::string_view organisation, Time now) const;
  /// Forgets organisations that hold no slot and whose ended runs no longer
  /// count.
  void DropIdle(Time now);
  /// Number of organisations that state is kept for.
  std::size_t Known() const { return this->uses.size(); }

  /// Bound on organisations without a slot: more than the runs that one engine
  /// ends within the retention time. The one with the least use is dropped.
  static constexpr std::size_t kMaxIdle = 256;

 private:
  struct Use {
    std::size_t held = 0;
    double ended = 0;  ///< Weight of ended runs at `updated`.
    Time updated{};
  };
  double EndedWeight(const Use& use, Time now) const;
  void BoundIdle(Time now);

  Duration retention;
  std::map<std::string, Use, std::less<>> uses;
};

}  // namespace papayarack::slots

#endif  // PAPAYARACK_SLOTS_ORGANISATIONUSAGE_H_
