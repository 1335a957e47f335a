#ifndef PAPAYARACK_GLOBAL_HEAP_H_
#define PAPAYARACK_GLOBAL_HEAP_H_

namespace papayarack {

/// Configures the allocator for a small VM: large buffers return to the system
/// when they are freed. Call first in main. Thread safety: call once.
void TuneHeap();

/// Returns freed memory to the system. Otherwise a control member that has read
/// its log or written a snapshot keeps its peak memory until it exits. Thread
/// safety: any thread.
void ReleaseFreeHeap();

}  // namespace papayarack

#endif  // PAPAYARACK_GLOBAL_HEAP_H_
