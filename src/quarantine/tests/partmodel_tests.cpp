#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "quarantine/crashtracker.h"
#include "quarantine/recentsurvivals.h"

/// A service under load and crashes, in simulated time: callers, entries that
/// report what broke and what survived, and the leader's tracker.

namespace papayarack::quarantine {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
constexpr std::size_t kReplicas = 12;
constexpr std::size_t kSlots = 8;
constexpr std::size_t kEntries = 6;
constexpr std::uint8_t kFirst = 0;
constexpr std::uint8_t kMiddle = 1;
/// The users' bounds.
constexpr std::size_t kCrashesToBlock = 5;
constexpr milliseconds kTimeToBlock{4000};
constexpr std::size_t kRunsAllowed = 3;

/// What a trait is; kept in the upper half of its fingerprint.
enum class Kind : std::uint64_t {
  kBadPart = 1,
  kSharedFirst,  ///< The first part of most sound prompts.
  kOtherFirst,
  kMiddle,
  kNewMiddle,  ///< First sent in the course of the run.
  kSoundRequest,
  kBadRequest,
};
constexpr std::array<const char*, 8> kKindNames = {
    "",       "bad part",   "shared first part", "other first part",
    "middle", "new middle", "sound request",     "bad request"};

Fingerprint Id(Kind kind, std::uint64_t number) {
  constexpr std::uint64_t kOdd = 0x9E3779B97F4A7C15;
  return {static_cast<std::uint64_t>(kind), (number + 1) * kOdd >> 13U};
}

Kind KindOf(const Fingerprint& trait) { return static_cast<Kind>(trait.high); }

const Fingerprint kSharedFirst = Id(Kind::kSharedFirst, 0);

struct Culprit {
  std::uint8_t depth = kMiddle;
  Duration begins{};
  bool was_sound = false;  ///< Runs well before `begins`.
};

/// Replicas that crash for a reason outside the requests.
struct Wave {
  Duration begins{};
  std::size_t replicas = kReplicas;
  Duration interval{};  ///< Between two of them.
};

struct Scenario {
  std::vector<Culprit> culprits;
  std::vector<Wave> waves;
  std::size_t retries = 1;
  Duration length{};
};

struct Outcome {
  struct Bad {
    std::vector<Time> crashes;
    std::optional<Time> verdict;
    std::size_t late_runs = 0;
    bool blocked_at_end = false;
  };
  std::vector<Bad> bad;
  std::map<Kind, std::size_t> verdicts;
  std::map<Kind, std::size_t> verdicts_of_entries;
  /// Verdicts on what the leader knew to have survived before.
  std::map<Kind, std::size_t> verdicts_on_survivors;
  std::size_t fewest_up = kReplicas;
  std::string trace;
};

class Model {
 public:
  Model(std::uint64_t seed, Scenario planned)
      : random(seed), scenario(std::move(planned)) {
    this->outcome.bad.resize(this->scenario.culprits.size());
    this->middles = this->Between(10, 30);
    this->sound_interval = milliseconds(this->Between(30, 90));
    for (std::size_t i = 0; i < kReplicas; ++i) {
      this->replicas.at(i).id = fmt::format("r{}.0", i);
    }
  }

  Outcome Run() {
    this->In(Duration::zero(), [this] { this->SendSound(); });
    this->In(milliseconds(700), [this] { this->AddMiddle(); });
    this->In(milliseconds(100), [this] { this->Tick(); });
    for (std::size_t i = 0; i < this->scenario.culprits.size(); ++i) {
      const Culprit& culprit = this->scenario.culprits.at(i);
      const milliseconds interval(this->Between(125, 250));
      this->In(culprit.was_sound ? Duration::zero() : culprit.begins,
               [this, i, interval] { this->SendBad(i, interval); });
    }
    for (const Wave& wave : this->scenario.waves) {
      this->In(wave.begins, [this, wave] { this->Begin(wave); });
    }
    const Time end = kStart + this->scenario.length;
    while (this->events.begin()->first < end) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    for (std::size_t i = 0; i < this->outcome.bad.size(); ++i) {
      this->outcome.bad.at(i).blocked_at_end =
          this->leader.Quarantined(Id(Kind::kBadPart, i));
    }
    this->CountVerdictsOfEntries();
    return std::move(this->outcome);
  }

