#ifndef PAPAYARACK_STANDINS_ENGINEMODEL_H_
#define PAPAYARACK_STANDINS_ENGINEMODEL_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace papayarack::standins {

/// Behaviour of the stand-in engine. A step takes base * max(1, running / knee)
/// plus the prefill time of newly admitted prompts: constant while
/// memory-bound, then growing.
struct EngineOptions {
  std::size_t slots = 64;
  double base_ms = 20;
  double knee = 16;
  double prefill_us_per_token = 60;
  std::size_t cache_blocks = 512;
  std::uint64_t seed = 1;
  bool checks_fencing = true;
};

/// A request in the engine.
struct EngineRequest {
  std::string id;
  std::uint32_t prompt_tokens = 0;
  std::uint64_t prompt_hash = 0;
  std::uint32_t produced = 0;  ///< Includes the tokens before a resume.
  std::uint32_t wanted = 0;
  std::uint32_t delivered = 0;
  bool cancelled = false;
  bool muted = false;  ///< Never sends another token.
};

/// Simulates continuous batching in real time, with a bounded prefix cache and
/// no priorities. Thread safety: every method, any thread.
class EngineModel {
 public:
  explicit EngineModel(const EngineOptions& options);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  std::shared_ptr<EngineRequest> Submit(std::string id, std::string_view prompt,
                                        std::uint32_t wanted,
                                        std::uint32_t resume_at);
  /// Waits for the next token. False at the end, or when cancelled. Blocks on a
  /// muted request until it is cancelled.
  bool NextToken(EngineRequest& request, std::string& token);
  void Cancel(EngineRequest& request);
  std::string LoadReport();  ///< JSON; delayed by half a second.
  std::string CacheEvents(
      std::uint64_t since);  ///< JSON; some events are dropped.
  std::string Counts();      ///< JSON; total runs and tokens.
  /// Accepts an order. False if its fencing number is outdated and
  /// checks_fencing is set.
  bool Order(const std::string& what, std::uint64_t fence);
  std::string Orders();  ///< JSON: the accepted orders.
  std::string ExportCache(std::uint64_t prompt_hash);
  void ImportCache(const std::string& bytes);
  void SetSlow(double factor);
  void MuteAll();  ///< Mutes the running requests.

 private:
  void Run();
  double AdmitAndPrefill();
  double PrefillTokens(const EngineRequest& request);

  EngineOptions options;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::shared_ptr<EngineRequest>> waiting;
  std::list<std::shared_ptr<EngineRequest>> running;
  std::list<std::uint64_t> cache_order;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
  std::vector<std::pair<std::uint64_t, std::string>> cache_events;
  std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>>
      load_reports;
  std::map<std::string, std::uint32_t> runs;
  std::map<std::string, std::uint64_t> orders;
  std::uint64_t fence = 0;
  std::uint64_t event_number = 0;
  std::uint64_t tokens = 0;
  double slow = 1;
  bool stopping = false;
  std::mt19937_64 random;
  std::thread thread;
};

}  // namespace papayarack::standins

#endif  // PAPAYARACK_STANDINS_ENGINEMODEL_H_
