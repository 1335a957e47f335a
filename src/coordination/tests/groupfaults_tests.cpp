#include <algorithm>
#include <asio.hpp>
#include <catch2/catch.hpp>
#include <list>
#include <string>
#include <vector>

#include "coordination/tests/groupmembers.h"

namespace papayarack::coordination {
namespace {

constexpr std::size_t kLargeBytes = 400'000;
/// A follower learns with the next heartbeat, after 0.1 s at most, that an
/// entry is committed, and retries after 60 ms if it was offered the text
/// sooner.
constexpr milliseconds kReadFromLog{250};
/// By then a new leader's table of processes is settled, which it sends to all.
constexpr milliseconds kSettled{2600};
/// By then a member that was referred to the leader has reported to it.
constexpr milliseconds kReported{1000};

/// The members of a group, and entries that are not members, on one loop.
class Group {
 public:
  Group(asio::io_context& context, int size, int entries = 0)
      : context(context) {
    for (int i = 1; i <= size; ++i) {
      const auto id = static_cast<consensus::MemberId>(i);
      const Member& member = this->members.emplace_back(context, id);
      this->list.members.push_back({id, member.host.Address(), true});
    }
    for (int i = 0; i < entries; ++i) {
      this->entries.emplace_back(context);
    }
  }

  /// Founds the group; the members listen already.
  void Start() {
    const std::vector<std::string> seeds = this->Addresses();
    for (Member& member : this->members) {
      member.Found(this->context, this->list, NoReplicas());
      NodeReport report =
          Report(fmt::format("m{}", member.id), member.host.Address());
      report.member = member.id;
      report.durable = true;
      this->watches
          .emplace_back(this->context, member.host.peers, report, seeds,
                        [](const FleetChange&) {})
          .Start();
    }
    for (Host& host : this->entries) {
      const std::string name = fmt::format("e{}", this->watches.size());
      FleetWatch& watch = this->watches.emplace_back(
          this->context, host.peers, Report(name, host.Address()), seeds,
          [](const FleetChange&) {});
      watch.ServeHints(host.server, host.dispatch, true);
      watch.Start();
    }
    RunUntil(
        this->context, [this] { return this->Find() != this->members.end(); },
        kElected);
    REQUIRE(this->Find() != this->members.end());
    RunFor(this->context, kReported);
  }

  /// Changes all members' reports, so that they send a watch to the leader at
  /// once.
  void ResendWatch() {
    for (FleetWatch& watch : this->watches) {
      watch.SetJobMembers({"other"}, 1);
    }
  }

  std::vector<std::string> Addresses() const {
    std::vector<std::string> addresses;
    for (const consensus::Member& member : this->list.members) {
      addresses.push_back(member.address);
    }
    return addresses;
  }

  std::size_t CountHolding(std::uint64_t version,
                           const std::string& text) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(this->watches, [&](const FleetWatch& watch) {
          return watch.knowledge().config_version == version &&
                 watch.knowledge().config == text;
        }));
  }

  Member& Leader() { return *this->Find(); }

  /// Bytes of group messages that the leader has sent its followers.
  std::uint64_t BytesToFollowers() {
    const transport::TransportTotals totals =
        this->Leader().host.peers.Totals();
    const auto found = std::ranges::find(totals.paths, "/group/0/message",
                                         &transport::PathTotals::path);
    return found != totals.paths.end() ? found->bytes : 0;
  }

 private:
  std::list<Member>::iterator Find() {
    return std::ranges::find_if(this->members, [](const Member& member) {
      return member.coordinator->Leads();
    });
  }

  asio::io_context& context;
  std::list<Member> members;
  std::list<Host> entries;
  std::list<FleetWatch> watches;
  consensus::MemberList list;
};

/// Watches a leader as an entry does, but never fetches the text it is offered.
class IdleEntry {
 public:
  IdleEntry(Host& host, Endpoint leader, const std::string& name)
      : host(host), leader(std::move(leader)) {
    this->request.self = Report(name, "127.0.0.1:1");
    this->request.takes_changes = true;
    this->Ask();
  }

  int answers = 0;
  bool offered = false;

 private:
  void Ask() {
    transport::CallHandlers handlers;
    handlers.on_message = [this](const std::string& message) {
      const auto reply = DecodeMessage<WatchReply>(message);
      ++this->answers;
      this->offered = reply.manifest.version > 0;
      this->request.term = reply.term;
      this->request.nodes_revision = reply.nodes_revision;
      this->request.engines_revision = reply.engines_revision;
      if (!this->offered) {
        this->Ask();
      }
    };
    this->host.peers.Call(this->leader, "/coordination/watch",
                          EncodeMessage(this->request), std::move(handlers));
  }

  Host& host;
  Endpoint leader;
  WatchRequest request;
};

}  // namespace

