#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "jobs/itemline.h"
#include "jobs/jobstore.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::jobs {
namespace {

constexpr std::int64_t kLease = 8000;

struct Desk {
  storage::MemoryFileSystem disk;
  storage::BlobStore blobs{disk, "blob"};
  FileStore files{blobs};
  JobStore book{blobs, files};

  static std::string Lines(int count) {
    std::string lines;
    for (int i = 0; i < count; ++i) {
      lines += R"({"custom_id":"c)" + std::to_string(i) +
               R"(","body":{"prompt":"x"}})" + "\n";
    }
    return lines;
  }
  JobRequest Request(const std::string& id, int items,
                     std::int64_t due = 1000000) {
    const std::string file = "file-" + std::to_string(items);
    this->files.Append(file, "kivu", 0, Lines(items), true, 0);
    JobRequest request;
    request.id = id;
    request.owner = "kivu";
    request.key = "key-" + id;
    request.service = "counter";
    request.file = file;
    request.due_ms = due;
    return request;
  }
  std::vector<LeasedItem> Lease(const std::string& holder, std::uint32_t count,
                                std::int64_t now = 0,
                                std::vector<ItemKey> holding = {},
                                std::uint64_t incarnation = 1) {
    return this->book.Lease({holder, incarnation, "counter", count, now, kLease,
                             std::move(holding)});
  }
  ResultCode End(const LeasedItem& item, AttemptEnd end,
                 const std::string& line = "{}") {
    return this->book.Complete(
        {item.key, item.attempt, static_cast<std::uint8_t>(end), line,
         "engine said no"},
        5);
  }
};

}  // namespace

TEST_CASE("a nightly job") {
  Desk desk;
  const JobRequest request = desk.Request("j", 3);
  desk.book.Create(request);

  SECTION("sent again under its key is the same job") {
    JobRequest again = request;
    again.id = "other";
    CHECK(desk.book.Create(again).request.id == "j");
    SECTION("but other content under that key is a conflict") {
      again.file = "else";
      CHECK_THROWS_AS(desk.book.Create(again), ResultError);
    }
  }
  SECTION("hands each item to one holder") {
    CHECK(desk.Lease("a", 2).size() == 2);
    CHECK(desk.Lease("b", 2).size() == 1);
    CHECK(desk.Lease("c", 2).empty());
  }
  SECTION("completes each item once") {
    const auto items = desk.Lease("a", 3);
    for (const LeasedItem& item : items) {
      CHECK(desk.End(item, AttemptEnd::kDone,
                     item.key.job + std::to_string(item.key.item)) ==
            ResultCode::kOk);
      CHECK(desk.End(item, AttemptEnd::kDone, "twice") ==
            ResultCode::kAlreadyDone);
    }
    CHECK(desk.book.Find("j")->State() == JobState::kCompleted);
    std::uint32_t next = 0;
    CHECK(desk.book.ReadResults("j", false, 0, 1000, next) == "j0\nj1\nj2\n");
    CHECK(next == 3);
  }
  // Symptom: an item is posted twice. Sequence: the gate goes silent, its lease
  // runs out, another gate does the item; then the first gate's answer comes.
  // Cause: two attempts both finished.
  SECTION(
      "takes the first completion when a late one comes after the lease ran "
      "out") {
    const auto first = desk.Lease("a", 1);
    desk.book.ExpireLeases(kLease);
    const auto second = desk.Lease("b", 3, kLease);
    const auto same = std::ranges::find(second, first[0].key, &LeasedItem::key);
    REQUIRE(same != second.end());
    CHECK(same->attempt == 2);
    CHECK(desk.End(*same, AttemptEnd::kDone, "second") == ResultCode::kOk);
    CHECK(desk.End(first[0], AttemptEnd::kDone, "late") ==
          ResultCode::kAlreadyDone);
    std::uint32_t next = 0;
    CHECK(desk.book.ReadResults("j", false, 0, 1000, next) == "second\n");
  }
  SECTION("gives up on an item after its attempts, with the reason") {
    for (int attempt = 0; attempt < 3; ++attempt) {
      auto items = desk.Lease("a", 1);
      while (items[0].key.item != 0) {
        items = desk.Lease("a", 1, 0, {items[0].key});
      }
      desk.End(items[0], AttemptEnd::kFailed);
    }
    CHECK(desk.book.Find("j")->failed == 1);
    std::uint32_t next = 0;
    const std::string errors = desk.book.ReadResults("j", true, 0, 1000, next);
    CHECK(errors.find("\"c0\"") != std::string::npos);
    CHECK(errors.find("engine said no") != std::string::npos);
  }
  SECTION("counts no attempt for work that stepped aside") {
    for (int round = 0; round < 10; ++round) {
      const auto items = desk.Lease("a", 1);
      REQUIRE(items.size() == 1);
      CHECK(items[0].attempt == 1);
      CHECK(desk.book.Find("j")->attempts == 1);
      desk.End(items[0], AttemptEnd::kReturned);
    }
  }
  // Symptom: work of a cancelled job goes on or its results appear. Sequence:
  // cancel while items are leased; their answers come afterwards. Cause: the
  // gates have not heard yet.
  SECTION("that is cancelled starts and completes nothing more") {
    const auto items = desk.Lease("a", 2);
    desk.End(items[0], AttemptEnd::kDone);
    desk.book.Cancel("j", 9);
    CHECK(desk.End(items[1], AttemptEnd::kDone) == ResultCode::kCancelled);
    CHECK(desk.Lease("b", 3).empty());
    CHECK(desk.book.Find("j")->done == 1);
    CHECK(desk.book.LeaseCount() == 0);
    SECTION("and cancelling again changes nothing") {
      CHECK(desk.book.Cancel("j", 10).done == 1);
    }
  }
  // Symptom: items wait a whole lease time. Sequence: the grant's answer is
  // lost; the gate asks again. Cause: control believes that the gate holds what
  // it never received.
  SECTION("takes back a grant that the gate never received") {
    desk.Lease("a", 3);
    const auto again = desk.Lease("a", 3, 10, {});
    CHECK(again.size() == 3);
    CHECK(again[0].attempt == 1);
  }
  SECTION("counts an attempt when the process that held it restarted") {
    desk.Lease("a", 1);
    const auto again = desk.Lease("a", 3, 10, {}, 2);
    REQUIRE(!again.empty());
    CHECK(std::ranges::count(again, 2U, &LeasedItem::attempt) == 1);
  }
  SECTION("keeps leases that the gate lists") {
    const auto items = desk.Lease("a", 1);
    desk.Lease("a", 0, 7000, {items[0].key});
    desk.book.ExpireLeases(9000);
    CHECK(desk.book.LeaseCount() == 1);
  }
  SECTION("survives a snapshot in the middle") {
    const auto items = desk.Lease("a", 2);
    desk.End(items[0], AttemptEnd::kDone, "one");
    JobStore copy(desk.blobs, desk.files);
    copy.Load(desk.book.Save());
    CHECK(copy.Find("j")->done == 1);
    CHECK(copy.LeaseCount() == 1);
    CHECK(copy.Lease({"b", 1, "counter", 5, 0, kLease, {}}).size() == 1);
    CHECK(copy.Create(request).request.id == "j");
  }
}

