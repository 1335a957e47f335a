#ifndef PAPAYARACK_CONSENSUS_TESTS_RAFTCLUSTER_H_
#define PAPAYARACK_CONSENSUS_TESTS_RAFTCLUSTER_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "consensus/durablelog.h"
#include "consensus/raftcore.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::consensus {

constexpr Duration kMillisecond{1000};

/// Thrown when two members disagree or an entry is applied out of order.
struct InvariantViolation : std::logic_error {
  using std::logic_error::logic_error;
};

/// Checks across all members that each index has one committed entry and each
/// term one leader.
struct LogOracle {
  std::map<Index, Entry> agreed;
  std::map<Term, MemberId> leaders;

  void Committed(const Entry& entry) {
    const auto [agreed_entry, fresh] =
        this->agreed.try_emplace(entry.index, entry);
    if (!fresh && (agreed_entry->second.term != entry.term ||
                   agreed_entry->second.payload != entry.payload)) {
      throw InvariantViolation("two entries were committed at index " +
                               std::to_string(entry.index));
    }
  }
  void Leads(Term term, MemberId member) {
    if (this->leaders.try_emplace(term, member).first->second != member) {
      throw InvariantViolation("two leaders in term " + std::to_string(term));
    }
  }
};

/// A few real RaftCore instances on simulated disks. The test itself delivers
/// the messages between them.
class RaftCluster {
 public:
  struct Node {
    MemberId id = 0;
    storage::MemoryFileSystem files;
    std::unique_ptr<DurableLog> disk;
    std::unique_ptr<RaftCore> core;  ///< Null while the member is stopped.
    std::deque<RaftReady> unsynced;  ///< Taken from the core, not yet on disk.
    std::vector<std::string> state;  ///< Applied commands.
    Index applied = 0;
    Term applied_term = 0;
    std::set<std::uint64_t> reads_ready;
    bool wiped = false;
  };

  explicit RaftCluster(std::size_t size, std::uint64_t seed = 7) : seed(seed) {
    MemberList first;
    for (MemberId id = 1; id <= size; ++id) {
      first.members.push_back({id, "m" + std::to_string(id), true});
    }
    for (MemberId id = 1; id <= size; ++id) {
      this->AddNode(id, first);
    }
  }

  void AddNode(MemberId id, const MemberList& first) {
    Node& node = this->nodes[id];
    node.id = id;
    FormatFolder(node.files, {id, "test"}, first, 1);
    this->Start(id);
  }

  void Start(MemberId id) {
    Node& node = this->nodes.at(id);
    if (node.core != nullptr || node.wiped) {
      return;
    }
    node.disk = std::make_unique<DurableLog>(node.files, 0, 400);
    RecoveredState recovered = node.disk->Recover();
    node.state = recovered.state.empty()
                     ? std::vector<std::string>{}
                     : DecodeMessage<std::vector<std::string>>(recovered.state);
    node.applied = recovered.snapshot.index;
    node.applied_term = recovered.snapshot.term;
    RaftOptions options;
    options.self = id;
    options.seed = ++this->seed;
    options.max_append_bytes = 64;
    node.core = std::make_unique<RaftCore>(
        options, recovered.hard_state, recovered.snapshot,
        std::move(recovered.entries), this->now);
  }

  void Crash(MemberId id, unsigned kept_percent) {
    Node& node = this->nodes.at(id);
    node.core.reset();
    node.disk.reset();
    node.unsynced.clear();
    node.reads_ready.clear();
    node.files.Crash(kept_percent);
  }

  /// Takes one RaftReady from the core, sends and applies its contents, and
  /// queues the writes until Sync.
  void Pump(MemberId id) {
    Node& node = this->nodes.at(id);
    if (node.core == nullptr) {
      return;
    }
    if (node.core->role() == RaftRole::kLeader) {
      this->oracle.Leads(node.core->term(), id);
    }
    RaftReady ready = node.core->TakeReady();
    this->Send(ready.before_sync);
    for (const Entry& entry : ready.committed) {
      this->Apply(node, entry);
    }
    node.reads_ready.insert(ready.reads_ready.begin(), ready.reads_ready.end());
    const std::optional<SnapshotOffer> offer = ready.fetch_snapshot;
    const MemberId from = ready.fetch_from;
    node.unsynced.push_back(std::move(ready));
    if (offer.has_value()) {
      this->Fetch(node, from);
    }
  }

  /// Writes everything queued to the disk, then sends the messages that waited
  /// for it.
  void Sync(MemberId id) {
    Node& node = this->nodes.at(id);
    while (node.core != nullptr && !node.unsynced.empty()) {
      RaftReady ready = std::move(node.unsynced.front());
      node.unsynced.pop_front();
      if (ready.NeedsSync()) {
        node.disk->Write(ready.truncate_from, ready.entries, ready.hard_state);
      }
      this->Send(ready.after_sync);
      node.core->Persisted(ready.batch);
    }
  }

