#include "tracemaker.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace papayarack::bench {
namespace {

constexpr double kBurstIntervalSeconds = 4.0;
constexpr double kBurstSeconds = 0.4;
constexpr double kParetoShape = 2.2;
constexpr std::uint32_t kMaxTokens = 160;
constexpr std::uint32_t kMaxWords = 600;

/// A Pareto sample with the given mean.
double SamplePareto(std::mt19937_64& random, double mean) {
  const double minimum = mean * (kParetoShape - 1) / kParetoShape;
  std::uniform_real_distribution<double> uniform(1e-9, 1.0);
  return minimum / std::pow(uniform(random), 1.0 / kParetoShape);
}

double RateAt(const TraceOptions& options, double at) {
  const double day =
      1 + options.swing * std::sin(2 * std::numbers::pi * at / options.seconds);
  const bool burst = std::fmod(at, kBurstIntervalSeconds) < kBurstSeconds;
  // Lowers the rate between bursts so that the mean is the requested rate.
  const double share = kBurstSeconds / kBurstIntervalSeconds;
  const double quiet = (1 - share * options.burst) / (1 - share);
  return options.rate * day * (burst ? options.burst : std::max(0.1, quiet));
}

}  // namespace

std::vector<TraceRequest> MakeTrace(const TraceOptions& options) {
  std::mt19937_64 random(options.seed);
  const double peak = options.rate * (1 + options.swing) * options.burst;
  std::exponential_distribution<double> gap(peak);
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  std::vector<TraceRequest> trace;
  for (double at = gap(random); at < options.seconds; at += gap(random)) {
    // Thins a Poisson process of the peak rate.
    if (uniform(random) > RateAt(options, at) / peak) {
      continue;
    }
    TraceRequest request;
    request.at = at;
    const double skewed = std::pow(uniform(random), 2.0);
    request.prefix = static_cast<int>(skewed * options.prefixes);
    request.tokens = std::clamp<std::uint32_t>(
        static_cast<std::uint32_t>(SamplePareto(random, options.mean_tokens)),
        1, kMaxTokens);
    request.prompt_words = std::clamp<std::uint32_t>(
        static_cast<std::uint32_t>(SamplePareto(random, 60)), 4, kMaxWords);
    trace.push_back(request);
  }
  return trace;
}

}  // namespace papayarack::bench
