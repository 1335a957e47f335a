#include "nodes/requestcounts.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "global/logging.h"

namespace papayarack::nodes {
namespace {

using http::ExchangeOutcome;

constexpr std::array kCuts = {ExchangeOutcome::kAborted,
                              ExchangeOutcome::kStalled,
                              ExchangeOutcome::kServerEnded};

/// Connections of a server that are logged at the end of the process.
constexpr std::size_t kMaxConnectionsLogged = 8;

std::int64_t Millis(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// The connections in which bytes may be on their way; those whose client got
/// bytes last come first.
void LogConnections(const std::string& name, const http::HttpServer& server) {
  std::vector<http::ConnectionState> open = server.UsedConnections();
  std::ranges::sort(open, {}, [](const http::ConnectionState& state) {
    return state.since_written.value_or(Duration::max());
  });
  for (std::size_t i = 0; i < std::min(open.size(), kMaxConnectionsLogged);
       ++i) {
    const http::ConnectionState& state = open[i];
    Log(LogLevel::kInfo, "connection_at_end",
        {{"server", name},
         {"phase", std::string(http::NameOf(state.phase))},
         {"unsent", state.unsent},
         {"unacknowledged",
          state.unacknowledged.has_value()
              ? static_cast<std::int64_t>(*state.unacknowledged)
              : -1},
         {"unread", state.unread},
         {"written_us",
          state.since_written.has_value() ? state.since_written->count() : -1},
         {"open", open.size()}});
  }
}

}  // namespace

void RequestCounts::Include(std::string_view name,
                            const http::HttpServer& server) {
  this->servers.insert_or_assign(std::string(name), &server);
}

http::ExchangeLedger::OnCut RequestCounts::CutReporter(std::string_view name) {
  return [this, name = std::string(name)](ExchangeOutcome outcome,
                                          const http::ExchangeRecord& record) {
    this->OnCut(name, outcome, record, MonotonicNow());
  };
}

void RequestCounts::OnCut(const std::string& name, ExchangeOutcome outcome,
                          const http::ExchangeRecord& record, Time now) {
  ++this->unlogged;
  if (this->logged_at != Time{} && now - this->logged_at < kMinInterval) {
    return;
  }
  this->logged_at = now;
  Log(LogLevel::kInfo, "request_cut",
      {{"server", name},
       {"reason", std::string(http::NameOf(outcome))},
       {"target", record.target},
       {"age_ms", Millis(record.age)},
       {"cut", std::exchange(this->unlogged, 0)}});
}

void RequestCounts::Export(Metrics& metrics) const {
  for (const auto& [name, server] : this->servers) {
    const http::ExchangeCounts& counts = server->ledger().counts();
    const auto set = [&metrics, label = fmt::format("{{server=\"{}\"}}", name)](
                         std::string_view what, std::uint64_t total) {
      metrics.SetTotal(fmt::format("requests_{}_total{}", what, label), total);
    };
    set("read", counts.read);
    set("answered", counts.Ended(ExchangeOutcome::kAnswered));
    set("refused", counts.Ended(ExchangeOutcome::kRefused));
    set("left", counts.Ended(ExchangeOutcome::kLeft));
    for (const ExchangeOutcome cut : kCuts) {
      metrics.SetTotal(
          fmt::format("requests_cut_total{{server=\"{}\",reason=\"{}\"}}", name,
                      http::NameOf(cut)),
          counts.Ended(cut));
    }
    metrics.Set(fmt::format("requests_open{{server=\"{}\"}}", name),
                static_cast<double>(counts.Open()));
  }
}

void RequestCounts::LogAtEnd() const {
  const Time now = MonotonicNow();
  for (const auto& [name, server] : this->servers) {
    const http::ExchangeLedger& ledger = server->ledger();
    const http::ExchangeCounts& counts = ledger.counts();
    if (counts.read == 0) {
      continue;
    }
    LogConnections(name, *server);
    const http::ExchangeRecord oldest =
        ledger.Oldest(now).value_or(http::ExchangeRecord{});
    const bool all_ended = counts.Open() == 0;
    Log(all_ended ? LogLevel::kInfo : LogLevel::kWarn, "requests_at_end",
        {{"server", name},
         {"read", counts.read},
         {"answered", counts.Ended(ExchangeOutcome::kAnswered)},
         {"refused", counts.Ended(ExchangeOutcome::kRefused)},
         {"left", counts.Ended(ExchangeOutcome::kLeft)},
         {"cut", counts.Cut()},
         {"open", counts.Open()},
         {"oldest_target", oldest.target},
         {"oldest_ms", Millis(oldest.age)}});
  }
}

}  // namespace papayarack::nodes
