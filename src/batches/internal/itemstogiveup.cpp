#include "batches/itemstogiveup.h"

#include <cstdint>
#include <utility>

namespace papayarack::batches {
namespace {

ItemOutcome GivenUp(const std::string& batch, const BatchState::Item& item) {
  ItemOutcome outcome;
  outcome.batch = batch;
  outcome.item = item.spec.id;
  outcome.end = static_cast<std::uint8_t>(ItemEnd::kGivenUp);
  return outcome;
}

}  // namespace

ReportOutcomes ItemsToGiveUp::OfRemovedRoutes(const BatchState& state,
                                              const routes::RouteTable& table) {
  const std::uint64_t version = table.configuration().version;
  ReportOutcomes report;
  for (const auto& [id, batch] : state.batches()) {
    if (!batch.Open() || batch.config_version > version ||
        table.FindBatchRoute(batch.route_key) != nullptr) {
      continue;
    }
    for (const BatchState::Item& item : batch.items) {
      if (!item.has_result) {
        report.outcomes.push_back(GivenUp(id, item));
      }
    }
  }
  return report;
}

ReportOutcomes ItemsToGiveUp::ThatWaitTooLong(const BatchState& state,
                                              const routes::RouteTable& table,
                                              const LeaseScheduler& leases,
                                              Time now) {
  std::erase_if(this->known_since, [&state](const auto& entry) {
    const BatchState::Batch* batch = state.Find(entry.first);
    return batch == nullptr || !batch->Open();
  });
  ReportOutcomes report;
  for (const auto& [id, batch] : state.batches()) {
    if (!batch.Open()) {
      continue;
    }
    const Time since = this->known_since.try_emplace(id, now).first->second;
    const routes::Route* route = table.FindBatchRoute(batch.route_key);
    const bool is_bounded =
        route != nullptr && route->batch.max_item_wait > Duration(0);
    if (!is_bounded || now - since <= route->batch.max_item_wait) {
      continue;
    }
    for (const BatchState::Item& item : batch.items) {
      if (report.outcomes.size() < kMaxAtOnce && !item.has_result &&
          leases.IsWaiting({id, item.spec.id})) {
        report.outcomes.push_back(GivenUp(id, item));
      }
    }
  }
  return report;
}

}  // namespace papayarack::batches
