#ifndef PAPAYARACK_BENCH_TRACEMAKER_H_
#define PAPAYARACK_BENCH_TRACEMAKER_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayarack::bench {

/// How the online requests of a run come.
struct TraceOptions {
  double rate = 20;         ///< Mean requests a second.
  double seconds = 20;      ///< Length of the run.
  double burst = 3;         ///< Rate of a burst over the mean.
  double swing = 0.3;       ///< The day's shape: rate times 1 +- swing.
  int prefixes = 20;        ///< Shared prompt prefixes, the first most common.
  double mean_tokens = 16;  ///< Answer tokens; heavy-tailed.
  std::uint64_t seed = 1;
};

/// One request of a trace.
struct TraceRequest {
  double at = 0;  ///< Seconds from the start.
  int prefix = 0;
  std::uint32_t tokens = 1;
  std::uint32_t prompt_words = 1;
};

/// A trace, the same for the same options: a Poisson process whose rate swings
/// like a day and jumps in bursts, with Pareto sizes and shared prefixes.
std::vector<TraceRequest> MakeTrace(const TraceOptions& options);

}  // namespace papayarack::bench

#endif  // PAPAYARACK_BENCH_TRACEMAKER_H_
