#include <catch2/catch.hpp>

#include "batches/resulttexts.h"
#include "global/hash.h"
#include "global/resultcode.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::batches {
namespace {

void MoveToFiles(ResultTexts& texts) {
  if (const auto work = texts.Archive()) {
    work();
  }
  texts.Archived();
}

/// A disk that loses its power at a sync, after it has done what was cut off
/// before.
class LosesPowerAtSync : public storage::MemoryFileSystem {
 public:
  void Truncate(const std::string& name, std::uint64_t size) override {
    MemoryFileSystem::Truncate(name, size);
    MemoryFileSystem::SyncFile(name);
  }
  void SyncFile(const std::string& name) override {
    if (this->loses_power) {
      throw ResultError(ResultCode::kStorageDamaged, "the power is lost");
    }
    MemoryFileSystem::SyncFile(name);
  }

  bool loses_power = false;
};

}  // namespace

// Guards against a store limited to 130 MB that runs out of memory. Load: 32
// results of 10 KB per second for a minute, with a snapshot every 2 MB.
TEST_CASE("the texts in memory are limited by snapshots") {
  storage::MemoryFileSystem files;
  ResultTexts texts(files);
  constexpr std::size_t kText = 10'000;
  constexpr std::uint64_t kSnapshot = 2'000'000;
  std::vector<TextRef> refs;
  std::uint64_t max_in_memory = 0;
  for (int i = 0; i < 32 * 60; ++i) {
    refs.push_back(
        texts.Add(std::string(kText, static_cast<char>('a' + i % 26))));
    max_in_memory = std::max(max_in_memory, texts.InMemory());
    if (texts.InMemory() >= kSnapshot) {
      MoveToFiles(texts);
    }
  }
  CHECK(max_in_memory <= kSnapshot + kText);
  CHECK(texts.Read(refs.front()) == std::string(kText, 'a'));
  SECTION("and files are deleted once no result refers to them") {
    CHECK(files.List().size() == 3);
    texts.DropBefore(refs.back().offset);
    CHECK(files.List().size() == 1);
    CHECK_THROWS_AS(texts.Read(refs.front()), ResultError);
    CHECK(texts.Read(refs.back()).size() == kText);
  }
}

TEST_CASE("texts added while others move to files stay in memory") {
  storage::MemoryFileSystem files;
  ResultTexts texts(files);
  const TextRef first = texts.Add("first");
  const auto work = texts.Archive();
  const TextRef second = texts.Add("second");
  work();
  texts.Archived();
  CHECK(texts.InMemory() == second.length);
  CHECK(texts.Read(first) == "first");
  CHECK(texts.Read(second) == "second");
}

// Guards against a result with a wrong text after a power loss: texts were
// written to files, but the snapshot that refers to them was not. The log is
// applied again, and the leftover bytes in the file must be cut off.
TEST_CASE("a move to files that a power loss interrupted is repeated") {
  storage::MemoryFileSystem files;
  {
    ResultTexts texts(files);
    texts.Add("kept");
    MoveToFiles(texts);
    texts.Add("written but not in a snapshot");
    texts.Archive()();
  }
  ResultTexts texts(files);
  texts.Open(4);
  const TextRef again = texts.Add("other");
  MoveToFiles(texts);
  CHECK(again.offset == 4);
  CHECK(texts.Read(again) == "other");
  CHECK(texts.Read({0, 4, Hash64("kept")}) == "kept");
}

TEST_CASE("damaged texts are detected") {
  storage::MemoryFileSystem files;
  ResultTexts texts(files);
  const TextRef ref = texts.Add("a text");
  MoveToFiles(texts);
  files.Corrupt(files.List().front(), 2);
  CHECK_THROWS_AS(texts.Read(ref), ResultError);
  SECTION("and so are files with fewer bytes than the snapshot records") {
    ResultTexts reopened(files);
    CHECK_THROWS_AS(reopened.Open(100), ResultError);
  }
}

// Guards against a store that ends at each start: a snapshot was durable, and
// the power was lost while an import wrote the texts that it refers to anew.
TEST_CASE("an import keeps the texts of a snapshot that was just written") {
  LosesPowerAtSync files;
  {
    ResultTexts texts(files);
    texts.Add("kept");
    MoveToFiles(texts);
    texts.Add(" written");
    texts.Archive()();
    files.loses_power = true;
    CHECK_THROWS_AS(texts.Import(0, "kept written imported"), ResultError);
    files.loses_power = false;
    files.Crash(0);
  }
  ResultTexts restarted(files);
  restarted.Open(12);
  CHECK(restarted.Read({4, 8, Hash64(" written")}) == " written");
}

TEST_CASE("a member that was far behind stores imported texts after a gap") {
  storage::MemoryFileSystem files;
  ResultTexts texts(files);
  texts.Add("old");
  MoveToFiles(texts);
  texts.Import(1000, "newer");
  texts.Open(1005);
  CHECK(texts.Read({1000, 5, Hash64("newer")}) == "newer");
  const TextRef next = texts.Add("next");
  CHECK(next.offset == 1005);
  MoveToFiles(texts);
  CHECK(texts.Read(next) == "next");
}

}  // namespace papayarack::batches