 private:
  using RunId = std::uint64_t;
  struct Request {
    std::vector<Trait> traits;
    std::optional<std::size_t> culprit;
    std::size_t entry = 0;
    std::size_t runs = 0;
    std::set<std::size_t> ran_at;
    Time deadline{};
  };
  struct RunState {
    Request request;
    std::size_t replica = 0;
    std::optional<Time> began;
  };
  struct Replica {
    std::string id;
    std::size_t starts = 0;
    bool up = true;
    std::set<RunId> runs;
  };
  struct Entry {
    RecentSurvivals survivals;
    CrashTracker tracker;
  };

  std::int64_t Between(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least,
                                                       most)(this->random);
  }
  bool Chance(int percent) { return this->Between(1, 100) <= percent; }
  std::size_t Index(std::size_t size) {
    return static_cast<std::size_t>(
        this->Between(0, static_cast<std::int64_t>(size) - 1));
  }
  void In(Duration delay, std::function<void()> what) {
    this->events.emplace(this->now + delay, std::move(what));
  }
  void Trace(const std::string& text) {
    this->outcome.trace +=
        fmt::format("{:6} {}\n", (this->now - kStart).count() / 1000, text);
  }

  // Callers.

  void SendSound() {
    const bool shared = this->Chance(85);
    const Trait first{
        shared ? kSharedFirst : Id(Kind::kOtherFirst, this->Index(3)), kFirst};
    this->Send({first, this->SoundMiddle()}, std::nullopt);
    this->In(this->sound_interval * this->Between(50, 150) / 100,
             [this] { this->SendSound(); });
  }

  /// The first ones are the most frequent.
  Trait SoundMiddle() {
    if (this->new_middles > 0 && this->Chance(20)) {
      return {Id(Kind::kNewMiddle,
                 this->new_middles - 1 -
                     this->Index(std::min<std::size_t>(3, this->new_middles))),
              kMiddle};
    }
    const std::size_t number =
        this->Index(this->Index(static_cast<std::size_t>(this->middles)) + 1);
    return {Id(Kind::kMiddle, number), kMiddle};
  }

  void AddMiddle() {
    ++this->new_middles;
    this->In(milliseconds(this->Between(500, 3000)),
             [this] { this->AddMiddle(); });
  }

  void SendBad(std::size_t culprit, Duration interval) {
    const bool is_first = this->scenario.culprits.at(culprit).depth == kFirst;
    const Fingerprint bad = Id(Kind::kBadPart, culprit);
    this->Send(is_first
                   ? std::vector<Trait>{{bad, kFirst}, this->SoundMiddle()}
                   : std::vector<Trait>{{kSharedFirst, kFirst}, {bad, kMiddle}},
               culprit);
    this->In(interval * this->Between(80, 120) / 100,
             [this, culprit, interval] { this->SendBad(culprit, interval); });
  }

  void Send(std::vector<Trait> parts, std::optional<std::size_t> culprit) {
    Request request;
    request.traits = std::move(parts);
    request.traits.push_back(
        {Id(culprit.has_value() ? Kind::kBadRequest : Kind::kSoundRequest,
            ++this->last_request),
         kWholeRequestDepth});
    request.culprit = culprit;
    request.entry = this->Index(kEntries);
    request.deadline = this->now + seconds(6);
    this->Dispatch(std::move(request));
  }

  // Entries.

