#ifndef PAPAYARACK_GLOBAL_METRICS_H_
#define PAPAYARACK_GLOBAL_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace papayarack {

/// Counters, gauges and distributions of one process, in the Prometheus text
/// exposition format. The name of a counter or gauge may end with labels, as in
/// `sent_bytes_total{path="/a"}`, whose values need no escaping. Thread safety:
/// every method, any thread.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Adds to a counter; `name` ends in _total.
  void Add(std::string_view name, std::uint64_t amount = 1);
  /// Sets a counter whose value is kept elsewhere; `total` never decreases.
  /// `name` ends in _total.
  void SetTotal(std::string_view name, std::uint64_t total);
  /// Sets a gauge; `name` ends in its unit.
  void Set(std::string_view name, double value);
  /// Adds one observation; `name` ends in _seconds or _bytes.
  void Observe(std::string_view name, double value);
  /// All metrics in text exposition format.
  std::string Exposition() const;

 private:
  struct Distribution;
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, std::unique_ptr<Distribution>, std::less<>>
      distributions;
};

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_METRICS_H_
