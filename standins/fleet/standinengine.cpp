#include "fleet/standinengine.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayarack::standins {
namespace {

constexpr std::size_t kPageSize = 2;
/// Unread bytes above which a run produces no events, so that a response that
/// is read slowly does not fill this process's memory.
constexpr std::size_t kMaxUnreadBytes = 1U << 20U;
constexpr int kMisdirected = 421;
/// Each start is this much later than the one before.
constexpr std::uint64_t kLaterMs = 1000;
constexpr int kServiceUnavailable = 503;

/// Whether a prompt, given as ID:TOKENS entries, has the part of that id.
bool HasPart(std::string_view prompt, std::string_view part) {
  if (part.empty()) {
    return false;
  }
  const std::string all = fmt::format(",{}", prompt);
  return all.find(fmt::format(",{}:", part)) != std::string::npos;
}

}  // namespace

StandInEngine::StandInEngine(asio::io_context& context,
                             StandInEngineOptions given)
    : options(std::move(given)),
      context(context),
      timer(context),
      restart(context) {
  this->Listen();
  this->Step();
}

void StandInEngine::Listen() {
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](http::ExchangeId exchange,
                               const http::HttpRequest& request) {
    this->OnRequest(exchange, request);
  };
  handlers.on_gone = [this](http::ExchangeId exchange) {
    this->running.erase(exchange);
    this->waiting.erase(exchange);
  };
  this->server = std::make_unique<http::HttpServer>(
      this->context, this->options.listen, http::HttpServerLimits{},
      std::move(handlers));
}

void StandInEngine::CrashOn(std::string path,
                            std::chrono::milliseconds down_for,
                            CrashKind kind) {
  this->crash_path = std::move(path);
  this->down_time = down_for;
  this->crash_kind = kind;
}

void StandInEngine::CrashOnPart(std::string part,
                                std::chrono::milliseconds down_for,
                                CrashKind kind) {
  this->crash_part = std::move(part);
  this->down_time = down_for;
  this->crash_kind = kind;
}

std::size_t StandInEngine::RunsWithPart(std::string_view part) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->seen,
      [part](const SeenRun& run) { return HasPart(run.prompt, part); }));
}

bool StandInEngine::RunsCrashingRequest() const {
  constexpr std::uint64_t kEventsBefore = 2;
  return std::ranges::any_of(this->running, [this](const auto& entry) {
    const Run& run = entry.second;
    const bool crashes =
        run.path == this->crash_path ||
        HasPart(this->seen.at(run.number).prompt, this->crash_part);
    return crashes && run.next > kEventsBefore;
  });
}

void StandInEngine::CrashOrderly() {
  constexpr std::chrono::milliseconds kUntilRefusing{3};
  for (const auto& [exchange, run] : this->running) {
    this->server->Write(exchange, "id: 9");
    this->server->EndStream(exchange);
  }
  this->running.clear();
  this->restart.expires_after(kUntilRefusing);
  this->restart.async_wait([this, alive = this->alive](std::error_code error) {
    if (!error && *alive) {
      this->Crash();
    }
  });
}

void StandInEngine::Crash() {
  ++this->crash_count;
  this->waiting.clear();
  this->running.clear();
  this->server.reset();
  this->restart.expires_after(this->down_time);
  this->restart.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    this->options.started_ms += kLaterMs;
    if (this->changes_id) {
      this->options.id += "-again";
    }
    this->Listen();
  });
}

StandInEngine::~StandInEngine() { *this->alive = false; }

void StandInEngine::Stop() {
  this->waiting.clear();
  this->running.clear();
  this->server.reset();
}

void StandInEngine::Start(std::string id, std::string version) {
  this->options.id = std::move(id);
  this->options.version = std::move(version);
  this->options.started_ms += this->options.started_ms != 0 ? kLaterMs : 0;
  this->Listen();
}

std::string StandInEngine::ExpectedText(const std::string& path,
                                        std::uint64_t events,
                                        const std::string& version) {
  std::string text;
  for (std::uint64_t i = 1; i <= events; ++i) {
    text += i == 1 ? "" : "\n";
    text += fmt::format("{}-{}-{}", path, i, version);
  }
  return text;
}

