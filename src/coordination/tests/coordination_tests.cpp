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
  SECTION("a late older one changes nothing") {
    state.Apply(Submit(5, "five"));
    CHECK(state.text() == "seven");
  }
  SECTION("other content under the version held changes nothing") {
    state.Apply(Submit(7, "other"));
    CHECK(state.text() == "seven");
  }
  SECTION("a higher one replaces it, and survives a snapshot") {
    state.Apply(Submit(9, "nine"));
    CoordinationState restored;
    restored.Load(state.Save());
    CHECK(restored.version() == 9);
    CHECK(restored.text() == "nine");
  }
}

// A text that is put together from what differs must be the very text that was
// sent, or members obey something that nobody wrote.
TEST_CASE("a change makes the text that was sent") {
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
  SECTION("with a line more, less, at the ends or twice the same") {
    apply_change(2, before + "one more\n");
    apply_change(3, "first\n" + before);
    apply_change(5, before.substr(before.size() / 3));
    apply_change(6, state.text() + state.text());
  }
  SECTION("one made for another text changes nothing") {
    const auto change = ChangeBetween(before, {9, before + "nine\n"});
    state.Apply(Submit(2, text(4000, 9000)));
    state.Apply(EncodeVariant(CoordinationCommand(*change)));
    CHECK(state.version() == 2);
    CHECK(state.text() == text(4000, 9000));
  }
  SECTION("nor does a late one") {
    const auto change = ChangeBetween(before, {2, before + "two\n"});
    state.Apply(Submit(3, before));
    state.Apply(EncodeVariant(CoordinationCommand(*change)));
    CHECK(state.version() == 3);
    CHECK(state.text() == before);
  }
  SECTION("another text altogether, or one within a chunk, goes whole") {
    CHECK_FALSE(ChangeBetween(before, {2, before.substr(0, 100)}).has_value());
    CHECK_FALSE(ChangeBetween(before, {2, text(4000, 9000)}).has_value());
    CHECK_FALSE(ChangeBetween("", {2, before}).has_value());
  }
}

// Symptom: two job groups exist and each accepts batches. Sequence: a leader
// proposes founders, loses its lead before it hears of the commit, the next
// leader proposes others. Cause: founding anew what was founded.
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

// Symptom: a fleet with three stores that bears two losses refuses every batch.
// Sequence: the leader waits for five stores, and there are three. Cause: no
// bound on that wait.
TEST_CASE("the job group is founded by the stores that are there") {
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
  SECTION("as many as wanted, spread over zones") {
    const auto founders = ChooseFounders(stores, 2, false);
    REQUIRE(founders->members.size() == 2);
    CHECK(founders->members[0].address == "s1:1");
    CHECK(founders->members[1].address == "s3:1");
  }
  SECTION("fewer only after a wait") {
    CHECK_FALSE(ChooseFounders(stores, 5, false).has_value());
    CHECK(ChooseFounders(stores, 5, true)->members.size() == 3);
    CHECK_FALSE(ChooseFounders({}, 5, true).has_value());
  }
}

