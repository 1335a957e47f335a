#ifndef PAPAYARACK_QUARANTINE_CRASHTRACKER_H_
#define PAPAYARACK_QUARANTINE_CRASHTRACKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "global/timepoint.h"
#include "quarantine/fingerprint.h"
#include "quarantine/traits.h"
#include "quarantine/trialtimes.h"

namespace papayarack::quarantine {

/// Reports that a replica crashed while it ran `request`. From processes of an
/// earlier release, which know no parts of prompts.
struct CrashReport {
  Fingerprint request;
  std::string replica;       ///< Identifies one start of a replica.
  std::uint32_t age_ms = 0;  ///< Time from the crash to the report.
  MSGPACK_DEFINE(request, replica, age_ms)
};

/// A trait of a request that ran on a replica as that crashed.
struct SuspectTrait {
  static constexpr std::uint32_t kNeverSurvived = UINT32_MAX;

  Fingerprint id;
  std::uint8_t depth = kWholeRequestDepth;  ///< As in Trait.
  /// Time from the latest survival that the reporter saw to the crash.
  std::uint32_t survived_ms = kNeverSurvived;
  MSGPACK_DEFINE(id, depth, survived_ms)
};

/// Reports that a replica crashed as it began to answer a request.
struct CrashObservation {
  std::string replica;       ///< Identifies one start of a replica.
  std::uint32_t age_ms = 0;  ///< Time from the crash to the report.
  std::vector<SuspectTrait> traits;
  MSGPACK_DEFINE(replica, age_ms, traits)
};

/// Reports that a replica has run a request with this trait without a crash.
struct SurvivalReport {
  Fingerprint trait;
  std::uint32_t age_ms = 0;
  MSGPACK_DEFINE(trait, age_ms)
};

/// A trait that is put in quarantine, and the evidence.
struct QuarantineDecision {
  Fingerprint trait;
  std::uint8_t depth = kWholeRequestDepth;  ///< As in Trait.
  std::vector<std::string> replicas;        ///< Crashed while they ran it.
  /// Number of other traits that may have caused the same crashes.
  std::size_t rivals = 0;
};

/// Age of a moment, in whole milliseconds. Thread safety: any thread.
std::uint32_t AgeMs(Time when, Time now);

/// The moment whose age is the entry `index` of `ages_ms`; now if there is
/// none, as from a process of an earlier release. Thread safety: any thread.
Time SinceAt(std::span<const std::uint32_t> ages_ms, std::size_t index,
             Time now);

/// Finds what crashes replicas: a request, or a part that many prompts share
/// (queries of death).
///
/// Load pattern: requests with the culprit come at any entry, each crashes a
/// replica as that begins to answer, and breaks off everything else that runs
/// there; it takes seconds to restart. Unstopped, this makes the service
/// unavailable to all callers. Everything else must be spared: the sound
/// requests that ran on the same replicas and are sent again; the other parts
/// of the culprit's own prompts, above all the first one, which most prompts
/// share; and whatever runs while replicas crash for another reason. So
/// - a survival of a trait clears it of the crashes before it, not of later
///   ones, as what was sound may become bad;
/// - a trait that has never survived is decided on before those that have, and
///   before first parts;
/// - of traits that share their crashes the one with the most is quarantined,
///   and of those with equally many the deepest, which the fewest requests
///   share, unless these are several requests with one part in common; the
///   crashes that one culprit explains count as one for the others;
/// - replicas that crash at the same time count once: a culprit crashes them
///   one after the other.
/// Does no I/O. Thread safety: none.
class CrashTracker {
 public:
  static constexpr std::size_t kCrashThreshold = 3;
  /// Crashes after which a trait that survived before them is quarantined, once
  /// kSoundDelay has passed since the first of them: when many replicas are
  /// down, nothing survives for a while.
  static constexpr std::size_t kSoundCrashThreshold = 8;
  static constexpr std::chrono::milliseconds kSoundDelay{3000};
  /// The same for a first part that never survived. Several culprits may share
  /// it.
  static constexpr std::size_t kFirstPartCrashThreshold = 5;
  static constexpr std::chrono::milliseconds kFirstPartDelay{2000};
  /// A trait that never survived is quarantined only if it has at least this
  /// share of the crashes of each other suspect: one that survived before, a
  /// first part that did not, and such a part whose threshold and delay are
  /// reached. With fewer it only ran beside what caused them.
  static constexpr double kMinShareOfSound = 1.0 / 3;
  static constexpr double kMinShareOfFirst = 1.0 / 2;
  static constexpr double kMinShareOfConclusive = 3.0 / 4;
  /// Crashes closer together than this count once. A replica streams the first
  /// event of a request after some 25 ms, and crashes later.
  static constexpr std::chrono::milliseconds kSameEventWindow{50};
  /// The same for a trait that survived before: trouble that goes through all
  /// replicas leaves no time for a survival between, and is not its fault.
  static constexpr std::chrono::milliseconds kSoundEventWindow{100};
  /// How long two traits with the same crashes may both still run: the one that
  /// causes them is sent again and crashes another replica, on which the other
  /// is unlikely to run as well.
  static constexpr std::chrono::milliseconds kTieDelay{1000};
  /// A replica that crashes later than this after it began to answer a request
  /// did not crash because of it; a run that lasts longer is a survival.
  static constexpr std::chrono::milliseconds kCrashDelay{500};
  /// Crashes, survivals and quarantines are forgotten after this time.
  static constexpr std::chrono::minutes kRetention{10};
  /// Beyond this the oldest crash is dropped. A crash lists the traits of what
  /// its replica ran, up to kMaxTraitsPerCrash.
  static constexpr std::size_t kMaxCrashes = 256;
  static constexpr std::size_t kMaxTraitsPerCrash = 192;
  static constexpr std::size_t kMaxQuarantined = 256;
  static constexpr std::size_t kMaxSurvivals = 4096;

