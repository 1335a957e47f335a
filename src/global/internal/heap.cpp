#include "global/heap.h"

#include <malloc.h>

namespace papayarack {
namespace {

/// Buffers of at least this size are mapped separately. Bodies and snapshots
/// are larger, events and messages smaller.
constexpr int kMmapThresholdBytes = 64 * 1024;
/// Free memory kept at the top of the heap.
constexpr int kTrimThresholdBytes = 128 * 1024;
/// Number of malloc arenas. One suffices, because the event loop's thread does
/// nearly all allocations.
constexpr int kMaxArenas = 1;

}  // namespace

void TuneHeap() {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  mallopt(M_ARENA_MAX, kMaxArenas);
}

void ReleaseFreeHeap() { malloc_trim(kTrimThresholdBytes); }

}  // namespace papayarack
