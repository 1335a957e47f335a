#ifndef PAPAYARACK_NODES_LISTPOLLING_H_
#define PAPAYARACK_NODES_LISTPOLLING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>

#include "global/timepoint.h"

namespace papayarack::nodes {

/// Schedules reads of the platform's replica list within its rate limit. If all
/// processes read at once and exceed it, each one that is refused a page starts
/// over at the first, which doubles its calls; then no process gets a list and
/// draining replicas stay in use. The intervals below grow with the calls of
/// all readers together and differ between readers, and a refused page is
/// retried without those before it.

/// Calls a second assumed where the settings do not state the platform's limit:
/// the limit at a site of some ninety VMs, rounded down.
constexpr double kDefaultListRate = 40;
/// Share of the platform's rate for the leader's reads.
constexpr double kLeaderShare = 0.5;
/// Share of it for all processes that read because they receive no list.
/// Usually no leader reads at that time; if one does, refusals slow them down.
constexpr double kFallbackShare = 0.8;

/// The rate limit in calls a second; `configured` is zero where it is not
/// known.
double ListRate(double configured);

/// Estimates how many processes may read directly. Entries do not know each
/// other, so the estimate uses the replicas: there are at least eight for each
/// entry. `members`: number of members of the coordination group, all of them
/// entries.
std::size_t EstimateReaders(std::size_t members, std::size_t replicas);

/// Estimates the pages of a list with `replicas` entries.
std::size_t EstimatePages(std::size_t replicas);

/// Minimum time between two reads of the leader. `rate` in calls a second,
/// `pages` of the last read.
std::chrono::milliseconds LeaderListInterval(double rate, std::size_t pages);

/// Load of all processes that may read directly.
struct ListLoad {
  double rate = kDefaultListRate;  ///< Calls a second, of all processes.
  std::size_t readers = 1;
  std::size_t pages = 1;  ///< Of the last read.
};

/// A list older than this, or than MaxListAge where the leader has to read more
/// slowly, means that no leader provides newer ones: a draining replica must
/// get no request 3 s after the list shows it, with or without a coordination
/// group.
constexpr std::chrono::milliseconds kMaxListAge{1700};
/// The leader's interval where the rate allows it.
constexpr std::chrono::milliseconds kLeaderListInterval{500};

/// The age at which a process reads the list directly. Includes the leader's
/// own interval: otherwise entries would read a large list all the time
/// although the leader works, as its interval makes the list older than
/// kMaxListAge.
std::chrono::milliseconds MaxListAge(const ListLoad& load);

/// Schedules direct reads of a process that receives no list. Thread safety:
/// none.
class ListPollSchedule {
 public:
  /// Minimum interval at any load.
  static constexpr std::chrono::milliseconds kMinPause{1000};
  /// Intervals are extended by a random part up to this fraction.
  static constexpr double kJitter = 0.25;
  /// A read that failed because of refusals multiplies the next intervals by
  /// kBackoffFactor; a complete one divides them by the smaller
  /// kRecoveryFactor: as each read retries its pages, only few reads show the
  /// overload.
  static constexpr double kBackoffFactor = 2;
  static constexpr double kRecoveryFactor = 1.5;
  /// Upper bound of this multiplier: kFallbackShare is not exceeded by up to
  /// this many times the readers that EstimateReaders returns.
  static constexpr double kMaxStretch = 8;
  /// A scheduled read that is overdue by this long was not needed, as a leader
  /// provided lists; the next period without lists starts with a random wait.
  /// Longer than kMaxListAge, after which a list that the process has read
  /// itself must be renewed.
  static constexpr std::chrono::milliseconds kScheduleExpiry{4000};

  /// Precondition: `seed` differs between processes.
  explicit ListPollSchedule(std::uint64_t seed);

  /// Whether to read now; called repeatedly while the list is too old and no
  /// direct read is in progress. The first read of a period without lists is
  /// delayed as well: all processes lose the leader at the same moment.
  bool Due(const ListLoad& load, Time now);
  /// A direct read ended. `whole`: it returned a list. `refused`: number of
  /// calls over the platform's rate limit.
  void Ended(const ListLoad& load, bool whole, std::size_t refused, Time now);

 private:
  double Chance();

  std::minstd_rand random;
  double stretch = 1;
  std::optional<Time> next;
};

/// Schedules searches of the list, by a process that hears no leader, for
/// others that know one. Every process of the fleet may search and none knows
/// how many do, so only refusals show the load: a search reads one page at
/// first, and later ones read more as long as nothing is refused. Thread
/// safety: none.
class SearchBackoff {
 public:
  /// An election and the announcements take up to 2 s.
  static constexpr std::chrono::milliseconds kMinPause{4000};
  /// If each of 3,000 processes requests one page in this time, that is less
  /// than a quarter of the rate limit of a fleet of that size.
  static constexpr std::chrono::milliseconds kMaxPause{64000};
  /// More than any list has.
  static constexpr std::size_t kMaxPages = 1024;

  explicit SearchBackoff(std::uint64_t seed);

  /// Time until the next search, randomly up to a quarter shorter or longer.
  std::chrono::milliseconds Next();
  /// Maximum pages of the next search.
  std::size_t Pages() const { return this->pages; }
  /// A search ended. `read`: nothing was refused.
  void Ended(bool read);
  /// A leader is known.
  void Found();

 private:
  std::minstd_rand random;
  std::chrono::milliseconds pause = kMinPause;
  std::size_t pages = 1;
};

/// Decides within one read whether a failed page is requested again. Thread
/// safety: none.
class PageRetry {
 public:
  /// Pauses between retries double from the first to the longest. During the
  /// first, the platform accepts five to twenty calls.
  static constexpr std::chrono::milliseconds kInitialPause{100};
  static constexpr std::chrono::milliseconds kMaxPause{800};
  /// Maximum retries of one page: the pauses of more exceed kMaxReadTime.
  static constexpr std::size_t kMaxRepeats = 6;
  /// Timeout of a read, equal to NodeOptions::drain: a replica that drains
  /// after its page was read keeps getting work until the list is complete, but
  /// must get none later than that time after the list shows it.
  static constexpr std::chrono::milliseconds kMaxReadTime{3000};

  explicit PageRetry(Time begun, std::size_t max_repeats = kMaxRepeats)
      : begun(begun), max_repeats(max_repeats) {}

  /// The pause before the page is requested again; nothing when the read is to
  /// be abandoned. `chance` from 0 to 1.
  std::optional<std::chrono::milliseconds> Again(Time now, double chance);
  /// A page was read; the next one has its own retries.
  void PageRead() { this->repeats = 0; }

 private:
  Time begun;
  std::size_t max_repeats;
  std::size_t repeats = 0;
};

/// Whether a page that was answered with `status` may be retried.
bool IsRetryableStatus(int status);

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_LISTPOLLING_H_
