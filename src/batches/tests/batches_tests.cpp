#include <catch2/catch.hpp>

#include "batches/batchstate.h"
#include "batches/leasescheduler.h"
#include "global/tests/processortime.h"
#include "global/variantcodec.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::batches {
namespace {

SubmitBatch MakeBatch(const std::string& id, int items,
                      std::uint64_t most_tokens = 0) {
  SubmitBatch batch;
  batch.id = id;
  batch.host = "h";
  batch.route_key = "h/r/";
  batch.max_waiting_tokens = most_tokens;
  for (int i = 0; i < items; ++i) {
    batch.items.push_back(
        {"i" + std::to_string(i), "/r/" + std::to_string(i), {}, "body", 100});
  }
  return batch;
}

ResultCode Apply(BatchState& book, const BatchCommand& command) {
  return static_cast<ResultCode>(book.Apply(EncodeVariant(command)).code);
}

ItemOutcome Ended(const std::string& item, ItemEnd end,
                  const std::string& text = {}, std::uint32_t attempts = 3) {
  return {"b", item, static_cast<std::uint8_t>(end), text, attempts};
}

Time At(int milliseconds) {
  return Time(std::chrono::milliseconds(milliseconds));
}

const std::string kService = "s";

}  // namespace

TEST_CASE("a batch is accepted once and its results never change") {
  storage::MemoryFileSystem files;
  BatchState book(files);
  REQUIRE(Apply(book, MakeBatch("b", 3)) == ResultCode::kOk);
  CHECK(Apply(book, MakeBatch("b", 3)) == ResultCode::kOk);
  CHECK(book.WaitingItems().size() == 3);
  CHECK(book.WaitingTokens("h/r/") == 300);

  Apply(book, ReportOutcomes{{Ended("i1", ItemEnd::kComplete, "text")}});
  SECTION("a second run of the same item is not listed") {
    Apply(book, ReportOutcomes{{Ended("i1", ItemEnd::kComplete, "other")}});
    const auto page = book.Page("b", 0, 1000);
    REQUIRE(page->results.size() == 1);
    CHECK(page->results.front().text == "text");
    CHECK(page->next == 1);
    CHECK(page->total == 3);
  }
  SECTION("failures count up to the route's attempts") {
    for (int i = 0; i < 2; ++i) {
      Apply(book, ReportOutcomes{{Ended("i0", ItemEnd::kFailed)}});
      CHECK(book.Waits({"b", "i0"}));
    }
    Apply(book, ReportOutcomes{{Ended("i0", ItemEnd::kFailed)}});
    CHECK_FALSE(book.Waits({"b", "i0"}));
    CHECK_FALSE(book.Page("b", 1, 1000)->results.front().complete);
  }
  // An item was given up after two failed attempts of three: replicas answered
  // 500 at 20.6 and at 63.8 s, and between them everything lost its power
  // twice. A report whose answer is lost with the leader is sent to the next
  // one, which may hold the first copy in its log, and each copy counted as an
  // attempt.
  SECTION("a failure that is reported again counts once") {
    ItemOutcome first = Ended("i0", ItemEnd::kFailed);
    first.run = 7;
    ItemOutcome second = first;
    second.run = 8;
    Apply(book, ReportOutcomes{{first}});
    Apply(book, ReportOutcomes{{first, second, first}});
    Apply(book, ReportOutcomes{{second}});
    CHECK(book.Waits({"b", "i0"}));
    SECTION("over a snapshot too") {
      const std::string saved = book.Save();
      book.ArchiveTexts()();
      book.TextsArchived();
      BatchState restored(files);
      restored.Load(saved);
      Apply(restored, ReportOutcomes{{second}});
      CHECK(restored.Waits({"b", "i0"}));
      ItemOutcome third = first;
      third.run = 9;
      Apply(restored, ReportOutcomes{{third}});
      CHECK_FALSE(restored.Waits({"b", "i0"}));
    }
  }
  SECTION("an ended batch keeps what is listed and runs no more") {
    CHECK(Apply(book, EndBatch{"b"}) == ResultCode::kOk);
    CHECK(Apply(book, EndBatch{"b"}) == ResultCode::kOk);
    CHECK(book.WaitingItems().empty());
    CHECK(book.WaitingTokens("h/r/") == 0);
    CHECK(book.Page("b", 0, 1000)->results.size() == 1);
  }
  SECTION("a snapshot holds all of it") {
    const std::string saved = book.Save();
    book.ArchiveTexts()();
    book.TextsArchived();
    CHECK(book.Page("b", 0, 1000)->results.front().text == "text");
    BatchState restored(files);
    restored.Load(saved);
    CHECK(restored.WaitingItems().size() == 2);
    CHECK(restored.WaitingTokens("h/r/") == 200);
    CHECK(restored.Page("b", 0, 1000)->results.front().text == "text");
  }
}

