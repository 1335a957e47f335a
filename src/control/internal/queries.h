#ifndef PAPAYARACK_CONTROL_INTERNAL_QUERIES_H_
#define PAPAYARACK_CONTROL_INTERNAL_QUERIES_H_

#include "control/controlprotocol.h"
#include "statemachine/statemachine.h"

namespace papayarack::control {

/// Answers a query from the state machine. Precondition: the read was confirmed
/// by a quorum. Errors are returned as a reply with a code. For QueryStatus the
/// caller supplies the fleet in `status`. Thread safety: the event loop thread.
statemachine::CommandReply AnswerQuery(const statemachine::StateMachine& state,
                                       const Query& query,
                                       const StatusReply& status);

}  // namespace papayarack::control

#endif  // PAPAYARACK_CONTROL_INTERNAL_QUERIES_H_