// Symptom: the configuration is gone after all processes were killed twice.
// Sequence: all are killed; the settings now name seeds without a disk; these
// report to the new leader first and get a vote; all are killed again, and half
// of the voters have forgotten the log. Cause: the leader took "no report from
// an entry with a disk" for "no entry has a disk".
TEST_CASE("entries without a disk are no members beside a leader with one") {
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

// Symptom: an entry obeys an old configuration for 3 s after a cut of the core
// has healed. Sequence: no leader for 4 s, so the gates of the platform's list
// are asked too; the cut heals just after the members were asked. Cause: the
// members came again only after all thirty gates.
TEST_CASE("members are asked in between all other processes") {
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

// Several parts of a process ask for the leader of one group, and each learns
// something: what one has found, all go by.
TEST_CASE("all that ask in a process share what is known of the leader") {
  LeaderSearch search;
  search.SetSeeds({"s1:1"});
  CHECK(search.NextForCall("") == "s1:1");
  search.SetMembers({"m1:1", "m2:1", "m3:1"});
  search.SetOthers({"g1:1", "g2:1"});

  SECTION("while it is not known") {
    SECTION("calls go round the members only") {
      std::set<std::string> asked;
      for (int i = 0; i < 3; ++i) {
        asked.insert(search.NextForCall(""));
      }
      CHECK(asked == std::set<std::string>{"m1:1", "m2:1", "m3:1"});
    }
    SECTION("and not twice in a row to the one that did not answer") {
      std::string last;
      for (int i = 0; i < 7; ++i) {
        const std::string next = search.NextForCall(last);
        CHECK(next != last);
        last = next;
      }
    }
    SECTION("a member's word is taken") {
      search.Refused("m1:1", "m2:1");
      CHECK(search.leader() == "m2:1");
    }
    SECTION("but not that of one that names itself and refuses") {
      search.Refused("m1:1", "m1:1");
      CHECK(search.leader().empty());
    }
  }
  SECTION("once it has answered") {
    search.Found("m3:1");
    CHECK(search.Next() == "m3:1");
    CHECK(search.NextForCall("") == "m3:1");
    SECTION("a call that it failed goes to another member") {
      CHECK(search.NextForCall("m3:1") != "m3:1");
    }
    SECTION("a member that names another does not change that") {
      search.Refused("m1:1", "m2:1");
      CHECK(search.leader() == "m3:1");
    }
    SECTION("its own word does") {
      search.Refused("m3:1", "m2:1");
      CHECK(search.leader() == "m2:1");
    }
    SECTION("silence of another says nothing of it") {
      search.Lost("m1:1");
      CHECK(search.leader() == "m3:1");
      search.Lost("m3:1");
      CHECK(search.leader().empty());
    }
  }
}

// Symptom: an entry says that it is ready and refuses everybody: "no replica of
// the service is known". Sequence: all processes were killed; a new leader
// answers with the configuration before it has read the platform's list. Cause:
// the age it sends in place of one was taken for an age.
TEST_CASE("a list that the leader has not read is not known") {
  asio::io_context context;
  transport::PeerDispatch dispatch;
  transport::PeerServer* server = nullptr;
  transport::PeerServer owned(context, {"127.0.0.1", 0}, dispatch.For(server));
  server = &owned;
  std::uint32_t age_ms = kEnginesNeverRead;
  int answered = 0;
  dispatch.On("/coordination/watch",
              [&](transport::StreamId stream, const std::string&) {
                // The next answer waits for news that do not come.
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
  SECTION("though the configuration is") {
    learn();
    CHECK(watch.knowledge().engines_seen == Time{});
  }
  SECTION("one that it has read is") {
    age_ms = 30;
    learn();
    CHECK(watch.knowledge().engines_seen != Time{});
  }
}

TEST_CASE("a table of who is there") {
  NodeTable table;
  table.Clear(At(0));
  CHECK(table.Take(Gate("g1"), At(10)));
  CHECK_FALSE(table.Take(Gate("g1"), At(20)));
  CHECK(table.ChangesFor(NodeRole::kEntry, 0).set.size() == 1);
  // A store may own engines that no gate stands beside.
  CHECK(table.ChangesFor(NodeRole::kStore, 0).set.size() == 1);
  CHECK(table.ChangesFor(NodeRole::kGate, 0).set.empty());
  SECTION("a silent process is dropped") {
    const auto revision = table.revision();
    table.DropSilent(At(6000));
    CHECK(table.Find("g1") == nullptr);
    CHECK(table.revision() > revision);
  }
  // Symptom: an engine stands idle for seconds after its gate was lost.
  // Sequence: the gate's VM loses power; its report of a moment ago still
  // counts. Cause: others learn of it only when it is dropped, which is late
  // enough for a member of a group that freezes to keep its place.
  SECTION("a silent process owns no engines before it is dropped") {
    table.DropSilent(At(2100));
    CHECK_FALSE(table.Find("g1")->away);
    const auto revision = table.revision();
    table.DropSilent(At(2300));
    REQUIRE(table.Find("g1") != nullptr);
    CHECK(table.Find("g1")->away);
    CHECK(table.ChangedFor(NodeRole::kEntry, revision));
    CHECK(table.ChangedFor(NodeRole::kStore, revision));
    SECTION("and again once it reports") {
      CHECK(table.Take(Gate("g1"), At(2400)));
      CHECK_FALSE(table.Find("g1")->away);
    }
  }
  SECTION("entries know of each other only where they may own engines") {
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
  SECTION("being settled is news") {
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

/// One member that gives its state away, and others that fetch it.
struct StateGiver {
  StateGiver() {
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
  /// All connections end; the member itself stays.
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
  /// Whether `fetched` is the whole state of the export of that number.
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

// Symptom: a store of 130 MB is killed for its memory when another one joins.
// Sequence: the newcomer lags behind the log, asks for the whole state, which
// leaves as one message. Cause: each layer holds a copy of it. It now leaves in
// parts, which must join to the same bytes.
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

// Symptom: of two members that lag, one fetches the state for ever. Sequence:
// both fetch the same export; one has its last part. Cause: the export was let
// go with that, and the other got a new one, from the first byte.
TEST_CASE("members that fetch a state at once get the same export") {
  StateGiver giver;
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
  // Who had it whole and asks again lags behind it already.
  SECTION("and a newer one when they ask again") {
    first_done = false;
    giver.Fetch(first, first_done);
    giver.RunUntil([&] { return first_done; });
    CHECK(giver.exports == 2);
    CHECK(giver.IsExport(first, 2));
  }
}

// Symptom: a state never arrives over a link whose connections break now and
// then, though it is full. Sequence: a connection ends while a part is under
// way. Cause: the fetch gave up all that it had.
TEST_CASE("a lost part of a state is asked for again") {
  StateGiver giver;
  std::string fetched;
  bool done = false;
  giver.Fetch(fetched, done);
  SECTION("and the rest follows") {
    giver.RunUntil([&] { return giver.Sent() > kStateBytes / 2; });
    REQUIRE_FALSE(done);
    giver.LoseConnections();
    giver.RunUntil([&] { return done; });
    CHECK(giver.exports == 1);
    CHECK(giver.IsExport(fetched, 1));
    CHECK(giver.Sent() < kStateBytes);
  }
  SECTION("a few times, if the member is gone") {
    giver.RunUntil([&] { return giver.Sent() > kStateBytes / 2; });
    giver.owned.reset();
    giver.RunUntil([&] { return done; });
    CHECK(fetched.empty());
  }
}

}  // namespace papayarack::coordination
