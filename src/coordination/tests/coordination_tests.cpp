#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "coordination/configurationchange.h"
#include "coordination/coordinationstate.h"
#include "coordination/coordinator.h"
#include "coordination/fleetwatch.h"
#include "coordination/founders.h"
#include "coordination/groupenvironment.h"
#include "coordination/nodetable.h"
#include "global/variantcodec.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::coordination {
namespace {

std::string Submit(std::uint64_t version, const std::string& text) {
  return EncodeVariant(CoordinationCommand(SubmitConfiguration{version, text}));
}

NodeReport Gate(const std::string& name) {
  NodeReport report;
  report.name = name;
  report.role = static_cast<std::uint8_t>(NodeRole::kGate);
  return report;
}

Time At(int milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("the highest configuration version is in force") {
  CoordinationState state;
  state.Apply(Submit(7, "seven"));
  SECTION("a late older version changes nothing") {
    state.Apply(Submit(5, "five"));
    CHECK(state.text() == "seven");
  }
  SECTION("other content under the same version changes nothing") {
    state.Apply(Submit(7, "other"));
    CHECK(state.text() == "seven");
  }
  SECTION("a higher version replaces it and is in the snapshot") {
    state.Apply(Submit(9, "nine"));
    CoordinationState restored;
    restored.Load(state.Save());
    CHECK(restored.version() == 9);
    CHECK(restored.text() == "nine");
  }
}

// Guards against members that apply a text which nobody submitted: a change
// must reproduce exactly the submitted text.
TEST_CASE("a change reproduces the submitted text") {
  const auto text = [](std::size_t lines, std::size_t from) {
    std::string made;
    for (std::size_t i = from; i < from + lines; ++i) {
      made +=
          std::to_string(i * i * 7919) + " route " + std::to_string(i) + "\n";
    }
    return made;
  };
  const std::string before = text(4000, 0);
  CoordinationState state;
  state.Apply(Submit(1, before));
  const auto apply_change = [&state](std::uint64_t version,
                                     const std::string& to) {
    const auto change = ChangeBetween(state.text(), {version, to});
    REQUIRE(change.has_value());
    state.Apply(EncodeVariant(CoordinationCommand(*change)));
    CHECK(state.version() == version);
    CHECK(state.text() == to);
  };
  SECTION("after insertions, removals and a repetition") {
    apply_change(2, before + "one more\n");
    apply_change(3, "first\n" + before);
    apply_change(5, before.substr(before.size() / 3));
    apply_change(6, state.text() + state.text());
  }
  SECTION("a change made for another text changes nothing") {
    const auto change = ChangeBetween(before, {9, before + "nine\n"});
    state.Apply(Submit(2, text(4000, 9000)));
    state.Apply(EncodeVariant(CoordinationCommand(*change)));
    CHECK(state.version() == 2);
    CHECK(state.text() == text(4000, 9000));
  }
  SECTION("a late change changes nothing") {
    const auto change = ChangeBetween(before, {2, before + "two\n"});
    state.Apply(Submit(3, before));
    state.Apply(EncodeVariant(CoordinationCommand(*change)));
    CHECK(state.version() == 3);
    CHECK(state.text() == before);
  }
  SECTION("an unrelated text or one within a chunk is sent in full") {
    CHECK_FALSE(ChangeBetween(before, {2, before.substr(0, 100)}).has_value());
    CHECK_FALSE(ChangeBetween(before, {2, text(4000, 9000)}).has_value());
    CHECK_FALSE(ChangeBetween("", {2, before}).has_value());
  }
}

// Guards against two job groups that both accept batches. A leader proposes
// founders and loses the lead before it learns of the commit; the next leader
// proposes others.
TEST_CASE("the job group is founded once") {
  CoordinationState state;
  const auto found = [](consensus::MemberId id) {
    return EncodeVariant(CoordinationCommand(
        FoundJobGroup{consensus::MemberList{{{id, "a:1", true}}}}));
  };
  state.Apply(found(1));
  state.Apply(found(2));
  CHECK(state.job_founders().Find(1) != nullptr);
  CHECK(state.job_founders().Find(2) == nullptr);
}

// Guards against a fleet that refuses every batch. It has three stores but
// should tolerate two losses, and the leader waits for five stores without a
// bound.
TEST_CASE("the job group is founded by the available stores") {
  const auto store = [](const std::string& name, const std::string& zone) {
    NodeReport report;
    report.name = name;
    report.role = static_cast<std::uint8_t>(NodeRole::kStore);
    report.zone = zone;
    report.address = name + ":1";
    report.member = static_cast<unsigned char>(name.back());
    return report;
  };
  const std::vector<NodeReport> stores = {store("s1", "a"), store("s2", "a"),
                                          store("s3", "b")};
  SECTION("as many as wanted, from different zones") {
    const auto founders = ChooseFounders(stores, 2, false);
    REQUIRE(founders->members.size() == 2);
    CHECK(founders->members[0].address == "s1:1");
    CHECK(founders->members[1].address == "s3:1");
  }
  SECTION("by fewer only after a wait") {
    CHECK_FALSE(ChooseFounders(stores, 5, false).has_value());
    CHECK(ChooseFounders(stores, 5, true)->members.size() == 3);
    CHECK_FALSE(ChooseFounders({}, 5, true).has_value());
  }
}

// Guards against the loss of the configuration after two restarts of all
// processes. After the first one, the settings name seeds without a disk, which
// report to the new leader first and get a vote; after the second, half of the
// voters have lost the log. The leader must not conclude from missing reports
// that no entry has a disk.
TEST_CASE("entries without a disk do not join a leader that has one") {
  const auto entry = [](const std::string& name, bool durable) {
    NodeReport report;
    report.name = name;
    report.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    report.address = name + ":1";
    report.member = static_cast<unsigned char>(name.back());
    report.durable = durable;
    return report;
  };
  const std::vector<NodeReport> first = {entry("e1", false),
                                         entry("e2", false)};
  CHECK(CoordinationCandidates(first, true).empty());
  CHECK(CoordinationCandidates(first, false).size() == 2);
  const std::vector<NodeReport> all = {entry("e1", false), entry("e3", true)};
  const auto candidates = CoordinationCandidates(all, false);
  REQUIRE(candidates.size() == 1);
  CHECK(candidates[0].address == "e3:1");
}

// Guards against an entry that uses an old configuration for 3 s after a
// network partition has healed. While no leader is known, the thirty gates are
// queried too, and the members must not have to wait for all of them.
TEST_CASE("members are tried alternately with other processes") {
  LeaderSearch search;
  search.SetSeeds({"s1:1", "s2:1", "s3:1"});
  CHECK(search.Next() == "s1:1");
  CHECK(search.Next() == "s2:1");
  CHECK(search.Next() == "s3:1");
  constexpr int kGates = 30;
  std::vector<std::string> gates;
  gates.reserve(kGates);
  for (int i = 0; i < kGates; ++i) {
    gates.push_back("g" + std::to_string(i) + ":1");
  }
  search.SetOthers(gates);
  std::set<std::string> seeds_asked;
  std::set<std::string> gates_asked;
  for (int i = 0; i < 60; ++i) {
    const std::string target = search.Next();
    (target.starts_with("s") ? seeds_asked : gates_asked).insert(target);
    if (i == 6) {
      CHECK(seeds_asked.size() == 3);
    }
  }
  CHECK(gates_asked.size() == kGates);
}

// All callers in a process search for the leader of one group, and share what
// each has found.
TEST_CASE("all callers in a process share the known leader") {
  LeaderSearch search;
  search.SetSeeds({"s1:1"});
  CHECK(search.NextForCall("") == "s1:1");
  search.SetMembers({"m1:1", "m2:1", "m3:1"});
  search.SetOthers({"g1:1", "g2:1"});

  SECTION("while no leader is known") {
    SECTION("calls try only members") {
      std::set<std::string> asked;
      for (int i = 0; i < 3; ++i) {
        asked.insert(search.NextForCall(""));
      }
      CHECK(asked == std::set<std::string>{"m1:1", "m2:1", "m3:1"});
    }
    SECTION("calls do not repeat the member that did not answer") {
      std::string last;
      for (int i = 0; i < 7; ++i) {
        const std::string next = search.NextForCall(last);
        CHECK(next != last);
        last = next;
      }
    }
    SECTION("a member's hint is used") {
      search.Refused("m1:1", "m2:1");
      CHECK(search.leader() == "m2:1");
    }
    SECTION("a hint to the refusing member itself is ignored") {
      search.Refused("m1:1", "m1:1");
      CHECK(search.leader().empty());
    }
  }
  SECTION("once the leader has answered") {
    search.Found("m3:1");
    CHECK(search.Next() == "m3:1");
    CHECK(search.NextForCall("") == "m3:1");
    SECTION("a call that failed there goes to another member") {
      CHECK(search.NextForCall("m3:1") != "m3:1");
    }
    SECTION("another member's hint does not replace it") {
      search.Refused("m1:1", "m2:1");
      CHECK(search.leader() == "m3:1");
    }
    SECTION("its own hint does") {
      search.Refused("m3:1", "m2:1");
      CHECK(search.leader() == "m2:1");
    }
    SECTION("a failure of another member does not affect it") {
      search.Lost("m1:1");
      CHECK(search.leader() == "m3:1");
      search.Lost("m3:1");
      CHECK(search.leader().empty());
    }
  }
}

// Guards against an entry that reports ready but refuses all requests because
// it knows no replica. After a restart of all processes, a new leader replies
// before it has read the platform's list, and kEnginesNeverRead was taken for
// an age.
TEST_CASE("replicas are unknown until the leader has read the list") {
  asio::io_context context;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer owned(context, {"127.0.0.1", 0}, dispatch.For(server));
  server = &owned;
  std::uint32_t age_ms = kEnginesNeverRead;
  int answered = 0;
  dispatch.On("/coordination/watch",
              [&](transport::StreamId stream, const std::string&) {
                // The next reply waits for changes that do not come.
                if (++answered > 1) {
                  return;
                }
                WatchReply reply;
                reply.term = 1;
                reply.config_version = 7;
                reply.config = "seven";
                reply.engines_age_ms = age_ms;
                server->Send(stream, EncodeMessage(reply));
                server->Finish(stream);
              });
  transport::PeerClient peers(context);
  FleetWatch watch(context, peers, {},
                   {"127.0.0.1:" + std::to_string(owned.port())},
                   [](const FleetChange&) {});
  const auto learn = [&] {
    watch.Start();
    for (int i = 0; i < 400 && watch.knowledge().config_version == 0; ++i) {
      context.run_for(std::chrono::milliseconds(10));
      context.restart();
    }
    REQUIRE(watch.knowledge().config_version == 7);
  };
  SECTION("although the configuration is known") {
    learn();
    CHECK(watch.knowledge().engines_seen == Time{});
  }
  SECTION("a list that was read is known") {
    age_ms = 30;
    learn();
    CHECK(watch.knowledge().engines_seen != Time{});
  }
}

TEST_CASE("the node table tracks the processes that report") {
  NodeTable table;
  table.Clear(At(0));
  CHECK(table.Take(Gate("g1"), At(10)));
  CHECK_FALSE(table.Take(Gate("g1"), At(20)));
  CHECK(table.ChangesFor(NodeRole::kEntry, 0).set.size() == 1);
  // A store may own engines that have no gate.
  CHECK(table.ChangesFor(NodeRole::kStore, 0).set.size() == 1);
  CHECK(table.ChangesFor(NodeRole::kGate, 0).set.empty());
  SECTION("a silent process is dropped") {
    const auto revision = table.revision();
    table.DropSilent(At(6000));
    CHECK(table.Find("g1") == nullptr);
    CHECK(table.revision() > revision);
  }
  // Guards against an engine that is idle for seconds after its gate was lost
  // in a power failure. Other processes took over only when the gate was
  // dropped, and that is late so that a frozen member keeps its place in its
  // group.
  SECTION("a silent process owns no engines before it is dropped") {
    table.DropSilent(At(2100));
    CHECK_FALSE(table.Find("g1")->away);
    const auto revision = table.revision();
    table.DropSilent(At(2300));
    REQUIRE(table.Find("g1") != nullptr);
    CHECK(table.Find("g1")->away);
    CHECK(table.ChangedFor(NodeRole::kEntry, revision));
    CHECK(table.ChangedFor(NodeRole::kStore, revision));
    SECTION("and may own engines again once it reports") {
      CHECK(table.Take(Gate("g1"), At(2400)));
      CHECK_FALSE(table.Find("g1")->away);
    }
  }
  SECTION("entries see each other only if they may own engines") {
    NodeReport entry;
    entry.name = "e1";
    entry.role = static_cast<std::uint8_t>(NodeRole::kEntry);
    table.Take(entry, At(30));
    CHECK(table.Count(NodeRole::kEntry) == 1);
    CHECK(table.ChangesFor(NodeRole::kEntry, 0).set.size() == 2);
    CHECK(table.ChangesFor(NodeRole::kStore, 0).set.size() == 1);
    NodeReport store;
    store.name = "s1";
    store.role = static_cast<std::uint8_t>(NodeRole::kStore);
    const auto before = table.revision();
    table.Take(store, At(40));
    const auto changes = table.ChangesFor(NodeRole::kEntry, before);
    CHECK(changes.whole);
    REQUIRE(changes.set.size() == 2);
    CHECK(changes.set[0].name == "g1");
    CHECK(changes.set[1].name == "s1");
  }
  SECTION("becoming settled changes the revision") {
    table.Take(Gate("g1"), At(2400));
    const auto revision = table.revision();
    table.DropSilent(At(2400));
    CHECK(table.revision() == revision);
    table.DropSilent(At(2600));
    CHECK(table.revision() > revision);
  }
}

namespace {

constexpr std::size_t kStateBytes = 1U << 20U;

/// A member that serves its state, and its readers.
struct StateSource {
  StateSource() {
    this->Listen(0);
    consensus::CreateGroup(this->files, 0, {{{1, "a:1", true}}});
    auto environment =
        MakeGroupEnvironment(this->context, 0, "a:1", this->peers, this->server,
                             this->dispatch, this->group, {});
    this->fetch_state = environment.fetch_state;
    replication::ReplicatedState state;
    state.apply = [](std::string_view) { return std::string(); };
    state.export_all = [this] {
      ++this->exports;
      return std::string(kStateBytes, 's') + std::to_string(this->exports);
    };
    state.load = [](std::string_view) {};
    consensus::RaftOptions options;
    options.self = 1;
    this->group = std::make_unique<replication::ReplicatedGroup>(
        this->files, options, replication::GroupLimits{}, std::move(state),
        std::move(environment));
  }

  void Listen(std::uint16_t port) {
    this->owned = std::make_unique<transport::PeerServer>(
        this->context, Endpoint{"127.0.0.1", port},
        this->dispatch.For(this->server));
    this->server = this->owned.get();
  }
  /// Closes all connections; the member itself keeps running.
  void LoseConnections() {
    const std::uint16_t port = this->owned->port();
    this->owned.reset();
    this->Listen(port);
  }
  void Fetch(std::string& fetched, bool& done) {
    this->fetch_state("127.0.0.1:" + std::to_string(this->owned->port()),
                      [&](std::string bytes) {
                        fetched = std::move(bytes);
                        done = true;
                      });
  }
  void RunUntil(const std::function<bool()>& done) {
    const Time until = MonotonicNow() + std::chrono::seconds(8);
    while (!done() && MonotonicNow() < until) {
      this->context.run_one_for(std::chrono::milliseconds(10));
      this->context.restart();
    }
    REQUIRE(done());
  }
  std::uint64_t Sent() const { return this->owned->Totals().sent_bytes; }
  /// Whether `fetched` is the complete export of that number.
  bool IsExport(const std::string& fetched, int number) {
    const std::string end = "s" + std::to_string(number);
    return fetched.size() > kStateBytes && fetched.ends_with(end);
  }

  asio::io_context context;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  std::unique_ptr<transport::PeerServer> owned;
  transport::PeerClient peers{this->context};
  storage::MemoryFileSystem files;
  std::unique_ptr<replication::ReplicatedGroup> group;
  std::function<void(const std::string&, std::function<void(std::string)>)>
      fetch_state;
  int exports = 0;
};

}  // namespace

// Guards against a store of 130 MB that is killed for its memory when another
// one joins. The new one lags and requests the complete state; sent as one
// message, each layer holds a copy of it. The parts must join to the same
// bytes.
TEST_CASE("a member's state is fetched in parts") {
  asio::io_context context;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer owned(context, {"127.0.0.1", 0}, dispatch.For(server));
  server = &owned;
  transport::PeerClient peers(context);
  storage::MemoryFileSystem files;
  consensus::CreateGroup(files, 0, {{{1, "a:1", true}}});
  std::unique_ptr<replication::ReplicatedGroup> group;
  auto environment = MakeGroupEnvironment(context, 0, "a:1", peers, server,
                                          dispatch, group, {});
  const auto fetch = environment.fetch_state;
  constexpr std::size_t kStateBytes = 1U << 20U;
  replication::ReplicatedState state;
  state.apply = [](std::string_view) { return std::string(); };
  state.export_all = [] { return std::string(kStateBytes, 's') + "end"; };
  state.load = [](std::string_view) {};
  consensus::RaftOptions options;
  options.self = 1;
  group = std::make_unique<replication::ReplicatedGroup>(
      files, options, replication::GroupLimits{}, std::move(state),
      std::move(environment));
  const std::string address = "127.0.0.1:" + std::to_string(owned.port());
  for (int round = 0; round < 2; ++round) {
    std::string fetched;
    bool done = false;
    fetch(address, [&](std::string bytes) {
      fetched = std::move(bytes);
      done = true;
    });
    for (int i = 0; i < 400 && !done; ++i) {
      context.run_for(std::chrono::milliseconds(10));
      context.restart();
    }
    REQUIRE(done);
    CHECK(fetched.size() > kStateBytes);
    CHECK(fetched == group->ExportState());
  }
}

// Guards against a member that fetches the state forever. Two members fetch the
// same export; when one had its last part the export was dropped, and the other
// started again with a new one.
TEST_CASE("concurrent readers get the same export") {
  StateSource giver;
  std::string first;
  std::string second;
  bool first_done = false;
  bool second_done = false;
  giver.Fetch(first, first_done);
  giver.Fetch(second, second_done);
  giver.RunUntil([&] { return first_done && second_done; });
  CHECK(giver.exports == 1);
  CHECK(giver.IsExport(first, 1));
  CHECK((first == second));
  CHECK(giver.Sent() < 3 * kStateBytes);
  // A reader that has the complete export and requests the state again lags
  // behind that export.
  SECTION("and a newer one if they ask again") {
    first_done = false;
    giver.Fetch(first, first_done);
    giver.RunUntil([&] { return first_done; });
    CHECK(giver.exports == 2);
    CHECK(giver.IsExport(first, 2));
  }
}

// Guards against a state that never arrives over a link whose connections break
// now and then. A connection ends while a part is transferred, and the fetch
// must not discard the parts it has.
TEST_CASE("a lost part of a state is requested again") {
  StateSource giver;
  std::string fetched;
  bool done = false;
  giver.Fetch(fetched, done);
  SECTION("and the transfer continues") {
    giver.RunUntil([&] { return giver.Sent() > kStateBytes / 2; });
    REQUIRE_FALSE(done);
    giver.LoseConnections();
    giver.RunUntil([&] { return done; });
    CHECK(giver.exports == 1);
    CHECK(giver.IsExport(fetched, 1));
    CHECK(giver.Sent() < kStateBytes);
  }
  SECTION("a limited number of times if the member is gone") {
    giver.RunUntil([&] { return giver.Sent() > kStateBytes / 2; });
    giver.owned.reset();
    giver.RunUntil([&] { return done; });
    CHECK(fetched.empty());
  }
}

}  // namespace papayarack::coordination
