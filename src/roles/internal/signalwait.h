#ifndef PAPAYARACK_ROLES_INTERNAL_SIGNALWAIT_H_
#define PAPAYARACK_ROLES_INTERNAL_SIGNALWAIT_H_

namespace papayarack::roles {

/// Blocks SIGTERM and SIGINT for this thread and the threads that it creates,
/// and ignores SIGPIPE. Call it before any thread is created.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace papayarack::roles

#endif  // PAPAYARACK_ROLES_INTERNAL_SIGNALWAIT_H_
