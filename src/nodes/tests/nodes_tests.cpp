#include <catch2/catch.hpp>

#include "nodes/noderuntime.h"
#include "nodes/slotmessages.h"

namespace papayarack::nodes {
namespace {

/// SlotReply before it told the start of the engine.
struct FormerReply {
  std::uint8_t verdict = 0;
  std::uint32_t online = 0;
  std::uint32_t waiting = 0;
  std::uint32_t batch = 0;
  std::uint32_t slots = 0;
  std::uint32_t expected_wait_ms = 0;
  MSGPACK_DEFINE(verdict, online, waiting, batch, slots, expected_wait_ms)
};

}  // namespace

TEST_CASE("a slot's verdict survives the wire") {
  SlotReply reply;
  reply.verdict = static_cast<std::uint8_t>(SlotVerdict::kBusy);
  reply.expected_wait_ms = 88;
  const auto decoded = DecodeMessage<SlotReply>(EncodeMessage(reply));
  CHECK(decoded.Verdict() == SlotVerdict::kBusy);
  CHECK(decoded.expected_wait_ms == 88);
}

TEST_CASE("a node shows what it knows of the fleet and what it moved") {
  NodeOptions options;
  options.role = coordination::NodeRole::kGate;
  options.peer_listen = {"127.0.0.1", 0};
  const Dialect dialect;
  NodeRuntime runtime(options, dialect);
  const auto shows = [&runtime](std::string_view text) {
    return runtime.Exposition().find(text) != std::string::npos;
  };
  CHECK(shows("papayarack_peer_unsent_bytes 0\n"));
  CHECK_FALSE(shows("papayarack_configuration_version"));
  runtime.Watch([](const coordination::FleetChange&) {});
  CHECK(shows("papayarack_configuration_version 0\n"));
  // No list yet has no age.
  CHECK_FALSE(shows("papayarack_replica_list_age_ms"));
  runtime.watch->TakeEngines({});
  CHECK(shows("papayarack_replica_list_age_ms "));
}

// Symptom: while processes are replaced one by one, entries and gates of the
// two versions do not understand each other. Cause: a message with a new field
// is refused by, or is not read from, a process that does not know it.
TEST_CASE("a slot's answer is understood between versions") {
  FormerReply former;
  former.expected_wait_ms = 88;
  const auto read = DecodeMessage<SlotReply>(EncodeMessage(former));
  CHECK(read.expected_wait_ms == 88);
  CHECK(read.engine_started_ms == 0);
  SlotReply reply;
  reply.expected_wait_ms = 89;
  reply.engine_started_ms = 1700000000123;
  CHECK(DecodeMessage<FormerReply>(EncodeMessage(reply)).expected_wait_ms ==
        89);
  CHECK(DecodeMessage<SlotReply>(EncodeMessage(reply)).engine_started_ms ==
        1700000000123);
}

}  // namespace papayarack::nodes
