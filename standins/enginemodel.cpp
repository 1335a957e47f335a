#include "enginemodel.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "global/hash.h"

namespace papayarack::standins {
namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kCachedPrefixBytes = 256;
constexpr std::chrono::milliseconds kReportLag{500};
constexpr int kEventLossPercent = 10;
constexpr double kCachedCost = 0.1;

}  // namespace

EngineModel::EngineModel(const EngineOptions& options)
    : options(options), random(options.seed) {
  this->thread = std::thread([this] { this->Run(); });
}

EngineModel::~EngineModel() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

std::shared_ptr<EngineRequest> EngineModel::Submit(std::string id,
                                                   std::string_view prompt,
                                                   std::uint32_t wanted,
                                                   std::uint32_t resume_at) {
  auto request = std::make_shared<EngineRequest>();
  request->id = std::move(id);
  request->prompt_tokens =
      static_cast<std::uint32_t>(prompt.size() / kBytesPerToken + 1);
  request->prompt_hash = Hash64(prompt.substr(0, kCachedPrefixBytes));
  request->produced = resume_at;
  request->delivered = resume_at;
  request->wanted = std::max(wanted, resume_at);
  const std::lock_guard lock(this->mutex);
  this->runs[request->id] += 1;
  this->waiting.push_back(request);
  this->changed.notify_all();
  return request;
}

double EngineModel::PrefillTokens(const EngineRequest& request) {
  const auto cached = this->cache.find(request.prompt_hash);
  if (cached != this->cache.end()) {
    this->cache_order.splice(this->cache_order.begin(), this->cache_order,
                             cached->second);
    return request.prompt_tokens * kCachedCost;
  }
  this->cache_order.push_front(request.prompt_hash);
  this->cache[request.prompt_hash] = this->cache_order.begin();
  this->cache_events.emplace_back(
      ++this->event_number, "stored " + std::to_string(request.prompt_hash));
  if (this->cache.size() > this->options.cache_blocks) {
    this->cache_events.emplace_back(
        ++this->event_number,
        "evicted " + std::to_string(this->cache_order.back()));
    this->cache.erase(this->cache_order.back());
    this->cache_order.pop_back();
  }
  return request.prompt_tokens;
}

double EngineModel::AdmitAndPrefill() {
  double prefill = 0;
  while (!this->waiting.empty() && this->running.size() < this->options.slots) {
    if (!this->waiting.front()->cancelled) {
      prefill += this->PrefillTokens(*this->waiting.front());
      this->running.push_back(this->waiting.front());
    }
    this->waiting.pop_front();
  }
  return prefill;
}

void EngineModel::Run() {
  std::unique_lock lock(this->mutex);
  while (!this->stopping) {
    std::erase_if(this->running,
                  [](const auto& request) { return request->cancelled; });
    const double prefill = this->AdmitAndPrefill();
    if (this->running.empty()) {
      this->changed.wait_for(lock, std::chrono::milliseconds(50));
      continue;
    }
    const auto streams = static_cast<double>(this->running.size());
    const double step_ms =
        (this->options.base_ms * std::max(1.0, streams / this->options.knee) +
         prefill * this->options.prefill_us_per_token / 1000) *
        this->slow;
    const auto until =
        std::chrono::steady_clock::now() +
        std::chrono::microseconds(static_cast<std::int64_t>(step_ms * 1000));
    lock.unlock();
    std::this_thread::sleep_until(until);
    lock.lock();
    for (const auto& request : this->running) {
      request->produced += 1;
      this->tokens += 1;
    }
    std::erase_if(this->running, [](const auto& request) {
      return request->cancelled || request->produced >= request->wanted;
    });
    nlohmann::json report = {{"running", this->running.size()},
                             {"waiting", this->waiting.size()}};
    this->load_reports.emplace_back(until, report.dump());
    while (this->load_reports.size() > 2 &&
           this->load_reports[1].first < until - kReportLag) {
      this->load_reports.pop_front();
    }
    this->changed.notify_all();
  }
}

bool EngineModel::NextToken(EngineRequest& request, std::string& token) {
  std::unique_lock lock(this->mutex);
  this->changed.wait(lock, [&] {
    return this->stopping || request.cancelled ||
           (!request.muted && (request.delivered < request.produced ||
                               request.delivered >= request.wanted));
  });
  if (request.cancelled || this->stopping ||
      request.delivered >= request.wanted) {
    return false;
  }
  const std::uint64_t word =
      Hash64(std::to_string(request.delivered), request.prompt_hash);
  token = "w" + std::to_string(word % 1000) + " ";
  request.delivered += 1;
  return true;
}

void EngineModel::Cancel(EngineRequest& request) {
  const std::lock_guard lock(this->mutex);
  request.cancelled = true;
  this->changed.notify_all();
}

std::string EngineModel::LoadReport() {
  const std::lock_guard lock(this->mutex);
  return this->load_reports.empty() ? R"({"running":0,"waiting":0})"
                                    : this->load_reports.front().second;
}

std::string EngineModel::CacheEvents(std::uint64_t since) {
  const std::lock_guard lock(this->mutex);
  nlohmann::json events = nlohmann::json::array();
  std::uniform_int_distribution<int> percent(0, 99);
  for (const auto& [number, event] : this->cache_events) {
    if (number > since && percent(this->random) >= kEventLossPercent) {
      events.push_back({{"number", number}, {"event", event}});
    }
  }
  return events.dump();
}

std::string EngineModel::Counts() {
  const std::lock_guard lock(this->mutex);
  return nlohmann::json({{"runs", this->runs}, {"tokens", this->tokens}})
      .dump();
}

bool EngineModel::Order(const std::string& what, std::uint64_t number) {
  const std::lock_guard lock(this->mutex);
  if (this->options.checks_fencing && number < this->fence) {
    return false;
  }
  this->fence = std::max(this->fence, number);
  this->orders[what] = number;
  return true;
}

std::string EngineModel::Orders() {
  const std::lock_guard lock(this->mutex);
  return nlohmann::json(this->orders).dump();
}

std::string EngineModel::ExportCache(std::uint64_t prompt_hash) {
  const std::lock_guard lock(this->mutex);
  return this->cache.count(prompt_hash) > 0
             ? "kv:" + std::to_string(prompt_hash)
             : std::string();
}

void EngineModel::ImportCache(const std::string& bytes) {
  if (!bytes.starts_with("kv:")) {
    return;
  }
  const std::lock_guard lock(this->mutex);
  const std::uint64_t hash = std::stoull(bytes.substr(3));
  if (this->cache.count(hash) == 0) {
    this->cache_order.push_front(hash);
    this->cache[hash] = this->cache_order.begin();
  }
}

void EngineModel::SetSlow(double factor) {
  const std::lock_guard lock(this->mutex);
  this->slow = factor;
}

void EngineModel::MuteAll() {
  const std::lock_guard lock(this->mutex);
  for (const auto& request : this->running) {
    request->muted = true;
  }
}

}  // namespace papayarack::standins
