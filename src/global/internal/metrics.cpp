#include "global/metrics.h"

#include <fmt/format.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace papayarack {

namespace acc = boost::accumulators;

namespace {
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.95, 0.99};
using Accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

/// Names that differ only in their labels are one family with one TYPE line.
/// They are adjacent in the map, as '{' sorts after every other character of a
/// name.
template <typename Values>
void AddFamilies(const Values& values, std::string_view type,
                 std::string& text) {
  std::string_view last;
  for (const auto& [name, value] : values) {
    const std::string_view whole = name;
    const std::string_view family = whole.substr(0, whole.find('{'));
    if (family != last) {
      text += fmt::format("# TYPE papayarack_{} {}\n", family, type);
      last = family;
    }
    text += fmt::format("papayarack_{} {}\n", name, value);
  }
}
}  // namespace

struct Metrics::Distribution {
  Accumulator values{acc::tag::extended_p_square::probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Add(std::string_view name, std::uint64_t amount) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->counters.find(name);
  if (found != this->counters.end()) {
    found->second += amount;
  } else {
    this->counters.emplace(name, amount);
  }
}

void Metrics::SetTotal(std::string_view name, std::uint64_t total) {
  const std::lock_guard lock(this->mutex);
  this->counters.insert_or_assign(std::string(name), total);
}

void Metrics::Set(std::string_view name, double value) {
  const std::lock_guard lock(this->mutex);
  this->gauges.insert_or_assign(std::string(name), value);
}

void Metrics::Observe(std::string_view name, double value) {
  const std::lock_guard lock(this->mutex);
  auto found = this->distributions.find(name);
  if (found == this->distributions.end()) {
    found = this->distributions.emplace(name, std::make_unique<Distribution>())
                .first;
  }
  found->second->values(value);
}

std::string Metrics::Exposition() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  AddFamilies(this->counters, "counter", text);
  AddFamilies(this->gauges, "gauge", text);
  for (const auto& [name, distribution] : this->distributions) {
    text += fmt::format("# TYPE papayarack_{} summary\n", name);
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      text += fmt::format(
          "papayarack_{}{{quantile=\"{}\"}} {}\n", name, kQuantiles.at(i),
          acc::extended_p_square(
              distribution->values)[static_cast<std::ptrdiff_t>(i)]);
    }
    text += fmt::format("papayarack_{0}_sum {1}\npapayarack_{0}_count {2}\n",
                        name, acc::sum(distribution->values),
                        acc::count(distribution->values));
  }
  return text;
}

}  // namespace papayarack
