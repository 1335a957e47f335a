#include "loadreport.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace papayarack::bench {
namespace {

double Quantile(std::vector<double>& sorted, double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto position = static_cast<std::size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::min(sorted.size() - 1, position == 0 ? 0 : position - 1)];
}

nlohmann::json Quantiles(std::vector<double> values) {
  std::ranges::sort(values);
  return {{"p50", Quantile(values, 0.5)},
          {"p95", Quantile(values, 0.95)},
          {"p99", Quantile(values, 0.99)},
          {"count", values.size()}};
}

}  // namespace

void LoadReport::Add(RequestOutcome outcome) {
  const std::lock_guard lock(this->mutex);
  this->outcomes.push_back(std::move(outcome));
}

nlohmann::json LoadReport::Summary() const {
  const std::lock_guard lock(this->mutex);
  std::vector<double> first;
  std::vector<double> total;
  std::vector<double> gaps;
  std::map<std::string, int> statuses;
  int whole = 0;
  for (const RequestOutcome& outcome : this->outcomes) {
    statuses[std::to_string(outcome.status)] += 1;
    if (!outcome.whole) {
      continue;
    }
    ++whole;
    first.push_back(outcome.first_token);
    total.push_back(outcome.total);
    gaps.insert(gaps.end(), outcome.gaps.begin(), outcome.gaps.end());
  }
  return {{"requests", this->outcomes.size()},
          {"whole", whole},
          {"statuses", statuses},
          {"first_token_ms", Quantiles(std::move(first))},
          {"between_tokens_ms", Quantiles(std::move(gaps))},
          {"total_ms", Quantiles(std::move(total))}};
}

}  // namespace papayarack::bench