void StandInEngine::Refuse(http::ExchangeId exchange, int status) {
  http::HttpResponse response;
  response.status = status;
  response.headers.Add("Not-Executed", "1");
  response.headers.Add("Instance-Id", this->options.id);
  this->server->Respond(exchange, response);
}

void StandInEngine::StopResponding() {
  this->unresponsive = true;
  this->running.clear();
  this->waiting.clear();
}

void StandInEngine::Restart(std::uint64_t started_ms) {
  this->unresponsive = false;
  this->running.clear();
  this->options.started_ms = started_ms;
}

void StandInEngine::Report(http::ExchangeId exchange) {
  nlohmann::json report = {{"Running", this->running.size()},
                           {"Waiting", this->waiting.size()}};
  if (this->options.started_ms != 0) {
    report["born"] = this->options.started_ms;
  }
  if (!this->stated_born.empty()) {
    report["born"] = nlohmann::json::parse(this->stated_born);
  }
  http::HttpResponse response;
  response.body = report.dump();
  this->server->Respond(exchange, response);
}

void StandInEngine::ReportLater(http::ExchangeId exchange) {
  const auto wait = std::make_shared<asio::steady_timer>(
      this->timer.get_executor(), this->report_delay);
  wait->async_wait(
      [this, wait, exchange, alive = this->alive](std::error_code) {
        if (*alive && this->server != nullptr) {
          this->Report(exchange);
        }
      });
}

void StandInEngine::OnRequest(http::ExchangeId exchange,
                              const http::HttpRequest& request) {
  if (this->unresponsive) {
    return;
  }
  if (request.Path() == "/report") {
    if (this->report_delay.count() > 0) {
      this->ReportLater(exchange);
    } else {
      this->Report(exchange);
    }
    return;
  }
  const std::string_view expected = request.headers.Get("Expect-Instance");
  if (!expected.empty() && expected != this->options.id) {
    this->Refuse(exchange, kMisdirected);
    return;
  }
  if (this->refuse_next > 0) {
    --this->refuse_next;
    this->Refuse(exchange, kServiceUnavailable);
    return;
  }
  if (this->abort_next > 0) {
    --this->abort_next;
    this->server->Abort(exchange);
    return;
  }
  if (!this->options.admits_all &&
      this->running.size() >= this->options.slots) {
    this->Refuse(exchange, kServiceUnavailable);
    return;
  }
  if (this->options.runs_at_once != 0) {
    this->waiting.emplace(exchange, request);
    this->BeginWaiting();
  } else {
    this->Begin(exchange, request);
  }
}

void StandInEngine::BeginWaiting() {
  while (!this->waiting.empty() &&
         this->running.size() < this->options.runs_at_once) {
    const auto next = this->waiting.extract(this->waiting.begin());
    this->Begin(next.key(), next.mapped());
  }
}

void StandInEngine::Begin(http::ExchangeId exchange,
                          const http::HttpRequest& request) {
  const std::string id(request.headers.Get("Request-Id"));
  Run run;
  run.number = this->seen.size();
  run.path = request.Path();
  run.next =
      http::ParseNumber(request.headers.Get("Last-Event-Id")).value_or(0) + 1;
  run.cut = this->options.cut_next > 0;
  this->options.cut_next -= run.cut ? 1 : 0;
  this->seen.push_back({id, run.path, run.next, false,
                        std::string(request.headers.Get("Prompt-Prefix")),
                        std::string(request.headers.Get("Tenant")),
                        request.headers.Has("Api-Key"), MonotonicNow()});
  http::Headers headers = {{"Content-Type", "text/event-stream"},
                           {"Request-Id", id},
                           {"Response-Seal", "seal-" + id}};
  this->server->BeginStream(exchange, 200, headers);
  this->running.emplace(exchange, std::move(run));
  this->max_running =
      std::max<std::uint64_t>(this->max_running, this->running.size());
}

void StandInEngine::TrackOverload() {
  if (this->running.size() <= this->options.slots) {
    this->overloaded_since = {};
    return;
  }
  const Time now = MonotonicNow();
  if (this->overloaded_since == Time{}) {
    this->overloaded_since = now;
  }
  this->longest_overload_time =
      std::max(this->longest_overload_time, now - this->overloaded_since);
}

