#ifndef PAPAYARACK_BATCHES_TESTS_STATECLUSTER_H_
#define PAPAYARACK_BATCHES_TESTS_STATECLUSTER_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "batches/batchstate.h"
#include "global/variantcodec.h"
#include "replication/replicatedgroup.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::batches {

/// A disk that a group's writer and its loop use at once, and whose power can
/// be cut between any two operations.
class CutOffDisk : public storage::MemoryFileSystem {
 public:
  /// All further operations fail until PowerOn.
  void PowerOff() {
    const std::lock_guard lock(this->mutex);
    this->off = true;
  }
  void PowerOn() {
    const std::lock_guard lock(this->mutex);
    this->off = false;
  }
  /// Real time that each sync takes.
  void Slow(std::chrono::microseconds time) { this->sync_time = time.count(); }

  std::vector<std::string> List() const override {
    const auto lock = this->Use();
    return MemoryFileSystem::List();
  }
  bool Exists(const std::string& name) const override {
    const auto lock = this->Use();
    return MemoryFileSystem::Exists(name);
  }
  std::uint64_t Size(const std::string& name) const override {
    const auto lock = this->Use();
    return MemoryFileSystem::Size(name);
  }
  std::string Read(const std::string& name, std::uint64_t offset,
                   std::size_t length) const override {
    const auto lock = this->Use();
    return MemoryFileSystem::Read(name, offset, length);
  }
  void Append(const std::string& name, std::string_view bytes) override {
    const auto lock = this->Use();
    MemoryFileSystem::Append(name, bytes);
  }
  void Truncate(const std::string& name, std::uint64_t size) override {
    const auto lock = this->Use();
    MemoryFileSystem::Truncate(name, size);
  }
  void Rename(const std::string& from, const std::string& to) override {
    const auto lock = this->Use();
    MemoryFileSystem::Rename(from, to);
  }
  void Remove(const std::string& name) override {
    const auto lock = this->Use();
    MemoryFileSystem::Remove(name);
  }
  void SyncFile(const std::string& name) override {
    std::this_thread::sleep_for(
        std::chrono::microseconds(this->sync_time.load()));
    const auto lock = this->Use();
    MemoryFileSystem::SyncFile(name);
  }
  void SyncFolder() override {
    const auto lock = this->Use();
    MemoryFileSystem::SyncFolder();
  }

 private:
  std::unique_lock<std::mutex> Use() const {
    std::unique_lock lock(this->mutex);
    if (this->off) {
      throw ResultError(ResultCode::kStorageDamaged, "the disk has no power");
    }
    return lock;
  }

  mutable std::mutex mutex;
  bool off = false;
  std::atomic<std::int64_t> sync_time = 0;
};

/// Members of a job group in one process: real groups and states, simulated
/// time and network. Thread safety: none.
class StateCluster {
 public:
  /// Of RaftCore::Tick.
  static constexpr std::chrono::milliseconds kStep{20};
  /// 6 s.
  static constexpr std::uint64_t kCatchUpSteps = 300;
  /// Small, so that members that lag import states.
  static constexpr std::uint64_t kSnapshotAfterBytes = 6000;

  struct Node {
    consensus::MemberId id = 0;
    std::string address;
    std::unique_ptr<CutOffDisk> files = std::make_unique<CutOffDisk>();
    std::unique_ptr<BatchState> state;
    std::unique_ptr<replication::ReplicatedGroup> group;
    bool cut = false;  ///< From all other members.
    /// Step in which a member that is down starts again.
    std::uint64_t starts_at = 0;
    std::uint64_t imports = 0;

    bool Up() const { return this->group != nullptr; }
  };

  StateCluster(std::size_t members, std::uint64_t seed) : random(seed) {
    for (std::size_t i = 0; i < members; ++i) {
      Node& node = this->all_nodes.emplace_back();
      node.id = ++this->last_id;
      node.address = "n" + std::to_string(i) + ":1";
      this->founders.members.push_back({node.id, node.address, true});
    }
    for (Node& node : this->all_nodes) {
      consensus::CreateGroup(*node.files, 0, this->founders);
      this->Start(node);
    }
  }

