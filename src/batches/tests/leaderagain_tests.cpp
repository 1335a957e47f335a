#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "batches/leasescheduler.h"
#include "batches/tests/batchtable.h"
#include "batches/tests/storepair.h"

namespace papayarack::batches {
namespace {

constexpr std::size_t kPullsAtOnce = 4;

/// A store that leads, follows while another one leads, and leads again.
class LeaderAgain {
 public:
  LeaderAgain() : first(pair.Leader()), other(pair.Follower()) {
    for (StoreMember& member : this->pair.Members()) {
      member.SetRoutes(MakeBatchTable());
    }
    SubmitBatch batch;
    batch.id = "b";
    batch.host = "h";
    batch.route_key = "h/r/";
    for (const char* item : {"i", "j", "k"}) {
      batch.items.push_back(
          {item, "/r/1", {{"Model", "m"}}, std::string("body of ") + item, 1});
    }
    this->Ask(this->first, "/jobs/submit", batch);
    // From then on the first leader leases items.
    this->pair.RunAll(LeaseScheduler::kSettleTime);
    this->Transfer(this->first, this->other);
  }

  /// Sends a request to the store that leads meanwhile.
  template <typename Message>
  void AskOther(const std::string& path, const Message& message) {
    this->Ask(this->other, path, message);
  }

  /// The first store leads again. A gate pulls at each moment, until the store
  /// has done the periodic work of a leader and all pulls are answered.
  void LeadAgain() {
    this->first.leads = false;
    this->other.TransferLeadership();
    const Time until = MonotonicNow() + kTestTimeout;
    while (!this->first.leads && MonotonicNow() < until) {
      if (this->unanswered < kPullsAtOnce) {
        this->Pull();
      }
      this->first.RunOne();
      this->other.RunOne();
    }
    REQUIRE(this->first.leads);
    this->pair.RunUntil([this] { return this->unanswered == 0; });
    REQUIRE(this->unanswered == 0);
  }

  /// Pulls until the store leases an item.
  void PullUntilLeased() {
    const Time until = MonotonicNow() + kTestTimeout;
    while (this->leased.empty() && MonotonicNow() < until) {
      this->Pull();
      this->pair.RunUntil([this] { return this->unanswered == 0; });
    }
  }

  std::vector<LeasedItem> leased;

 private:
  template <typename Message>
  void Ask(StoreMember& member, const std::string& path,
           const Message& message) {
    std::vector<ResultCode> codes;
    member.Ask(path, message, codes);
    this->pair.RunUntil([&codes] { return !codes.empty(); });
    REQUIRE(codes == std::vector{ResultCode::kOk});
  }

  void Transfer(StoreMember& from, StoreMember& to) {
    to.leads = false;
    from.TransferLeadership();
    this->pair.RunUntil([&to] { return to.leads; });
    REQUIRE(to.leads);
  }

  void Pull() {
    PullItems pull;
    pull.gate = "g";
    pull.service = "llm";
    pull.room = 8;
    ++this->unanswered;
    this->first.Call(
        "/jobs/pull", pull, [this](const coordination::GroupReply& reply) {
          --this->unanswered;
          if (reply.code == static_cast<int>(ResultCode::kOk)) {
            const auto pulled = DecodeMessage<PulledItems>(reply.body);
            std::ranges::copy(pulled.items, std::back_inserter(this->leased));
          }
        });
  }

  StorePair pair;
  StoreMember& first;
  StoreMember& other;
  std::size_t unanswered = 0;
};

ReportOutcomes Completed(std::initializer_list<const char*> items) {
  ReportOutcomes report;
  for (const char* item : items) {
    report.outcomes.push_back(
        {"b", item, static_cast<std::uint8_t>(ItemEnd::kComplete), "text", 3});
  }
  return report;
}

}  // namespace

// Guards against replicas that run items without body and headers: a store that
// leads again answered pulls, until its next tick, from the leases of the term
// before, and the items had got their results under another leader.
TEST_CASE("a store that leads again leases no item that has ended meanwhile") {
  LeaderAgain store;
  SECTION("by its result") {
    store.AskOther("/jobs/report", Completed({"i", "j", "k"}));
    store.LeadAgain();
    CHECK(store.leased.empty());
  }
  SECTION("by the end of its batch") {
    store.AskOther("/jobs/end", EndBatch{"b"});
    store.LeadAgain();
    CHECK(store.leased.empty());
  }
  SECTION("and those that still wait with body and headers") {
    store.AskOther("/jobs/report", Completed({"i", "j"}));
    store.LeadAgain();
    store.PullUntilLeased();
    REQUIRE(store.leased.size() == 1);
    const ItemSpec& item = store.leased.front().spec;
    CHECK(item.id == "k");
    CHECK(item.body == "body of k");
    CHECK(item.headers.size() == 1);
  }
}

}  // namespace papayarack::batches