// Guards against members that apply a large text (0.9 MB) up to 0.6 s after the
// leader although it is in their logs. Two entries fetch from the leader, its
// limit; the next watcher found no source, and the leader then checked none of
// the watchers behind it, not even members, which need no source.
TEST_CASE("members read their own logs while entries wait for a source") {
  asio::io_context context;
  constexpr int kMembers = 3;
  Group group(context, kMembers);
  Host host(context);
  group.Start();
  const Endpoint leader{"127.0.0.1", group.Leader().host.owned.port()};
  std::list<IdleEntry> entries;
  for (const char* name : {"i1", "i2", "i3"}) {
    entries.emplace_back(host, leader, name);
  }
  RunFor(context, kSettled);
  // The leader serves watchers in the order of their requests: the idle entries
  // have just sent theirs, and the members send theirs after them.
  const int before = entries.back().answers;
  RunUntil(
      context, [&] { return entries.back().answers > before; }, kElected);
  group.ResendWatch();
  RunFor(context, milliseconds(50));
  const std::string large = Text(kLargeBytes, 1);
  transport::CallHandlers unheard;
  host.peers.Call(leader, "/coordination/submit",
                  EncodeMessage(SubmitConfiguration{1, large}),
                  std::move(unheard));
  const auto offered = [&entries] {
    return std::ranges::count_if(entries, &IdleEntry::offered) == 2;
  };
  RunUntil(context, offered, kElected);
  REQUIRE(offered());
  const milliseconds taken = RunUntil(
      context, [&] { return group.CountHolding(1, large) == kMembers; },
      kInForce);
  CHECK(taken <= kReadFromLog);
}

// Guards against a small change of a configuration of 0.9 MB that is
// acknowledged after 1.5 s and applied everywhere 1.9 s later. The log entry
// held the full text, so each of five followers was sent 0.9 MB, and the chunks
// of the change before were queued behind that.
TEST_CASE("a change sends followers only what changed") {
  asio::io_context context;
  constexpr int kMembers = 3;
  Group group(context, kMembers);
  group.Start();
  const std::string first = Text(kLargeBytes, 1);
  Submit(context, group.Leader().host, 1, first);
  const std::uint64_t before = group.BytesToFollowers();
  REQUIRE(before >= (kMembers - 1) * kLargeBytes);

  SECTION("of a few bytes in the middle") {
    std::string changed = first;
    changed.replace(changed.size() / 2, 5, "other");
    Submit(context, group.Leader().host, 2, changed);
    CHECK(group.BytesToFollowers() - before <=
          (kMembers - 1) * kLargeBytes / 10);
    const auto everywhere = [&] {
      return group.CountHolding(2, changed) == kMembers;
    };
    RunUntil(context, everywhere, kInForce);
    CHECK(everywhere());
  }
  SECTION("of a fifth more text at the end") {
    constexpr std::size_t kMore = kLargeBytes / 5;
    Submit(context, group.Leader().host, 2, first + Text(kMore, 2));
    CHECK(group.BytesToFollowers() - before <=
          (kMembers - 1) * (kMore + kLargeBytes / 10));
  }
  SECTION("and two submitted at once are applied in order") {
    const std::string second = first + Text(kLargeBytes / 5, 3);
    const std::string third = second.substr(kLargeBytes / 4);
    SubmitAtOnce(context, group.Leader().host, {{2, second}, {3, third}});
    const auto everywhere = [&] {
      return group.CountHolding(3, third) == kMembers;
    };
    RunUntil(context, everywhere, kInForce);
    CHECK(everywhere());
  }
}

// Guards against entries that use an older configuration for seconds after a
// newer one was acknowledged. An acknowledgement only meant that a quorum of
// the members had it in their logs.
TEST_CASE("entries have applied what is acknowledged") {
  asio::io_context context;
  constexpr int kMembers = 3;
  constexpr int kEntries = 12;
  Group group(context, kMembers, kEntries);
  group.Start();

  SECTION("a small configuration and a large one") {
    Submit(context, group.Leader().host, 1, "small");
    CHECK(group.CountHolding(1, "small") == kMembers + kEntries);
    const std::string large = Text(kLargeBytes, 1);
    Submit(context, group.Leader().host, 2, large);
    CHECK(group.CountHolding(2, large) == kMembers + kEntries);
    SECTION("also if it is submitted again") {
      Submit(context, group.Leader().host, 2, large);
      CHECK(group.CountHolding(2, large) == kMembers + kEntries);
    }
  }
  SECTION("also if some entries stall once they have a source") {
    Host host(context);
    const Endpoint leader{"127.0.0.1", group.Leader().host.owned.port()};
    std::list<IdleEntry> idle;
    for (const char* name : {"i1", "i2", "i3"}) {
      idle.emplace_back(host, leader, name);
    }
    RunFor(context, kSettled);
    const std::string large = Text(kLargeBytes, 1);
    Submit(context, group.Leader().host, 1, large);
    CHECK(group.CountHolding(1, large) == kMembers + kEntries);
  }
}

}  // namespace papayarack::coordination
