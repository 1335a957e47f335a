#include <catch2/catch.hpp>
#include <deque>
#include <utility>

#include "consensus/tests/raftcluster.h"
#include "global/transfertime.h"

namespace papayarack::consensus {
namespace {

void CutOff(RaftCluster& cluster, MemberId id) {
  for (const auto& [other, node] : cluster.nodes) {
    cluster.cuts.insert({id, other});
    cluster.cuts.insert({other, id});
  }
}

/// A cluster in which the answers of one follower reach the leader late, in
/// their order, and which counts what the leader sends to that follower.
class SlowFollower {
 public:
  SlowFollower(RaftCluster& cluster, MemberId leader, MemberId follower,
               Duration delay)
      : cluster(cluster), leader(leader), follower(follower), delay(delay) {}

  void Run(Duration time) {
    const Time until = this->cluster.now + time;
    while (this->cluster.now < until) {
      this->cluster.TickAll(20 * kMillisecond);
      for (int burst = 0; burst < 5; ++burst) {
        for (const auto& [id, node] : this->cluster.nodes) {
          this->cluster.Pump(id);
          this->cluster.Sync(id);
          this->cluster.Pump(id);
        }
        this->MoveAll();
      }
    }
  }

  std::size_t bytes_sent = 0;  ///< Payloads of entries, repeated ones too.

 private:
  void MoveAll() {
    std::vector<RaftMessage> moving = std::exchange(this->cluster.network, {});
    while (!this->late.empty() &&
           this->late.front().first <= this->cluster.now) {
      this->cluster.network.push_back(std::move(this->late.front().second));
      this->late.pop_front();
    }
    for (RaftMessage& message : moving) {
      this->Count(message);
      if (message.from == this->follower && message.to == this->leader) {
        this->late.emplace_back(this->cluster.now + this->delay,
                                std::move(message));
      } else {
        this->cluster.network.push_back(std::move(message));
      }
    }
    const std::size_t count = this->cluster.network.size();
    for (std::size_t i = 0; i < count; ++i) {
      this->cluster.Deliver(0);
    }
  }

  void Count(const RaftMessage& message) {
    const auto* append = std::get_if<AppendRequest>(&message.body);
    if (append == nullptr || message.to != this->follower) {
      return;
    }
    for (const Entry& entry : append->entries) {
      this->bytes_sent += entry.payload.size();
    }
  }

