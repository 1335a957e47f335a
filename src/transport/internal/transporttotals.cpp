#include "transport/transporttotals.h"

#include <fmt/format.h>

#include <algorithm>

#include "transport/internal/transporttally.h"

namespace papayarack::transport {
namespace {

/// Longer than any path of ours.
constexpr std::size_t kLongestPath = 64;

/// Whether the path can be a label's value as it is.
bool CanBeShown(std::string_view path) {
  return !path.empty() && path.size() <= kLongestPath &&
         std::ranges::all_of(path, [](char c) {
           return c > ' ' && c <= '~' && c != '"' && c != '\\';
         });
}

std::string OfPath(std::string_view family, std::string_view path) {
  return fmt::format("{}{{path=\"{}\"}}", family, path);
}

}  // namespace

PathTable::PathTable() { this->entries.front().path = kOtherPaths; }

PathTally& PathTable::Of(std::string_view path) {
  const std::size_t count = this->used.load(std::memory_order_relaxed);
  for (std::size_t i = 1; i < count; ++i) {
    if (this->entries.at(i).path == path) {
      return this->entries.at(i);
    }
  }
  if (count == this->entries.size() || !CanBeShown(path)) {
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
    const PathTally& entry = this->entries.at(i);
    totals.push_back({entry.path, entry.messages, entry.bytes,
                      entry.unsent_bytes, entry.cancelled});
  }
  return totals;
}

void TransportTally::CountCancelled(std::string_view path) {
  Raise(this->cancelled);
  Raise(this->paths.Of(path).cancelled);
}

TransportTotals TransportTally::Totals() const {
  return {this->sent_bytes,  this->received_bytes, this->unsent_bytes,
          this->connections, this->cancelled,      this->paths.Totals()};
}

void ShowTransport(const TransportTotals& server, const TransportTotals& client,
                   Metrics& metrics) {
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
    metrics.SetTotal(OfPath("peer_path_sent_messages_total", path.path),
                     path.messages);
    metrics.SetTotal(OfPath("peer_path_sent_bytes_total", path.path),
                     path.bytes);
    metrics.Set(OfPath("peer_path_unsent_bytes", path.path),
                static_cast<double>(path.unsent_bytes));
    metrics.SetTotal(OfPath("peer_path_cancelled_requests_total", path.path),
                     path.cancelled);
  }
  for (const PathTotals& path : client.paths) {
    metrics.SetTotal(OfPath("peer_path_cancelled_calls_total", path.path),
                     path.cancelled);
  }
}

}  // namespace papayarack::transport
