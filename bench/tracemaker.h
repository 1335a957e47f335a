#ifndef PAPAYARACK_BENCH_TRACEMAKER_H_
#define PAPAYARACK_BENCH_TRACEMAKER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayarack::bench {

/// Parameters of the online requests of a run.
struct TraceOptions {
  double rate = 20;         ///< Mean requests per second.
  double seconds = 20;      ///< Length of the run.
  double burst = 3;         ///< Burst rate as a multiple of the mean.
  double swing = 0.3;       ///< Daily variation: rate times 1 +- swing.
  int prefixes = 20;        ///< Shared prompt prefixes, the first most common.
  double mean_tokens = 16;  ///< Response tokens; heavy-tailed.
  std::uint64_t seed = 1;
};

/// A request of a trace.
struct TraceRequest {
  double at = 0;  ///< Seconds from the start.
  int prefix = 0;
  std::uint32_t tokens = 1;
  std::uint32_t prompt_words = 1;
};

/// Generates a trace, deterministic for given options: a Poisson process whose
/// rate varies over a day and in bursts, with Pareto sizes and shared prefixes.
std::vector<TraceRequest> MakeTrace(const TraceOptions& options);

}  // namespace papayarack::bench

#endif  // PAPAYARACK_BENCH_TRACEMAKER_H_
