#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "replication/replicatedgroup.h"
#include "storage/tests/stallingfiles.h"

namespace papayarack::replication {
namespace {

/// Work posted by a group's writer thread, which the test runs.
struct Loop {
  std::mutex mutex;
  std::deque<std::function<void()>> work;

  void Post(std::function<void()> function) {
    const std::lock_guard lock(this->mutex);
    this->work.push_back(std::move(function));
  }
  void RunAll() {
    while (true) {
      std::function<void()> next;
      {
        const std::lock_guard lock(this->mutex);
        if (this->work.empty()) {
          return;
        }
        next = std::move(this->work.front());
        this->work.pop_front();
      }
      next();
    }
  }
};

/// Members in one process, with simulated time.
struct Cluster {
  struct Node {
    storage::StallingFiles files;
    std::string applied;
    std::unique_ptr<ReplicatedGroup> group;
    bool cut = false;

    void CheckLedTerm() const {
      CHECK(this->group->Leads() == this->led_term.has_value());
      if (this->led_term.has_value()) {
        CHECK(this->group->term() == *this->led_term);
      }
    }
    std::size_t saved_bytes = 0;  ///< Total state size of all snapshots.
    int states_to_refuse = 0;
    /// Of the snapshot on the disk when a state was imported last.
    consensus::Index snapshot_at_import = 0;
    /// As told by the group.
    std::optional<consensus::Term> led_term;
    /// The state when the term began.
    std::string applied_before_term;
  };
  Loop loop;
  GroupLimits limits;
  Time now{};
  std::map<std::string, std::unique_ptr<Node>> nodes;

  void Start(consensus::MemberId id, const std::string& address,
             const consensus::MemberList& founders) {
    auto& slot = this->nodes[address];
    slot = std::make_unique<Node>();
    Node& node = *slot;
    if (!founders.members.empty()) {
      consensus::CreateGroup(node.files, 0, founders);
    }
    consensus::RaftOptions options;
    options.self = id;
    options.seed = id;
    ReplicatedState state;
    state.apply = [&node](std::string_view command) {
      node.applied += command;
      return std::string(command);
    };
    state.save = [&node] {
      node.saved_bytes += node.applied.size();
      return SavedState{node.applied, {}, {}};
    };
    state.export_all = [&node] { return node.applied; };
    state.import_all = [&node](std::string exported) {
      // The writer has no work at this moment.
      node.snapshot_at_import =
          consensus::DurableLog::ReadSnapshot(node.files, 0)->first.index;
      if (node.states_to_refuse > 0) {
        --node.states_to_refuse;
        throw ResultError(ResultCode::kProtocol, "cannot be used");
      }
      node.applied = exported;
      return exported;
    };
    state.load = [&node](std::string_view bytes) { node.applied = bytes; };
    GroupEnvironment environment;
    environment.own_address = address;
    environment.send = [this, address](const std::string& to,
                                       const std::string& message) {
      this->loop.Post([this, address, to, message] {
        const auto target = this->nodes.find(to);
        if (target != this->nodes.end() && !target->second->cut &&
            !this->nodes.at(address)->cut) {
          target->second->group->Step(message);
          target->second->CheckLedTerm();
        }
      });
    };
    environment.fetch_state =
        [this](const std::string& from,
               const std::function<void(std::string)>& done) {
          done(this->nodes.at(from)->group->ExportState());
        };
    environment.post = [this](std::function<void()> work) {
      this->loop.Post(std::move(work));
    };
    environment.now = [this] { return this->now; };
    environment.storage_failed = [](const std::string&) {};
    environment.led_term_changed =
        [&node](std::optional<consensus::Term> led_term) {
          node.led_term = led_term;
          node.applied_before_term = node.applied;
        };
    node.group = std::make_unique<ReplicatedGroup>(
        node.files, options, this->limits, std::move(state),
        std::move(environment));
  }

  template <typename Condition>
  bool RunUntil(const Condition& done) {
    for (int step = 0; step < 2000 && !done(); ++step) {
      this->now += std::chrono::milliseconds(20);
      for (auto& [address, node] : this->nodes) {
        node->group->Tick();
      }
      this->loop.RunAll();
      std::this_thread::sleep_for(std::chrono::microseconds(300));
      this->loop.RunAll();
    }
    return done();
  }