  /// Called on a new leader, which rebuilds its state from the entries'
  /// reports.
  void Clear();
  /// Idempotent per observation.
  void Crashed(const CrashObservation& observation, Time now);
  /// A replica ran a request with the trait without a crash, at `when`.
  void Survived(const Fingerprint& trait, Time when);
  /// Records that another process knows the trait as quarantined since then.
  /// Its crashes may still be unknown, so the first trial waits. Ignored if the
  /// trait has survived since then.
  void Learn(const Fingerprint& trait, Time since, Time now);
  /// Quarantines the traits for which enough evidence is known and returns
  /// them. Call after reports and about every 100 ms.
  std::vector<QuarantineDecision> Evaluate(Time now);

  bool Quarantined(const Fingerprint& trait) const {
    return this->quarantined.count(trait) > 0;
  }
  /// Whether it is quarantined or any crash counts against it.
  bool IsSuspect(const Fingerprint& trait) const {
    return this->Quarantined(trait) || this->suspects.count(trait) > 0;
  }
  /// The quarantined traits, and since when.
  const std::map<Fingerprint, Time>& QuarantinedTraits() const {
    return this->quarantined;
  }
  /// When the trait may next be tried by one run (see NextTrial). Precondition:
  /// it is quarantined.
  Time TrialOf(const Fingerprint& trait) const {
    return this->trials.at(trait).next;
  }
  /// Changes whenever the quarantined traits or the times of their trials do.
  std::uint64_t revision() const { return this->changes; }

 private:
  struct Crash {
    Time when{};
    std::set<Fingerprint> ran;
    /// Traits among `ran` that are or were in quarantine.
    std::set<Fingerprint> culprits;
  };
  struct Suspect {
    std::uint8_t depth = kWholeRequestDepth;
    std::set<std::string> replicas;  ///< Crashed since its last survival.
  };
  /// Evidence against a trait that is not in quarantine.
  struct Evidence {
    Fingerprint trait;
    std::uint8_t depth = kWholeRequestDepth;
    std::vector<std::string> replicas;
    bool survived_before = false;
    std::size_t halves = 0;    ///< Counted crashes, in halves.
    Time first{};              ///< Of the counted crashes.
    Time threshold_reached{};  ///< When the threshold was reached.
  };
  struct Trial {
    Time not_before{};
    Time next{};
  };
  using Crashes = std::map<std::string, Crash>;
  using Suspects = std::map<Fingerprint, Suspect>;

  void ForgetOld(Time now);
  Crashes::iterator Drop(Crashes::iterator crash);
  bool SurvivedBefore(const Fingerprint& trait) const {
    return this->survivals.count(trait) > 0;
  }
  void RecordSurvival(const Fingerprint& trait, Time when);
  Evidence EvidenceOf(const Fingerprint& trait, const Suspect& suspect) const;
  /// All suspects that may have reached a threshold.
  std::vector<Evidence> AllEvidence() const;
  /// The traits to quarantine next; all the others are to be weighed anew
  /// afterwards.
  std::vector<QuarantineDecision> Decide(Time now) const;
  /// Whether a first part, or a trait that survived before, has reached its
  /// threshold and delay.
  static bool Conclusive(const Evidence& evidence, Time now);
  /// Depth of those to quarantine, of traits with equally many crashes.
  static std::uint8_t DecisiveDepth(const std::vector<Evidence>& tied);
  /// Those with the most crashes, and of these the deepest; none while others
  /// have as many and may still turn out to be sound.
  static std::vector<QuarantineDecision> Strongest(
      std::vector<Evidence> candidates, std::size_t rivals_outside, Time now);
  void AddToQuarantine(const Fingerprint& trait, Time since, Time now);
  void RemoveFromQuarantine(const Fingerprint& trait);
  /// Crashes of replicas that ran the trait, by time.
  std::vector<CrashUnderTrait> CrashesUnder(const Fingerprint& trait) const;
  /// Whether a replica crashed near that time that ran neither `trait` nor a
  /// trait that is or was in quarantine.
  bool OthersCrashedNear(const Fingerprint& trait, Time when) const;
  void UpdateTrials();

  Crashes crashes;                          ///< By replica.
  Suspects suspects;                        ///< Not in quarantine.
  std::map<Fingerprint, Time> quarantined;  ///< Time of quarantine.
  std::map<Fingerprint, Trial> trials;      ///< Of those in quarantine.
  bool trials_outdated = false;  ///< Crashes were added since UpdateTrials.
  std::map<Fingerprint, Time> survivals;  ///< The latest of each trait.
  std::uint64_t changes = 0;
};

}  // namespace papayarack::quarantine

#endif  // PAPAYARACK_QUARANTINE_CRASHTRACKER_H_
