#include "http/eventsplitter.h"

#include <algorithm>

#include "http/headers.h"

namespace papayarack::http {
namespace {

/// Memory that a stream keeps between events.
constexpr std::size_t kMaxSpareBytes = 16U << 10U;

/// Removes the next line from `text` and returns it without its line end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// The value after "name:", without one optional leading space.
std::string_view ValueAfter(std::string_view line, std::size_t name_size) {
  std::string_view value = line.substr(name_size + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

/// Length of the first event including its blank line; npos when it is
/// incomplete. `from`: where to begin the search.
std::size_t EventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view rest = text.substr(at + 1);
    if (rest.starts_with('\n')) {
      return at + 2;
    }
    if (rest.starts_with("\r\n")) {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace

bool EventSplitter::Next(StreamEvent& event) {
  // A blank line may be split after its first two bytes, "\n\r".
  constexpr std::size_t kOverlap = 2;
  this->pending.erase(0, this->taken);
  this->taken = 0;
  this->DropSpareMemory();
  const std::size_t end = EventEnd(this->pending, this->scanned);
  if (end == std::string_view::npos) {
    // Scanning every byte once keeps data without an event from costing time
    // that grows with the square of its length.
    this->scanned =
        this->pending.size() - std::min(this->pending.size(), kOverlap);
    return false;
  }
  this->scanned = 0;
  this->taken = end;
  const std::string_view whole = this->pending;
  event.raw = whole.substr(0, end);
  event.id.reset();
  event.data.clear();
  bool first_data = true;
  std::string_view rest = event.raw;
  while (!rest.empty()) {
    const std::string_view line = TakeLine(rest);
    if (line.starts_with("id:")) {
      event.id = ParseNumber(ValueAfter(line, 2));
    } else if (line.starts_with("data:")) {
      event.data += first_data ? "" : "\n";
      event.data += ValueAfter(line, 4);
      first_data = false;
    }
  }
  return true;
}

void EventSplitter::DropSpareMemory() {
  if (this->pending.capacity() > kMaxSpareBytes &&
      this->pending.size() < this->pending.capacity() / 4) {
    this->pending.shrink_to_fit();
  }
}

void EventSplitter::Clear() {
  std::string().swap(this->pending);
  this->taken = 0;
  this->scanned = 0;
}

}  // namespace papayarack::http
