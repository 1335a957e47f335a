#include <catch2/catch.hpp>
#include <string>

#include "consensus/raftmessages.h"
#include "global/tests/allocatedbytes.h"

namespace papayarack::consensus {
namespace {

constexpr std::size_t kEntries = 32;
constexpr std::size_t kPayloadBytes = 32'000;
constexpr std::size_t kAllBytes = kEntries * kPayloadBytes;

RaftMessage MakeAppend() {
  AppendRequest request;
  request.prev_index = 100;
  for (Index index = 101; index <= 100 + kEntries; ++index) {
    request.entries.push_back({7, index,
                               static_cast<std::uint8_t>(EntryKind::kCommand),
                               std::string(kPayloadBytes, 'p')});
  }
  return {1, 2, 3, 7, std::move(request)};
}

}  // namespace

TEST_CASE("an encoded message is decoded to the same message") {
  const RaftMessage message = MakeAppend();
  const RaftMessage decoded = DecodeRaftMessage(EncodeRaftMessage(message));
  CHECK(decoded.group == message.group);
  CHECK(decoded.from == message.from);
  CHECK(decoded.to == message.to);
  CHECK(decoded.term == message.term);
  const auto& sent = std::get<AppendRequest>(message.body);
  const auto& received = std::get<AppendRequest>(decoded.body);
  CHECK(received.prev_index == sent.prev_index);
  REQUIRE(received.entries.size() == kEntries);
  CHECK(received.entries.back().index == sent.entries.back().index);
  CHECK(received.entries.back().payload == sent.entries.back().payload);
}

// Guards against a leader that spends most of its time on copies of entries
// while it sends them to its followers.
TEST_CASE("a large append is encoded without further copies of its entries") {
  const RaftMessage message = MakeAppend();
  std::string encoded;
  const std::size_t allocated =
      BytesAllocatedBy([&] { encoded = EncodeRaftMessage(message); });
  CHECK(encoded.size() > kAllBytes);
  CHECK(allocated < kAllBytes + kAllBytes / 10);
}

}  // namespace papayarack::consensus
