#ifndef PAPAYARACK_NODES_PARTIALEVENTS_H_
#define PAPAYARACK_NODES_PARTIALEVENTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace papayarack::nodes {

/// Bytes of incomplete events, and of failures that are not complete, that all
/// responses of a process hold together.
/// Decides which stream is to end where many faulty replicas send bytes that
/// form no event: each of them may keep to the limits of one stream. Does no
/// I/O. Thread safety: none.
class PartialEvents {
 public:
  using StreamId = std::uint64_t;

  /// Records that `stream` holds `bytes` now.
  void Set(StreamId stream, std::size_t bytes);
  /// Ignored for a stream that holds nothing.
  void Remove(StreamId stream) { this->Set(stream, 0); }
  /// The stream that holds most, if all together hold more than `max_bytes`.
  std::optional<StreamId> LargestBeyond(std::size_t max_bytes) const;

 private:
  std::unordered_map<StreamId, std::size_t> held;
  std::size_t total = 0;
};

}  // namespace papayarack::nodes

#endif  // PAPAYARACK_NODES_PARTIALEVENTS_H_