  void Dispatch(Request request) {
    const bool refused = std::ranges::any_of(
        request.traits,
        [this](const Trait& trait) { return this->known.contains(trait.id); });
    if (refused || this->now > request.deadline) {
      return;
    }
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < kReplicas; ++i) {
      const Replica& replica = this->replicas.at(i);
      if (replica.up && replica.runs.size() < kSlots &&
          !request.ran_at.contains(i)) {
        free.push_back(i);
      }
    }
    if (free.empty()) {
      this->In(milliseconds(20), [this, request] { this->Dispatch(request); });
      return;
    }
    this->StartRun(std::move(request), free.at(this->Index(free.size())));
  }

  void StartRun(Request request, std::size_t replica) {
    if (request.culprit.has_value()) {
      Outcome::Bad& bad = this->outcome.bad.at(*request.culprit);
      const bool late =
          bad.crashes.size() >= kCrashesToBlock &&
          this->now > bad.crashes.at(kCrashesToBlock - 1) + kTimeToBlock;
      bad.late_runs += late ? 1 : 0;
    }
    ++request.runs;
    request.ran_at.insert(replica);
    const RunId id = ++this->last_run;
    this->runs[id] = {std::move(request), replica, std::nullopt};
    this->replicas.at(replica).runs.insert(id);
    this->In(milliseconds(this->Between(15, 60)),
             [this, id] { this->BeginAnswer(id); });
  }

  void BeginAnswer(RunId id) {
    const auto found = this->runs.find(id);
    if (found == this->runs.end()) {
      return;
    }
    RunState& run = found->second;
    run.began = this->now;
    if (this->IsBad(run.request)) {
      this->In(milliseconds(this->Between(30, 130)), [this, id] {
        const auto culprit = this->runs.find(id);
        if (culprit != this->runs.end()) {
          this->Crash(culprit->second.replica, culprit->second.request.culprit);
        }
      });
      return;
    }
    const milliseconds length(this->Between(300, 3000));
    if (length > CrashTracker::kCrashDelay) {
      this->In(CrashTracker::kCrashDelay + milliseconds(10),
               [this, id] { this->Survived(id); });
    }
    this->In(length, [this, id, length] {
      if (length <= CrashTracker::kCrashDelay) {
        this->Survived(id);
      }
      this->EndRun(id);
    });
  }

  bool IsBad(const Request& request) const {
    return request.culprit.has_value() &&
           this->now >=
               kStart + this->scenario.culprits.at(*request.culprit).begins;
  }

  void EndRun(RunId id) {
    const auto found = this->runs.find(id);
    if (found != this->runs.end()) {
      this->replicas.at(found->second.replica).runs.erase(id);
      this->runs.erase(found);
    }
  }

  void Survived(RunId id) {
    const auto found = this->runs.find(id);
    if (found == this->runs.end()) {
      return;
    }
    Entry& entry = this->entries.at(found->second.request.entry);
    for (const Trait& trait : found->second.request.traits) {
      entry.survivals.Add(trait.id, this->now);
      const bool ends_verdict = this->known.contains(trait.id);
      if (entry.tracker.IsSuspect(trait.id) || ends_verdict) {
        entry.tracker.Survived(trait.id, this->now);
        const Duration held =
            milliseconds(ends_verdict ? 0 : this->Between(0, 1000));
        this->Report(held, [this, id = trait.id](Time when) {
          this->leader.Survived(id, when);
          this->survivors.insert(id);
        });
      }
    }
  }

  void Broke(const RunState& run, const std::string& replica) {
    if (run.began.has_value() &&
        this->now - *run.began > CrashTracker::kCrashDelay) {
      return;
    }
    Entry& entry = this->entries.at(run.request.entry);
    CrashObservation seen{replica, 0, {}};
    for (const Trait& trait : run.request.traits) {
      SuspectTrait suspect{trait.id, trait.depth};
      if (const auto survived = entry.survivals.Find(trait.id)) {
        suspect.survived_ms =
            static_cast<std::uint32_t>((this->now - *survived).count() / 1000);
      }
      seen.traits.push_back(suspect);
    }
    constexpr std::array kProbed = {0, 1, 40, 41, 150};
    const milliseconds probed(kProbed.at(this->Index(kProbed.size())));
    this->In(probed, [this, &entry, seen, broke = this->now]() mutable {
      this->SetAge(seen, broke);
      entry.tracker.Crashed(seen, this->now);
      entry.tracker.Evaluate(this->now);
    });
    const milliseconds held(this->Chance(20) ? this->Between(0, 1000) : 0);
    this->Report(probed + held, [this, seen](Time broke) mutable {
      this->SetAge(seen, broke);
      this->leader.Crashed(seen, this->now);
      for (const SuspectTrait& trait : seen.traits) {
        if (trait.survived_ms != SuspectTrait::kNeverSurvived) {
          this->survivors.insert(trait.id);
        }
      }
    });
  }

  void SetAge(CrashObservation& seen, Time broke) const {
    seen.age_ms =
        static_cast<std::uint32_t>((this->now - broke).count() / 1000);
  }

  /// Delivers a report on what happened now. Its age leaves out the time on
  /// the way.
  void Report(Duration held, const std::function<void(Time)>& what) {
    if (this->Chance(5)) {
      return;
    }
    const int copies = this->Chance(10) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const milliseconds on_way(this->Between(1, 20));
      const Duration later = milliseconds(i * this->Between(0, 1000));
      this->In(held + later + on_way, [this, what, seems = this->now + on_way] {
        what(seems);
        this->Evaluate();
      });
    }
  }

  // Replicas.

  void Crash(std::size_t index, std::optional<std::size_t> culprit) {
    Replica& replica = this->replicas.at(index);
    if (!replica.up) {
      return;
    }
    if (culprit.has_value()) {
      this->outcome.bad.at(*culprit).crashes.push_back(this->now);
    }
    replica.up = false;
    const auto up = static_cast<std::size_t>(
        std::ranges::count(this->replicas, true, &Replica::up));
    this->outcome.fewest_up = std::min(this->outcome.fewest_up, up);
    std::vector<Request> broken;
    std::string ran;
    for (const RunId id : std::exchange(replica.runs, {})) {
      const auto run = this->runs.extract(id);
      this->Broke(run.mapped(), replica.id);
      for (const Trait& trait : run.mapped().request.traits) {
        ran += fmt::format(" {}:{}", trait.id.high, trait.id.low % 1000);
      }
      ran += ';';
      broken.push_back(std::move(run.mapped().request));
    }
    this->Trace(fmt::format(
        "{} crashes, culprit {}, {} up, ran{}", replica.id,
        culprit.has_value() ? static_cast<int>(*culprit) : -1, up, ran));
    this->In(milliseconds(this->Between(2000, 4000)), [&replica, index] {
      replica.up = true;
      replica.id = fmt::format("r{}.{}", index, ++replica.starts);
    });
    for (Request& request : broken) {
      if (request.runs <= this->scenario.retries) {
        this->In(milliseconds(this->Between(1, 10)),
                 [this, request] { this->Dispatch(request); });
      }
    }
  }

  void Begin(const Wave& wave) {
    std::array<std::size_t, kReplicas> order{};
    for (std::size_t i = 0; i < kReplicas; ++i) {
      order.at(i) = i;
    }
    std::ranges::shuffle(order, this->random);
    Duration delay{};
    for (std::size_t i = 0; i < wave.replicas; ++i) {
      this->In(delay, [this, index = order.at(i)] {
        this->Crash(index, std::nullopt);
      });
      delay += wave.interval * this->Between(80, 120) / 100;
    }
  }

  // Leader.

  void Tick() {
    this->Evaluate();
    this->In(milliseconds(100), [this] { this->Tick(); });
  }

  void Evaluate() {
    for (const auto& decision : this->leader.Evaluate(this->now)) {
      const Kind kind = KindOf(decision.trait);
      ++this->outcome.verdicts[kind];
      if (this->survivors.contains(decision.trait)) {
        ++this->outcome.verdicts_on_survivors[kind];
      }
      this->Trace(fmt::format("VERDICT on {} {}:{}, {} crashes, {} rivals",
                              kKindNames.at(decision.trait.high),
                              decision.trait.high, decision.trait.low % 1000,
                              decision.replicas.size(), decision.rivals));
      for (std::size_t i = 0; i < this->outcome.bad.size(); ++i) {
        Outcome::Bad& bad = this->outcome.bad.at(i);
        if (decision.trait == Id(Kind::kBadPart, i) && !bad.verdict) {
          bad.verdict = this->now;
        }
      }
    }
    if (this->leader.revision() != this->published) {
      this->published = this->leader.revision();
      const milliseconds on_way(this->Between(5, 40));
      this->In(on_way, [this, list = this->leader.QuarantinedTraits(),
                        revision = this->published] {
        if (revision > this->known_revision) {
          this->known.clear();
          for (const auto& [trait, since] : list) {
            this->known.insert(trait);
          }
          this->known_revision = revision;
        }
      });
    }
  }

  void CountVerdictsOfEntries() {
    for (const Entry& entry : this->entries) {
      for (const auto& [trait, since] : entry.tracker.QuarantinedTraits()) {
        ++this->outcome.verdicts_of_entries[KindOf(trait)];
      }
    }
  }

  std::mt19937_64 random;
  Scenario scenario;
  Time now = kStart;
  std::multimap<Time, std::function<void()>> events;
  std::array<Replica, kReplicas> replicas;
  std::array<Entry, kEntries> entries;
  std::map<RunId, RunState> runs;
  CrashTracker leader;
  std::set<Fingerprint> survivors;  ///< Known to the leader.
  std::uint64_t published = 0;
  std::set<Fingerprint> known;  ///< Quarantined, as the entries know.
  std::uint64_t known_revision = 0;
  std::int64_t middles = 0;
  std::size_t new_middles = 0;
  Duration sound_interval{};
  std::uint64_t last_request = 0;
  RunId last_run = 0;
  Outcome outcome;
};

