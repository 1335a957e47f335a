#ifndef PAPAYARACK_COORDINATION_TRANSFERPLAN_H_
#define PAPAYARACK_COORDINATION_TRANSFERPLAN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "global/timepoint.h"

namespace papayarack::coordination {

/// What a process says of the text that it holds or fetches.
struct TransferReport {
  std::string name;     ///< Of the process.
  std::string address;  ///< Where others can fetch from it.
  std::string zone;
  std::uint64_t incarnation = 0;  ///< New at every start.
  std::uint64_t held = 0;         ///< Version that it holds in full.
  std::string fetching_from;      ///< Empty: no fetch is under way.
  bool is_member = false;         ///< Applies the group's log itself.
};

/// Decides who fetches a new text from whom, so that it spreads like a tree
/// whatever its size. Load pattern it answers: one leader, a few hundred
/// processes that all need a large text at once. Sent by the leader alone the
/// copies keep its link full for longer than anybody waits, are begun anew and
/// never arrive. Each process that
/// holds the text serves at most `kMostFetchers` at a time, so the number of
/// those that hold it triples with each round, and no link carries more than a
/// few copies. Thread safety: none. Does no I/O.
class TransferPlan {
 public:
  /// Two: one fetch waits for its next part while the other's is on the way,
  /// and a link of 30 Mbit/s still gives each 190 KB in 0.1 s.
  static constexpr std::size_t kMostFetchers = 2;
  /// A fetcher that has not said for this long that it goes on is forgotten,
  /// and a holder of which nothing was heard is no source: both report at least
  /// once a second.
  static constexpr std::chrono::milliseconds kForgetAfter{1300};
  /// One that has not said at all that it fetches keeps no place at its source
  /// for longer: a process that runs says so as it begins. Symptom guarded
  /// against: nobody gets the text while processes that stand still, whose
  /// watches were open, hold all places at those that have it.
  static constexpr std::chrono::milliseconds kUnconfirmedFor{400};
  /// A source that failed one of its fetchers is given to nobody for this long.
  /// Symptom guarded against: after most of a fleet was killed, the processes
  /// that still need the text are sent from one dead holder to the next, each
  /// try a call to the leader. The dead are dropped 4 s after their last
  /// report.
  static constexpr std::chrono::milliseconds kAvoidFor{2000};
  /// Behind that, others go first for this long: what cuts two processes off
  /// from each other lasts longer than what ends one fetch.
  static constexpr std::chrono::milliseconds kRememberFailure{30000};
  /// A process that so many sources have failed of late fetches from a member
  /// of the group if one is free: a fetch that is given up takes 0.5 s or more.
  static constexpr std::size_t kMostDetours = 1;

  /// A member reads its own copy of the log, which no link carries. It learns
  /// with the next heartbeat, 100 ms later at most, that the entry is
  /// committed; so it is told to look again before it is sent elsewhere.
  static constexpr std::size_t kOwnCopyTries = 3;
  static constexpr std::chrono::milliseconds kOwnCopyPause{60};

  /// `own_address`: this leader's, which always holds the newest.
  explicit TransferPlan(std::string own_address)
      : own_address(std::move(own_address)) {}

  /// A new leader knows nothing yet.
  void Clear();
  /// Another version is the one to be had from now on.
  void SetVersion(std::uint64_t version);
  /// Precondition: reports of one process arrive in order.
  void Heard(const TransferReport& report, Time now);
  void Gone(const std::string& name);
  void ForgetSilent(Time now);

  /// Where `name`, which has reported, is to fetch from now; nothing while
  /// every process that holds the text serves as many as it may.
  std::optional<std::string> Assign(const std::string& name, Time now);
  /// Whether `name` is to read its own copy, which needs no source.
  bool ReadsOwnCopy(const std::string& name) const;
  /// Whether any process could serve one more fetch.
  bool HasFreeSource(Time now) const;
  std::size_t Holders() const;

 private:
  /// How a source has failed one process.
  struct Failure {
    std::size_t count = 0;
    Time last{};
  };
  struct Process {
    TransferReport report;
    Time heard{};        ///< When it last reported.
    std::string source;  ///< Given to it; empty: none.
    Time source_since{};
    bool confirmed = false;  ///< It has said that it fetches from `source`.
    std::size_t own_copy_failures = 0;  ///< For this version.
    Time own_copy_failed{};
    bool counted = false;  ///< In `fetchers`; not when it reads its own copy.
    std::uint64_t held_before = 0;  ///< Version, when it got its source.
    std::map<std::string, Failure> failures;  ///< By source address.
  };
  static bool ReadsOwnCopy(const Process& process);
  bool HasText(const Process& process, Time now) const;
  bool MayServe(const std::string& address, Time now) const;
  std::size_t FetchersOf(const std::string& address) const;
  void TakePlace(Process& process);
  void GiveBackPlace(Process& process);
  void Release(Process& process);
  void NoteFailure(Process& process, Time now);
  void Begin(Process& process, const std::string& source, Time now);
  static void ForgetOldFailures(Process& process, Time now);

  std::string own_address;
  std::uint64_t version = 0;
  std::map<std::string, Process> processes;
  std::map<std::string, std::size_t> fetchers;  ///< By source address.
  std::map<std::string, Time> failed;           ///< Sources that failed one.
};

}  // namespace papayarack::coordination

#endif  // PAPAYARACK_COORDINATION_TRANSFERPLAN_H_