  void TakeSnapshot(MemberId id) {
    Node& node = this->nodes.at(id);
    if (node.core == nullptr ||
        node.applied <= node.core->log().snapshot().index) {
      return;
    }
    this->Sync(id);
    SnapshotMeta meta;
    meta.index = node.applied;
    meta.term = node.applied_term;
    meta.members = node.core->log().MembersAt(node.applied);
    node.disk->SaveSnapshot(meta, EncodeMessage(node.state));
    node.core->Compact(meta);
  }

  /// Delivers the message at `position`. With `keep` the message stays in the
  /// network and can be delivered again.
  void Deliver(std::size_t position, bool keep = false) {
    const RaftMessage message = this->network.at(position);
    if (!keep) {
      this->network.erase(this->network.begin() +
                          static_cast<std::ptrdiff_t>(position));
    }
    const auto node = this->nodes.find(message.to);
    const bool cut = this->cuts.count({message.from, message.to}) > 0;
    if (node == this->nodes.end() || node->second.core == nullptr || cut) {
      return;
    }
    // Encoded and decoded as between processes.
    node->second.core->Step(DecodeRaftMessage(EncodeRaftMessage(message)),
                            this->now);
    this->Pump(message.to);
  }

  void TickAll(Duration step) {
    this->now += step;
    for (auto& [id, node] : this->nodes) {
      if (node.core != nullptr) {
        node.core->Tick(this->now);
        this->Pump(id);
      }
    }
  }

  /// Runs `rounds` of 20 ms in which all messages arrive and all writes are
  /// synced.
  void RunWithoutFaults(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      this->TickAll(20 * kMillisecond);
      for (int burst = 0; burst < 20; ++burst) {
        for (auto& [id, node] : this->nodes) {
          this->Pump(id);
          this->Sync(id);
          this->Pump(id);
        }
        const std::size_t count = this->network.size();
        for (std::size_t i = 0; i < count; ++i) {
          this->Deliver(0);
        }
      }
    }
  }

  MemberId Leader() const {
    MemberId leader = 0;
    Term term = 0;
    for (const auto& [id, node] : this->nodes) {
      if (node.core != nullptr && node.core->role() == RaftRole::kLeader &&
          node.core->term() > term) {
        leader = id;
        term = node.core->term();
      }
    }
    return leader;
  }

  /// Proposes `payload` at member `id`; returns false if it does not lead. The
  /// payload is acknowledged once that member applies it in the same term.
  bool Propose(MemberId id, const std::string& payload) {
    Node& node = this->nodes.at(id);
    if (node.core == nullptr || node.core->role() != RaftRole::kLeader) {
      return false;
    }
    try {
      const ProposalPosition agreed_entry = node.core->Propose(payload);
      this->proposed[{id, agreed_entry.index, agreed_entry.term}] = payload;
    } catch (const ResultError&) {
      return false;
    }
    this->Pump(id);
    return true;
  }

  std::map<MemberId, Node> nodes;
  std::vector<RaftMessage> network;
  /// Cut connections, as pairs of sender and receiver.
  std::set<std::pair<MemberId, MemberId>> cuts;
  std::set<std::string> acknowledged;
  LogOracle oracle;
  Time now{std::chrono::seconds(100)};

 private:
  void Send(std::vector<RaftMessage>& messages) {
    for (RaftMessage& message : messages) {
      this->network.push_back(std::move(message));
    }
  }

  void Apply(Node& node, const Entry& entry) {
    if (entry.index != node.applied + 1) {
      throw InvariantViolation("an entry was applied out of order");
    }
    node.applied = entry.index;
    node.applied_term = entry.term;
    this->oracle.Committed(entry);
    if (entry.Kind() == EntryKind::kCommand) {
      node.state.push_back(entry.payload);
    }
    const auto own = this->proposed.find({node.id, entry.index, entry.term});
    if (own != this->proposed.end()) {
      this->acknowledged.insert(own->second);
    }
  }

  void Fetch(Node& node, MemberId from) {
    const auto source = this->nodes.find(from);
    if (source == this->nodes.end() || source->second.core == nullptr) {
      return;
    }
    const auto snapshot = DurableLog::ReadSnapshot(source->second.files, 0);
    this->Sync(node.id);
    if (!snapshot.has_value() || !node.core->WantsSnapshot(snapshot->first)) {
      return;
    }
    node.disk->InstallSnapshot(snapshot->first, snapshot->second);
    node.core->SnapshotInstalled(snapshot->first);
    node.state = DecodeMessage<std::vector<std::string>>(snapshot->second);
    node.applied = snapshot->first.index;
    node.applied_term = snapshot->first.term;
  }

  std::map<std::tuple<MemberId, Index, Term>, std::string> proposed;
  std::uint64_t seed;
};

}  // namespace papayarack::consensus

#endif  // PAPAYARACK_CONSENSUS_TESTS_RAFTCLUSTER_H_
