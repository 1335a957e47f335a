#include "nodes/listreading.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <utility>

#include "global/logging.h"
#include "nodes/plainresponses.h"
#include "nodes/responselimits.h"

namespace papayarack::nodes {
namespace {

using EngineList = std::vector<coordination::EngineInstance>;

/// One read of a paged list; keeps itself alive until it ends.
class ListReading : public std::enable_shared_from_this<ListReading> {
 public:
  ListReading(asio::io_context& context, http::HttpClient& client,
              const Dialect& dialect, Endpoint list, ListReaderState& reader,
              const ListReadLimits& extent,
              std::function<void(std::optional<EngineList>)> done)
      : client(client),
        dialect(dialect),
        list(std::move(list)),
        reader(reader),
        max_pages(extent.max_pages),
        done(std::move(done)),
        retry(MonotonicNow(), extent.max_repeats),
        retry_timer(context),
        deadline_timer(context) {}

  void Begin() {
    this->deadline_timer.expires_after(PageRetry::kMaxReadTime);
    this->deadline_timer.async_wait(
        [self = this->shared_from_this()](std::error_code error) {
          if (!error && !self->ended) {
            self->client.Cancel(self->call);
            self->GiveUp("took too long");
          }
        });
    this->RequestPage();
  }

 private:
  void RequestPage() {
    http::HttpCall ask;
    ask.peer = this->list;
    ask.target = this->dialect.list_target(this->token);
    ask.max_body_bytes = kMaxListPageBytes;
    this->body.clear();
    this->status = 0;
    http::HttpCallHandlers handlers;
    const auto self = this->shared_from_this();
    handlers.on_head = [self](const http::HttpHead& head) {
      self->status = head.status;
    };
    handlers.on_body = [self](std::string_view bytes) {
      self->body.append(bytes);
    };
    handlers.on_end = [self](http::HttpEnd end) { self->OnEnd(end); };
    this->call = this->client.Call(std::move(ask), std::move(handlers));
  }

  void OnEnd(http::HttpEnd end) {
    if (end != http::HttpEnd::kComplete) {
      this->RetryPage(fmt::format("call ended {}", static_cast<int>(end)));
      return;
    }
    if (this->status != kOk) {
      this->refused += this->status == kTooMany ? 1 : 0;
      const std::string reason = fmt::format("status {}", this->status);
      if (IsRetryableStatus(this->status)) {
        this->RetryPage(reason);
      } else {
        this->GiveUp(reason);
      }
      return;
    }
    EnginePage page;
    try {
      page = this->dialect.read_engine_page(this->body);
    } catch (const ResultError& error) {
      this->GiveUp(fmt::format("unreadable: {}", error.what()));
      return;
    }
    this->Take(page);
  }

  /// Requests only the failed page again: starting over would repeat the calls
  /// for the pages before it, which exceed the rate limit in turn, and no
  /// process would get a complete list.
  void RetryPage(const std::string& reason) {
    const double chance =
        std::uniform_real_distribution<double>(0, 1)(this->reader.random);
    const auto pause = this->retry.Again(MonotonicNow(), chance);
    if (!pause.has_value()) {
      this->GiveUp(reason);
      return;
    }
    this->retry_timer.expires_after(*pause);
    this->retry_timer.async_wait(
        [self = this->shared_from_this()](std::error_code error) {
          if (!error && !self->ended) {
            self->RequestPage();
          }
        });
  }

  void Take(EnginePage& page) {
    this->retry.PageRead();
    for (coordination::EngineInstance& engine : page.engines) {
      // The list may change between two pages, so an entry can come twice.
      const auto [place, added] =
          this->index_by_key.try_emplace(engine.Key(), this->engines.size());
      if (added) {
        this->engines.push_back(std::move(engine));
      } else {
        this->engines[place->second] = std::move(engine);
      }
    }
    this->skipped += page.skipped;
    if (this->first_problem.empty()) {
      this->first_problem = std::move(page.first_problem);
    }
    ++this->pages;
    if (page.next.empty() || this->pages >= this->max_pages) {
      this->LogSkipped();
      this->reader.failures.Due({}, MonotonicNow());
      this->reader.pages = this->pages;
      this->End(std::move(this->engines));
      return;
    }
    this->token = std::move(page.next);
    this->RequestPage();
  }

  /// Logs skipped entries: otherwise nothing shows why an existing replica
  /// whose entry lacks a field gets no requests.
  void LogSkipped() {
    const std::string text =
        this->first_problem.empty()
            ? std::string()
            : fmt::format("{} {}", this->skipped, this->first_problem);
    if (this->reader.skipped.Due(text, MonotonicNow())) {
      Log(LogLevel::kWarn, "engine_entries_skipped",
          {{"skipped", this->skipped},
           {"kept", this->engines.size()},
           {"first_problem", this->first_problem}});
    }
  }

  void GiveUp(const std::string& reason) {
    if (this->reader.failures.Due(reason, MonotonicNow())) {
      Log(LogLevel::kWarn, "engine_list_unread",
          {{"reason", reason},
           {"pages", this->pages},
           {"refused", this->refused}});
    }
    // An incomplete list has at least one more page.
    this->reader.pages = std::max(this->reader.pages, this->pages + 1);
    this->End(std::nullopt);
  }

  void End(std::optional<EngineList> result) {
    this->ended = true;
    this->retry_timer.cancel();
    this->deadline_timer.cancel();
    this->reader.refused = this->refused;
    this->done(std::move(result));
  }

  http::HttpClient& client;
  const Dialect& dialect;
  Endpoint list;
  ListReaderState& reader;
  std::size_t max_pages;
  std::function<void(std::optional<EngineList>)> done;
  PageRetry retry;
  asio::steady_timer retry_timer;
  asio::steady_timer deadline_timer;
  http::HttpCallId call = 0;
  std::string token;  ///< Of the current page; empty for the first.
  std::string body;
  int status = 0;
  EngineList engines;
  std::unordered_map<std::string, std::size_t> index_by_key;  ///< By Key().
  std::size_t pages = 0;
  std::size_t refused = 0;
  std::size_t skipped = 0;
  std::string first_problem;
  bool ended = false;
};

}  // namespace

void ReadEngineList(
    asio::io_context& context, http::HttpClient& client, const Dialect& dialect,
    const Endpoint& list, ListReaderState& reader, const ListReadLimits& extent,
    std::function<
        void(std::optional<std::vector<coordination::EngineInstance>>)>
        done) {
  std::make_shared<ListReading>(context, client, dialect, list, reader, extent,
                                std::move(done))
      ->Begin();
}

}  // namespace papayarack::nodes
