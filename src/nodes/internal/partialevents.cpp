#include "nodes/partialevents.h"

#include <algorithm>

namespace papayarack::nodes {

void PartialEvents::Set(StreamId stream, std::size_t bytes) {
  const auto found = this->held.find(stream);
  if (found != this->held.end()) {
    this->total -= found->second;
    this->held.erase(found);
  }
  if (bytes > 0) {
    this->held.emplace(stream, bytes);
    this->total += bytes;
  }
}

std::optional<PartialEvents::StreamId> PartialEvents::LargestBeyond(
    std::size_t max_bytes) const {
  if (this->total <= max_bytes) {
    return std::nullopt;
  }
  const auto largest = std::ranges::max_element(
      this->held, {}, [](const auto& entry) { return entry.second; });
  return largest->first;
}

}  // namespace papayarack::nodes
