#ifndef PAPAYARACK_NODES_LISTPOLLING_H_
#define PAPAYARACK_NODES_LISTPOLLING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "global/timepoint.h"

namespace papayarack::nodes {

/// Symptom guarded against: nobody gets a list of replicas, so replicas that
/// drain go on being used. Many processes read the list at once, more calls
/// than the platform takes from all of them; each one that is refused a page
/// begins anew at the first, which makes as many calls again. The pauses below
/// grow with the calls that all readers make together, differ between readers,
/// and a refused page is asked for again without those before it.

/// Calls a second assumed where the settings do not tell what the platform
/// takes: what a site of some ninety VMs takes, rounded down.
constexpr double kDefaultListRate = 40;
/// Part of the platform's rate for the leader's readings.
constexpr double kLeaderShare = 0.5;
/// Part of it for all processes that read because they hear of no list. Mostly
/// there is no leader then that reads as well; where there is one, what is
/// refused makes them slower.
constexpr double kFallbackShare = 0.8;

/// The calls that a second may hold; `told` is zero where it is not known.
double ListRate(double told);

/// How many processes may read by themselves. Entries are not told of each
/// other, so the replicas they serve stand in: there are eight or more for each
/// entry. `members`: of the coordination group, all of them entries.
std::size_t EstimateReaders(std::size_t members, std::size_t replicas);

/// Pages of a list with `replicas` entries.
std::size_t EstimatePages(std::size_t replicas);

/// Least time from one reading of the leader to its next. `rate` in calls a
/// second, `pages` of the last reading.
std::chrono::milliseconds LeaderListInterval(double rate, std::size_t pages);

/// What the pause of all processes that may read by themselves depends on.
struct ListLoad {
  double rate = kDefaultListRate;  ///< Calls a second, of all processes.
  std::size_t readers = 1;
  std::size_t pages = 1;  ///< Of the last reading.
};

/// A list of this age, or older where the leader has to read more slowly, tells
/// that no leader gives newer ones: a draining replica must get no request 3 s
/// after the list shows it, with or without a coordination group.
constexpr std::chrono::milliseconds kMaxListAge{1700};
/// The leader's pace where the rate allows it.
constexpr std::chrono::milliseconds kLeaderListInterval{500};

/// The age at which a process reads the list by itself. Symptom guarded
/// against: entries read a large list all day although the leader is well, as
/// its own pause makes the list older than kMaxListAge.
std::chrono::milliseconds MaxListAge(const ListLoad& load);

/// When a process that hears of no list reads it by itself. Thread safety:
/// none.
class ListPollSchedule {
 public:
  /// Least pause, whatever the load.
  static constexpr std::chrono::milliseconds kMinPause{1000};
  /// Pauses are longer than they need to be by up to this part, by chance.
  static constexpr double kJitter = 0.25;
  /// A reading that was given up for refusals makes the next pause longer by
  /// this, a whole one shorter by less: what is too much together shows in few
  /// readings, as each asks for its pages again.
  static constexpr double kBackoffFactor = 2;
  static constexpr double kRecoveryFactor = 1.5;
  /// Most that refusals stretch a pause: the readers can be this many times
  /// those that EstimateReaders finds before more than kFallbackShare is used.
  static constexpr double kMaxStretch = 8;
  /// A reading that was due this long ago and not begun was not needed: a
  /// leader gave lists, and the next time without them begins with a wait by
  /// chance. Longer than kMaxListAge, after which an own list needs a newer
  /// one.
  static constexpr std::chrono::milliseconds kScheduleExpiry{4000};

  /// `seed` differs between processes.
  explicit ListPollSchedule(std::uint64_t seed);

  /// Whether to read now; asked repeatedly while the list is too old and no own
  /// reading runs. The first reading of a time without lists waits as well:
  /// every process misses the leader at the same moment.
  bool Due(const ListLoad& load, Time now);
  /// The own reading ended. `whole`: it gave a list. `refused`: calls that were
  /// over the platform's rate.
  void Ended(const ListLoad& load, bool whole, std::size_t refused, Time now);

 private:
  double Chance();

  std::minstd_rand random;
  double stretch = 1;
  std::optional<Time> next;
};

/// How a process that hears of no leader searches the list for others that know
/// one. Every process of the fleet may search and none knows how many do, so
/// only what is refused tells: a search reads the first page, the next ones
/// read more as long as nothing is refused. Thread safety: none.
class SearchBackoff {
 public:
  /// An election and the announcements take up to 2 s.
  static constexpr std::chrono::milliseconds kMinPause{4000};
  /// When each of 3,000 processes asks for one page in this time, that is less
  /// than a quarter of what the platform takes of a fleet of that size.
  static constexpr std::chrono::milliseconds kMaxPause{64000};
  /// More pages than any list has.
  static constexpr std::size_t kMaxPages = 1024;

  explicit SearchBackoff(std::uint64_t seed);

  /// Time until the next look, by chance up to a quarter shorter or longer.
  std::chrono::milliseconds Next();
  /// Pages that the next search reads at most.
  std::size_t Pages() const { return this->pages; }
  /// A search ended; `read`: nothing was refused.
  void Ended(bool read);
  /// A leader is known.
  void Found();

 private:
  std::minstd_rand random;
  std::chrono::milliseconds pause = kMinPause;
  std::size_t pages = 1;
};

/// Decides within one reading whether a page that was not given is asked for
/// again. Thread safety: none.
class PageRetry {
 public:
  /// Pauses before a page is asked for again double from the first to the
  /// longest. The first is the time in which the platform takes five to twenty
  /// calls.
  static constexpr std::chrono::milliseconds kInitialPause{100};
  static constexpr std::chrono::milliseconds kMaxPause{800};
  /// Most times that one page is asked for again: the pauses of more are longer
  /// than kMaxReadTime.
  static constexpr std::size_t kMaxRepeats = 6;
  /// A reading that takes longer is given up. Symptom guarded against: a
  /// replica drains and gets work for seconds, as it stood on a page that was
  /// read long before the list was whole. From the moment the list shows it, it
  /// must get none after NodeOptions::drain, which is this long.
  static constexpr std::chrono::milliseconds kMaxReadTime{3000};

  explicit PageRetry(Time begun, std::size_t max_repeats = kMaxRepeats)
      : begun(begun), max_repeats(max_repeats) {}

  /// The pause before the page is asked for again; nothing when the reading is
  /// to be given up. `chance` from 0 to 1.
  std::optional<std::chrono::milliseconds> Again(Time now, double chance);
  /// A page was read; the next one has its own count.
  void PageRead() { this->repeats = 0; }

 private:
  Time begun;
  std::size_t max_repeats;
  std::size_t repeats = 0;
};

/// Whether a page that was answered so may be given when asked for again.
bool IsRetryableStatus(int status);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LISTPOLLING_H_