  std::list<Node>& nodes() { return this->all_nodes; }
  std::uint64_t step() const { return this->steps; }
  std::int64_t now_ms() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               this->now.time_since_epoch())
        .count();
  }
  std::mt19937_64& rng() { return this->random; }
  std::size_t Draw(std::size_t below) { return this->random() % below; }
  /// Share of messages that are lost.
  void Lose(unsigned percent) { this->lost_percent = percent; }

  Node* Leader() {
    for (Node& node : this->all_nodes) {
      if (node.Up() && node.group->Leads()) {
        return &node;
      }
    }
    return nullptr;
  }

  /// Whether the group has been whole for long enough that as many disks may be
  /// lost again as it tolerates: a member without its disk counts as lost until
  /// its successor has had this time.
  bool MayLoseDisks() const { return this->whole_steps >= kCatchUpSteps; }

  /// Whether every member votes and all of them are up.
  bool Whole() {
    const Node* leader = this->Leader();
    if (leader == nullptr ||
        leader->group->members().members.size() != this->all_nodes.size()) {
      return false;
    }
    return std::ranges::all_of(this->all_nodes, [&](const Node& node) {
      return node.Up() && !node.cut &&
             leader->group->members().IsVoter(node.id);
    });
  }

  /// Ends a member's process; it starts again `down_steps` later. With `power`,
  /// what was not synced is lost but for `kept_percent` of it.
  void Stop(Node& node, std::uint64_t down_steps, bool power,
            unsigned kept_percent) {
    if (!node.Up()) {
      return;
    }
    node.files->PowerOff();
    node.group.reset();
    node.state.reset();
    node.files->PowerOn();
    if (power) {
      node.files->Crash(kept_percent);
    }
    node.starts_at = this->steps + down_steps;
  }

  /// The member loses its disk and comes back under another identity.
  void Wipe(Node& node, std::uint64_t down_steps) {
    this->Stop(node, down_steps, true, 0);
    node.files = std::make_unique<CutOffDisk>();
    node.id = ++this->last_id;
    node.starts_at = this->steps + down_steps;
    this->whole_steps = 0;
  }

  void RunStep() {
    this->now += kStep;
    ++this->steps;
    for (Node& node : this->all_nodes) {
      if (!node.Up() && this->steps >= node.starts_at) {
        this->Start(node);
      }
      if (node.Up()) {
        node.group->Tick();
      }
    }
    this->RepairMembership();
    this->whole_steps = this->Whole() ? this->whole_steps + 1 : 0;
    this->Deliver();
    // For the groups' writer threads.
    std::this_thread::sleep_for(std::chrono::microseconds(100));
    this->RunPosted();
  }

  template <typename Condition>
  bool RunUntil(const Condition& done, std::size_t most_steps = 3000) {
    for (std::size_t i = 0; i < most_steps && !done(); ++i) {
      this->RunStep();
    }
    return done();
  }

 private:
  void Start(Node& node) {
    node.state = std::make_unique<BatchState>(*node.files);
    consensus::RaftOptions options;
    options.self = node.id;
    options.seed = node.id + this->steps;
    replication::ReplicatedState state;
    state.apply = [&node](std::string_view command) {
      return EncodeMessage(node.state->Apply(command));
    };
    state.save = [&node] {
      std::string saved = node.state->Save();
      return replication::SavedState{std::move(saved),
                                     node.state->ArchiveTexts(),
                                     [&node] { node.state->TextsArchived(); }};
    };
    state.export_all = [&node] { return node.state->Export(); };
    state.import_all = [&node](std::string exported) {
      ++node.imports;
      return node.state->Import(std::move(exported));
    };
    state.load = [&node](std::string_view bytes) { node.state->Load(bytes); };
    node.group = std::make_unique<replication::ReplicatedGroup>(
        *node.files, options, replication::GroupLimits{kSnapshotAfterBytes},
        std::move(state), this->EnvironmentOf(node));
  }

  replication::GroupEnvironment EnvironmentOf(Node& node) {
    replication::GroupEnvironment environment;
    environment.own_address = node.address;
    environment.send = [this, &node](const std::string& to,
                                     std::string message) {
      if (!node.cut && this->Draw(100) >= this->lost_percent) {
        this->Later(1 + this->Draw(2),
                    [this, to, message = std::move(message)] {
                      Node* target = this->Reachable(to);
                      if (target != nullptr) {
                        target->group->Step(message);
                      }
                    });
      }
    };
    environment.fetch_state =
        [this](const std::string& from,
               const std::function<void(std::string)>& done) {
          const Node* source = this->Reachable(from);
          // The state may be old when it arrives.
          this->Later(2 + this->Draw(60),
                      [done, state = source != nullptr
                                         ? source->group->ExportState()
                                         : std::string()] { done(state); });
        };
    environment.post = [this](std::function<void()> work) {
      const std::lock_guard lock(this->posted_mutex);
      this->posted.push_back(std::move(work));
    };
    environment.now = [this] { return this->now; };
    environment.storage_failed = [](const std::string&) {};
    return environment;
  }

  Node* Reachable(const std::string& address) {
    const auto found =
        std::ranges::find(this->all_nodes, address, &Node::address);
    const bool reachable =
        found != this->all_nodes.end() && found->Up() && !found->cut;
    return reachable ? &*found : nullptr;
  }

  void RepairMembership() {
    constexpr std::uint64_t kRepairSteps = 5;
    Node* leader = this->Leader();
    if (leader == nullptr || this->steps % kRepairSteps != 0) {
      return;
    }
    std::vector<replication::Candidate> candidates;
    for (const Node& node : this->all_nodes) {
      if (node.Up()) {
        candidates.push_back({node.id, node.address, "z", false});
      }
    }
    leader->group->RepairMembership(candidates, {},
                                    {this->all_nodes.size(), 0});
  }

  void Later(std::uint64_t delay, std::function<void()> work) {
    this->delayed.emplace(this->steps + delay, std::move(work));
  }

  void Deliver() {
    while (!this->delayed.empty() &&
           this->delayed.begin()->first <= this->steps) {
      this->delayed.extract(this->delayed.begin()).mapped()();
      this->RunPosted();
    }
  }

  void RunPosted() {
    while (true) {
      std::function<void()> work;
      {
        const std::lock_guard lock(this->posted_mutex);
        if (this->posted.empty()) {
          return;
        }
        work = std::move(this->posted.front());
        this->posted.pop_front();
      }
      work();
    }
  }

  std::mt19937_64 random;
  std::mutex posted_mutex;
  std::deque<std::function<void()>> posted;
  std::multimap<std::uint64_t, std::function<void()>> delayed;  ///< By step.
  consensus::MemberList founders;
  consensus::MemberId last_id = 0;
  std::uint64_t steps = 0;
  std::uint64_t whole_steps = 0;
  Time now{std::chrono::hours(1)};
  unsigned lost_percent = 0;
  std::list<Node> all_nodes;
};

}  // namespace papayarack::batches

#endif  // PAPAYARACK_BATCHES_TESTS_STATECLUSTER_H_
