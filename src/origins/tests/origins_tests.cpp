#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "origins/continuation.h"
#include "origins/originhomes.h"
#include "origins/originlookup.h"
#include "origins/originstore.h"
#include "origins/routehistory.h"
#include "origins/softwarehistory.h"

namespace papayarack::origins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ReplicaSoftware kOld{"llm", "v1"};
const ReplicaSoftware kNew{"llm", "v2"};
/// There is a record, which tells no software.
const FoundOrigin kUnknownOrigin{{}, true};

Time At(int ms) { return Time(seconds(100) + milliseconds(ms)); }

std::vector<HomeOption> Gates(int count, int zones) {
  std::vector<HomeOption> gates;
  gates.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    gates.push_back({"10.0.0." + std::to_string(i) + ":7720",
                     "z" + std::to_string(i % zones)});
  }
  return gates;
}

std::string ZoneOf(const std::vector<HomeOption>& options,
                   const std::string& address) {
  return std::ranges::find(options, address, &HomeOption::address)->zone;
}

bool AsksOneOf(const std::vector<std::string>& ask,
               const std::vector<std::string>& homes) {
  return std::ranges::any_of(homes, [&ask](const std::string& home) {
    return std::ranges::find(ask, home) != ask.end();
  });
}

}  // namespace

TEST_CASE("a store keeps the origin of a stream") {
  OriginStore store;
  REQUIRE(store.Record({"r", kOld, 5000}, At(0)));

  SECTION("as long as its caller may take the stream up") {
    CHECK(store.Find("r", At(4999)).software == kOld);
    CHECK_FALSE(store.Find("r", At(5000)).Recorded());
    CHECK_FALSE(store.Find("other", At(0)).Recorded());
  }
  SECTION("longer when it is recorded again") {
    CHECK(store.Record({"r", kOld, 5000}, At(3000)));
    CHECK(store.Record({"r", kOld, 10}, At(3001)));
    CHECK(store.Find("r", At(7000)).software == kOld);
  }
  // Guards against a text of two versions after two requests with one id.
  SECTION("and knows none when records contradict each other") {
    store.Record({"r", kNew, 5000}, At(1));
    CHECK(store.Find("r", At(2)) == kUnknownOrigin);
    store.Record({"r", kOld, 5000}, At(3));
    CHECK(store.Find("r", At(4)) == kUnknownOrigin);
  }
  // Guards against a stream that begins at a replica of unknown version and
  // goes on at the only version that the list shows.
  SECTION("also that it began at unknown software") {
    CHECK(store.Record({"s", {}, 5000}, At(0)));
    CHECK(store.Find("s", At(1)) == kUnknownOrigin);
  }
  SECTION("but none without an id, or of excessive length") {
    CHECK_FALSE(store.Record({"", kOld, 5000}, At(0)));
    CHECK_FALSE(store.Record(
        {std::string(OriginStore::kMaxNameBytes + 1, 'x'), kOld, 5000}, At(0)));
    CHECK(store.size() == 1);
  }
  // Guards against memory that grows with the requests.
  SECTION("and drops what expires first when it is full") {
    for (std::size_t i = 0; i < OriginStore::kMaxRecords; ++i) {
      store.Record({"s" + std::to_string(i), kNew, 9000}, At(1));
    }
    CHECK(store.size() == OriginStore::kMaxRecords);
    CHECK_FALSE(store.Find("r", At(2)).Recorded());
    CHECK(store.Find("s0", At(2)).software == kNew);
    store.Expire(At(9001));
    CHECK(store.size() == 0);
  }
}

