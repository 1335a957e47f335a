#ifndef PAPAYARACK_BENCH_LOADREPORT_H_
#define PAPAYARACK_BENCH_LOADREPORT_H_

#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace papayarack::bench {

/// Result of a request; times in milliseconds.
struct RequestOutcome {
  int status = 0;
  bool whole = false;
  double first_token = 0;  ///< From the scheduled time, not the send time.
  double total = 0;
  std::vector<double> gaps;  ///< Between tokens.
};

/// Collects and summarises request outcomes. Thread safety: any thread.
class LoadReport {
 public:
  void Add(RequestOutcome outcome);
  nlohmann::json Summary() const;

 private:
  mutable std::mutex mutex;
  std::vector<RequestOutcome> outcomes;
};

}  // namespace papayarack::bench

#endif  // PAPAYARACK_BENCH_LOADREPORT_H_
