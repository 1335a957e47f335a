#ifndef PAPAYARACK_COORDINATION_TRANSFERPLAN_H_
#define PAPAYARACK_COORDINATION_TRANSFERPLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::coordination {

/// A process's report of the text that it has or fetches.
struct TransferReport {
  std::string name;     ///< Of the process.
  std::string address;  ///< Where others can fetch from it.
  std::string zone;
  std::uint64_t incarnation = 0;  ///< New at every start.
  std::uint64_t held = 0;         ///< Version that it has completely.
  std::string fetching_from;      ///< Empty: no fetch is under way.
  bool is_member = false;         ///< Has the text in its own copy of the log.
};

/// Assigns sources to processes that need a new text, so that it spreads as a
/// tree. If the leader alone sent a large text to a few hundred processes, its
/// link would stay full until fetches time out and start again, so that they
/// never complete. Each process that has the text serves at most `kMaxFetchers`
/// at a time, so the number of sources triples with each round, and no link
/// carries more than a few copies. Thread safety: none. Does no I/O.
class TransferPlan {
 public:
  /// With two, one fetch requests its next part while the other's is sent, and
  /// a link of 30 Mbit/s still gives each 190 KB in 0.1 s.
  static constexpr std::size_t kMaxFetchers = 2;
  /// A fetcher that has not confirmed its fetch for this long loses its slot,
  /// and a process that has not reported for this long is not used as a source:
  /// both report at least once a second.
  static constexpr std::chrono::milliseconds kForgetAfter{1300};
  /// A fetcher that never confirmed its fetch loses its slot after this long: a
  /// running process confirms as it begins. Otherwise stalled processes with
  /// open watches would occupy all slots, and nobody could fetch the text.
  static constexpr std::chrono::milliseconds kConfirmTimeout{400};
  /// A source that failed one fetcher is assigned to nobody for this long.
  /// Otherwise, after most of a fleet is killed, the processes that still need
  /// the text would be sent from one dead source to the next, with a call to
  /// the leader for each attempt. Dead processes are dropped 4 s after their
  /// last report.
  static constexpr std::chrono::milliseconds kSourceBackoff{2000};
  /// For this long after a failure, other sources are preferred for that
  /// process: a network partition between two processes lasts longer than one
  /// failed fetch.
  static constexpr std::chrono::milliseconds kFailureRetention{30000};
  /// A process that this many sources have failed recently fetches from a
  /// member of the group if one has a free slot: a failed fetch takes 0.5 s or
  /// more.
  static constexpr std::size_t kMaxDetours = 1;

  /// A member reads its own copy of the log, without using a link. It learns up
  /// to 100 ms later, with the next heartbeat, that the entry is committed; so
  /// it retries its own copy before it is assigned another source.
  static constexpr std::size_t kMaxOwnCopyAttempts = 3;
  static constexpr std::chrono::milliseconds kOwnCopyRetryDelay{60};

  /// `own_address`: this leader's address; it always has the newest text.
  explicit TransferPlan(std::string own_address)
      : own_address(std::move(own_address)) {}

  /// Resets the state for a new leader.
  void Clear();
  /// Sets the version to distribute.
  void SetVersion(std::uint64_t version);
  /// Precondition: reports of one process arrive in order.
  void OnReport(const TransferReport& report, Time now);
  void Remove(const std::string& name);
  void ForgetSilent(Time now);

  /// The address that `name`, which has reported, fetches from now. Empty while
  /// all sources are at their limit.
  std::optional<std::string> Assign(const std::string& name, Time now);
  /// Whether `name` reads its own copy, which needs no source.
  bool ReadsOwnCopy(const std::string& name) const;
  /// Whether any source has a free slot.
  bool HasFreeSource(Time now) const;
  std::size_t Holders() const;

 private:
  /// Failures of a source for one process.
  struct Failure {
    std::size_t count = 0;
    Time last{};
  };
  struct Process {
    TransferReport report;
    Time heard{};        ///< When it last reported.
    std::string source;  ///< Assigned source; empty: none.
    Time source_since{};
    bool confirmed = false;  ///< It has reported a fetch from `source`.
    /// Failures of its own copy, for this version.
    std::size_t own_copy_failures = 0;
    Time own_copy_failed{};
    bool counted = false;  ///< Counted in `fetchers`; false for its own copy.
    std::uint64_t held_before = 0;  ///< Version when the source was assigned.
    std::map<std::string, Failure> failures;  ///< By source address.
  };
  static bool ReadsOwnCopy(const Process& process);
  bool HasText(const Process& process, Time now) const;
  bool MayServe(const std::string& address, Time now) const;
  std::size_t FetchersOf(const std::string& address) const;
  void AcquireSlot(Process& process);
  void ReleaseSlot(Process& process);
  void Release(Process& process);
  void NoteFailure(Process& process, Time now);
  void Begin(Process& process, const std::string& source, Time now);
  static void ForgetOldFailures(Process& process, Time now);

  std::string own_address;
  std::uint64_t version = 0;
  std::map<std::string, Process> processes;
  std::map<std::string, std::size_t> fetchers;  ///< By source address.
  std::map<std::string, Time>
      failed;  ///< Time of a source's last failure, by address.
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TRANSFERPLAN_H_