// Symptom: a member that joined lists other results than the others, or none.
// Sequence: some results are in files, some only in memory; a member without a
// disk's content, and one that has a part of it, take the whole state.
TEST_CASE("another member takes over the batches with all texts") {
  storage::MemoryFileSystem files;
  BatchState book(files);
  Apply(book, MakeBatch("b", 3));
  Apply(book, ReportOutcomes{{Ended("i1", ItemEnd::kComplete, "first")}});
  const std::string early = book.Export();
  book.ArchiveTexts()();
  book.TextsArchived();
  Apply(book, ReportOutcomes{{Ended("i0", ItemEnd::kComplete, "second")}});
  Apply(book, ReportOutcomes{{Ended("i2", ItemEnd::kGivenUp)}});
  storage::MemoryFileSystem other_files;
  BatchState other(other_files);
  const auto takes_all = [&] {
    const std::string saved = other.Import(book.Export());
    other.Load(saved);
    const auto page = other.Page("b", 0, 1000);
    REQUIRE(page->results.size() == 3);
    CHECK(page->results[0].text == "first");
    CHECK(page->results[1].text == "second");
    CHECK_FALSE(page->results[2].complete);
  };
  SECTION("with an empty disk") { takes_all(); }
  SECTION("with a part of the texts") {
    other.Load(other.Import(early));
    CHECK(other.Page("b", 0, 1000)->results.size() == 1);
    takes_all();
  }
  SECTION("and goes on from there") {
    takes_all();
    Apply(other, MakeBatch("c", 1));
    ItemOutcome outcome = Ended("i0", ItemEnd::kComplete, "third");
    outcome.batch = "c";
    Apply(other, ReportOutcomes{{outcome}});
    const std::string saved = other.Save();
    other.ArchiveTexts()();
    other.TextsArchived();
    BatchState restarted(other_files);
    restarted.Load(saved);
    CHECK(restarted.Page("c", 0, 1000)->results.front().text == "third");
    CHECK(restarted.Page("b", 1, 1000)->results.front().text == "second");
  }
}

TEST_CASE("the tokens that wait on a route are bounded over all processes") {
  storage::MemoryFileSystem files;
  BatchState book(files);
  REQUIRE(Apply(book, MakeBatch("b", 3, 500)) == ResultCode::kOk);
  CHECK(Apply(book, MakeBatch("c", 3, 500)) == ResultCode::kOverloaded);
  CHECK(book.Find("c") == nullptr);
  Apply(book, ReportOutcomes{{Ended("i1", ItemEnd::kComplete, "text")}});
  CHECK(Apply(book, MakeBatch("c", 3, 500)) == ResultCode::kOk);
}

