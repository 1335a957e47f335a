#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "gate/gatecore.h"

namespace papayarack::gate {
namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

/// A reference model of a gate that checks its invariants: tracks the state of
/// each request and item.
class GateOracle {
 public:
  explicit GateOracle(const GateOptions& options)
      : gate(options, this->now), options(options) {}

  void Step(std::uint32_t kind, std::uint32_t pick) {
    switch (kind % 8) {
      case 0:
      case 1:
        this->Arrive(pick);
        break;
      case 2: {
        const WorkId id = ++this->last_id;
        this->batch.insert(id);
        this->Execute(
            this->gate.Batch({id, this->now + pick * kMs}, this->now));
        break;
      }
      case 3:
      case 4:
        this->End(pick);
        break;
      case 5:
        if (!this->running.empty()) {
          this->Execute(
              this->gate.Token(this->Nth(this->running, pick), this->now));
        }
        break;
      case 6:
        this->now += (pick % 400) * kMs;
        this->Execute(this->gate.Tick(this->now));
        break;
      default:
        this->DropOne(pick);
        break;
    }
    this->CheckInvariants();
  }

  /// Ends all work without new arrivals and checks that none is stuck or lost.
  void Finish() {
    for (int i = 0;
         i < 5000 && (!this->running.empty() || !this->waiting.empty() ||
                      !this->batch.empty());
         ++i) {
      this->now += 50 * kMs;
      this->End(0);
      this->Execute(this->gate.Tick(this->now));
    }
    RC_ASSERT(this->running.empty());
    RC_ASSERT(this->waiting.empty());
    RC_ASSERT(this->batch.empty());
  }

 private:
  static WorkId Nth(const std::set<WorkId>& ids, std::uint32_t pick) {
    return *std::next(ids.begin(),
                      pick % static_cast<std::uint32_t>(ids.size()));
  }

  void Arrive(std::uint32_t pick) {
    const WorkId id = ++this->last_id;
    this->waiting.insert(id);
    const Time deadline = this->now + (1 + pick % 5000) * kMs;
    this->Execute(this->gate.Online(
        {id, std::string(1, static_cast<char>('a' + pick % 3)), deadline,
         pick % 2},
        this->now));
  }

  void End(std::uint32_t pick) {
    if (this->running.empty()) {
      return;
    }
    const WorkId id = this->Nth(this->running, pick);
    this->running.erase(id);
    this->online_running.erase(id);
    const bool restarts = this->preempted.erase(id) > 0;
    this->Execute(this->gate.Ended(id, this->now));
    if (restarts) {
      this->batch.insert(id);
      this->Execute(this->gate.Batch({id, this->now}, this->now));
    }
  }

  void DropOne(std::uint32_t pick) {
    std::set<WorkId> all = this->waiting;
    all.insert(this->running.begin(), this->running.end());
    if (all.empty()) {
      return;
    }
    const WorkId id = this->Nth(all, pick);
    this->preempted.erase(id);
    const bool ran = this->gate.Drop(id);
    RC_ASSERT(ran == (this->running.count(id) > 0));
    this->waiting.erase(id);
    this->dropped.insert(id);
  }

  void Execute(const std::vector<GateAction>& actions) {
    for (const GateAction& action : actions) {
      if (const auto* start = std::get_if<StartWork>(&action)) {
        RC_ASSERT(this->running.count(start->id) ==
                  0U);  // Never runs twice at the same time.
        RC_ASSERT(this->refused.count(start->id) ==
                  0U);  // Refused work never runs.
        RC_ASSERT(this->dropped.count(start->id) ==
                  0U);  // Dropped work never starts.
        const bool online = this->waiting.erase(start->id) > 0;
        if (!online) {
          RC_ASSERT(this->batch.erase(start->id) == 1U);
          // No batch work starts while an online request waits.
          RC_ASSERT(this->waiting.empty());
        } else {
          this->online_running.insert(start->id);
        }
        this->running.insert(start->id);
      } else if (const auto* refuse = std::get_if<RefuseOnline>(&action)) {
        RC_ASSERT(this->running.count(refuse->id) == 0U);
        RC_ASSERT(this->waiting.erase(refuse->id) == 1U);
        this->refused.insert(refuse->id);
      } else if (const auto* preempt = std::get_if<PreemptBatch>(&action)) {
        RC_ASSERT(this->running.count(preempt->id) == 1U);
        RC_ASSERT(this->online_running.count(preempt->id) == 0U);
        this->preempted.insert(preempt->id);
      }
    }
  }

  void CheckInvariants() {
    RC_ASSERT(this->gate.WaitingOnline() == this->waiting.size());
    RC_ASSERT(this->gate.WaitingOnline() <= this->options.max_queue);
    RC_ASSERT(this->gate.RunningOnline() == this->online_running.size());
    // Work conservation without head-of-line blocking: online requests wait
    // only while others use the whole online limit.
    if (!this->waiting.empty()) {
      RC_ASSERT(this->online_running.size() >= this->gate.OnlineLimit());
    }
  }

  Time now{std::chrono::seconds(10)};
  GateCore gate;
  GateOptions options;
  WorkId last_id = 0;
  std::set<WorkId> waiting;
  std::set<WorkId> batch;
  std::set<WorkId> running;
  std::set<WorkId> online_running;
  std::set<WorkId> preempted;
  std::set<WorkId> refused;
  std::set<WorkId> dropped;
};

}  // namespace

TEST_CASE("a gate keeps its invariants under random events") {
  CHECK(rc::check("random arrivals, ends, tokens, drops and time", [] {
    GateOptions options;
    options.learns = *rc::gen::arbitrary<bool>();
    options.limit.max_concurrent = *rc::gen::inRange(1, 12);
    options.max_queue = *rc::gen::inRange(1, 8);
    GateOracle oracle(options);
    const auto steps = *rc::gen::container<
        std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
        400, rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 10000),
                           rc::gen::inRange<std::uint32_t>(0, 10000)));
    for (const auto& [kind, pick] : steps) {
      oracle.Step(kind, pick);
    }
    oracle.Finish();
  }));
}

}  // namespace papayarack::gate
