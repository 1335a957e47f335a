#ifndef PAPAYARACK_HTTP_EVENTSPLITTER_H_
#define PAPAYARACK_HTTP_EVENTSPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayarack::http {

/// One complete event of a text/event-stream.
struct StreamEvent {
  std::string_view raw;  ///< As on the wire, including its blank line.
  std::optional<std::uint64_t> id;
  std::string data;  ///< Its data lines, joined by line feeds.

  /// False for blank lines and comments, which carry nothing.
  bool IsEvent() const { return this->id.has_value() || !this->data.empty(); }
};

/// Splits an event stream into complete events. An engine may stop in the
/// middle of an event; an incomplete event is never returned. The length of an
/// event is not bounded here. Thread safety: none.
class EventSplitter {
 public:
  void Add(std::string_view bytes) { this->pending.append(bytes); }
  /// Extracts the next complete event; its `raw` is valid until the next call
  /// of any method. False when more bytes are needed.
  bool Next(StreamEvent& event);
  /// True when bytes of an incomplete event are buffered.
  bool HasPartialEvent() const { return this->PartialBytes() > 0; }
  /// Buffered bytes after the event returned last.
  std::size_t PartialBytes() const {
    return this->pending.size() - this->taken;
  }
  /// Drops what is buffered, and its memory.
  void Clear();

 private:
  /// Gives memory back after an event that was far longer than what is left.
  void DropSpareMemory();

  std::string pending;
  std::size_t taken = 0;    ///< Bytes of the event returned last.
  std::size_t scanned = 0;  ///< Bytes of `pending` without an event's end.
};

}  // namespace papayarack::http

#endif  // PAPAYARACK_HTTP_EVENTSPLITTER_H_