  RaftCluster& cluster;
  MemberId leader;
  MemberId follower;
  Duration delay;
  std::deque<std::pair<Time, RaftMessage>> late;
};

}  // namespace

TEST_CASE("three members elect a leader and commit") {
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  REQUIRE(leader != 0);
  REQUIRE(cluster.Propose(leader, "a"));
  cluster.RunCalm(20);
  CHECK(cluster.acknowledged.count("a") == 1);
  for (auto& [id, node] : cluster.nodes) {
    CHECK(node.state == std::vector<std::string>{"a"});
  }

  SECTION("nothing is acknowledged that only the leader holds") {
    CutOff(cluster, leader);
    cluster.Propose(leader, "alone");
    cluster.RunCalm(10);
    CHECK(cluster.acknowledged.count("alone") == 0);
  }
  // Symptom: a cut-off leader serves stale reads and issues orders for hours.
  // Sequence: the leader is isolated; the others go on. Cause: nobody tells it.
  SECTION(
      "an isolated leader steps down within two election timeouts and confirms "
      "no read") {
    CutOff(cluster, leader);
    cluster.nodes.at(leader).core->RequestRead(9, cluster.now);
    cluster.RunCalm(65);
    CHECK(cluster.nodes.at(leader).core->role() != RaftRole::kLeader);
    CHECK(cluster.nodes.at(leader).reads_ready.empty());
    const MemberId next = cluster.Leader();
    REQUIRE(next != 0);
    CHECK(next != leader);
    CHECK(cluster.Propose(next, "b"));
    SECTION("and takes over what the others committed when it is back") {
      cluster.cuts.clear();
      cluster.RunCalm(60);
      CHECK(cluster.nodes.at(leader).state ==
            std::vector<std::string>{"a", "b"});
      CHECK(cluster.Leader() == next);
    }
  }
  // Symptom: a healthy leader is deposed whenever a member comes back.
  // Sequence: a follower is cut off for long and returns. Cause: it raised its
  // term alone; pre-vote keeps it from doing so.
  SECTION("a follower that was cut off does not disturb the leader") {
    const MemberId follower = leader == 1 ? 2 : 1;
    const Term term = cluster.nodes.at(leader).core->term();
    CutOff(cluster, follower);
    cluster.RunCalm(200);
    cluster.cuts.clear();
    cluster.RunCalm(50);
    CHECK(cluster.Leader() == leader);
    CHECK(cluster.nodes.at(leader).core->term() == term);
  }
  SECTION("a read is confirmed by a quorum") {
    cluster.nodes.at(leader).core->RequestRead(5, cluster.now);
    cluster.RunCalm(5);
    CHECK(cluster.nodes.at(leader).reads_ready.count(5) == 1);
  }
  SECTION("leadership is handed over on a graceful stop") {
    cluster.nodes.at(leader).core->TransferLeadership(cluster.now);
    cluster.Pump(leader);
    cluster.RunCalm(5);
    CHECK(cluster.Leader() != leader);
    CHECK(cluster.Leader() != 0);
  }
  // Symptom: a member hundreds of entries behind never catches up. Sequence: it
  // is down while entries are committed and compacted. Cause: the leader no
  // longer has what it lacks.
  SECTION("a member far behind takes the snapshot") {
    const MemberId follower = leader == 1 ? 2 : 1;
    cluster.Crash(follower, 0);
    for (int i = 0; i < 300; ++i) {
      cluster.Propose(leader, "n" + std::to_string(i));
      cluster.RunCalm(1);
    }
    cluster.TakeSnapshot(leader);
    cluster.Start(follower);
    cluster.RunCalm(100);
    CHECK(cluster.nodes.at(follower).state.size() == 301);
    CHECK(cluster.nodes.at(follower).core->log().snapshot().index > 200);
  }
}

// Symptom: an acknowledged command vanishes. Sequence: a member commits entries
// with the leader, restarts and so forgets how far is committed; the new leader
// offers it a snapshot that ends before those entries; it takes it and clears
// its log; then the other holder is lost. Cause: a snapshot that the log
// already covers replaced the log. Found by fuzzing.
TEST_CASE(
    "a restarted member keeps its log when it is offered a snapshot that the "
    "log covers") {
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  const MemberId follower = leader == 1 ? 2 : 1;
  REQUIRE(cluster.Propose(leader, "a"));
  cluster.RunCalm(20);
  const SnapshotMeta old = {cluster.nodes.at(leader).applied,
                            cluster.nodes.at(leader).applied_term,
                            cluster.nodes.at(leader).core->members(), 0, 0};
  REQUIRE(cluster.Propose(leader, "b"));
  cluster.RunCalm(20);
  const Index last = cluster.nodes.at(follower).core->log().LastIndex();
  const Term term = cluster.nodes.at(follower).core->term();
  cluster.Crash(follower, 0);
  cluster.Start(follower);
  RaftCore& core = *cluster.nodes.at(follower).core;
  core.Step({0, leader, follower, term, SnapshotOffer{old}}, cluster.now);
  const RaftReady ready = core.TakeReady();
  CHECK_FALSE(ready.fetch_snapshot.has_value());
  CHECK(core.log().LastIndex() == last);
  CHECK(core.commit() == old.index);
}

// Symptom: a member stays behind for good. Sequence: it reached a later term in
// an election that nobody else saw; the leader, of an earlier term, has
// compacted what it lacks and only offers snapshots. Cause: it dropped those
// offers as stale without saying its term. Found by fuzzing.
TEST_CASE(
    "a snapshot offer of an earlier term is answered with the later term") {
  RaftOptions options;
  options.self = 2;
  SnapshotMeta first;
  first.members.members = {{1, "m1", true}, {2, "m2", true}, {3, "m3", true}};
  RaftCore core(options, {6, 0}, first, {}, Time{});
  SnapshotMeta later = first;
  later.index = 9;
  later.term = 5;
  core.Step({0, 1, 2, 5, SnapshotOffer{later}}, Time{});
  const RaftReady ready = core.TakeReady();
  CHECK_FALSE(ready.fetch_snapshot.has_value());
  REQUIRE(ready.after_sync.size() == 1);
  CHECK(ready.after_sync.front().term == 6);
}

// Symptom: two leaders in one term. Sequence: a member votes, loses power,
// comes back and votes for another candidate of the same term. Cause: it forgot
// its vote, which left before it was on disk. The random histories alone did
// not find this bug when it was planted.
// Guards against a leader whose disk answers late or not at all: nothing was
// acknowledged or read any more, though the other members had all of it synced.
TEST_CASE("what a majority has synced does not wait for the leader's disk") {
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  REQUIRE(leader != 0);
  const auto run_with_its_disk_stalled = [&](int rounds) {
    for (int round = 0; round < rounds; ++round) {
      cluster.TickAll(20 * kMillisecond);
      for (auto& [id, node] : cluster.nodes) {
        if (id != leader) {
          cluster.Sync(id);
        }
        cluster.Pump(id);
      }
      for (std::size_t count = cluster.network.size(); count > 0; --count) {
        cluster.Deliver(0);
      }
    }
  };
  REQUIRE(cluster.Propose(leader, "a"));
  run_with_its_disk_stalled(20);
  CHECK(cluster.acknowledged.count("a") == 1);
  CHECK(cluster.Leader() == leader);
  SECTION("and can be read") {
    cluster.nodes.at(leader).core->RequestRead(9, cluster.now);
    run_with_its_disk_stalled(20);
    CHECK(cluster.nodes.at(leader).reads_ready.count(9) == 1);
  }
  SECTION("and is there when the leader loses power before its disk goes on") {
    cluster.Crash(leader, 0);
    cluster.RunCalm(100);
    REQUIRE(cluster.Leader() != 0);
    CHECK(cluster.nodes.at(cluster.Leader()).state ==
          std::vector<std::string>{"a"});
    cluster.Start(leader);
    cluster.RunCalm(100);
    CHECK(cluster.nodes.at(leader).state == std::vector<std::string>{"a"});
  }
  SECTION("but one of the others has to have it") {
    CutOff(cluster, leader);
    REQUIRE(cluster.Propose(leader, "b"));
    run_with_its_disk_stalled(10);
    CHECK(cluster.acknowledged.count("b") == 0);
  }
}

TEST_CASE("a vote survives the loss of power") {
  RaftOptions options;
  options.self = 2;
  SnapshotMeta first;
  first.members.members = {{1, "m1", true}, {2, "m2", true}, {3, "m3", true}};
  RaftCore before(options, {}, first, {}, Time{});
  before.Step({0, 1, 2, 5, VoteRequest{false, false, 0, 0}}, Time{});
  const RaftReady ready = before.TakeReady();
  REQUIRE(ready.after_sync.size() == 1);
  REQUIRE(std::get<VoteResponse>(ready.after_sync.front().body).granted);
  REQUIRE(ready.hard_state.has_value());
  RaftCore after(options, *ready.hard_state, first, {}, Time{});
  after.Step({0, 3, 2, 5, VoteRequest{false, false, 0, 0}}, Time{});
  const RaftReady again = after.TakeReady();
  REQUIRE(again.after_sync.size() == 1);
  CHECK_FALSE(std::get<VoteResponse>(again.after_sync.front().body).granted);
}

// Symptom: a committed entry is replaced. Sequence: a new leader finds an entry
// of an older term on a majority, calls it committed and dies; another member
// with a later entry of another term is elected and overwrites it. Cause: a
// majority that holds an older term's entry is no promise (Raft, figure 8).
TEST_CASE("an entry of an older term is not committed by counting copies") {
  RaftOptions options;
  options.self = 1;
  SnapshotMeta first;
  first.members.members = {{1, "m1", true}, {2, "m2", true}, {3, "m3", true}};
  Entry old;
  old.term = 1;
  old.index = 1;
  old.kind = static_cast<std::uint8_t>(EntryKind::kCommand);
  RaftCore core(options, {2, 0}, first, {old}, Time{});
  const Time late = Time{} + 2 * options.election + kMillisecond;
  core.Tick(late);
  core.Step({0, 2, 1, 3, VoteResponse{true, true}}, late);
  core.Step({0, 2, 1, 3, VoteResponse{false, true}}, late);
  REQUIRE(core.role() == RaftRole::kLeader);
  REQUIRE(core.term() == 3);
  core.Step({0, 2, 1, 3, AppendResponse{true, 1, 0}}, late);
  CHECK(core.commit() == 0);
  const RaftReady ready = core.TakeReady();
  core.Persisted(ready.batch);
  core.Step({0, 2, 1, 3, AppendResponse{true, 2, 0}}, late);
  CHECK(core.commit() == 2);
}

// Symptom: a leader's link stays full for half a minute after one large
// configuration, and everything else that it sends comes late. Sequence: an
// entry of 400 KB needs longer than two heartbeats to reach a follower; it is
// sent again, whole, every two heartbeats, which fills the link further. Cause:
// the pace of resends did not slow down while nothing was acknowledged.
TEST_CASE("an entry whose acknowledgement is late is sent a few times only") {
  constexpr std::size_t kEntryBytes = 400'000;
  constexpr std::size_t kMostSends = 5;
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  REQUIRE(leader != 0);
  const MemberId follower = leader == 1 ? 2 : 1;
  const Index before = cluster.nodes.at(follower).core->log().LastIndex();
  SlowFollower slow(cluster, leader, follower, 3000 * kMillisecond);
  REQUIRE(cluster.Propose(leader, std::string(kEntryBytes, 'c')));

  SECTION("while it waits for the acknowledgement, and none after it") {
    slow.Run(3500 * kMillisecond);
    INFO("bytes sent " << slow.bytes_sent);
    CHECK(slow.bytes_sent >= kEntryBytes);
    CHECK(slow.bytes_sent <= kMostSends * kEntryBytes);
    CHECK(cluster.nodes.at(leader).core->MatchOf(follower) == before + 1);
    const std::size_t sent = slow.bytes_sent;
    slow.Run(5000 * kMillisecond);
    CHECK(slow.bytes_sent == sent);
    CHECK(cluster.Leader() == leader);
  }
}

// After each large configuration the leader's link carried nearly twice what
// its followers needed, 16 MB for two texts of 0.9 MB and five followers, and a
// change sent next was acknowledged after 1.5 s. An entry of 0.9 MB needs 0.35
// s through a link of 12 MB/s that five followers share, and was taken for lost
// after two heartbeats whatever its size.
TEST_CASE("an entry is sent again once it has had time to arrive") {
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  REQUIRE(leader != 0);
  const MemberId follower = leader == 1 ? 2 : 1;
  SlowFollower slow(cluster, leader, follower, 3000 * kMillisecond);

  SECTION("a small one after two heartbeats") {
    constexpr std::size_t kSmallBytes = 1000;
    REQUIRE(cluster.Propose(leader, std::string(kSmallBytes, 'c')));
    slow.Run(180 * kMillisecond);
    CHECK(slow.bytes_sent == kSmallBytes);
    slow.Run(140 * kMillisecond);
    CHECK(slow.bytes_sent == 2 * kSmallBytes);
  }
  SECTION("a large one after two heartbeats and a millisecond for each KB") {
    constexpr std::size_t kLargeBytes = 800'000;
    REQUIRE(cluster.Propose(leader, std::string(kLargeBytes, 'c')));
    slow.Run(980 * kMillisecond);
    CHECK(slow.bytes_sent == kLargeBytes);
    slow.Run(140 * kMillisecond);
    CHECK(slow.bytes_sent == 2 * kLargeBytes);
  }
}

// Symptom: a follower that was out of reach for a while holds up a commit, or a
// handover, for seconds after it is back. Sequence: what the leader sent is
// lost with the connection, several times; the pauses between resends have
// grown; the connection returns. Cause: the pause belongs to a connection that
// is gone.
TEST_CASE("a follower that was out of reach gets what it lacks at once") {
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  REQUIRE(leader != 0);
  const MemberId follower = leader == 1 ? 2 : 1;
  CutOff(cluster, follower);
  REQUIRE(cluster.Propose(leader, "a"));
  // Out of reach for 2, 2.6 and 4 s, at different points of the pauses.
  const int rounds = GENERATE(100, 130, 200);
  cluster.RunCalm(rounds);
  cluster.cuts.clear();
  cluster.RunCalm(20);
  CHECK(cluster.nodes.at(follower).state == std::vector<std::string>{"a"});
  CHECK(cluster.Leader() == leader);
}

// Symptom: after an election the new leader's link is full. Sequence: it begins
// its term by sending each follower its log from the start, up to 1 MB,
// although they hold it. Cause: a fresh follower counted as silent since the
// epoch, so its first entry was taken for lost before it was sent.
TEST_CASE(
    "a new leader sends its first entry alone and doubts it after two "
    "heartbeats") {
  RaftOptions options;
  options.self = 1;
  SnapshotMeta first;
  first.members.members = {{1, "m1", true}, {2, "m2", true}, {3, "m3", true}};
  Entry old;
  old.term = 1;
  old.index = 1;
  old.kind = static_cast<std::uint8_t>(EntryKind::kCommand);
  old.payload = std::string(1000, 'c');
  RaftCore core(options, {2, 0}, first, {old}, Time{});
  const Time late = Time{} + 2 * options.election + kMillisecond;
  core.Tick(late);
  core.Step({0, 2, 1, 3, VoteResponse{true, true}}, late);
  core.Step({0, 2, 1, 3, VoteResponse{false, true}}, late);
  REQUIRE(core.role() == RaftRole::kLeader);
  const auto old_entries_sent = [&core] {
    std::size_t sent = 0;
    for (const RaftMessage& message : core.TakeReady().before_sync) {
      const auto* append = std::get_if<AppendRequest>(&message.body);
      sent += append == nullptr
                  ? 0
                  : std::ranges::count(append->entries, 1U, &Entry::index);
    }
    return sent;
  };
  CHECK(old_entries_sent() == 0);
  core.Tick(late + options.heartbeat);
  CHECK(old_entries_sent() == 0);
  // To both followers: perhaps the first entry was lost.
  core.Tick(late + 2 * options.heartbeat);
  CHECK(old_entries_sent() == 2);
}

// Symptom: one lost append makes a leader send megabytes. Sequence: 16 appends
// of a large entry each are under way; the first is lost with its stream, and
// the follower refuses the 15 behind it. Cause: each refusal started another
// send of the same entries, though the first had already.
TEST_CASE("many refusals of one gap are answered by one append") {
  constexpr std::size_t kEntryBytes = 400'000;
  constexpr int kAppends = 16;
  RaftOptions options;
  options.self = 1;
  options.max_inflight_bytes = kAppends * kEntryBytes;
  SnapshotMeta first;
  first.members.members = {{1, "m1", true}, {2, "m2", true}, {3, "m3", true}};
  RaftCore core(options, {2, 0}, first, {}, Time{});
  const Time late = Time{} + 2 * options.election + kMillisecond;
  core.Tick(late);
  core.Step({0, 2, 1, 3, VoteResponse{true, true}}, late);
  core.Step({0, 2, 1, 3, VoteResponse{false, true}}, late);
  REQUIRE(core.role() == RaftRole::kLeader);
  core.TakeReady();
  core.Step({0, 2, 1, 3, AppendResponse{true, 1, 0}}, late);
  std::vector<AppendRequest> sent;
  const auto take_sent = [&core, &sent] {
    sent.clear();
    for (const RaftMessage& message : core.TakeReady().before_sync) {
      const auto* append = std::get_if<AppendRequest>(&message.body);
      if (append != nullptr && message.to == 2) {
        sent.push_back(*append);
      }
    }
  };
  for (int i = 0; i < kAppends; ++i) {
    core.Propose(std::string(kEntryBytes, 'c'));
  }
  take_sent();
  REQUIRE(sent.size() == kAppends);
  // It has the first entry of the term only.
  for (int i = 1; i < kAppends; ++i) {
    core.Step({0, 2, 1, 3, AppendResponse{false, 1, 0}}, late);
  }
  take_sent();
  REQUIRE(sent.size() == 1);
  CHECK(sent.front().prev_index == 1);

  SECTION("and it is sent again when it was lost too") {
    const Time again = late + 2 * options.heartbeat +
                       TransferTime(sent.front().entries.size() * kEntryBytes);
    std::size_t entries_sent = 0;
    Time now = late;
    while (now + options.heartbeat < again) {
      now += options.heartbeat;
      core.Tick(now);
      core.Step({0, 2, 1, 3, AppendResponse{true, 1, 0}}, now);
      take_sent();
      entries_sent += sent.empty() ? 0 : sent.back().entries.size();
    }
    CHECK(entries_sent == 0);
    core.Tick(now + options.heartbeat);
    take_sent();
    REQUIRE(!sent.empty());
    CHECK_FALSE(sent.back().entries.empty());
  }
}

// Symptom: a follower that is slow makes the leader hold tens of megabytes and
// keeps its link full for seconds; heartbeats to the others wait behind them.
// Sequence: large entries are proposed while acknowledgements are late; 16
// appends of up to 1 MB each leave for every follower. Cause: appends under way
// were bounded by their number and not by their bytes.
TEST_CASE("bytes on the way to one follower are bounded") {
  constexpr std::size_t kEntryBytes = 400'000;
  constexpr std::size_t kProposals = 20;
  RaftOptions options;
  options.self = 1;
  SnapshotMeta first;
  first.members.members = {{1, "m1", true}, {2, "m2", true}, {3, "m3", true}};
  std::size_t entry_bytes = kEntryBytes;
  SECTION("where entries are large") {}
  SECTION("where one is larger than the bound: it goes alone") {
    entry_bytes = options.max_inflight_bytes + 1;
  }
  SECTION("where one is as large as the bound") {
    entry_bytes = options.max_inflight_bytes;
  }
  const std::size_t bound = std::max(options.max_inflight_bytes, entry_bytes);
  RaftCore core(options, {2, 0}, first, {}, Time{});
  const Time late = Time{} + 2 * options.election + kMillisecond;
  core.Tick(late);
  core.Step({0, 2, 1, 3, VoteResponse{true, true}}, late);
  core.Step({0, 2, 1, 3, VoteResponse{false, true}}, late);
  REQUIRE(core.role() == RaftRole::kLeader);
  core.TakeReady();
  core.Step({0, 2, 1, 3, AppendResponse{true, 1, 0}}, late);
  std::deque<AppendRequest> under_way;
  std::size_t bytes_under_way = 0;
  const auto bytes_of = [](const AppendRequest& append) {
    std::size_t bytes = 0;
    for (const Entry& entry : append.entries) {
      bytes += entry.payload.size();
    }
    return bytes;
  };
  const auto take_sent = [&] {
    for (const RaftMessage& message : core.TakeReady().before_sync) {
      const auto* append = std::get_if<AppendRequest>(&message.body);
      if (append != nullptr && message.to == 2 && !append->entries.empty()) {
        under_way.push_back(*append);
        bytes_under_way += bytes_of(*append);
      }
    }
  };
  for (std::size_t i = 0; i < kProposals; ++i) {
    core.Propose(std::string(entry_bytes, 'c'));
    take_sent();
  }
  CHECK(bytes_under_way <= bound);
  CHECK(bytes_under_way + entry_bytes > options.max_inflight_bytes);
  // Heartbeats add nothing while the wait for an acknowledgement is not over.
  core.Tick(late + options.heartbeat);
  take_sent();
  CHECK(bytes_under_way <= bound);

  // With each acknowledgement the next ones leave, at once.
  Index acknowledged = 1;
  std::size_t least = SIZE_MAX;
  while (!under_way.empty()) {
    const AppendRequest append = std::move(under_way.front());
    under_way.pop_front();
    bytes_under_way -= bytes_of(append);
    acknowledged = append.prev_index + append.entries.size();
    core.Step({0, 2, 1, 3, AppendResponse{true, acknowledged, 0}},
              late + options.heartbeat);
    take_sent();
    CHECK(bytes_under_way <= bound);
    const bool more_to_send =
        !under_way.empty() &&
        under_way.back().prev_index + under_way.back().entries.size() <
            core.log().LastIndex();
    least = more_to_send ? std::min(least, bytes_under_way) : least;
  }
  CHECK(acknowledged == core.log().LastIndex());
  CHECK(least + entry_bytes > options.max_inflight_bytes);
}

TEST_CASE("members change one at a time") {
  RaftCluster cluster(3);
  cluster.RunCalm(100);
  const MemberId leader = cluster.Leader();
  RaftCore& core = *cluster.nodes.at(leader).core;
  MemberList list = core.members();
  list.members.push_back({4, "m4", false});

  SECTION("a learner must catch up, synced, before it votes") {
    core.ProposeMembers(list);
    cluster.Pump(leader);
    cluster.RunCalm(10);
    list.members.back().voter = true;
    CHECK_THROWS_AS(core.ProposeMembers(list), ResultError);
    cluster.AddNode(4, {});
    cluster.RunCalm(50);
    core.ProposeMembers(list);
    cluster.Pump(leader);
    cluster.RunCalm(10);
    CHECK(cluster.nodes.at(4).core->members().IsVoter(4));
    SECTION("then an old one may go, also when it leads") {
      std::erase_if(list.members, [leader](const Member& member) {
        return member.id == leader;
      });
      core.ProposeMembers(list);
      cluster.Pump(leader);
      cluster.RunCalm(100);
      const MemberId next = cluster.Leader();
      CHECK(next != 0);
      CHECK(next != leader);
      CHECK(cluster.Propose(next, "after"));
      cluster.RunCalm(10);
      CHECK(cluster.acknowledged.count("after") == 1);
    }
  }
  SECTION("two changes at once are refused") {
    list.members.push_back({5, "m5", false});
    CHECK_THROWS_AS(core.ProposeMembers(list), ResultError);
  }
  SECTION("a second change waits for the first") {
    core.ProposeMembers(list);
    list.members.push_back({5, "m5", false});
    CHECK_THROWS_AS(core.ProposeMembers(list), ResultError);
  }
}

TEST_CASE("a data folder") {
  storage::MemoryFileSystem files;
  CHECK_FALSE(ReadIdentity(files).has_value());
  FormatFolder(files, {3, "kivu"}, {}, 1);
  CHECK(ReadIdentity(files)->member == 3);
  // Symptom: acknowledged entries vanish after a disk was replaced. Sequence:
  // the new, empty disk gets the old name and votes. Cause: it promises for
  // entries that it no longer has.
  SECTION("keeps its identity: it cannot be formatted again") {
    CHECK_THROWS_AS(FormatFolder(files, {3, "kivu"}, {}, 1), ResultError);
  }
}

}  // namespace papayarack::consensus