/// Each step produces one event of every run, like a batching engine.
void StandInEngine::Step() {
  this->timer.expires_after(this->options.event_time);
  this->timer.async_wait([this, alive = this->alive](std::error_code error) {
    if (error || !*alive) {
      return;
    }
    if (this->RunsCrashingRequest()) {
      if (this->crash_kind == CrashKind::kOrderly) {
        this->CrashOrderly();
      } else {
        this->Crash();
      }
    }
    this->TrackOverload();
    std::vector<http::ExchangeId> ended;
    for (auto& [exchange, run] : this->running) {
      if (run.next > this->options.events) {
        this->seen[run.number].whole = true;
        this->server->EndStream(exchange);
        ended.push_back(exchange);
      } else if (run.cut && run.next > this->options.events / 2) {
        // Sends part of an event, as a crash in mid-event would.
        this->server->Write(exchange, "id: 9");
        this->server->Abort(exchange);
        ended.push_back(exchange);
      } else if (this->server->Unsent(exchange) <= kMaxUnreadBytes) {
        const bool large = run.path.starts_with(this->options.large_prefix);
        const std::string padding(large ? this->options.large_bytes : 0, 'x');
        this->server->Write(
            exchange,
            fmt::format("id: {}\ndata: {}{}-{}-{}\n\n", run.next, padding,
                        run.path, run.next, this->options.version));
        ++run.next;
      }
    }
    for (const http::ExchangeId exchange : ended) {
      this->running.erase(exchange);
    }
    this->BeginWaiting();
    this->Step();
  });
}

StandInList::StandInList(asio::io_context& context, const Endpoint& listen,
                         std::vector<coordination::EngineInstance> list)
    : engines(std::move(list)) {
  http::HttpServerHandlers handlers;
  handlers.on_request = [this](http::ExchangeId exchange,
                               const http::HttpRequest& request) {
    this->OnRequest(exchange, request);
  };
  handlers.on_gone = [](http::ExchangeId) {};
  this->server = std::make_unique<http::HttpServer>(
      context, listen, http::HttpServerLimits{}, std::move(handlers));
}

void StandInList::Drain(const std::string& id) {
  for (coordination::EngineInstance& engine : this->engines) {
    engine.draining = engine.draining || engine.id == id;
  }
}

void StandInList::Rename(const std::string& address, const std::string& id) {
  for (coordination::EngineInstance& engine : this->engines) {
    if (engine.address == address) {
      engine.id = id;
    }
  }
}

void StandInList::StateStart(const std::string& address,
                             std::uint64_t started_ms) {
  for (coordination::EngineInstance& engine : this->engines) {
    if (engine.address == address) {
      engine.started_ms = started_ms;
    }
  }
}

void StandInList::Replace(const std::string& address, const std::string& id,
                          const std::string& version) {
  for (coordination::EngineInstance& engine : this->engines) {
    if (engine.address == address) {
      engine.id = id;
      engine.version = version;
    }
  }
}

void StandInList::RemoveVersion(const std::string& version) {
  std::erase_if(this->engines,
                [&version](const coordination::EngineInstance& engine) {
                  return engine.version == version;
                });
}

void StandInList::OnRequest(http::ExchangeId exchange,
                            const http::HttpRequest& request) {
  constexpr std::string_view kToken = "PageToken=";
  const std::string_view query = request.Query();
  const std::size_t first =
      query.starts_with(kToken)
          ? http::ParseNumber(query.substr(kToken.size())).value_or(0)
          : 0;
  nlohmann::json page = {{"Instances", nlohmann::json::array()},
                         {"Next", nullptr}};
  for (std::size_t i = first; i < this->engines.size(); ++i) {
    if (i == first + kPageSize) {
      page["Next"] = std::to_string(i);
      break;
    }
    const coordination::EngineInstance& engine = this->engines[i];
    page["Instances"].push_back(
        {{"Id", engine.id},
         {"Service", engine.service},
         {"Address", engine.address},
         {"Zone", engine.zone},
         {"Version", engine.version},
         {"Slots", engine.slots},
         {"State", engine.draining ? "draining" : "ready"}});
    if (engine.started_ms != 0) {
      page["Instances"].back()["born"] = engine.started_ms;
    }
  }
  http::HttpResponse response;
  response.body = page.dump();
  this->server->Respond(exchange, response);
}

}  // namespace papayarack::standins