// Symptom: one poisonous item takes down upstream after upstream. Sequence:
// items of a dead upstream are retried together elsewhere. Cause: nobody knows
// which of them killed it.
TEST_CASE("items whose attempt ended without a word are tried again apart") {
  Desk desk;
  desk.book.Create(desk.Request("j", 6));
  desk.Lease("a", 6);
  desk.book.ExpireLeases(kLease);
  CHECK(desk.Lease("b", 6, kLease).size() == 1);
  CHECK(desk.Lease("c", 6, kLease).size() == 1);
}

TEST_CASE(
    "an item that may not be repeated ends as unknown when its attempt is in "
    "doubt") {
  Desk desk;
  JobRequest request = desk.Request("j", 1);
  request.repeatable = false;
  desk.book.Create(request);
  desk.Lease("a", 1);
  desk.book.ExpireLeases(kLease);
  CHECK(desk.book.Find("j")->failed == 1);
  CHECK(desk.Lease("b", 1, kLease).empty());
  std::uint32_t next = 0;
  CHECK(
      desk.book.ReadResults("j", true, 0, 1000, next).find("unknown_outcome") !=
      std::string::npos);
}

TEST_CASE(
    "a job of ten is not held back by a job of thousands that is due earlier") {
  Desk desk;
  desk.book.Create(desk.Request("big", 2000, 100));
  desk.book.Create(desk.Request("small", 10, 200));
  int small = 0;
  for (const LeasedItem& item : desk.Lease("a", 24)) {
    small += item.key.job == "small" ? 1 : 0;
  }
  CHECK(small == 10);
}

TEST_CASE("an input file is checked line by line") {
  const InputLimits limits{3, 60};
  CHECK(CheckInputFile(Desk::Lines(3), limits) == 3);
  CHECK_THROWS_WITH(CheckInputFile(Desk::Lines(4), limits),
                    Catch::Contains("line 4"));
  CHECK_THROWS_WITH(
      CheckInputFile("{\"custom_id\":\"a\",\"body\":{}}\n{bad", limits),
      Catch::Contains("line 2"));
  CHECK_THROWS_WITH(CheckInputFile(Desk::Lines(1) + Desk::Lines(1), limits),
                    Catch::Contains("line 2") && Catch::Contains("/custom_id"));
  CHECK_THROWS_WITH(CheckInputFile("{\"body\":{}}", limits),
                    Catch::Contains("/custom_id"));
  CHECK_THROWS_WITH(CheckInputFile("{\"custom_id\":\"a\"}", limits),
                    Catch::Contains("/body"));
  CHECK_THROWS_WITH(CheckInputFile(std::string(100, ' '), limits),
                    Catch::Contains("limit is 60"));
  CHECK_THROWS_AS(CheckInputFile("", limits), ResultError);
}

TEST_CASE("a file is uploaded in chunks and may be sent again") {
  Desk desk;
  desk.files.Append("f", "kivu", 0, "one\n", false, 0);
  desk.files.Append("f", "kivu", 0, "one\n", false, 0);
  CHECK_THROWS_AS(desk.files.Append("f", "kivu", 9, "gap\n", false, 0),
                  ResultError);
  desk.files.Append("f", "kivu", 4, "two\n", true, 0);
  CHECK(desk.files.Read(*desk.files.Find("f"), 2, 4) == "e\ntw");
  CHECK(desk.files.Find("f")->complete);
}

}  // namespace papayarack::jobs