TEST_CASE("items are leased to gates") {
  LeaseScheduler desk;
  const ItemRef one{"b", "1"};
  const ItemRef two{"b", "2"};
  desk.Reset(At(0));
  desk.Add(one, At(18000), {kService});
  desk.Add(two, At(18000), {kService});
  const auto take = [&desk](const std::string& gate, std::size_t room, int at) {
    return desk.Take(gate, kService, room, At(at));
  };
  SECTION("after a change of leader the gates speak first") {
    desk.Renew("g", 1, {one}, At(100));
    CHECK(take("h", 5, 200).empty());
    const auto taken = take("h", 5, 1600);
    REQUIRE(taken.size() == 1);
    CHECK(taken.front() == two);
  }
  SECTION("a silent gate loses its items") {
    REQUIRE(take("g", 1, 2000).size() == 1);
    desk.Renew("g", 1, {one}, At(2000));
    desk.Expire(At(4000));
    CHECK(desk.Waiting() == 1);
    desk.Expire(At(4600));
    CHECK(desk.Waiting() == 2);
  }
  SECTION("an item that a gate no longer names waits again") {
    take("g", 1, 2000);
    desk.Renew("g", 1, {}, At(2100));
    CHECK(desk.Waiting() == 2);
  }
  SECTION("an item handed back keeps what its run made") {
    take("g", 1, 2000);
    desk.Return("g", {one, {"abc", 3}});
    CHECK(desk.PartialOf(one).last_event == 3);
    CHECK(take("h", 1, 2100).front() == one);
  }
  SECTION("an item handed back a second time changes nothing") {
    take("g", 1, 2000);
    const ReturnedItem returned{one, {"abc", 3}};
    desk.Return("g", returned);
    SECTION("while it waits") {
      desk.Return("g", returned);
      CHECK(desk.Waiting() == 2);
    }
    SECTION("while another gate runs it") {
      REQUIRE(take("h", 1, 2100).front() == one);
      desk.Return("g", returned);
      CHECK(desk.Waiting() == 1);
    }
    SECTION("when it got further meanwhile") {
      REQUIRE(take("h", 1, 2100).front() == one);
      desk.Return("h", {one, {"abcde", 5}});
      desk.Return("g", returned);
      CHECK(desk.Waiting() == 2);
      CHECK(desk.PartialOf(one).text == "abcde");
      return;
    }
    CHECK(desk.PartialOf(one).text == "abc");
  }
  SECTION("what is listed has to stop") {
    take("g", 1, 2000);
    desk.Remove(one, At(7000));
    CHECK(desk.ToStop({one}).size() == 1);
    CHECK(desk.ToStop({two}).empty());
  }
}

// Guards against a leader that is busy with leases alone: each gate renews its
// own several times a second while many items wait.
TEST_CASE("renewing leases costs what a gate holds, not what waits") {
  constexpr int kHeld = 7;
  constexpr int kRenewals = 500;
  constexpr int kNoisyClock = 10;
  const auto cost_beside = [&](int waiting) {
    LeaseScheduler desk;
    desk.Reset(At(0));
    for (int i = 0; i < waiting; ++i) {
      desk.Add({"b", std::to_string(i)}, At(18000), {kService});
    }
    const std::vector<ItemRef> held = desk.Take("g", kService, kHeld, At(2000));
    REQUIRE(held.size() == kHeld);
    const auto cost = ProcessorTimeOf([&] {
      for (int i = 0; i < kRenewals; ++i) {
        desk.Renew("g", 1, held, At(2000 + i));
      }
    });
    CHECK(desk.Waiting() == static_cast<std::size_t>(waiting - kHeld));
    return cost;
  };
  CHECK(cost_beside(60000) < kNoisyClock * cost_beside(60));
}

// Guards against a leader that is busy with one large batch alone: it looked at
// all items of the batch for each result.
TEST_CASE("a result costs the same in a large batch as in a small one") {
  constexpr int kResults = 50;
  constexpr int kNoisyClock = 10;
  const auto cost_in = [&](int items) {
    storage::MemoryFileSystem files;
    BatchState book(files);
    Apply(book, MakeBatch("b", items));
    book.TakeChanges();
    std::vector<ItemRef> changed;
    const auto cost = ProcessorTimeOf([&] {
      for (int i = items - kResults; i < items; ++i) {
        const std::string item = "i" + std::to_string(i);
        Apply(book, ReportOutcomes{{Ended(item, ItemEnd::kComplete, "text")}});
        CHECK_FALSE(book.Waits({"b", item}));
        const BatchState::Changes changes = book.TakeChanges();
        CHECK(changes.batches.empty());
        std::ranges::copy(changes.items, std::back_inserter(changed));
      }
    });
    CHECK(changed.size() == kResults);
    CHECK(book.Page("b", 0, 1U << 20U)->results.size() == kResults);
    return cost;
  };
  CHECK(cost_in(63000) < kNoisyClock * cost_in(60));
}

