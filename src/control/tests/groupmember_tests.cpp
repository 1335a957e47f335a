#include <catch2/catch.hpp>
#include <string>

#include "control/internal/groupmember.h"
#include "global/resultcode.h"
#include "storage/memoryfilesystem.h"

namespace papayarack::control {
namespace {

constexpr const char* kFetched = "fetched-0000";

/// A disk that has done its removals when it loses its power, just before a
/// snapshot file is put in place.
class LosesPowerAtSnapshot : public storage::MemoryFileSystem {
 public:
  void Rename(const std::string& from, const std::string& to) override {
    if (this->loses_power && to.starts_with("snapshot")) {
      this->SyncFolder();
      throw ResultError(ResultCode::kStorageDamaged, "the power is lost");
    }
    MemoryFileSystem::Rename(from, to);
  }

  bool loses_power = false;
};

/// A member that is sent snapshots, and starts again with what its disk holds.
class Receiver {
 public:
  Receiver() {
    consensus::CreateGroup(this->files, 0, this->members);
    consensus::WriteIdentity(this->files, {1, "test"});
  }

  /// Installs a snapshot with blob bytes from `blob_start` on; returns whether
  /// the member could.
  bool Install(consensus::Index index, const std::string& state,
               std::uint64_t blob_start, const std::string& blobs) {
    if (!blobs.empty()) {
      this->files.Append(kFetched, blobs);
    }
    consensus::SnapshotMeta meta;
    meta.index = index;
    meta.term = 1;
    meta.members = this->members;
    meta.blob_length = blob_start + blobs.size();
    GroupMember member(this->files, this->Options(), this->Handlers(), {});
    member.Install(meta, state, kFetched, blob_start);
    return !member.Failed();
  }

  /// Length of the blob store after a start.
  std::uint64_t BlobsAfterStart() {
    GroupMember member(this->files, this->Options(), this->Handlers(), {});
    return member.blobs().length();
  }

  /// All of the first `length` bytes, after a start.
  std::string ReadAfterStart(std::size_t length) {
    GroupMember member(this->files, this->Options(), this->Handlers(), {});
    return member.blobs().ReadAt(0, length);
  }

  std::string EmptyState() {
    storage::MemoryFileSystem other;
    storage::BlobStore blobs(other, "blob");
    return statemachine::StateMachine(blobs).Save();
  }

  LosesPowerAtSnapshot files;

 private:
  consensus::RaftOptions Options() const {
    consensus::RaftOptions options;
    options.self = 1;
    return options;
  }
  GroupHandlers Handlers() const {
    return {[](const auto&) {},        [](const auto&) {},
            [](const auto&) {},        [](const auto&) {},
            [](auto, const auto&) {},  [](RequestToken) {},
            [](consensus::MemberId) {}};
  }

  // It has no majority, so that it stays a follower.
  consensus::MemberList members{{{1, "a:1", true}, {2, "b:1", true}}};
};

}  // namespace

// Guards against a member that ends at each start, because of a snapshot that
// it was sent.
TEST_CASE("a member starts again after it was sent a snapshot") {
  Receiver receiver;
  REQUIRE(receiver.Install(5, receiver.EmptyState(), 0, "blobs"));
  REQUIRE(receiver.BlobsAfterStart() == 5);
  SECTION("that it cannot load") {
    CHECK_FALSE(receiver.Install(9, "not a state", 5, "more"));
    CHECK(receiver.BlobsAfterStart() == 5);
  }
  SECTION("without the blobs before it, as none is needed any more") {
    CHECK(receiver.Install(9, receiver.EmptyState(), 100, {}));
    CHECK(receiver.BlobsAfterStart() == 100);
    CHECK(receiver.BlobsAfterStart() == 100);
  }
  SECTION("with blobs behind a gap") {
    CHECK(receiver.Install(9, receiver.EmptyState(), 100, "later"));
    CHECK(receiver.BlobsAfterStart() == 105);
  }
  SECTION("with blobs that it got meanwhile") {
    CHECK(receiver.Install(9, receiver.EmptyState(), 3, "bs and more"));
    CHECK(receiver.ReadAfterStart(14) == "blobs and more");
  }
  SECTION("that became durable in part only") {
    receiver.files.loses_power = true;
    CHECK_FALSE(receiver.Install(9, receiver.EmptyState(), 100, "later"));
    receiver.files.loses_power = false;
    receiver.files.Crash(0);
    CHECK(receiver.ReadAfterStart(5) == "blobs");
  }
}

}  // namespace papayarack::control
