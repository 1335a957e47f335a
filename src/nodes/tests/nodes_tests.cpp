#include <catch2/catch.hpp>

#include "nodes/noderuntime.h"
#include "nodes/slotmessages.h"

namespace papayarack::nodes {

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

}  // namespace papayarack::nodes
