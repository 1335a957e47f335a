#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "nodes/speedlearner.h"

namespace papayarack::nodes {
namespace {

using std::chrono::milliseconds;

constexpr int kReplicas = 4;
constexpr int kRounds = 8;
const Time kBegin{std::chrono::seconds(100)};

std::string AddressOf(int replica) { return "e" + std::to_string(replica); }

/// A complete response sent at kBegin whose events come every `gap`.
EngineResponse ResponseOf(int events, milliseconds gap, bool stream = true) {
  EngineResponse response;
  response.BeginAttempt(0, kBegin);
  response.HeadArrived(200, kBegin);
  response.SetEvents(stream);
  for (int id = 1; id <= events; ++id) {
    response.AddBody("id: " + std::to_string(id) + "\ndata: a\n\n",
                     kBegin + id * gap, [](std::string_view) {});
  }
  return response;
}

/// Replicas of which the first is slow.
struct Fleet {
  Fleet() {
    std::vector<placement::EngineOption> options(kReplicas);
    for (int i = 0; i < kReplicas; ++i) {
      options[i].address = AddressOf(i);
    }
    this->chooser.SetOptions("llm", options);
  }
  void EndStreams(int events, bool stream = true) {
    for (int i = 0; i < kRounds * kReplicas; ++i) {
      const int replica = i % kReplicas;
      const milliseconds gap(replica == 0 ? 85 : 17);
      const EngineResponse response = ResponseOf(events, gap, stream);
      this->learner.ResponseEnded("llm", AddressOf(replica), kBegin, response,
                                  response.LastHeard());
    }
  }
  double Slowness(int replica) const {
    return this->chooser.SlownessOf("llm", AddressOf(replica), kBegin);
  }
  bool ShowsSlowReplicas(int count) const {
    return this->metrics.Exposition().find("papayarack_slow_replicas " +
                                           std::to_string(count)) !=
           std::string::npos;
  }

  Metrics metrics;
  placement::EngineChooser chooser{3};
  SpeedLearner learner{this->chooser, this->metrics};
};

}  // namespace

// Guards against a slow replica that is not found, and against replicas that
// are taken for slow because of a few events.
TEST_CASE("the speed of replicas is learned from complete streams") {
  Fleet fleet;
  SECTION("the time between events counts from the first to the last one") {
    fleet.EndStreams(5);
    CHECK(fleet.Slowness(0) == Approx(5));
    CHECK(fleet.Slowness(1) == 1);
    CHECK(fleet.ShowsSlowReplicas(1));
  }
  SECTION("a stream of a few events says too little") {
    fleet.EndStreams(4);
    CHECK(fleet.Slowness(0) == 1);
  }
  SECTION("a response without events says nothing") {
    fleet.EndStreams(5, false);
    CHECK(fleet.Slowness(0) == 1);
  }
}

// Guards against statements of gates that are decoded but have no effect on the
// choice.
TEST_CASE("the speed of replicas is learned from their gates") {
  Fleet fleet;
  for (int i = 0; i < kRounds * kReplicas; ++i) {
    SlotReply reply;
    reply.hold_ms = i % kReplicas == 0 ? 1200 : 500;
    fleet.learner.GateReplied("llm", AddressOf(i % kReplicas), reply, kBegin);
  }
  CHECK(fleet.Slowness(0) == Approx(2.4));
  CHECK(fleet.Slowness(1) == 1);
  CHECK(fleet.ShowsSlowReplicas(1));
}

}  // namespace papayarack::nodes
