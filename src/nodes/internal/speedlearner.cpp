#include "nodes/speedlearner.h"

#include <chrono>
#include <cstdint>

#include "global/logging.h"
#include "speeds/replicaspeed.h"

namespace papayarack::nodes {
namespace {

/// A stream of fewer events says little of the time between two.
constexpr std::uint64_t kMinEvents = 5;

}  // namespace

void SpeedLearner::GateReplied(const std::string& service,
                               const std::string& address,
                               const SlotReply& reply, Time now) {
  const speeds::SpeedStatement statement{
      std::chrono::milliseconds(reply.hold_ms),
      std::chrono::milliseconds(reply.hold_age_ms), reply.pace};
  this->chooser.LearnSpeed(service, address, statement, now);
  this->NoteSpeed(service, address, now);
}

void SpeedLearner::ResponseEnded(const std::string& service,
                                 const std::string& address, Time sent,
                                 const EngineResponse& response, Time now) {
  const EngineResponse::Run& run = response.run();
  if (!response.IsEvents() || run.events < kMinEvents) {
    return;
  }
  const Time end = response.LastHeard();
  const Duration all = end - run.first_event;
  const speeds::StreamTimes times{
      run.first_event - sent, all / static_cast<std::int64_t>(run.events - 1)};
  this->chooser.LearnStream(service, address, times, run.bytes, end);
  this->NoteSpeed(service, address, now);
}

void SpeedLearner::NoteSpeed(const std::string& service,
                             const std::string& address, Time now) {
  const auto change = this->chooser.NoteSpeed(service, address, now);
  if (!change.has_value()) {
    return;
  }
  Log(LogLevel::kInfo, "replica_speed_changed",
      {{"service", service},
       {"address", address},
       {"slowness", change->factor},
       {"source", NameOf(change->source)},
       {"age_ms", change->age.count() / 1000}});
  this->metrics.Set("slow_replicas",
                    static_cast<double>(this->chooser.SlowReplicas()));
}

}  // namespace papayarack::nodes