TEST_CASE("entries agree on the homes of an origin") {
  const std::vector<HomeOption> gates = Gates(12, 3);
  constexpr int kRequests = 300;

  SECTION("two, in different zones, spread over all gates") {
    std::map<std::string, int> origins;
    for (int i = 0; i < kRequests; ++i) {
      const auto homes = HomesToRecord("r" + std::to_string(i), gates);
      REQUIRE(homes.size() == kHomes);
      CHECK(ZoneOf(gates, homes[0]) != ZoneOf(gates, homes[1]));
      ++origins[homes[0]];
      ++origins[homes[1]];
    }
    CHECK(origins.size() == gates.size());
    for (const auto& [home, count] : origins) {
      CHECK(count < 3 * kRequests * static_cast<int>(kHomes) / 12);
    }
  }
  SECTION("in one zone, or with one process, as many as there are") {
    CHECK(HomesToRecord("r", Gates(4, 1)).size() == 2);
    CHECK(HomesToRecord("r", Gates(1, 1)).size() == 1);
    CHECK(HomesToRecord("r", {}).empty());
    CHECK(HomesToAsk("r", {}).empty());
  }
  // Guards against streams that cannot be taken up while gates come and go: an
  // entry asks processes that were not the homes when the origin was recorded.
  SECTION("also when one of two entries knows of one gate more") {
    std::vector<HomeOption> more = gates;
    more.push_back({"10.0.1.1:7720", "z0"});
    std::vector<HomeOption> fewer = gates;
    fewer.erase(fewer.begin() + 4);
    for (int i = 0; i < kRequests; ++i) {
      const std::string request = "r" + std::to_string(i);
      const auto homes = HomesToRecord(request, gates);
      CHECK(AsksOneOf(HomesToAsk(request, more), homes));
      CHECK(AsksOneOf(HomesToAsk(request, fewer), homes));
      CHECK(HomesToAsk(request, gates).size() <= 6);
    }
  }
}

TEST_CASE("a search for an origin asks all homes at once") {
  OriginLookup lookup({"a", "b"}, At(0));
  CHECK_FALSE(lookup.Result(At(0)).has_value());

  SECTION("and ends with the first that knows") {
    const FoundOrigin first = GENERATE(
        FoundOrigin{kOld, true}, FoundOrigin{kOld, false}, kUnknownOrigin);
    lookup.Answered("b", first);
    CHECK(lookup.Result(At(1)) == first);
    lookup.Answered("a", {kNew, true});
    CHECK(lookup.Result(At(2)) == first);
  }
  SECTION("or when the last has answered or failed") {
    lookup.Answered("b", {});
    CHECK_FALSE(lookup.Result(At(1)).has_value());
    lookup.Failed("a");
    REQUIRE(lookup.Result(At(2)).has_value());
    CHECK_FALSE(lookup.Result(At(2))->Recorded());
    CHECK(lookup.WithoutRecord() == 1);
    CHECK(lookup.Unreachable() == 1);
  }
  // Guards against a caller that waits for a home that stands still.
  SECTION("or after a time limit") {
    lookup.Answered("b", {});
    REQUIRE(lookup.Result(At(120)).has_value());
    CHECK_FALSE(lookup.Result(At(120))->Recorded());
    CHECK(lookup.Unreachable() == 0);
    CHECK(lookup.Waiting().size() == 1);
    // By answers alone it goes on: they may wait to be read after a pause.
    CHECK_FALSE(lookup.Result().has_value());
  }
  SECTION("and ignores repeated replies and those of others") {
    lookup.Answered("c", {kNew, true});
    lookup.Answered("a", {});
    lookup.Answered("a", {kNew, true});
    CHECK_FALSE(lookup.Result(At(1)).has_value());
  }
}

