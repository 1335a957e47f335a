#include "transport/transporttotals.h"

#include <fmt/format.h>

#include <algorithm>

#include "transport/internal/transportcounters.h"

namespace papayarack::transport {
namespace {

/// Longer than any path of this project.
constexpr std::size_t kMaxPathLength = 64;

/// Whether the path can be a label value without escaping.
bool IsValidLabelValue(std::string_view path) {
  return !path.empty() && path.size() <= kMaxPathLength &&
         std::ranges::all_of(path, [](char c) {
           return c > ' ' && c <= '~' && c != '"' && c != '\\';
         });
}

std::string WithPathLabel(std::string_view family, std::string_view path) {
  return fmt::format("{}{{path=\"{}\"}}", family, path);
}

}  // namespace

PathTable::PathTable() { this->entries.front().path = kOtherPaths; }

PathCounters& PathTable::Of(std::string_view path) {
  const std::size_t count = this->used.load(std::memory_order_relaxed);
  for (std::size_t i = 1; i < count; ++i) {
    if (this->entries.at(i).path == path) {
      return this->entries.at(i);
    }
  }
  if (count == this->entries.size() || !IsValidLabelValue(path)) {
    return this->entries.front();
  }
  this->entries.at(count).path = path;
  this->used.store(count + 1, std::memory_order_release);
  return this->entries.at(count);
}

std::vector<PathTotals> PathTable::Totals() const {
  std::vector<PathTotals> totals;
  const std::size_t count = this->used.load(std::memory_order_acquire);
  for (std::size_t i = 0; i < count; ++i) {
    const PathCounters& entry = this->entries.at(i);
    totals.push_back({entry.path, entry.messages, entry.bytes,
                      entry.unsent_bytes, entry.cancelled});
  }
  return totals;
}

std::uint64_t PathTable::UnsentBytes(std::string_view path) const {
  const std::size_t count = this->used.load(std::memory_order_acquire);
  for (std::size_t i = 1; i < count; ++i) {
    if (this->entries.at(i).path == path) {
      return this->entries.at(i).unsent_bytes;
    }
  }
  return 0;
}

void TransportCounters::CountCancelled(std::string_view path) {
  Increase(this->cancelled);
  Increase(this->paths.Of(path).cancelled);
}

TransportTotals TransportCounters::Totals() const {
  return {this->sent_bytes,  this->received_bytes, this->unsent_bytes,
          this->connections, this->cancelled,      this->paths.Totals()};
}

void ExportTransportMetrics(const TransportTotals& server,
                            const TransportTotals& client, Metrics& metrics) {
  metrics.SetTotal("peer_sent_bytes_total",
                   server.sent_bytes + client.sent_bytes);
  metrics.SetTotal("peer_received_bytes_total",
                   server.received_bytes + client.received_bytes);
  metrics.Set("peer_unsent_bytes",
              static_cast<double>(server.unsent_bytes + client.unsent_bytes));
  metrics.Set("peer_connections",
              static_cast<double>(server.connections + client.connections));
  metrics.SetTotal("peer_cancelled_calls_total", client.cancelled);
  metrics.SetTotal("peer_cancelled_requests_total", server.cancelled);
  for (const PathTotals& path : server.paths) {
    metrics.SetTotal(WithPathLabel("peer_path_sent_messages_total", path.path),
                     path.messages);
    metrics.SetTotal(WithPathLabel("peer_path_sent_bytes_total", path.path),
                     path.bytes);
    metrics.Set(WithPathLabel("peer_path_unsent_bytes", path.path),
                static_cast<double>(path.unsent_bytes));
    metrics.SetTotal(
        WithPathLabel("peer_path_cancelled_requests_total", path.path),
        path.cancelled);
  }
  for (const PathTotals& path : client.paths) {
    metrics.SetTotal(
        WithPathLabel("peer_path_cancelled_calls_total", path.path),
        path.cancelled);
  }
}

}  // namespace papayarack::transport