// Guards against callers of one service who wait behind items of another, which
// nobody can run at the moment.
TEST_CASE("items are handed out by the services that may run them") {
  LeaseScheduler desk;
  desk.Reset(At(0));
  desk.Add({"b", "other"}, At(9000), {"other"});
  desk.Add({"b", "own"}, At(18000), {kService});
  desk.Add({"b", "both"}, At(12000), {"other", kService});
  desk.Add({"b", "late"}, At(3000), {"other", kService});
  desk.Add({"b", "nobody"}, At(9000), {});
  const auto take = [&desk](std::size_t room) {
    return desk.Take("g", kService, room, At(2000));
  };
  SECTION("by due time, whichever other services they may go to") {
    CHECK(take(5) ==
          std::vector<ItemRef>{{"b", "both"}, {"b", "own"}, {"b", "late"}});
    CHECK_FALSE(desk.WaitsFor(kService));
    CHECK(desk.WaitsFor("other"));
    CHECK(desk.Waiting() == 2);
  }
  SECTION("and by other services once the configuration says so") {
    REQUIRE(take(1) == std::vector<ItemRef>{{"b", "both"}});
    desk.Reassign([](const ItemRef& item) {
      return item.item == "nobody" ? Services{kService} : Services{"other"};
    });
    CHECK(take(5) == std::vector<ItemRef>{{"b", "nobody"}});
    SECTION("also when they are handed back") {
      desk.Return("g", {{"b", "both"}, {}});
      CHECK(take(5).empty());
      CHECK(desk.Take("h", "other", 2, At(2000)) ==
            std::vector<ItemRef>{{"b", "other"}, {"b", "both"}});
    }
  }
}

// Guards against a leader that is busy with pulls alone: each looked at all
// that waits when none of it was for its service.
TEST_CASE("a pull costs the same beside many items of other services") {
  constexpr int kPulls = 500;
  constexpr int kNoisyClock = 10;
  const auto cost_beside = [&](int waiting) {
    LeaseScheduler desk;
    desk.Reset(At(0));
    for (int i = 0; i < waiting; ++i) {
      desk.Add({"b", std::to_string(i)}, At(18000), {"other"});
    }
    std::size_t taken = 0;
    const auto cost = ProcessorTimeOf([&] {
      for (int i = 0; i < kPulls; ++i) {
        taken += desk.WaitsFor(kService) ? 1 : 0;
        taken += desk.Take("g", kService, 7, At(2000 + i)).size();
      }
    });
    CHECK(taken == 0);
    return cost;
  };
  CHECK(cost_beside(60000) < kNoisyClock * cost_beside(60));
}

// Load: twice as many items as the slots can run, for half a minute. First come
// first served finishes nearly all of them just too late; by what can still be
// in time, as many are in time as the slots can run.
TEST_CASE("under lasting overload as many items are in time as can be") {
  constexpr int kRunMs = 5000;
  constexpr int kAllowedMs = 18000;
  constexpr int kSlots = 10;
  LeaseScheduler desk;
  desk.Reset(At(0));
  const int start = 2000;
  std::map<ItemRef, int> due;
  std::vector<std::pair<int, ItemRef>> running;
  int in_time = 0;
  int ended = 0;
  for (int now = start; now < start + 75000; now += 250) {
    if (now < start + 30000) {
      const ItemRef item{"b", std::to_string(now)};
      due[item] = now + kAllowedMs;
      desk.Add(item, At(now + kAllowedMs), {kService});
    }
    std::erase_if(running, [&](const auto& run) {
      if (run.first > now) {
        return false;
      }
      desk.Remove(run.second, At(now));
      ++ended;
      in_time += now <= due[run.second] ? 1 : 0;
      return true;
    });
    desk.Renew("g", 1, {}, At(0));
    std::vector<ItemRef> held;
    held.reserve(running.size());
    for (const auto& [end, item] : running) {
      held.push_back(item);
    }
    desk.Renew("g", 1, held, At(now));
    for (const ItemRef& item :
         desk.Take("g", kService, kSlots - running.size(), At(now))) {
      running.emplace_back(now + kRunMs, item);
    }
  }
  // 120 items came in 30 s; until the last is due the slots can run 92.
  CHECK(ended == 120);
  CHECK(in_time >= 85);
}

// Load: a late item and one that can be in time wait for the same slot.
TEST_CASE("an item that can be in time goes before a late one") {
  LeaseScheduler desk;
  desk.Reset(At(0));
  desk.Add({"b", "late"}, At(3000), {kService});
  desk.Add({"b", "fresh"}, At(20000), {kService});
  CHECK(desk.Take("g", kService, 1, At(2000)) ==
        std::vector<ItemRef>{{"b", "fresh"}});
  CHECK(desk.Take("g", kService, 1, At(2000)) ==
        std::vector<ItemRef>{{"b", "late"}});
}

}  // namespace papayarack::batches