TEST_CASE("the list tells the software that alone ran lately") {
  constexpr Duration kWindow = seconds(20);
  SoftwareHistory history;
  const auto watch = [&history](int from_ms, int until_ms) {
    for (int ms = from_ms; ms <= until_ms; ms += 1000) {
      history.ListRead(At(ms), At(ms));
    }
  };
  history.SetListed({kOld, {"other", "v7"}}, At(0));
  watch(0, 20000);

  SECTION("once the list was watched for the whole window") {
    CHECK(history.SoleSince("llm", kWindow, At(20000)) == kOld);
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(19999)).Known());
    CHECK_FALSE(history.SoleSince("unlisted", kWindow, At(20000)).Known());
  }
  SECTION("not while another is listed, nor within the window after") {
    history.SetListed({kOld, kNew}, At(20500));
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(20600)).Known());
    history.SetListed({kNew}, At(21000));
    watch(21000, 41000);
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(41000)).Known());
    CHECK(history.SoleSince("llm", kWindow, At(41001)) == kNew);
  }
  SECTION("not while a replica of unknown version is listed") {
    history.SetListed({kOld, {"llm", ""}}, At(20500));
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(20600)).Known());
    history.SetListed({{"llm", ""}}, At(20700));
    CHECK_FALSE(history.SoleSince("llm", seconds(0), At(20800)).Known());
  }
  // Guards against a version that came and went while the list was not read.
  SECTION("not after a gap in its readings") {
    watch(24001, 30000);
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(30000)).Known());
  }
  // Guards against a list that counts as watched while its reading waited, in a
  // cut connection or at a process that stood still.
  SECTION("not before it is known that the list was read") {
    history.ListRead(At(24001), At(26000));
    watch(27000, 46000);
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(45999)).Known());
    CHECK(history.SoleSince("llm", kWindow, At(46000)) == kOld);
  }
  SECTION("not when it was read too long ago") {
    CHECK_FALSE(history.SoleSince("llm", kWindow, At(23001)).Known());
  }
}

// Guards against a stream that began at a service which its route has left, and
// goes on at the only software of the service to which it leads now.
TEST_CASE("a route's services are known since their last change") {
  constexpr Duration kWindow = seconds(20);
  RouteHistory history;
  history.SetRoutes({{"r", {"llm"}}, {"s", {"llm", "other"}}}, At(0));

  SECTION("once it was watched for the whole window") {
    CHECK(history.SameSince("r", kWindow, At(20000)));
    CHECK_FALSE(history.SameSince("r", kWindow, At(19999)));
    CHECK_FALSE(history.SameSince("unknown", kWindow, At(20000)));
  }
  SECTION("whatever changes at other routes, and in any order") {
    history.SetRoutes({{"r", {"llm"}}, {"s", {"other", "llm"}}}, At(10000));
    history.SetRoutes({{"r", {"llm"}}}, At(15000));
    CHECK(history.SameSince("r", kWindow, At(20000)));
  }
  SECTION("not within the window after it led elsewhere or was away") {
    history.SetRoutes({{"r", {"other"}}}, At(10000));
    history.SetRoutes({{"r", {"llm"}}}, At(11000));
    CHECK_FALSE(history.SameSince("r", kWindow, At(30999)));
    CHECK(history.SameSince("r", kWindow, At(31000)));
    CHECK_FALSE(history.SameSince("s", kWindow, At(40000)));
  }
}

TEST_CASE("a stream that is taken up goes on where it began, or nowhere") {
  const std::vector<std::string> services = {"llm", "other"};
  const auto decide = [&services](const OriginEvidence& evidence) {
    return DecideContinuation(evidence, services);
  };
  const auto recorded = [](const ReplicaSoftware& software) {
    return FoundOrigin{software, true};
  };
  CHECK(std::get<ContinueWith>(decide({recorded(kOld), kNew})).software ==
        kOld);
  CHECK(std::get<ContinueWith>(decide({{}, kNew})).software == kNew);
  CHECK(std::holds_alternative<OriginUnknown>(decide({{}, {}})));
  CHECK(std::holds_alternative<OriginUnknown>(decide({kUnknownOrigin, kNew})));
  CHECK(std::holds_alternative<OriginUnknown>(
      decide({recorded({"llm", ""}), kNew})));
  CHECK(std::get<OriginNotOnRoute>(decide({recorded({"gone", "v1"}), {}}))
            .software.service == "gone");
}

}  // namespace papayarack::origins