/// Chooses scenarios; not the generator of the model, so that a change there
/// does not change them.
class Chooser {
 public:
  explicit Chooser(std::uint64_t seed) : random(~seed) {}
  std::int64_t Between(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least,
                                                       most)(this->random);
  }

 private:
  std::mt19937_64 random;
};

/// One or two culprits after `calm`.
Scenario Culprits(std::uint64_t seed, milliseconds calm, bool were_sound) {
  Chooser choose(seed);
  Scenario scenario;
  const auto count = choose.Between(1, 2);
  for (int i = 0; i < count; ++i) {
    const bool is_first = choose.Between(0, 2) == 0;
    const milliseconds later(i == 0 ? 0 : choose.Between(0, 4000));
    scenario.culprits.push_back(
        {is_first ? kFirst : kMiddle, calm + later, were_sound});
  }
  scenario.length = calm + seconds(16);
  return scenario;
}

milliseconds SomeCalm(std::uint64_t seed) {
  return milliseconds(Chooser(seed + 1000000).Between(1500, 8000));
}

/// Several waves of half of the replicas or all, at once or in a row.
Scenario Waves(std::uint64_t seed, std::size_t retries) {
  Chooser choose(seed);
  Scenario scenario;
  scenario.retries = retries;
  Duration begins = SomeCalm(seed);
  const auto count = choose.Between(2, 5);
  for (int i = 0; i < count; ++i) {
    const bool at_once = choose.Between(0, 2) == 0;
    const milliseconds interval(at_once ? 0 : choose.Between(30, 200));
    const std::size_t replicas =
        choose.Between(0, 1) == 0 ? kReplicas / 2 : kReplicas;
    scenario.waves.push_back({begins, replicas, interval});
    begins += milliseconds(choose.Between(1000, 7000));
  }
  scenario.length = begins + seconds(8);
  return scenario;
}