  Node* Leader() {
    for (auto& [address, node] : this->nodes) {
      if (node->group->Leads() && !node->cut) {
        return node.get();
      }
    }
    return nullptr;
  }
};

consensus::MemberList Three() {
  return {{{1, "a:1", true}, {2, "b:1", true}, {3, "c:1", true}}};
}

}  // namespace

TEST_CASE("a group commits, reads and repairs its membership") {
  Cluster cluster;
  cluster.Start(1, "a:1", Three());
  cluster.Start(2, "b:1", Three());
  cluster.Start(3, "c:1", Three());
  REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  bool committed = false;
  cluster.Leader()->group->Propose(
      "x", [&committed](const Result& result, const std::string& reply) {
        committed = result.Ok() && reply == "x";
      });
  REQUIRE(cluster.RunUntil([&] { return committed; }));

  SECTION("a read is confirmed by a quorum") {
    bool read = false;
    cluster.Leader()->group->Read([&read](bool ok) { read = ok; });
    CHECK(cluster.RunUntil([&] { return read; }));
  }
  // Guards against a leader that answers from what it knew when it led before:
  // CheckLedTerm runs after each message.
  SECTION("a member leads only in terms that its owner knows of") {
    Cluster::Node* leader = cluster.Leader();
    const consensus::Term former = leader->group->term();
    leader->group->TransferLeadership();
    REQUIRE(cluster.RunUntil([&] {
      return cluster.Leader() != nullptr && cluster.Leader() != leader;
    }));
    CHECK_FALSE(leader->led_term.has_value());
    bool second_committed = false;
    cluster.Leader()->group->Propose(
        "y", [&](const Result& result, const std::string&) {
          second_committed = result.Ok();
        });
    REQUIRE(cluster.RunUntil([&] { return second_committed; }));
    REQUIRE(cluster.RunUntil([&] {
      if (!leader->group->Leads() && cluster.Leader() != nullptr) {
        cluster.Leader()->group->TransferLeadership();
      }
      return leader->group->Leads();
    }));
    CHECK(*leader->led_term > former);
    CHECK(leader->applied_before_term == "xy");
  }
  // Guards against a leader with a stalled disk whose loop blocks, together
  // with everything else that runs on it.
  SECTION("a leader with a stalled disk transfers leadership") {
    Cluster::Node* leader = cluster.Leader();
    leader->files.Stall(true);
    std::uint64_t proposed = 0;
    const auto leadership_moved = [&] {
      return cluster.Leader() != nullptr && cluster.Leader() != leader;
    };
    // Each proposal is a batch of its own in the writer's queue.
    while (!leadership_moved() && proposed < LogWriter::kMaxQueued) {
      for (int i = 0; i < 8; ++i, ++proposed) {
        leader->group->Propose("y", [](const Result&, const std::string&) {});
      }
      const Time next = cluster.now;
      cluster.RunUntil([&] { return cluster.now > next; });
    }
    CHECK(proposed >= LogWriter::kMaxQueued / 2);
    CHECK(cluster.RunUntil([&] { return leadership_moved(); }));
    leader->files.Stall(false);
  }
  // Guards against an isolated leader that serves a stale state because it
  // answers from memory without confirming its leadership.
  SECTION("a leader without a quorum refuses reads") {
    Cluster::Node* leader = cluster.Leader();
    leader->cut = true;
    bool answered = false;
    bool ok = true;
    leader->group->Read([&](bool confirmed) {
      answered = true;
      ok = confirmed;
    });
    REQUIRE(cluster.RunUntil([&] { return answered; }));
    CHECK_FALSE(ok);
  }
  // Guards against a wiped VM that never votes again: the log is longer than
  // one message, and the part that the learner gets first contains no member
  // list, since the initial list is not in the log. Without a list it would not
  // know where to send its acknowledgement.
  SECTION("a learner acknowledges entries before it has a member list") {
    constexpr std::size_t kCommandBytes = 200000;
    for (int i = 0; i < 12; ++i) {
      cluster.Leader()->group->Propose(
          std::string(kCommandBytes, 'y'),
          [](const Result&, const std::string&) {});
    }
    const std::string leader_address = cluster.Leader()->group->LeaderAddress();
    const std::string wiped = leader_address == "b:1" ? "c:1" : "b:1";
    cluster.Start(99, wiped, {});
    const std::vector<Candidate> candidates = {{99, wiped, "z", false}};
    CHECK(cluster.RunUntil([&] {
      Cluster::Node* leader = cluster.Leader();
      if (leader != nullptr) {
        leader->group->RepairMembership(candidates, {}, {3, 0});
        return leader->group->members().IsVoter(99);
      }
      return false;
    }));
  }
  // Guards against a second loss that stops the group: a follower loses its
  // disk and is back under a new identity at its old address, but the vote
  // stays with the lost disk.
  SECTION("a wiped follower votes again under its new identity") {
    const std::string leader_address = cluster.Leader()->group->LeaderAddress();
    const std::string wiped = leader_address == "b:1" ? "c:1" : "b:1";
    cluster.Start(99, wiped, {});
    const std::vector<Candidate> candidates = {{99, wiped, "z", false}};
    CHECK(cluster.RunUntil([&] {
      Cluster::Node* leader = cluster.Leader();
      if (leader != nullptr) {
        leader->group->RepairMembership(candidates, {}, {3, 0});
        return leader->group->members().IsVoter(99) &&
               leader->group->members().members.size() == 3;
      }
      return false;
    }));
    CHECK(
        cluster.RunUntil([&] { return cluster.nodes[wiped]->applied == "x"; }));
  }
}

// Guards against a member that ends at each start, as it made a state durable
// that it cannot load.
TEST_CASE("a member that cannot use a state stays as it was and asks again") {
  constexpr std::size_t kCommandBytes = 1000;
  constexpr int kCommands = 20;
  Cluster cluster;
  cluster.limits.snapshot_after_bytes = kCommandBytes;
  for (const consensus::Member& member : Three().members) {
    cluster.Start(member.id, member.address, Three());
  }
  REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  Cluster::Node& leader = *cluster.Leader();
  Cluster::Node& lagging =
      *cluster.nodes.at(leader.group->LeaderAddress() == "b:1" ? "c:1" : "b:1");
  lagging.cut = true;
  lagging.states_to_refuse = 2;
  for (int i = 1; i <= kCommands; ++i) {
    leader.group->Propose(std::string(kCommandBytes, 'y'),
                          [](const Result&, const std::string&) {});
    REQUIRE(cluster.RunUntil(
        [&] { return leader.applied.size() == i * kCommandBytes; }));
  }
  lagging.cut = false;
  REQUIRE(cluster.RunUntil([&] { return lagging.states_to_refuse == 1; }));
  CHECK(lagging.applied.empty());
  const Time refused = cluster.now;
  REQUIRE(cluster.RunUntil([&] { return lagging.applied == leader.applied; }));
  CHECK(lagging.snapshot_at_import == 0);
  CHECK(cluster.now - refused >=
        2 * ReplicatedGroup::kRefetchDelay - std::chrono::milliseconds(20));
}

// Guards against a store whose disk is taken away although its group needs its
// vote: a leader that cannot commit its removal told that it is no member.
TEST_CASE("members are those of the last committed list") {
  Cluster cluster;
  for (const consensus::Member& member : Three().members) {
    cluster.Start(member.id, member.address, Three());
  }
  REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  Cluster::Node* leader = cluster.Leader();
  const std::string leader_address = leader->group->LeaderAddress();
  const std::string leaving = leader_address == "b:1" ? "c:1" : "b:1";
  const consensus::MemberId id = leaving == "b:1" ? 2 : 3;
  const std::vector<std::string> leaving_addresses = {leaving};
  for (auto& [address, node] : cluster.nodes) {
    node->cut = address != leader_address;
  }
  leader->group->RepairMembership({}, leaving_addresses, {2, 0});
  CHECK(leader->group->members().Find(id) == nullptr);
  CHECK(leader->group->CommittedMembers().Find(id) != nullptr);
  SECTION("once a quorum has the new list") {
    for (auto& [address, node] : cluster.nodes) {
      node->cut = false;
    }
    CHECK(cluster.RunUntil([&] {
      Cluster::Node* now = cluster.Leader();
      return now != nullptr &&
             now->group->CommittedMembers().Find(id) == nullptr;
    }));
  }
}

// Guards against a member that spends all its time on snapshots, because each
// saves the whole state even if the log has grown little since the last.
TEST_CASE("snapshots of a growing state cost in proportion to its commands") {
  constexpr std::size_t kCommandBytes = 1000;
  constexpr int kCommands = 200;
  Cluster cluster;
  cluster.limits.snapshot_after_bytes = kCommandBytes;
  cluster.Start(1, "a:1", {{{1, "a:1", true}}});
  REQUIRE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; }));
  Cluster::Node& member = *cluster.Leader();
  for (int i = 1; i <= kCommands; ++i) {
    member.group->Propose(std::string(kCommandBytes, 'y'),
                          [](const Result&, const std::string&) {});
    REQUIRE(cluster.RunUntil(
        [&] { return member.applied.size() == i * kCommandBytes; }));
  }
  CHECK(member.saved_bytes > 0);
  CHECK(member.saved_bytes < 3 * member.applied.size());
}

}  // namespace papayarack::replication