/// What many runs came to.
class Figures {
 public:
  void Add(const Outcome& outcome) {
    ++this->runs;
    this->fewest_up = std::min(this->fewest_up, outcome.fewest_up);
    for (const auto& [kind, count] : outcome.verdicts) {
      this->leader[kind].Add(count);
    }
    for (const auto& [kind, count] : outcome.verdicts_on_survivors) {
      this->survivors[kind].Add(count);
    }
    for (const auto& [kind, count] : outcome.verdicts_of_entries) {
      this->entries[kind].Add(count);
    }
    for (const Outcome::Bad& bad : outcome.bad) {
      ++this->culprits;
      this->most_crashes = std::max(this->most_crashes, bad.crashes.size());
      this->most_late = std::max(this->most_late, bad.late_runs);
    }
  }

  std::string Text(const std::string& name) const {
    std::string text = fmt::format(
        "{}: {} runs, {} culprits, at most {} crashes and {} late runs of one, "
        "fewest up {}\n",
        name, this->runs, this->culprits, this->most_crashes, this->most_late,
        this->fewest_up);
    for (const auto& [who, counts] :
         {std::pair("leader", &this->leader),
          std::pair("of these sound before", &this->survivors),
          std::pair("entry by itself", &this->entries)}) {
      for (const auto& [kind, count] : *counts) {
        text += fmt::format("  {}: verdicts on {}: {} in {} runs\n", who,
                            kKindNames.at(static_cast<std::size_t>(kind)),
                            count.verdicts, count.runs);
      }
    }
    return text;
  }

 private:
  struct Count {
    std::size_t verdicts = 0;
    std::size_t runs = 0;
    void Add(std::size_t more) {
      this->verdicts += more;
      ++this->runs;
    }
  };
  std::size_t runs = 0;
  std::size_t culprits = 0;
  std::size_t most_crashes = 0;
  std::size_t most_late = 0;
  std::size_t fewest_up = kReplicas;
  std::map<Kind, Count> leader;
  std::map<Kind, Count> survivors;
  std::map<Kind, Count> entries;
};

/// Why the outcome breaks one of the users' bounds; empty if it does not.
std::string Broken(const Outcome& outcome) {
  std::string why;
  if (outcome.verdicts.contains(Kind::kSharedFirst)) {
    why += "the shared first part was quarantined; ";
  }
  for (const Outcome::Bad& bad : outcome.bad) {
    if (bad.crashes.size() < kCrashesToBlock) {
      continue;
    }
    const Time due = bad.crashes.at(kCrashesToBlock - 1) + kTimeToBlock;
    if (!bad.verdict.has_value() || *bad.verdict > due) {
      why += "a bad part was not quarantined in time; ";
    }
    if (!bad.blocked_at_end) {
      why += "a bad part was not in quarantine at the end; ";
    }
    if (bad.late_runs > kRunsAllowed) {
      why += fmt::format("{} late runs of a bad part; ", bad.late_runs);
    }
  }
  return why;
}

using Seeds = std::vector<std::uint64_t>;

Seeds SeedsFrom(std::uint64_t first, std::size_t count) {
  Seeds seeds(count);
  std::iota(seeds.begin(), seeds.end(), first);
  return seeds;
}

/// Plays the scenarios of the seeds and prints the figures.
void Play(const std::string& name, const Seeds& seeds,
          const std::function<Scenario(std::uint64_t)>& scenario) {
  Figures figures;
  std::size_t broken = 0;
  for (const std::uint64_t seed : seeds) {
    const Outcome outcome = Model(seed, scenario(seed)).Run();
    figures.Add(outcome);
    const std::string why = Broken(outcome);
    constexpr std::size_t kTraced = 2;
    if (!why.empty() && ++broken <= kTraced) {
      UNSCOPED_INFO(outcome.trace);
    }
    if (!why.empty()) {
      UNSCOPED_INFO("seed " << seed << ": " << why);
    }
  }
  fmt::print("{}", figures.Text(name));
  INFO(name << " from seed " << seeds.front());
  CHECK(broken == 0);
}

constexpr std::size_t kFewSeeds = 40;
constexpr std::size_t kManySeeds = 600;

void PlayAll(const Seeds& seeds) {
  Play("culprits", seeds, [](std::uint64_t seed) {
    return Culprits(seed, SomeCalm(seed), false);
  });
  Play("waves, each run sent again once", seeds,
       [](std::uint64_t seed) { return Waves(seed, 1); });
  Play("waves, each run sent again three times", seeds,
       [](std::uint64_t seed) { return Waves(seed, 3); });
}

}  // namespace

// Guards against a decision that lets a culprit through or refuses most
// requests in some course of events that nobody thought of.
TEST_CASE("a bad part is quarantined in any course, and the shared one never") {
  PlayAll(SeedsFrom(1, kFewSeeds));
}

// Guards against refusing most requests after crashes went through all replicas
// so fast that nothing could survive between.
TEST_CASE("fast crashes of all replicas leave the shared part alone") {
  Play("fast waves", {1260, 1433},
       [](std::uint64_t seed) { return Waves(seed, 1); });
}

// Guards against refusing most requests because the reports on the bad part of
// their crashes are late, and nothing has survived yet.
TEST_CASE("the shared part is spared before much has survived") {
  Play("late reports", {11344}, [](std::uint64_t seed) {
    return Culprits(seed, SomeCalm(seed), false);
  });
  Play("early waves", {11685, 12979},
       [](std::uint64_t seed) { return Waves(seed, 3); });
}

// Guards against memory use that grows without bound.
TEST_CASE("the tracker keeps a bounded number of suspects and survivals") {
  constexpr std::uint64_t kMany = 10000;
  CrashTracker tracker;
  SECTION("when many replicas crash that ran much") {
    constexpr std::uint64_t kPerCrash = 250;
    std::uint64_t traits = 0;
    for (int crash = 0; crash < 400; ++crash) {
      CrashObservation seen{fmt::format("r{}", crash), 0, {}};
      for (std::uint64_t i = 0; i < kPerCrash; ++i) {
        seen.traits.push_back({Id(Kind::kMiddle, traits++), kMiddle});
      }
      tracker.Crashed(seen, kStart + milliseconds(100 * crash));
    }
    std::size_t suspects = 0;
    for (std::uint64_t i = 0; i < traits; ++i) {
      suspects += tracker.IsSuspect(Id(Kind::kMiddle, i)) ? 1 : 0;
    }
    CHECK(suspects ==
          CrashTracker::kMaxCrashes * CrashTracker::kMaxTraitsPerCrash);
    tracker.Evaluate(kStart + 2 * CrashTracker::kRetention);
    CHECK_FALSE(tracker.IsSuspect(Id(Kind::kMiddle, traits - kPerCrash)));
  }
  /// Whether a trait is taken to have survived: then three crashes are not
  /// enough against it.
  const auto is_known = [&tracker](std::uint64_t number, Time now) {
    CrashTracker copy = tracker;
    for (int i = 0; i < 3; ++i) {
      copy.Crashed({fmt::format("r{}", i),
                    static_cast<std::uint32_t>(1000 - 100 * i),
                    {{Id(Kind::kMiddle, number), kMiddle}}},
                   now + seconds(2));
    }
    copy.Evaluate(now + seconds(2));
    return !copy.Quarantined(Id(Kind::kMiddle, number));
  };
  SECTION("when much survives") {
    for (std::uint64_t i = 0; i < kMany; ++i) {
      tracker.Survived(Id(Kind::kMiddle, i), kStart + milliseconds(i));
    }
    const Time now = kStart + milliseconds(kMany);
    CHECK(is_known(kMany - 1, now));
    CHECK(is_known(kMany - CrashTracker::kMaxSurvivals / 2, now));
    CHECK_FALSE(is_known(kMany - CrashTracker::kMaxSurvivals - 1, now));
  }
  SECTION("when much survives at the same time") {
    for (std::uint64_t i = 0; i < kMany; ++i) {
      tracker.Survived(Id(Kind::kMiddle, i), kStart);
    }
    // Three crashes put all the others in quarantine.
    constexpr std::uint64_t kPerCrash = CrashTracker::kMaxTraitsPerCrash;
    for (std::uint64_t i = 0; i < kMany; ++i) {
      for (std::uint64_t crash = 0; crash < 3; ++crash) {
        tracker.Crashed({fmt::format("r{}.{}", i / kPerCrash, crash),
                         static_cast<std::uint32_t>(300 - 100 * crash),
                         {{Id(Kind::kMiddle, i), kMiddle}}},
                        kStart + seconds(1));
      }
    }
    const auto unknown =
        tracker.Evaluate(kStart + seconds(1) + CrashTracker::kTieDelay);
    CHECK(unknown.size() >= kMany - CrashTracker::kMaxSurvivals);
  }
}

// As above, at length; run by hand.
TEST_CASE("many courses of a service under crashes", "[.sweep]") {
  PlayAll(SeedsFrom(1000, kManySeeds));
}

// Beyond the bounds that the decision was made for; run by hand.
TEST_CASE("parts that turn bad, and services that are new", "[.beyond]") {
  Play("culprits from the start", SeedsFrom(1, kManySeeds),
       [](std::uint64_t seed) {
         return Culprits(seed, milliseconds(0), false);
       });
  Play("culprits that were sound", SeedsFrom(1, kManySeeds),
       [](std::uint64_t seed) { return Culprits(seed, SomeCalm(seed), true); });
}

}  // namespace papayarack::quarantine
